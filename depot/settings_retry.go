package depot

import (
	"cuminhollow.example/clock"
	"cuminhollow.example/ledger"
)

// retrySettings bound what reaches the upstreams of a service again, beside
// each request's tries. The zero value bounds it to a tenth.
type retrySettings struct {
	// Share is the repeats for each first request of a window, and Spare the
	// number beyond, over all VMs of the service.
	Share     float64 `yaml:"share"`
	Allowance float64 `yaml:"spare"`
	// Window is the span of a window, in seconds; 0 for the default.
	Window float64 `yaml:"window_s"`
}

const (
	defaultRetryShare                  = 0.1
	defaultRetryAllowance              = 10
	defaultRetryWindow    clock.Millis = 10 * clock.Second
	// repeatMargin is the part of what the settings allow that is used: calls
	// that a repeated run makes count as repeats too, and are not known as such.
	retryMargin = 0.9
)

func (r retrySettings) newLimiter() *ledger.RetryLimiter {
	if r.Window <= 0 {
		return ledger.NewRetryLimiter(defaultRetryShare, defaultRetryAllowance, defaultRetryWindow)
	}
	window := clock.Millis(r.Window * float64(clock.Second))
	return ledger.NewRetryLimiter(retryMargin*r.Share, r.allowancePerVM(1), window)
}

// spareOf returns the spare repeats of one of n VMs.
func (r retrySettings) allowancePerVM(n int) float64 {
	if r.Window <= 0 {
		return defaultRetryAllowance
	}
	return retryMargin * r.Allowance / float64(max(n, 1))
}
