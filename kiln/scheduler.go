package kiln

import (
	"container/heap"

	"cuminhollow.example/clock"
)

// micros is a point in simulated time or a duration, in microseconds.
type micros int64

const microsPerMilli micros = 1000

func (m micros) millis() clock.Millis { return clock.Millis(m / microsPerMilli) }

// fromMillis converts milliseconds and keeps their fractions.
func fromMillis(m float64) micros { return micros(m * float64(microsPerMilli)) }

// event is a function to call at a point in simulated time.
type event struct {
	at micros
	// seq orders events with the same time: the one scheduled first runs first.
	seq uint64
	do  func()
}

// scheduler runs events in the order of their times. The zero value has no
// events and starts at time 0.
type scheduler struct {
	now     micros
	lastSeq uint64
	events  eventHeap
}

// after schedules do to be called after a delay in milliseconds. A negative
// delay counts as 0.
func (s *scheduler) after(delay float64, do func()) {
	s.lastSeq++
	heap.Push(&s.events, event{at: s.now + max(0, fromMillis(delay)), seq: s.lastSeq, do: do})
}

// run runs all events up to and including the time until.
func (s *scheduler) run(until micros) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
