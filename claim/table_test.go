package claim

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cuminhollow.example/clock"
)

// world drives one owner through restarts, with tickets that are presented,
// queried, repeated and settled in any order: the steps of the specification.
type world struct {
	clock       clock.Manual
	table       *Table[int]
	incarnation uint64
	issuers     []*Issuer
	tickets     []Ticket
	// runs counts the runs of each ticket over all incarnations.
	runs map[Ticket]int
	// refused holds the tickets for which NotRun was answered.
	refused map[Ticket]bool
	// running holds the tickets that the present incarnation runs.
	running map[Ticket]bool
	answers map[Ticket]int
}

func newWorld() *world {
	w := &world{
		runs:    make(map[Ticket]int),
		refused: make(map[Ticket]bool),
		answers: make(map[Ticket]int),
	}
	w.restart()
	return w
}

func (w *world) restart() {
	w.incarnation++
	w.running = make(map[Ticket]bool)
	w.table = NewTable("owner", w.incarnation, &w.clock, func(int) int { return 10 },
		WithMaxRecords(6), WithMaxBytes(50), WithMaxSessions(3), WithIdleTimeout(clock.Second))
}

func (w *world) take(t *rapid.T, k Ticket, r Reply[int]) {
	switch r := r.(type) {
	case Run[int]:
		w.runs[k]++
		w.running[k] = true
		if w.runs[k] > 1 {
			t.Fatalf("%s: got %d runs, want at most 1", k, w.runs[k])
		}
		if w.refused[k] {
			t.Fatalf("%s: got a run after not-run, want none", k)
		}
	case NotRun[int]:
		w.refused[k] = true
		if w.runs[k] > 0 {
			t.Fatalf("%s: got not-run after %d runs, want none", k, w.runs[k])
		}
	case Done[int]:
		if want := w.answers[k]; r.Answer != want || w.runs[k] != 1 {
			t.Fatalf("%s: got answer %d, want its own %d", k, r.Answer, want)
		}
	case Wait[int]:
		if !w.running[k] {
			t.Fatalf("%s: got wait, want it only while the work runs", k)
		}
	case Unknown[int]:
	}
}

func (w *world) ticket(t *rapid.T) (Ticket, bool) {
	if len(w.tickets) == 0 {
		return Ticket{}, false
	}
	return rapid.SampledFrom(w.tickets).Draw(t, "ticket"), true
}

func (w *world) settle(t *rapid.T) {
	for k := range w.running {
		delete(w.running, k)
		switch rapid.IntRange(0, 2).Draw(t, "end") {
		case 0:
			w.answers[k] = len(w.answers) + 1
			w.table.Finish(k, w.answers[k])
		case 1:
			// Refused before it started: the run did not happen.
			w.runs[k]--
			w.table.Refuse(k)
			w.refused[k] = true
		case 2:
			w.table.MarkLost(k)
		}
		return
	}
}

// TestOnce is the tie between the specification and the code: whatever the
// order of events, no ticket runs twice, "not run" is true for ever, and an
// answer is that of the ticket.
func TestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				vm := fmt.Sprint("issuer-", rapid.IntRange(0, 4).Draw(t, "issuer"))
				number := w.table.OpenSession(vm, 1)
				if number == 0 {
					return
				}
				i := NewIssuer("owner", w.incarnation, number)
				for _, old := range w.issuers {
					if old.Matches(w.incarnation, number) {
						i = old
					}
				}
				w.issuers = append(w.issuers, i)
				w.tickets = append(w.tickets, i.Next())
			},
			"present": func(t *rapid.T) {
				if k, ok := w.ticket(t); ok {
					w.take(t, k, w.table.Claim(k))
				}
			},
			"query": func(t *rapid.T) {
				if k, ok := w.ticket(t); ok {
					w.take(t, k, w.table.Resolve(k))
				}
			},
			"settle":  w.settle,
			"restart": func(*rapid.T) { w.restart() },
			"pause": func(t *rapid.T) {
				w.clock.Advance(clock.Millis(rapid.IntRange(0, 3000).Draw(t, "span")))
			},
			"": func(t *rapid.T) {
				st := w.table.Stats()
				if st.Records > 6 || st.Bytes > 50 || st.Sessions > 3 {
					t.Fatalf("table: got %+v, want at most 6 records, 50 bytes, 3 sessions", st)
				}
			},
		})
	})
}

