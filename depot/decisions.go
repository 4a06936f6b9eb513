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

// sampleSuccess is the number of ordinary successes of which one is logged.
const successesPerSample = 32

// decisions logs what is decided about requests: one line each, with the
// request's id, what decided it, and the outcome. The zero value logs nothing.
type decisionLog struct {
	log zerolog.Logger
	// successes counts the ordinary successes.
	successes atomic.Uint64
}

// success returns the event of an ordinary success; nil, which logs nothing,
// for all but a sample.
func (d *decisionLog) sampledSuccess() *zerolog.Event {
	if d.successes.Add(1)%successesPerSample != 0 {
		return nil
	}
	return d.log.Debug().Int("sample", successesPerSample)
}

// answered notes what a caller was told. Version is that of the routes.
func (d *decisionLog) answered(o *outgoingCall, a *portage.Answer, took clock.Millis, version int64) {
	var e *zerolog.Event
	late := o.target > 0 && took > o.target
	switch {
	case isFailure(a) || late || o.attempts.Count() > 1:
		e = d.log.Info()
	default:
		e = d.sampledSuccess()
	}
	e.Str("event", "answered").Str("id", o.call.Request).Str("kind", o.call.Kind).
		Str("service", o.service).Str("vm", o.call.VM).
		Stringer("outcome", a.Outcome).Str("reason", a.Reason).Int("status", a.Status).
		Int64("took_ms", int64(took)).Int64("target_ms", int64(o.target)).
		Int("tries", o.attempts.Count()).Int("moves", o.attempts.Failovers()).Int64("version", version).Send()
}

// turnedAway notes that a call was refused before it became work.
func (d *decisionLog) rejectedAtEntry(id string, status int, reason string, version int64) {
	d.log.Info().Str("event", "turned-away").Str("id", id).
		Stringer("outcome", portage.OutcomeNotRun).Str("reason", reason).Int("status", status).
		Int64("version", version).Send()
}

// passedOn notes that a call goes on to another VM, or to the same one again.
func (d *decisionLog) nextAttempt(o *outgoingCall, a *portage.Answer, pick dispatch.Pick, n action) {
	event := "moved"
	if n == actionRetry {
		event = "retried"
	}
	d.log.Info().Str("event", event).Str("id", o.call.Request).Str("kind", o.call.Kind).
		Str("vm", pick.VM.Name()).Stringer("outcome", a.Outcome).Str("reason", a.Reason).
		Int64("wait_ms", a.WaitMS).Int("load", a.Load).
		Int64("cost_ms", int64(pick.Cost)).Int64("patience_ms", o.call.PatienceMS).
		Int("tries", o.attempts.Count()).Send()
}

// refused notes that this VM did not take a call.
func (d *decisionLog) rejectedByOwner(c *portage.Call, reason string, now, deadline clock.Millis, s booking.Stats, k booking.KindStats) {
	d.log.Info().Str("event", "refused").Str("id", c.Request).Str("kind", c.Kind).
		Str("vm", c.VM).Str("origin", c.Origin).Str("reason", reason).
		Int64("left_ms", int64(deadline-now)).Int64("patience_ms", c.PatienceMS).
		Int("running", s.Running).Int("limit", s.Limit).Int("waiting", s.Waiting).
		Int64("mean_ms", int64(s.MeanRunTime)).Float64("strain", roundToHundredths(k.DownstreamOverload)).
		Int("kind_running", k.InFlight).Float64("quota", roundToHundredths(k.Quota)).Send()
}

// round keeps two decimals.
func roundToHundredths(x float64) float64 { return math.Round(x*100) / 100 }

// ran notes the end of a run on the upstream.
func (d *decisionLog) runEnded(c *portage.Call, r RunResult, queued, ran, left clock.Millis) {
	var e *zerolog.Event
	if isFailedRun(r) || r.Outcome == portage.OutcomeNotRun {
		e = d.log.Info()
	} else {
		e = d.sampledSuccess()
	}
	e.Str("event", "ran").Str("id", c.Request).Str("kind", c.Kind).Str("vm", c.VM).
		Str("origin", c.Origin).Stringer("outcome", r.Outcome).Str("reason", r.Reason).
		Int("status", r.Status).Int64("queued_ms", int64(queued)).Int64("ran_ms", int64(ran)).
		Int64("left_ms", int64(left)).Bool("repeat", c.Repeat).Send()
}
