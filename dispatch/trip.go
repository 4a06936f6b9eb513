package dispatch

import (
	"slices"

	"cuminhollow.example/clock"
)

const (
	// maxMoves is the number of VMs that may refuse a call before their upstream
	// is reached, without that being a try.
	maxFailovers = 4
	// patienceMin is the shortest queueing that is better than another way, in
	// milliseconds.
	minWait clock.Millis = 10
	// maxSpare is the longest advance over the next best VM that bounds the
	// queueing, in milliseconds.
	maxCostMargin = 10_000
)

// Trip is the way of one call from VM to VM. It is not safe for concurrent use.
// Create it with NewTrip.
type Attempts struct {
	// request names in Avoid the VMs that were tried.
	request Request
	// at is where the call is.
	current Pick
	// busy names the VMs that would have queued the call for too long.
	busy []string
	// tries counts the attempts, and moves those of them that reached no upstream
	// and were followed by another one.
	count, failovers int
}

// NewTrip returns the trip of a call that has not been sent yet.
func NewAttempts(q Request) *Attempts { return &Attempts{request: q} }

// Next picks the VM of the next attempt.
func (t *Attempts) Next(now clock.Millis, r *Router) (Pick, error) {
	pick, err := r.Pick(now, t.request)
	if err != nil {
		return Pick{}, err
	}
	t.current = pick
	t.count++
	return pick, nil
}

// Patience returns how long the VM may queue the call, in milliseconds: no
// longer than the way to the next best VM costs, and 0 for no bound when the
// call has been there or cannot move any more.
func (t *Attempts) MaxWait() clock.Millis {
	if t.failovers >= maxFailovers || t.current.CostMargin > maxCostMargin || slices.Contains(t.busy, t.current.VM.Name()) {
		return 0
	}
	return clock.Millis(t.current.CostMargin) + minWait
}

// Leave notes the end of an attempt. A VM that was busy may be asked again; the
// others are avoided.
func (t *Attempts) End(busy bool) {
	name := t.current.VM.Name()
	if busy {
		t.busy = append(t.busy, name)
		return
	}
	t.request.Exclude = append(t.request.Exclude, name)
}

// Move takes the call on after an attempt that reached no upstream, and reports
// whether it may go on without that being a try.
func (t *Attempts) TakeFailover() bool {
	if t.failovers >= maxFailovers {
		return false
	}
	t.failovers++
	return true
}

// Forget lets the call return to the VMs that were tried.
func (t *Attempts) ResetExcluded() { t.request.Exclude = nil }

// Tries returns the number of attempts.
func (t *Attempts) Count() int { return t.count }

// Moves returns the number of attempts that were no tries.
func (t *Attempts) Failovers() int { return t.failovers }
