// Package ledger implements retry budgets: it limits the retries of a request
// over its whole call chain, and the rate of retries at a destination.
//
// Use an Account for each request that is in flight on a VM: it holds the extra
// tries that the request may still spend there, gives a part of them to each
// nested call as a Grant, and takes back what the call did not spend. The sum
// over the chain never exceeds the balance of the root account: a grant that is
// never returned counts as spent. Use a Bucket for each destination to limit
// its retries to a share of the first tries, and a RetryLimiter for the retries
// that may reach an upstream.
package ledger
