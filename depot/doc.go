// Package depot is the runtime of a node, a load-balancing reverse proxy with
// admission control: it takes calls over HTTP, sends them to the nodes of other
// VMs, admits the calls of those nodes, and runs them on the upstream of its
// own VM. A node is the entry of the calls that it takes and the owner of the
// calls that it admits and runs.
//
// Use LoadSettings to read a settings file and New to build a node from it. The
// decisions are made by the packages booking (admission control), claim
// (at-most-once execution), dispatch (load balancing), ledger (retry budgets)
// and record (documents: records, which hold the policy of a kind of work, and
// rosters, which list VMs); this package holds the sockets, goroutines and
// timers around them.
package depot
