package booking

import "cuminhollow.example/clock"

// Parameters of the load estimates.
const (
	// loadWindow is the span over which starts and refusals are counted, in
	// milliseconds.
	loadWindow clock.Millis = 100
	// maxKinds bounds the kinds whose durations are kept apart.
	maxKinds = 256
)

// window counts the decisions on each class within one span.
type window struct {
	starts  [Classes]int
	refused [Classes]int
	total   int
}

// kindLoad is what is known of one kind of work.
type kindLoad struct {
	duration
	quota
	// inFlight is the number of its runs.
	inFlight int
}

// load estimates service times and what each class finds ahead of it.
type load struct {
	// all is the duration of a run over all kinds.
	all duration
	// kinds holds each kind's own; at most maxKinds.
	kinds    map[string]*kindLoad
	current  window
	previous window
	end      clock.Millis
}

// roll closes the window when its span is over.
func (l *load) roll(now clock.Millis) {
	if now < l.end {
		return
	}
	l.previous = l.current
	if now >= l.end+loadWindow {
		l.previous = window{}
	}
	l.current = window{}
	l.end = now + loadWindow
}

func (l *load) start(c Class) {
	l.current.starts[c]++
	l.current.total++
}

func (l *load) refuse(c Class) { l.current.refused[c]++ }

// kind returns what is known of a kind, or nil when too many are known already.
func (l *load) kind(name string) *kindLoad {
	k := l.kinds[name]
	if k != nil || len(l.kinds) >= maxKinds {
		return k
	}
	if l.kinds == nil {
		l.kinds = make(map[string]*kindLoad)
	}
	k = new(kindLoad)
	l.kinds[name] = k
	return k
}

// finish learns the duration of a run, in milliseconds.
func (l *load) finish(kind string, span float64) {
	l.all.add(span)
	if k := l.kind(kind); k != nil {
		k.add(span)
	}
}

// likely returns a time within which most runs of a kind end, or of all kinds
// when the kind is new, in milliseconds.
func (l *load) likely(kind string) float64 {
	if k := l.kinds[kind]; k != nil && k.known {
		return k.likely()
	}
	return l.all.likely()
}

// mean returns the mean duration of a kind's runs, or of all when the kind is
// new, in milliseconds.
func (l *load) mean(kind string) float64 {
	if k := l.kinds[kind]; k != nil && k.known {
		return k.mean
	}
	return l.all.mean
}

// shareBefore returns the share of the starts that went to lower classes, from
// 0 to 1.
func (l *load) shareBefore(c Class) float64 {
	total := l.previous.total
	if total == 0 {
		return 0
	}
	before := 0
	for i := range c {
		before += l.previous.starts[i]
	}
	return float64(before) / float64(total)
}

// level returns the lowest class that was refused lately, or Classes.
func (l *load) level() Class {
	for c := range Class(Classes) {
		if l.current.refused[c]+l.previous.refused[c] > 0 {
			return c
		}
	}
	return Classes
}
