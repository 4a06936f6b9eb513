package clock_test

import (
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

func TestManualNeverRunsBackwards(t *testing.T) {
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