// TestMillionTickets takes a million tickets of issuers that never
// acknowledge anything and that come and go: the memory stays bounded.
func TestMillionTickets(t *testing.T) {
	var c clock.Manual
	const records, sessions = 1000, 100
	table := NewTable("owner", 1, &c, func(b []byte) int { return len(b) },
		WithMaxRecords(records), WithMaxBytes(1<<20), WithMaxSessions(sessions), WithIdleTimeout(clock.Second))
	body := make([]byte, 100)
	ran := 0
	for n := range 1_000_000 {
		c.Advance(1)
		number := table.OpenSession(fmt.Sprint("issuer-", n%40), uint64(n/100_000))
		if number == 0 {
			t.Fatalf("ticket %d: got no session, want one after the idle span", n)
		}
		k := NewTicket("owner", 1, number, uint64(n+1))
		if _, ok := table.Claim(k).(Run[[]byte]); ok {
			ran++
			table.Finish(k, body)
		}
	}
	if got, want := ran, 1_000_000; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
	st := table.Stats()
	if st.Records > records || st.Bytes > 1<<20 || st.Sessions > sessions {
		t.Errorf("table: got %+v, want at most %d records and %d sessions", st, records, sessions)
	}
	if got, limit := len(table.completions), 2*records+64; got > limit {
		t.Errorf("order of completions: got %d entries, want at most %d", got, limit)
	}
}

// TestForgottenTicketNeverRuns presents a ticket whose record was evicted, one
// below the mark that was never presented, and one of a dropped session.
func TestForgottenTicketNeverRuns(t *testing.T) {
	var c clock.Manual
	table := NewTable("owner", 1, &c, func(int) int { return 1 },
		WithMaxRecords(1), WithMaxSessions(1), WithIdleTimeout(clock.Second))
	issuer := NewIssuer("owner", 1, table.OpenSession("a", 1))
	late, first, second := issuer.Next(), issuer.Next(), issuer.Next()
	for _, k := range []Ticket{first, second} {
		table.Claim(k)
		table.Finish(k, 1)
	}
	for _, k := range []Ticket{first, late} {
		if got, ok := table.Claim(k).(Unknown[int]); !ok {
			t.Errorf("%s: got %T, want Unknown", k, got)
		}
	}
	c.Advance(2 * clock.Second)
	if got := table.OpenSession("b", 1); got != 2 {
		t.Fatalf("session: got %d, want 2", got)
	}
	if got, ok := table.Claim(second).(Unknown[int]); !ok {
		t.Errorf("%s: got %T, want Unknown", second, got)
	}
}

func TestParseTicket(t *testing.T) {
	tests := []struct {
		text string
		ok   bool
	}{
		{"kutch-1/ff/1/2", true},
		{"kutch-1/ffffffffffffffff/1/2", true},
		{"", false},
		{"kutch-1", false},
		{"/1/2/3", false},
		{"kutch-1/1/2", false},
		{"kutch-1/1/2/3/4", false},
		{"kutch-1/x/2/3", false},
		{"kutch-1/10000000000000000/2/3", false},
	}
	for _, tt := range tests {
		k, err := ParseTicket(tt.text)
		if got := err == nil; got != tt.ok {
			t.Errorf("ParseTicket(%q): got error %v, want ok %t", tt.text, err, tt.ok)
		}
		if tt.ok && k.String() != tt.text {
			t.Errorf("String: got %q, want %q", k.String(), tt.text)
		}
	}
}

func FuzzParseTicket(f *testing.F) {
	f.Add("kutch-1/ff/1/2")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := ParseTicket(text)
		if err != nil {
			return
		}
		again, err := ParseTicket(k.String())
		if err != nil || again != k {
			t.Errorf("ParseTicket(%q): got %v, %v, want %v", k.String(), again, err, k)
		}
	})
}

func BenchmarkPresent(b *testing.B) {
	c := clock.NewSystem()
	table := NewTable("owner", 1, c, func(int) int { return 1 })
	issuer := NewIssuer("owner", 1, table.OpenSession("a", 1))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			k := issuer.Next()
			table.Claim(k)
			table.Finish(k, 1)
		}
	})
}
