package clock

import (
	"context"
	"time"
)

// Sleep waits for a span or until ctx ends; it reports whether ctx is still
// alive. A span that is not positive only looks at ctx.
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
