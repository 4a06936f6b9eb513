// Package caller is the client library for sending work to services through
// cuminhollow nodes, with failover and at-most-once execution.
//
// A Caller switches to another node if one fails. For non-idempotent work it
// takes a ticket first: with the ticket, it can get the outcome from any node,
// and the work runs at most once.
package caller
