package booking

import (
	"math/rand/v2"
	"testing"

	"cuminhollow.example/clock"
)

// TestThrottleFollowsCapacity offers calls at a rate of which the service
// further down takes a share, then all again: few onward calls fail, what it
// takes is used, and everything is let through soon after.
func TestThrottleFollowsCapacity(t *testing.T) {
	const perMillis = 4
	for _, share := range []float64{0.1, 0.5, 0.9} {
		random := rand.New(rand.NewPCG(1, 1))
		throttle := NewThrottle(random.Float64)
		budget, failed, done := 0.0, 0, 0
		run := func(from, to clock.Millis, share float64) {
			for now := from; now < to; now++ {
				budget = min(budget+perMillis*share, 10*perMillis)
				for range perMillis {
					if !throttle.Admit(now, "lot") {
						continue
					}
					ok := budget >= 1
					if ok {
						budget--
						done++
					} else {
						failed++
					}
					throttle.Note(now, "lot", !ok)
				}
			}
		}
		run(0, 3000, share)
		failed, done = 0, 0
		run(3000, 13_000, share)
		possible := perMillis * share * 10_000
		if got, want := float64(done), 0.9*possible; got < want {
			t.Errorf("share %.1f: got %.0f done, want at least %.0f", share, got, want)
		}
		if got, limit := float64(failed), 0.1*possible; got > limit {
			t.Errorf("share %.1f: got %.0f failed, want at most %.0f", share, got, limit)
		}
		run(13_000, 15_000, 1)
		if got := throttle.Share("lot"); got != 1 {
			t.Errorf("share %.1f: 2 s after recovery got %.2f let through, want 1", share, got)
		}
	}
}

// TestThrottleRecoversWhenIdle refuses nearly everything and then offers a call
// a second: it is let through again although no onward call was made.
func TestThrottleRecoversWhenIdle(t *testing.T) {
	throttle := NewThrottle(func() float64 { return 0.5 })
	now := clock.Millis(0)
	for ; now < clock.Second; now++ {
		throttle.Note(now, "lot", true)
	}
	if throttle.Admit(now, "lot") {
		t.Error("after failures: got the call let through, want it refused")
	}
	if now += 2 * clock.Second; !throttle.Admit(now, "lot") {
		t.Error("2 s later: got the call refused, want it let through")
	}
}

func TestThrottleKeepsGroupsApart(t *testing.T) {
	throttle := NewThrottle(func() float64 { return 0.99 })
	for now := clock.Millis(0); now < 1000; now++ {
		throttle.Note(now, "lot", true)
		throttle.Note(now, "seal", false)
	}
	if throttle.Admit(1000, "lot") || !throttle.Admit(1000, "seal") {
		t.Error("got the failing group let through or the other one refused")
	}
	if got := throttle.Share("lot"); got < throttleMin {
		t.Errorf("share: got %f, want at least %f", got, throttleMin)
	}
}
