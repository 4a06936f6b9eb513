package depot

import (
	"math"
	"sync/atomic"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/portage"
	"github.com/rs/zerolog"
)

// successesPerSample is the number of ordinary successes per logged one.
const successesPerSample = 32

// decisionLog writes one line for each decision about a request, with the id of
// the request, the values that led to the decision, and the outcome. The zero
// value logs nothing.
type decisionLog struct {
	log zerolog.Logger
	// successes counts the ordinary successes, to log one in
	// successesPerSample.
	successes atomic.Uint64
}

// sampledSuccess returns the log event of an ordinary success. For those that
// are not sampled it returns nil, which logs nothing.
func (d *decisionLog) sampledSuccess() *zerolog.Event {
	if d.successes.Add(1)%successesPerSample != 0 {
		return nil
	}
	return d.log.Debug().Int("sample", successesPerSample)
}

// answered logs the answer that a caller gets. The version is that of the routes.
func (d *decisionLog) answered(o *outgoingCall, a *portage.Answer, took clock.Millis, version int64) {
	var e *zerolog.Event
	late := o.targetTime > 0 && took > o.targetTime
	switch {
	case isFailure(a) || late || o.attempts.Count() > 1:
		e = d.log.Info()
	default:
		e = d.sampledSuccess()
	}
	e.Str("event", "answered").Str("id", o.call.Request).Str("kind", o.call.Kind).
		Str("service", o.service).Str("vm", o.call.VM).
		Stringer("outcome", a.Outcome).Str("reason", a.Reason).Int("status", a.Status).
		Int64("took_ms", int64(took)).Int64("target_ms", int64(o.targetTime)).
		Int("tries", o.attempts.Count()).Int("moves", o.attempts.Failovers()).Int64("version", version).Send()
}

// rejectedAtEntry logs a call that was rejected before it was sent to any VM.
func (d *decisionLog) rejectedAtEntry(id string, status int, reason string, version int64) {
	d.log.Info().Str("event", "turned-away").Str("id", id).
		Stringer("outcome", portage.OutcomeNotRun).Str("reason", reason).Int("status", status).
		Int64("version", version).Send()
}

// nextAttempt logs that a call is sent again, to another VM or to the same one.
// The VM, the answer and the action are those of the previous attempt.
func (d *decisionLog) nextAttempt(o *outgoingCall, a *portage.Answer, pick dispatch.Pick, next action) {
	event := "moved"
	if next == actionRetry {
		event = "retried"
	}
	d.log.Info().Str("event", event).Str("id", o.call.Request).Str("kind", o.call.Kind).
		Str("vm", pick.VM.Name()).Stringer("outcome", a.Outcome).Str("reason", a.Reason).
		Int64("wait_ms", a.WaitMS).Int("load", a.Load).
		Int64("cost_ms", int64(pick.Cost)).Int64("patience_ms", o.call.PatienceMS).
		Int("tries", o.attempts.Count()).Send()
}

// rejectedByOwner logs a call that this VM rejected as its owner, with the state
// of the admission controller and of the call's fairness group.
func (d *decisionLog) rejectedByOwner(c *portage.Call, reason string, now, deadline clock.Millis, stats booking.Stats, group booking.KindStats) {
	d.log.Info().Str("event", "refused").Str("id", c.Request).Str("kind", c.Kind).
		Str("vm", c.VM).Str("origin", c.Origin).Str("reason", reason).
		Int64("left_ms", int64(deadline-now)).Int64("patience_ms", c.PatienceMS).
		Int("running", stats.Running).Int("limit", stats.Limit).Int("waiting", stats.Waiting).
		Int64("mean_ms", int64(stats.MeanRunTime)).Float64("strain", roundToHundredths(group.DownstreamOverload)).
		Int("kind_running", group.InFlight).Float64("quota", roundToHundredths(group.Quota)).Send()
}

// roundToHundredths rounds x to two decimals.
func roundToHundredths(x float64) float64 { return math.Round(x*100) / 100 }

// runEnded logs the end of a run on the upstream: its time in the queue, its run
// time, and the time left until the deadline.
func (d *decisionLog) runEnded(c *portage.Call, r RunResult, queued, ran, left clock.Millis) {
	var e *zerolog.Event
	if isFailedRun(r) || r.Outcome == portage.OutcomeNotRun {
		e = d.log.Info()
	} else {
		e = d.sampledSuccess()
	}
	e.Str("event", "ran").Str("id", c.Request).Str("kind", c.Kind).Str("vm", c.VM).
		Str("origin", c.Origin).Stringer("outcome", r.Outcome).Str("reason", r.Reason).
		Str("instance", r.Instance).Int("status", r.Status).Int64("queued_ms", int64(queued)).Int64("ran_ms", int64(ran)).
		Int64("left_ms", int64(left)).Bool("repeat", c.Repeat).
		Uint64("conn", r.Conn.Number).Int("conn_requests", r.Conn.Requests).Int("skipped", r.Conn.Skipped).Send()
}

// sentAgain logs that a call is sent to the upstream again, because the upstream
// rejected it. The result and its duration are those of the previous attempt.
func (d *decisionLog) sentAgain(c *portage.Call, r RunResult, attempt int, took, pause clock.Millis) {
	d.log.Info().Str("event", "sent-again").Str("id", c.Request).Str("kind", c.Kind).Str("vm", c.VM).
		Str("instance", r.Instance).Int("attempt", attempt).Str("reason", r.Reason).
		Int64("took_ms", int64(took)).Int64("pause_ms", int64(pause)).
		Uint64("conn", r.Conn.Number).Int("conn_requests", r.Conn.Requests).Int("skipped", r.Conn.Skipped).Send()
}
