// Package claim provides at-most-once execution of non-idempotent work without
// shared state.
//
// A Ticket names the only process that may run a piece of work: the VM that
// owns the ticket and the incarnation of its process. The owner keeps a Table,
// which records in bounded memory the tickets whose work is queued or running
// and the outcomes of completed ones. A ticket whose record was evicted, or that names another
// incarnation, is Unknown and never runs. The process that creates tickets uses
// an Issuer.
package claim
