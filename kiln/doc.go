// Package kiln is a discrete-event simulation of services under load. It runs
// the real code of booking, dispatch and ledger against simulated upstreams,
// networks and clients in simulated time, without sockets. Tests use it to
// reproduce a load and to compare the result with the best that the slots
// allow.
//
// The simulation is simple on purpose: upstreams have slots, speeds and a
// utilisation above which they slow down; a run does its own work and then
// makes its nested calls; the network has a delay that depends on the distance.
// Every decision about a call is made by the packages under test.
package kiln
