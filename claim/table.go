package claim

import (
	"sync"

	"cuminhollow.example/clock"
)

// Table records the status of the owner's tickets. It is safe for concurrent
// use, and its memory is bounded regardless of how issuers behave. Create it
// with NewTable.
type Table[A any] struct {
	vm          string
	incarnation uint64
	clock       clock.Clock
	limits      limits
	// size returns the memory that an answer occupies, in bytes.
	size func(A) int

	mu sync.Mutex
	// lastSession is the highest session number assigned. Numbers are never
	// reused.
	lastSession uint64
	sessions    map[uint64]*session[A]
	byIssuer    map[issuerID]*session[A]
	// completions lists the completed entries from index head on, oldest first.
	completions []completion
	head        int
	// bytes is the total size of the completed entries.
	bytes int
}

// NewTable returns the table of one incarnation of a VM's process. The size
// function returns the number of bytes that an answer occupies.
func NewTable[A any](vm string, incarnation uint64, c clock.Clock, size func(A) int, opts ...Option) *Table[A] {
	t := &Table[A]{
		vm:          vm,
		incarnation: incarnation,
		clock:       c,
		size:        size,
		limits: limits{
			records:     defaultRecords,
			bytes:       defaultBytes,
			sessions:    defaultSessions,
			idleTimeout: defaultIdleTimeout,
		},
		sessions: make(map[uint64]*session[A]),
		byIssuer: make(map[issuerID]*session[A]),
	}
	for _, o := range opts {
		o(&t.limits)
	}
	return t
}

// Incarnation returns the incarnation that the table belongs to.
func (t *Table[A]) Incarnation() uint64 { return t.incarnation }

// OpenSession returns the session number of an issuing process and opens a
// session if there is none. It returns 0 when the table is full and every
// session is in use; the issuer must then choose another owner.
func (t *Table[A]) OpenSession(vm string, incarnation uint64) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := issuerID{vm: vm, incarnation: incarnation}
	now := t.clock.Now()
	if s := t.byIssuer[id]; s != nil {
		s.lastUsed = now
		return s.number
	}
	if len(t.sessions) >= t.limits.sessions && !t.evictIdleSessions(now) {
		return 0
	}
	t.lastSession++
	s := &session[A]{
		issuer:   id,
		number:   t.lastSession,
		lastUsed: now,
		entries:  make(map[uint64]*entry[A]),
	}
	t.sessions[s.number] = s
	t.byIssuer[id] = s
	return s.number
}

// evictIdleSessions removes the sessions that have been unused for the idle
// timeout and reports whether another session can be opened.
func (t *Table[A]) evictIdleSessions(now clock.Millis) bool {
	for number, s := range t.sessions {
		if s.running > 0 || now-s.lastUsed < t.limits.idleTimeout {
			continue
		}
		for _, e := range s.entries {
			t.bytes -= e.size
		}
		delete(t.sessions, number)
		delete(t.byIssuer, s.issuer)
	}
	return len(t.sessions) < t.limits.sessions
}

// Claim returns the status of a ticket. It returns Run for a ticket that was
// not claimed before, which happens at most once for each ticket.
func (t *Table[A]) Claim(k Ticket) Reply[A] {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.lookupSession(k)
	if s == nil {
		return Unknown[A]{}
	}
	if e := s.entries[k.sequence]; e != nil {
		return e.reply()
	}
	if k.sequence <= s.lowWaterMark {
		return Unknown[A]{}
	}
	s.entries[k.sequence] = &entry[A]{completed: make(chan struct{})}
	s.running++
	return Run[A]{}
}

// Resolve returns the outcome of a ticket without running it. It refuses a
// ticket that was never claimed, because NotRun must hold for a later Claim
// too.
func (t *Table[A]) Resolve(k Ticket) Reply[A] {
	reply := t.Claim(k)
	if _, first := reply.(Run[A]); !first {
		return reply
	}
	t.Refuse(k)
	return NotRun[A]{}
}

func (e *entry[A]) reply() Reply[A] {
	switch e.state {
	case stateDone:
		return Done[A]{Answer: e.answer}
	case stateRefused:
		return NotRun[A]{}
	case stateLost:
		return Unknown[A]{}
	default:
		return Wait[A]{Completed: e.completed}
	}
}

// Finish stores the answer of a ticket for which Claim returned Run.
func (t *Table[A]) Finish(k Ticket, answer A) {
	t.complete(k, stateDone, answer, t.size(answer))
}

// Refuse records that the work of a ticket did not start after Claim returned
// Run.
func (t *Table[A]) Refuse(k Ticket) {
	var zero A
	t.complete(k, stateRefused, zero, 0)
}

// MarkLost records that the work of a ticket may have run and that its answer
// is not available.
func (t *Table[A]) MarkLost(k Ticket) {
	var zero A
	t.complete(k, stateLost, zero, 0)
}

// complete records the final state of a running ticket. It ignores other
// tickets.
func (t *Table[A]) complete(k Ticket, to state, answer A, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.lookupSession(k)
	if s == nil {
		return
	}
	e := s.entries[k.sequence]
	if e == nil || e.state != stateRunning {
		return
	}
	e.state = to
	e.answer = answer
	e.size = size
	close(e.completed)
	s.running--
	t.bytes += size
	t.completions = append(t.completions, completion{session: k.session, sequence: k.sequence})
	t.evict()
}

// lookupSession returns the session of a ticket and marks it as used. It returns
// nil if the ticket has another owner or its session does not exist.
func (t *Table[A]) lookupSession(k Ticket) *session[A] {
	if k.vm != t.vm || k.incarnation != t.incarnation {
		return nil
	}
	s := t.sessions[k.session]
	if s != nil {
		s.lastUsed = t.clock.Now()
	}
	return s
}

// evict removes the oldest completed entries while the table exceeds a limit
// and raises the low-water marks of their sessions.
func (t *Table[A]) evict() {
	for len(t.completions)-t.head > t.limits.records || t.bytes > t.limits.bytes {
		c := t.completions[t.head]
		t.head++
		t.removeEntry(c)
	}
	if t.head > len(t.completions)/2 && t.head > 64 {
		t.completions = append([]completion(nil), t.completions[t.head:]...)
		t.head = 0
	}
}

func (t *Table[A]) removeEntry(c completion) {
	s := t.sessions[c.session]
	if s == nil {
		return
	}
	e := s.entries[c.sequence]
	if e == nil {
		return
	}
	t.bytes -= e.size
	delete(s.entries, c.sequence)
	s.lowWaterMark = max(s.lowWaterMark, c.sequence)
}

// Stats describes the contents of a table.
type Stats struct {
	// Sessions, Running and Records are the numbers of sessions, running tickets
	// and completed tickets. Bytes is the total size of the stored answers.
	Sessions, Running, Records, Bytes int
}

// Stats returns the current contents of the table.
func (t *Table[A]) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := Stats{Sessions: len(t.sessions), Bytes: t.bytes}
	for _, s := range t.sessions {
		st.Running += s.running
		st.Records += len(s.entries) - s.running
	}
	return st
}
