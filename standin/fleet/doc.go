// Package fleet runs a small deployment of real processes on loopback: a
// platform, and an upstream and a node for each VM.
//
// Use it in the demo, in the load tool and in tests of failures. It needs the
// programs in one folder, and it stops every process that it started.
package fleet
