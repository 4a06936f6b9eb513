package depot

import (
	"errors"
	"sync"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/ledger"
	"cuminhollow.example/portage"
)

// sender sends calls to owners and decides on failovers and retries.
type sender struct {
	decisions *decisionLog
	clock     clock.Clock
	router    *dispatch.Router
	peers     *peers
	metrics   *metrics
	// perHopRetries makes each hop retry up to the tries of its record, without
	// a limit for the whole call chain. It is a baseline for measurements.
	perHopRetries bool
	// rejectEarly makes the node reject calls by the admission levels that
	// owners report.
	rejectEarly bool
	// controller estimates the overload of the services that the VM's own
	// upstream calls, from the answers to its nested calls.
	controller *booking.Controller
	// runs tells which share of a nested call is made by retries.
	runs *runTable
	// stop withdraws calls that wait when a planned stop ends.
	stop *entryStop
	// answerGrace is how long after its deadline the answer to a call is still
	// awaited, in milliseconds.
	answerGrace clock.Millis
	// nestedKinds holds, as a bool by the name of the kind, whether owners take the
	// kind for nested calls.
	nestedKinds sync.Map
	// retryBuckets holds the *ledger.Bucket of each service, by its name.
	retryBuckets sync.Map
}

// send sends a call and returns its final answer. It makes another attempt only
// while that cannot run non-idempotent work twice and the limits on failovers
// and retries allow it.
func (s *sender) send(o *outgoingCall) *portage.Answer {
	if o.call.Onward || s.isNested(o.call.Kind) {
		o.attempts.SetNested(true)
		addRepeatShare(&o.call, s.runs.repeatShare(o.scope))
	}
	for {
		a, pick, next := s.attempt(o)
		o.mayHaveRun = o.mayHaveRun || a.Outcome == portage.OutcomeUnknown
		if !s.allowAttempt(o, next) {
			return o.finalAnswer(a)
		}
		s.decisions.nextAttempt(o, a, pick, next)
	}
}

// allowAttempt reports whether the call gets another attempt, and charges it to
// the limits on failovers or retries.
func (s *sender) allowAttempt(o *outgoingCall, next action) bool {
	if next == actionReturn || o.scope.ctx.Err() != nil || s.stop.recalled.Err() != nil || s.clock.Now() >= o.scope.deadline {
		return false
	}
	if next == actionFailover && o.attempts.TakeFailover() {
		return true
	}
	if s.perHopRetries {
		o.attempts.ResetExcluded()
		return o.attempts.Count() < o.maxTries
	}
	return s.retryBucket(o.service).AllowRetry() && o.scope.account.Spend()
}

// isNested reports whether calls of a kind are known to be nested calls.
func (s *sender) isNested(kind string) bool {
	nested, ok := s.nestedKinds.Load(kind)
	return ok && nested.(bool)
}

// learnNested records whether an owner took a call of a kind for a nested one.
func (s *sender) learnNested(kind string, nested bool) {
	if s.isNested(kind) != nested {
		s.nestedKinds.Store(kind, nested)
	}
}

// retryBucket returns the bucket that limits the retries to a service.
func (s *sender) retryBucket(service string) *ledger.Bucket {
	if b, ok := s.retryBuckets.Load(service); ok {
		return b.(*ledger.Bucket)
	}
	b, _ := s.retryBuckets.LoadOrStore(service, ledger.NewBucket())
	return b.(*ledger.Bucket)
}

// attempt picks a VM and sends the call to it once. It also returns the picked
// VM and what follows.
func (s *sender) attempt(o *outgoingCall) (*portage.Answer, dispatch.Pick, action) {
	now := s.clock.Now()
	if now >= o.scope.deadline {
		return notRunAnswer(reasonExpired, 0), dispatch.Pick{}, actionReturn
	}
	pick, err := o.attempts.Next(now, s.router)
	if err != nil {
		return notRunAnswer(pickReason(err), 0), dispatch.Pick{}, actionReturn
	}
	o.call.VM = pick.VM.Name()
	o.call.PatienceMS = int64(o.attempts.MaxWait())
	s.metrics.recordAttempt(o.service, pick.Tier)
	if o.attempts.Count() == 1 {
		s.retryBucket(o.service).RecordFirst()
	}
	a, next := s.sendTo(o, pick)
	o.attempts.End(a.Reason == reasonBusy)
	return a, pick, next
}

// pickReason returns the reason to give a caller when no VM could be picked.
func pickReason(err error) string {
	var e *dispatch.Error
	if errors.As(err, &e) && e.Kind == dispatch.KindOverload {
		return reasonOverload
	}
	return reasonNoVM
}
