package kiln

import (
	"container/heap"

	"cuminhollow.example/clock"
)

// micros is a point in simulated time, in microseconds.
type micros int64

const microsPerMilli micros = 1000

func (m micros) millis() clock.Millis { return clock.Millis(m / microsPerMilli) }

func fromMillis(m float64) micros { return micros(m * float64(microsPerMilli)) }

// event is something that happens at a time.
type event struct {
	at micros
	// number orders events of one time.
	seq uint64
	do  func()
}

// agenda holds the events to come. The zero value is empty.
type scheduler struct {
	now     micros
	lastSeq uint64
	events  eventHeap
}

// after does something once a span has passed, in milliseconds.
func (a *scheduler) after(span float64, do func()) {
	a.lastSeq++
	heap.Push(&a.events, event{at: a.now + max(0, fromMillis(span)), seq: a.lastSeq, do: do})
}

// run does everything that happens until a time.
func (a *scheduler) run(until micros) {
	for len(a.events) > 0 && a.events[0].at <= until {
		e := heap.Pop(&a.events).(event)
		a.now = e.at
		e.do()
	}
	a.now = until
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
