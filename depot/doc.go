// Package depot is the runtime of a node, a load-balancing reverse proxy with
// admission control: it takes calls over HTTP, sends them to the nodes of other
// VMs, admits the calls of those nodes, and runs them on the upstream of its own
// VM.
//
// Use LoadSettings to read a settings file and New to build a node from it.
// The decisions are made by the packages booking (admission control), claim
// (at-most-once execution), dispatch (load balancing), ledger (retry budgets)
// and record (records and rosters); this package holds the sockets, goroutines
// and timers around them.
package depot
