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

// load estimates service times and what each class finds ahead of it.
type load struct {
	// all is the duration of a run over all kinds.
	all duration
	// kinds holds the duration of each kind; at most maxKinds.
	kinds    map[string]*duration
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

// finish learns the duration of a run, in milliseconds.
func (l *load) finish(kind string, span float64) {
	l.all.add(span)
	d := l.kinds[kind]
	if d == nil {
		if len(l.kinds) >= maxKinds {
			return
		}
		if l.kinds == nil {
			l.kinds = make(map[string]*duration)
		}
		d = new(duration)
		l.kinds[kind] = d
	}
	d.add(span)
}

// likely returns a time within which most runs of a kind end, or of all kinds
// when the kind is new, in milliseconds.
func (l *load) likely(kind string) float64 {
	if d := l.kinds[kind]; d != nil {
		return d.likely()
	}
	return l.all.likely()
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
