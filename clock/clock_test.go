package clock_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cuminhollow.example/clock"
)

func Example() {
	var c clock.Manual
	c.Advance(1500)
	fmt.Println(c.Now())
	// Output:
	// 1.5s
}

func TestManualIgnoresNegativeSpan(t *testing.T) {
	var c clock.Manual
	c.Advance(10)
	c.Advance(-5)
	if got, want := c.Now(), clock.Millis(10); got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}

func TestFromDuration(t *testing.T) {
	if got, want := clock.FromDuration(1999*time.Microsecond), clock.Millis(1); got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}

func TestSleep(t *testing.T) {
	done, cancel := context.WithCancel(t.Context())
	cancel()
	tests := []struct {
		name string
		ctx  context.Context
		span time.Duration
		want bool
	}{
		{"not done", t.Context(), time.Millisecond, true},
		{"not done, no span", t.Context(), 0, true},
		{"done", done, time.Hour, false},
		{"done, no span", done, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := clock.Sleep(tt.ctx, tt.span); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}
