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
type decisionWindow struct {
	starts      [NumClasses]int
	refused     [NumClasses]int
	totalStarts int
}

// kindLoad is what is known of one kind of work.
type kindLoad struct {
	runTimeEstimate
	quota
	// inFlight is the number of its runs.
	inFlight int
}

// load estimates service times and what each class finds ahead of it.
type loadStats struct {
	// all is the duration of a run over all kinds.
	allKinds runTimeEstimate
	// kinds holds each kind's own; at most maxKinds.
	kinds     map[string]*kindLoad
	current   decisionWindow
	previous  decisionWindow
	windowEnd clock.Millis
}

// roll closes the window when its span is over.
func (l *loadStats) rollWindow(now clock.Millis) {
	if now < l.windowEnd {
		return
	}
	l.previous = l.current
	if now >= l.windowEnd+loadWindow {
		l.previous = decisionWindow{}
	}
	l.current = decisionWindow{}
	l.windowEnd = now + loadWindow
}

func (l *loadStats) countStart(c Class) {
	l.current.starts[c]++
	l.current.totalStarts++
}

func (l *loadStats) countRefusal(c Class) { l.current.refused[c]++ }

// kind returns what is known of a kind, or nil when too many are known already.
func (l *loadStats) kindOrNew(name string) *kindLoad {
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
func (l *loadStats) addRunTime(kind string, span float64) {
	l.allKinds.add(span)
	if k := l.kindOrNew(kind); k != nil {
		k.add(span)
	}
}

// likely returns a time within which most runs of a kind end, or of all kinds
// when the kind is new, in milliseconds.
func (l *loadStats) highRunTime(kind string) float64 {
	if k := l.kinds[kind]; k != nil && k.known {
		return k.high()
	}
	return l.allKinds.high()
}

// mean returns the mean duration of a kind's runs, or of all when the kind is
// new, in milliseconds.
func (l *loadStats) meanRunTime(kind string) float64 {
	if k := l.kinds[kind]; k != nil && k.known {
		return k.mean
	}
	return l.allKinds.mean
}

// shareBefore returns the share of the starts that went to lower classes, from
// 0 to 1.
func (l *loadStats) higherPriorityShare(c Class) float64 {
	total := l.previous.totalStarts
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
func (l *loadStats) lowestRefused() Class {
	for c := range Class(NumClasses) {
		if l.current.refused[c]+l.previous.refused[c] > 0 {
			return c
		}
	}
	return NumClasses
}
