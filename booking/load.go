package booking

import "cuminhollow.example/clock"

// Parameters of the load estimates.
const (
	// loadWindow is the span over which starts and refusals are counted, in
	// milliseconds.
	loadWindow clock.Millis = 100
	// maxKinds bounds the number of kinds with estimates of their own.
	maxKinds = 256
)

// decisionWindow counts the starts and refusals of each class within one span.
type decisionWindow struct {
	starts      [NumClasses]int
	refused     [NumClasses]int
	totalStarts int
}

// kindLoad is the run time estimate and the quota of one kind of work.
type kindLoad struct {
	runTimeEstimate
	quota
	// inFlight is the number of its runs, and of ended runs whose place in the
	// quota is still reserved.
	inFlight int
}

// loadStats estimates run times and counts the decisions on each class.
type loadStats struct {
	// allKinds is the run time over all kinds.
	allKinds runTimeEstimate
	// kinds has at most maxKinds entries.
	kinds     map[string]*kindLoad
	current   decisionWindow
	previous  decisionWindow
	windowEnd clock.Millis
}

// rollWindow starts a new window when the span of the current one is over.
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

// kindOrNew returns the entry of a kind, which it creates if needed, or nil when
// maxKinds other kinds have entries.
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

// addRunTime adds the duration of a run, in milliseconds, to the estimates.
func (l *loadStats) addRunTime(kind string, span float64) {
	l.allKinds.add(span)
	if k := l.kindOrNew(kind); k != nil {
		k.add(span)
	}
}

// highRunTime returns a duration within which most runs of a kind end, or of all
// kinds when the kind has no samples, in milliseconds.
func (l *loadStats) highRunTime(kind string) float64 {
	if k := l.kinds[kind]; k != nil && k.known {
		return k.high()
	}
	return l.allKinds.high()
}

// meanRunTime returns the mean duration of a kind's runs, or of all runs when the
// kind has no samples, in milliseconds.
func (l *loadStats) meanRunTime(kind string) float64 {
	if k := l.kinds[kind]; k != nil && k.known {
		return k.mean
	}
	return l.allKinds.mean
}

// higherPriorityShare returns the share of the starts in the previous window that
// went to classes below c, from 0 to 1.
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

// lowestRefused returns the lowest class with a refusal in the current or the
// previous window, or NumClasses.
func (l *loadStats) lowestRefused() Class {
	for c := range Class(NumClasses) {
		if l.current.refused[c]+l.previous.refused[c] > 0 {
			return c
		}
	}
	return NumClasses
}
