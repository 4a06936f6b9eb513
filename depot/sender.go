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

// sender sends orders to owners and decides on retries.
type sender struct {
	decisions *decisionLog
	clock     clock.Clock
	router    *dispatch.Router
	peers     *peers
	metrics   *metrics
	// perHop makes each hop retry up to its record's tries without a common
	// bound. It is a baseline for measurements.
	perHopRetries bool
	// early makes the node heed the admission levels of owners.
	rejectEarly bool
	// desk learns how full the services are that the VM's own upstream calls.
	controller *booking.Controller
	// grace is how long after its deadline the answer of a call is still
	// awaited, in milliseconds.
	answerGrace clock.Millis
	// buckets holds a *ledger.Bucket for each service.
	buckets sync.Map
}

// send carries out an order. It tries another owner only while that cannot run
// non-idempotent work twice and the account of the run pays for it.
func (s *sender) send(o *outgoingCall) *portage.Answer {
	for {
		a, pick, n := s.attempt(o)
		o.mayHaveRun = o.mayHaveRun || a.Outcome == portage.OutcomeUnknown
		if !s.allowAttempt(o, n) {
			return o.finalAnswer(a)
		}
		s.decisions.nextAttempt(o, a, pick, n)
	}
}

// goOn reports whether the order gets another attempt, and pays for it.
func (s *sender) allowAttempt(o *outgoingCall, n action) bool {
	if n == actionReturn || o.run.ctx.Err() != nil || s.clock.Now() >= o.run.deadline {
		return false
	}
	if n == actionFailover && o.attempts.TakeFailover() {
		return true
	}
	if s.perHopRetries {
		o.attempts.ResetExcluded()
		return o.attempts.Count() < o.maxTries
	}
	return s.bucket(o.service).AllowRetry() && o.run.account.Spend()
}

// bucket returns what pays for retries at a service.
func (s *sender) bucket(service string) *ledger.Bucket {
	if b, ok := s.buckets.Load(service); ok {
		return b.(*ledger.Bucket)
	}
	b, _ := s.buckets.LoadOrStore(service, ledger.NewBucket())
	return b.(*ledger.Bucket)
}

// try makes one attempt.
func (s *sender) attempt(o *outgoingCall) (*portage.Answer, dispatch.Pick, action) {
	now := s.clock.Now()
	if now >= o.run.deadline {
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
		s.bucket(o.service).RecordFirst()
	}
	a, n := s.sendTo(o, pick)
	o.attempts.End(a.Reason == reasonBusy)
	return a, pick, n
}

func pickReason(err error) string {
	var e *dispatch.Error
	if errors.As(err, &e) && e.Kind == dispatch.KindOverload {
		return reasonOverload
	}
	return reasonNoVM
}
