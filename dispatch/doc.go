// Package dispatch chooses the VM that is to own a call.
//
// Use a Router in each entry node: it keeps, for each service, the bounded
// subset of VMs that the node talks to, nearest first, and picks one by two
// random choices scored by the node's own traffic. What VMs report about
// themselves only delays or withholds calls, it never attracts them.
package dispatch
