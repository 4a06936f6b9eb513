package depot

import (
	"cuminhollow.example/clock"
	"cuminhollow.example/ledger"
)

// retrySettings limit the rate of retries that may reach the upstreams of a
// service, in addition to the tries of each request. The zero value limits them
// on each VM to a tenth of the first requests plus 10, in windows of 10 s.
type retrySettings struct {
	// Share is the number of retries allowed for each first request of a window,
	// and Base the number allowed in addition, over all VMs of the service.
	Share float64 `yaml:"share"`
	Base  float64 `yaml:"spare"`
	// Window is the length of a window, in seconds. If it is 0, the defaults apply
	// to all three settings.
	Window float64 `yaml:"window_s"`
}

const (
	defaultRetryShare               = 0.1
	defaultRetryBase                = 10
	defaultRetryWindow clock.Millis = 10 * clock.Second
	// retryMargin is the fraction of the configured limits that is used. Nested
	// calls of a retried run count as retries too, but upstreams that do not name
	// the run leave only an estimate of their number.
	retryMargin = 0.9
)

func (r retrySettings) newLimiter() *ledger.RetryLimiter {
	if r.Window <= 0 {
		return ledger.NewRetryLimiter(defaultRetryShare, defaultRetryBase, defaultRetryWindow)
	}
	window := clock.Millis(r.Window * float64(clock.Second))
	return ledger.NewRetryLimiter(retryMargin*r.Share, r.basePerVM(1), window)
}

// basePerVM returns the part of Base that each of n VMs gets.
func (r retrySettings) basePerVM(n int) float64 {
	if r.Window <= 0 {
		return defaultRetryBase
	}
	return retryMargin * r.Base / float64(max(n, 1))
}
