package booking

import (
	"testing"

	"pgregory.net/rapid"

	"cuminhollow.example/clock"
)

// TestNestedDetector observes calls of outside callers, which come from the VMs
// of all services, and nested calls, which come from those of one or two: only
// the latter are classified as nested, whatever the sizes of the services.
func TestNestedDetector(t *testing.T) {
	even := map[string]int{"a": 6, "b": 6, "c": 6, "d": 6}
	uneven := map[string]int{"a": 36, "b": 27, "c": 13, "d": 6}
	tests := []struct {
		name  string
		sizes map[string]int
		// calls is the number of calls that come from each service.
		calls map[string]int
		want  bool
	}{
		{"outside callers", even, map[string]int{"a": 60, "b": 60, "c": 60, "d": 60}, false},
		{"outside callers, uneven services", uneven, map[string]int{"a": 72, "b": 54, "c": 26, "d": 12}, false},
		{"one service", even, map[string]int{"b": 200}, true},
		{"two services", even, map[string]int{"a": 70, "b": 130}, true},
		{"small service", uneven, map[string]int{"d": 100}, true},
		{"too few calls", even, map[string]int{"b": originMinCalls - 1}, false},
		{"no calls", even, nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var d NestedDetector
			d.SetServiceSizes(tt.sizes)
			for service, n := range tt.calls {
				for range n {
					d.Observe("kind", service)
				}
			}
			if got := d.Nested("kind"); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}

// TestNestedDetectorBounded observes calls of many kinds: the detector keeps at
// most maxKinds.
func TestNestedDetectorBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d NestedDetector
		for _, kind := range rapid.SliceOfN(rapid.String(), 0, 400).Draw(t, "kinds") {
			d.Observe(kind, "service")
			d.Nested(kind)
		}
		if got := len(d.kinds); got > maxKinds {
			t.Errorf("got %d kinds, want at most %d", got, maxKinds)
		}
	})
}

// TestClassify admits calls of a kind that come from one service only: the
// controller detects that they are nested and moves them to a protected class. A
// call that is marked as nested keeps its class.
func TestClassify(t *testing.T) {
	ct := NewController(1, WithNestedDetection())
	ct.SetServiceSizes(map[string]int{"a": 1, "b": 1, "c": 1})
	class := ClassOf(false, 3)
	for range originMinCalls {
		c := NewCall(class, "read", "", clock.Hour)
		c.SetOrigin("b")
		ct.Admit(0, c)
		ct.Done(0, c, ResultOK)
	}
	tests := []struct {
		name, kind string
		nested     bool
		want       Class
		wantNested bool
	}{
		{"detected as nested", "read", false, ClassOf(true, 3), true},
		{"kind without calls", "seal", false, class, false},
		{"marked as nested", "seal", true, class, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, nested := ct.Classify(class, tt.kind, tt.nested)
			if got != tt.want || nested != tt.wantNested {
				t.Errorf("got class %d, nested %t, want %d, %t", got, nested, tt.want, tt.wantNested)
			}
		})
	}
}
