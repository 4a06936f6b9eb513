package booking

import (
	"testing"

	"pgregory.net/rapid"

	"cuminhollow.example/clock"
)

// TestOrigins sends the calls of outside callers through the VMs of all
// services and onward calls from those of one or two: only the latter are told
// to be onward, whatever the sizes of the services.
func TestOrigins(t *testing.T) {
	even := map[string]int{"a": 6, "b": 6, "c": 6, "d": 6}
	uneven := map[string]int{"a": 36, "b": 27, "c": 13, "d": 6}
	tests := []struct {
		name  string
		sizes map[string]int
		// calls is the number of calls that begin at each service.
		calls map[string]int
		want  bool
	}{
		{"outside callers", even, map[string]int{"a": 60, "b": 60, "c": 60, "d": 60}, false},
		{"outside callers, uneven services", uneven, map[string]int{"a": 72, "b": 54, "c": 26, "d": 12}, false},
		{"one service", even, map[string]int{"b": 200}, true},
		{"two services", even, map[string]int{"a": 70, "b": 130}, true},
		{"small service", uneven, map[string]int{"d": 100}, true},
		{"too few to tell", even, map[string]int{"b": originMinCalls - 1}, false},
		{"none", even, nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var o NestedDetector
			o.SetServiceSizes(tt.sizes)
			for service, n := range tt.calls {
				for range n {
					o.Observe("kind", service)
				}
			}
			if got := o.Nested("kind"); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}

// TestOriginsBounded notes calls of any number of kinds.
func TestOriginsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o NestedDetector
		for _, kind := range rapid.SliceOfN(rapid.String(), 0, 400).Draw(t, "kinds") {
			o.Observe(kind, "service")
			o.Nested(kind)
		}
		if got := len(o.kinds); got > maxKinds {
			t.Errorf("got %d kinds, want at most %d", got, maxKinds)
		}
	})
}

// TestPlace admits calls that begin at one service only: the desk finds them to
// be onward calls and puts them before all others. A call that says so itself
// keeps its class.
func TestPlace(t *testing.T) {
	d := NewController(1, WithNestedDetection())
	d.SetServiceSizes(map[string]int{"a": 1, "b": 1, "c": 1})
	class := ClassOf(false, 3)
	for range originMinCalls {
		c := NewCall(class, "read", "", clock.Hour)
		c.SetOrigin("b")
		d.Admit(0, c)
		d.Done(0, c, ResultOK)
	}
	tests := []struct {
		name, kind string
		onward     bool
		want       Class
		wantOnward bool
	}{
		{"found to be onward", "read", false, ClassOf(true, 3), true},
		{"unknown", "seal", false, class, false},
		{"says that it is onward", "seal", true, class, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, onward := d.Classify(class, tt.kind, tt.onward)
			if got != tt.want || onward != tt.wantOnward {
				t.Errorf("got class %d, onward %t, want %d, %t", got, onward, tt.want, tt.wantOnward)
			}
		})
	}
}
