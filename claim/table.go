package claim

import (
	"sync"

	"cuminhollow.example/clock"
)

// Table is the owner's memory of tickets. It is safe for concurrent use and
// bounded whatever issuers do. Create it with NewTable.
type Table[A any] struct {
	vm          string
	incarnation uint64
	clock       clock.Clock
	limits      limits
	// size returns the bytes that an answer keeps in memory.
	size func(A) int

	mu sync.Mutex
	// lastSession is the highest session number given out; numbers are never
	// given out again.
	lastSession uint64
	sessions    map[uint64]*session[A]
	byIssuer    map[issuerID]*session[A]
	// settled lists the settled entries, oldest first from head on.
	completions []completion
	head        int
	// bytes is the sum of the sizes of the settled entries.
	bytes int
}

// NewTable returns the table of one incarnation of a VM's process. The size
// function tells how many bytes an answer occupies.
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

// OpenSession returns the session of an issuing process, a new one when the
// table has none for it. It returns 0 when every session is in use and the
// table is full; the issuer must then pick another owner.
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

// dropIdle removes the sessions that were not used for the idle span and
// reports whether there is room for another one.
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

// Present asks to run the work of a ticket. Exactly one call for each ticket
// returns Run.
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

// Withdraw asks for the outcome of a ticket. A ticket that was never presented
// is refused first, so that NotRun stays true.
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

// Finish keeps the answer of a ticket that was told to Run.
func (t *Table[A]) Finish(k Ticket, answer A) {
	t.complete(k, stateDone, answer, t.size(answer))
}

// Refuse records that the work of a ticket that was told to Run did not start.
func (t *Table[A]) Refuse(k Ticket) {
	var none A
	t.complete(k, stateRefused, none, 0)
}

// Lose records that the work of a ticket may have run and that its answer is
// not to be had.
func (t *Table[A]) MarkLost(k Ticket) {
	var none A
	t.complete(k, stateLost, none, 0)
}

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

// evict drops the oldest settled entries while the table is over a limit and
// raises the low-water marks over them.
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

// Stats tells how much a table holds.
type Stats struct {
	// Sessions, Running and Records are counts; Bytes is the size of the
	// answers kept.
	Sessions, Running, Records, Bytes int
}

// Stats returns what the table holds now.
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
