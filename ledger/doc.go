// Package ledger bounds the retries of a request over its whole call chain.
//
// Use an Account for each request that is in flight on a VM: it holds the
// extra tries that the request may still spend there, gives a part of them to
// each onward call as a Grant, and takes back what the call did not spend.
// The sum over the chain never exceeds the balance of the root account: a
// grant that is never returned counts as spent. Use a Bucket for each
// destination to bound retries as a share of fresh calls.
package ledger
