package depot

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/ledger"
	"cuminhollow.example/portage"
	"github.com/google/uuid"
)

// runAdmitted runs a call that has a slot and frees the slot.
func (o *owner) runAdmitted(ctx context.Context, c *portage.Call, ac *booking.Call, arrived, deadline clock.Millis) *portage.Answer {
	now := o.clock.Now()
	// It has no effect once the call has ended below. It frees the slot after a
	// panic.
	defer func() { o.freeSlot(o.clock.Now(), ac, booking.ResultFailed) }()
	o.metrics.recordQueueWait(c.Kind, now-arrived)
	if now >= deadline || ctx.Err() != nil {
		o.freeSlot(now, ac, booking.ResultCancelled)
		return o.reject(c, reasonExpired, deadline)
	}
	limit := deadline + answerTime
	if c.Ticket != "" {
		limit = deadline + outcomeGrace
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := withDeadline(ctx, o.clock, limit)
	defer cancel()
	id := uuid.NewString()
	account := ledger.NewAccount(c.Grant)
	defer o.runs.remove(id)
	o.runs.add(id, &requestScope{
		ctx:         ctx,
		requestID:   c.Request,
		class:       booking.Class(c.Class),
		group:       c.Group,
		caller:      c.Caller,
		deadline:    deadline,
		account:     account,
		repeatShare: new(atomic.Int64),
	})
	res := o.runOnUpstream(ctx, c, id, deadline, repeatShare(c, ac.Nested()))
	ended := o.clock.Now()
	o.freeSlot(ended, ac, admissionResult(ctx, res, ended > deadline))
	o.metrics.recordRun(res.Outcome, ended-now)
	o.decisions.runEnded(c, res, now-arrived, ended-now, deadline-ended)
	return &portage.Answer{
		Outcome: res.Outcome,
		Reason:  res.Reason,
		Reached: res.Reached,
		Status:  res.Status,
		Header:  res.Header,
		Body:    res.Body,
		Sum:     portage.Checksum(res.Body),
		Unspent: account.Close(),
	}
}

// freeSlot ends a call that was started. Its place in the quota of its kind may
// stay reserved for a while.
func (o *owner) freeSlot(now clock.Millis, ac *booking.Call, r booking.Result) {
	if releaseDelay := o.controller.Done(now, ac, r); releaseDelay > 0 {
		time.AfterFunc(releaseDelay.Duration(), func() { o.controller.Release(o.clock.Now(), ac) })
	}
}

// runOnUpstream sends a call to the upstream. While the upstream rejects the
// call as retryable, it sends the call again, within the deadline and the rate
// limit on retries. RepeatShare is how much of the call counts as a retry, in
// thousandths.
func (o *owner) runOnUpstream(ctx context.Context, c *portage.Call, id string, deadline clock.Millis, repeatShare int64) RunResult {
	if c.Repeat {
		if !o.retryLimiter.AllowRetry(o.clock.Now()) {
			return RunResult{Outcome: portage.OutcomeNotRun, Reason: reasonNoTriesLeft}
		}
	} else {
		o.retryLimiter.RecordNested(o.clock.Now(), float64(repeatShare)/wholeRepeat)
	}
	pause := upstreamRetryDelay
	reached := false
	for attempt := 1; ; attempt++ {
		began := o.clock.Now()
		run := NewRun(c, id, o.clock, deadline, o.controller.Closed, WithAnswerMemory(o.answerMemory))
		res := o.attempt(ctx, run, repeatShare)
		ended := o.clock.Now()
		reached = reached || res.Reached
		res.Reached = reached
		if !res.Retryable || ctx.Err() != nil || ended+maxUpstreamRetryDelay >= deadline || !o.retryLimiter.AllowRetry(ended) {
			return res
		}
		o.decisions.sentAgain(c, res, attempt, ended-began, pause)
		clock.Sleep(ctx, pause.Duration())
		pause = min(2*pause, maxUpstreamRetryDelay)
		repeatShare = wholeRepeat
	}
}

// attempt sends a call to the upstream once. RepeatShare is how much of it counts as a
// retry, in thousandths.
func (o *owner) attempt(ctx context.Context, r *Run, repeatShare int64) RunResult {
	defer r.release()
	defer o.runs.beginAttempt(r.ID(), repeatShare)()
	return o.upstream.Run(ctx, r)
}

// repeatShare takes the share of retries from a call and returns how much of the call
// counts as a retry, in thousandths.
func repeatShare(c *portage.Call, nested bool) int64 {
	share := takeRepeatShare(c)
	switch {
	case c.Repeat:
		return wholeRepeat
	case nested:
		return share
	default:
		return 0
	}
}

// isFailedRun reports whether a run ended in an unknown outcome or in a server
// error (5xx). Most often this is because a nested call failed.
func isFailedRun(r RunResult) bool {
	return r.Outcome == portage.OutcomeUnknown || r.Outcome == portage.OutcomeAnswered && r.Status >= http.StatusInternalServerError
}

// admissionResult classifies the end of a run for the concurrency limit.
func admissionResult(ctx context.Context, res RunResult, late bool) booking.Result {
	switch {
	case res.Outcome == portage.OutcomeAnswered && !late && res.Status < http.StatusInternalServerError:
		return booking.ResultOK
	case res.Outcome == portage.OutcomeAnswered && !late:
		return booking.ResultError
	case res.Reason == reasonOverload || late:
		return booking.ResultOverload
	case errors.Is(ctx.Err(), context.Canceled):
		return booking.ResultCancelled
	default:
		return booking.ResultFailed
	}
}
