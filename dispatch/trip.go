package dispatch

import (
	"slices"

	"cuminhollow.example/clock"
)

const (
	// maxMoves is the number of VMs that may refuse a call before their upstream
	// is reached, without that being a try.
	maxMoves = 4
	// patienceMin is the shortest queueing that is better than another way, in
	// milliseconds.
	patienceMin clock.Millis = 10
	// maxSpare is the longest advance over the next best VM that bounds the
	// queueing, in milliseconds.
	maxSpare = 10_000
)

// Trip is the way of one call from VM to VM. It is not safe for concurrent use.
// Create it with NewTrip.
type Trip struct {
	// request names in Avoid the VMs that were tried.
	request Request
	// at is where the call is.
	at Pick
	// busy names the VMs that would have queued the call for too long.
	busy []string
	// tries counts the attempts, and moves those of them that reached no upstream
	// and were followed by another one.
	tries, moves int
}

// NewTrip returns the trip of a call that has not been sent yet.
func NewTrip(q Request) *Trip { return &Trip{request: q} }

// Next picks the VM of the next attempt.
func (t *Trip) Next(now clock.Millis, r *Router) (Pick, error) {
	pick, err := r.Pick(now, t.request)
	if err != nil {
		return Pick{}, err
	}
	t.at = pick
	t.tries++
	return pick, nil
}

// Patience returns how long the VM may queue the call, in milliseconds: no
// longer than the way to the next best VM costs, and 0 for no bound when the
// call has been there or cannot move any more.
func (t *Trip) Patience() clock.Millis {
	if t.moves >= maxMoves || t.at.Spare > maxSpare || slices.Contains(t.busy, t.at.VM.Name()) {
		return 0
	}
	return clock.Millis(t.at.Spare) + patienceMin
}

// Leave notes the end of an attempt. A VM that was busy may be asked again; the
// others are avoided.
func (t *Trip) Leave(busy bool) {
	name := t.at.VM.Name()
	if busy {
		t.busy = append(t.busy, name)
		return
	}
	t.request.Avoid = append(t.request.Avoid, name)
}

// Move takes the call on after an attempt that reached no upstream, and reports
// whether it may go on without that being a try.
func (t *Trip) Move() bool {
	if t.moves >= maxMoves {
		return false
	}
	t.moves++
	return true
}

// Forget lets the call return to the VMs that were tried.
func (t *Trip) Forget() { t.request.Avoid = nil }

// Tries returns the number of attempts.
func (t *Trip) Tries() int { return t.tries }

// Moves returns the number of attempts that were no tries.
func (t *Trip) Moves() int { return t.moves }
