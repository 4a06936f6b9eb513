// Package fleet is a test harness that runs a small deployment of real
// processes on loopback: a platform, and an upstream and a node for each VM.
//
// The demo, the load tool and the fault-injection tests use it. The binaries
// "platform", "upstream" and "node" must be in one folder. Fleet.Stop kills
// every process that was started.
package fleet
