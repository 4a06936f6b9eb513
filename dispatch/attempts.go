package dispatch

import (
	"slices"

	"cuminhollow.example/clock"
)

const (
	// maxFailovers is the number of attempts of a call that do not count as tries
	// if they end before they reach an upstream.
	maxFailovers = 4
	// minWait is added to every queue wait limit, in milliseconds: a shorter wait
	// costs less than a failover.
	minWait clock.Millis = 10
	// maxCostMargin is the largest cost margin that limits the queue wait, in
	// milliseconds.
	maxCostMargin = 10_000
)

// Attempts follows one call through its attempts on several VMs. It is not safe
// for concurrent use. Create it with NewAttempts.
type Attempts struct {
	// request is the request of the next attempt. Its Exclude field lists the VMs
	// that were tried.
	request Request
	// current is the pick of the latest attempt.
	current Pick
	// busy names the VMs whose queue wait exceeded the limit of the call.
	busy []string
	// count is the number of attempts, and failovers the number of those that
	// reached no upstream and were followed by another one.
	count, failovers int
}

// NewAttempts returns the attempts of a call that has not been sent yet.
func NewAttempts(q Request) *Attempts { return &Attempts{request: q} }

// SetNested marks a call that an upstream makes while it runs another one; see
// Request.Nested.
func (a *Attempts) SetNested(nested bool) { a.request.Nested = nested }

// Next picks the VM of the next attempt. It returns an *Error if no VM is
// usable.
func (a *Attempts) Next(now clock.Millis, r *Router) (Pick, error) {
	pick, err := r.Pick(now, a.request)
	if err != nil {
		return Pick{}, err
	}
	a.current = pick
	a.count++
	return pick, nil
}

// MaxWait returns how long the current VM may queue the call, in milliseconds:
// the cost margin of the pick and minWait. It is 0, which means no limit, if
// the VM was busy in an earlier attempt, if no failover is left or if the cost
// margin exceeds maxCostMargin.
func (a *Attempts) MaxWait() clock.Millis {
	if a.failovers >= maxFailovers || a.current.CostMargin > maxCostMargin || slices.Contains(a.busy, a.current.VM.Name()) {
		return 0
	}
	return clock.Millis(a.current.CostMargin) + minWait
}

// End records the end of an attempt. A VM that was busy may be picked again;
// any other is excluded.
func (a *Attempts) End(busy bool) {
	name := a.current.VM.Name()
	if busy {
		a.busy = append(a.busy, name)
		return
	}
	a.request.Exclude = append(a.request.Exclude, name)
}

// TakeFailover uses one failover after an attempt that reached no upstream. It
// reports whether one was left; if so, the attempt does not count as a try.
func (a *Attempts) TakeFailover() bool {
	if a.failovers >= maxFailovers {
		return false
	}
	a.failovers++
	return true
}

// ResetExcluded allows the VMs that were tried to be picked again.
func (a *Attempts) ResetExcluded() { a.request.Exclude = nil }

// Count returns the number of attempts, failovers included.
func (a *Attempts) Count() int { return a.count }

// Failovers returns the number of attempts that did not count as tries.
func (a *Attempts) Failovers() int { return a.failovers }
