package clock

import (
	"context"
	"time"
)

// Sleep waits for a span or until ctx is done, and reports whether the span
// passed first. If span is zero or negative, it only reports whether ctx is not
// done.
func Sleep(ctx context.Context, span time.Duration) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
