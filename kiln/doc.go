// Package kiln is a model of services under load. It runs the decisions of
// booking, dispatch and ledger against modelled upstreams, networks and clients
// in simulated time, without sockets, so that a load can be replayed in tests
// and compared with the best that the slots allow.
//
// The model is simple on purpose: upstreams have slots, speeds, a knee near full
// use and a start during which they are slow; a run does its own work and then
// makes its onward calls; the network has a delay by distance. What is decided
// is decided by the packages under test.
package kiln
