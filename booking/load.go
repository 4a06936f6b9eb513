package booking

import "cuminhollow.example/clock"

// Parameters of the load estimates.
const (
	// loadWindow is the span over which starts and refusals are counted, in
	// milliseconds.
	loadWindow clock.Millis = 100
	// durationWeight is the weight of a new duration in the mean.
	durationWeight = 0.1
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
	// mean is the mean duration of a run over all kinds, in milliseconds.
	mean float64
	// kinds holds the mean duration of each kind, in milliseconds.
	kinds    map[string]float64
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
func (l *load) finish(kind string, duration float64) {
	l.mean = blend(l.mean, duration)
	old, known := l.kinds[kind]
	if !known && len(l.kinds) >= maxKinds {
		return
	}
	if l.kinds == nil {
		l.kinds = make(map[string]float64)
	}
	l.kinds[kind] = blend(old, duration)
}

func blend(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + durationWeight*(sample-old)
}

// duration returns the mean duration of a kind, or of all kinds when the kind
// is new.
func (l *load) duration(kind string) float64 {
	if d, ok := l.kinds[kind]; ok {
		return d
	}
	return l.mean
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
