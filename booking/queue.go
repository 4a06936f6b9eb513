package booking

import "slices"

// callerQueue holds the waiting calls of one caller, earliest deadline first.
type callerQueue struct {
	caller string
	calls  []*Call
}

// kindQueue holds the waiting calls of one kind of work and serves its callers
// in turn.
type kindQueue struct {
	kind    string
	callers []*callerQueue
	next    int
	size    int
}

// classQueue holds the waiting calls of one class and serves its kinds in turn.
// The zero value is empty.
type classQueue struct {
	kinds []*kindQueue
	next  int
	size  int
}

func (q *classQueue) push(c *Call) {
	k := q.findKind(c.kind)
	if k == nil {
		k = &kindQueue{kind: c.kind}
		q.kinds = append(q.kinds, k)
	}
	k.push(c)
	q.size++
}

// pop removes and returns the call whose turn it is among the kinds for which
// mayStart is true, or nil if there is none.
func (q *classQueue) pop(mayStart func(*Call) bool) *Call {
	for range q.kinds {
		q.next %= len(q.kinds)
		k := q.kinds[q.next]
		if !mayStart(k.peek()) {
			q.next++
			continue
		}
		c := k.pop()
		q.size--
		if k.size == 0 {
			q.kinds = slices.Delete(q.kinds, q.next, q.next+1)
		} else {
			q.next++
		}
		return c
	}
	return nil
}

// remove removes c and reports whether it was waiting.
func (q *classQueue) remove(c *Call) bool {
	i := slices.IndexFunc(q.kinds, func(k *kindQueue) bool { return k.kind == c.kind })
	if i < 0 || !q.kinds[i].remove(c) {
		return false
	}
	q.size--
	if q.kinds[i].size == 0 {
		q.removeKind(i)
	}
	return true
}

// removeKind removes the kind at index i. The kind whose turn is next stays next.
func (q *classQueue) removeKind(i int) {
	q.kinds = slices.Delete(q.kinds, i, i+1)
	if i < q.next {
		q.next--
	}
}

// evict removes and returns the last call of the caller with the most waiting
// calls, in the kind with the most. It returns nil if the queue is empty.
func (q *classQueue) evict() *Call {
	if q.size == 0 {
		return nil
	}
	longest := q.kinds[0]
	for _, k := range q.kinds[1:] {
		if k.size > longest.size {
			longest = k
		}
	}
	c := longest.last()
	q.remove(c)
	return c
}

func (q *classQueue) findKind(kind string) *kindQueue {
	for _, k := range q.kinds {
		if k.kind == kind {
			return k
		}
	}
	return nil
}

// callsAhead returns how many calls of the class are served before a new call of
// the given kind, given that the kinds take turns.
func (q *classQueue) callsAhead(kind string) int {
	own := 0
	if k := q.findKind(kind); k != nil {
		own = k.size
	}
	total := own
	for _, k := range q.kinds {
		if k.kind != kind {
			total += min(k.size, own+1)
		}
	}
	return total
}

func (k *kindQueue) push(c *Call) {
	q := k.findCaller(c.caller)
	if q == nil {
		q = &callerQueue{caller: c.caller}
		k.callers = append(k.callers, q)
	}
	q.push(c)
	k.size++
}

// peek returns the call that pop would remove.
func (k *kindQueue) peek() *Call {
	return k.callers[k.next%len(k.callers)].calls[0]
}

func (k *kindQueue) pop() *Call {
	k.next %= len(k.callers)
	q := k.callers[k.next]
	c := q.calls[0]
	q.calls = q.calls[1:]
	k.size--
	if len(q.calls) == 0 {
		k.callers = slices.Delete(k.callers, k.next, k.next+1)
	} else {
		k.next++
	}
	return c
}

func (k *kindQueue) remove(c *Call) bool {
	i := slices.IndexFunc(k.callers, func(q *callerQueue) bool { return q.caller == c.caller })
	if i < 0 {
		return false
	}
	q := k.callers[i]
	j := slices.Index(q.calls, c)
	if j < 0 {
		return false
	}
	q.calls = slices.Delete(q.calls, j, j+1)
	k.size--
	if len(q.calls) == 0 {
		k.callers = slices.Delete(k.callers, i, i+1)
		if i < k.next {
			k.next--
		}
	}
	return true
}

// last returns the call that the longest caller queue would serve last.
func (k *kindQueue) last() *Call {
	longest := k.callers[0]
	for _, q := range k.callers[1:] {
		if len(q.calls) > len(longest.calls) {
			longest = q
		}
	}
	return longest.calls[len(longest.calls)-1]
}

func (k *kindQueue) findCaller(caller string) *callerQueue {
	for _, q := range k.callers {
		if q.caller == caller {
			return q
		}
	}
	return nil
}

// push inserts c in order of deadline, after calls with the same deadline.
func (q *callerQueue) push(c *Call) {
	i := len(q.calls)
	for i > 0 && q.calls[i-1].deadline > c.deadline {
		i--
	}
	q.calls = slices.Insert(q.calls, i, c)
}
