// Package depot is the runtime of a node: it takes calls over HTTP, sends them
// to the nodes of other VMs, admits the calls of those nodes, and runs them on
// the upstream of its own VM.
//
// Use LoadSettings to read a settings file and New to build a node from it.
// The decisions are made by the packages booking, claim, dispatch, ledger and
// record; this package holds the sockets, goroutines and timers around them.
package depot
