// Package caller sends work to the nodes from outside.
//
// Use Caller in programs that call services through cuminhollow. It goes
// through another node when one is lost, and for non-idempotent work it takes
// a ticket first, so that the outcome can be learnt through any node and the
// work still runs at most once.
package caller
