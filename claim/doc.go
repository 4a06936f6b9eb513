// Package claim makes non-idempotent work run at most once without shared
// state.
//
// A Ticket names the one process that may run a piece of work: the VM that
// owns it and the incarnation of its process. Use Table in the owner: it
// remembers which tickets run, have run or were refused, within a bounded
// memory. A ticket that the table no longer remembers, or that names another
// incarnation, is Unknown and never runs. Use Issuer in the process that
// hands out tickets.
package claim
