package claim

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cuminhollow.example/clock"
)

// model drives one owner through the steps of the specification: restarts, and
// tickets that are claimed, resolved, claimed again and completed in any order.
type model struct {
	clock       clock.Manual
	table       *Table[int]
	incarnation uint64
	issuers     []*Issuer
	tickets     []Ticket
	// runs is the number of runs of each ticket in all incarnations.
	runs map[Ticket]int
	// refused holds the tickets for which NotRun was returned.
	refused map[Ticket]bool
	// running holds the tickets that the current incarnation runs.
	running map[Ticket]bool
	answers map[Ticket]int
}

func newModel() *model {
	m := &model{
		runs:    make(map[Ticket]int),
		refused: make(map[Ticket]bool),
		answers: make(map[Ticket]int),
	}
	m.restart()
	return m
}

func (m *model) restart() {
	m.incarnation++
	m.running = make(map[Ticket]bool)
	m.table = NewTable("owner", m.incarnation, &m.clock, func(int) int { return 10 },
		WithMaxRecords(6), WithMaxBytes(50), WithMaxSessions(3), WithIdleTimeout(clock.Second))
}

func (m *model) checkReply(t *rapid.T, k Ticket, r Reply[int]) {
	switch r := r.(type) {
	case Run[int]:
		m.runs[k]++
		m.running[k] = true
		if m.runs[k] > 1 {
			t.Fatalf("%s: got %d runs, want at most 1", k, m.runs[k])
		}
		if m.refused[k] {
			t.Fatalf("%s: got a run after not-run, want no run", k)
		}
	case NotRun[int]:
		m.refused[k] = true
		if m.runs[k] > 0 {
			t.Fatalf("%s: got not-run after %d runs, want not-run only without a run", k, m.runs[k])
		}
	case Done[int]:
		if want := m.answers[k]; r.Answer != want || m.runs[k] != 1 {
			t.Fatalf("%s: got answer %d, want its own %d", k, r.Answer, want)
		}
	case Wait[int]:
		if !m.running[k] {
			t.Fatalf("%s: got wait, want it only while the work is running", k)
		}
	case Unknown[int]:
	}
}

func (m *model) ticket(t *rapid.T) (Ticket, bool) {
	if len(m.tickets) == 0 {
		return Ticket{}, false
	}
	return rapid.SampledFrom(m.tickets).Draw(t, "ticket"), true
}

func (m *model) complete(t *rapid.T) {
	for k := range m.running {
		delete(m.running, k)
		switch rapid.IntRange(0, 2).Draw(t, "end") {
		case 0:
			m.answers[k] = len(m.answers) + 1
			m.table.Finish(k, m.answers[k])
		case 1:
			// Refused before the work started, so this is not a run.
			m.runs[k]--
			m.table.Refuse(k)
			m.refused[k] = true
		case 2:
			m.table.MarkLost(k)
		}
		return
	}
}

// TestRunsAtMostOnce checks the invariants of the specification for random
// sequences of events: no ticket runs twice, a ticket reported as not run never
// runs later, and an answer belongs to its own ticket.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				vm := fmt.Sprint("issuer-", rapid.IntRange(0, 4).Draw(t, "issuer"))
				number := m.table.OpenSession(vm, 1)
				if number == 0 {
					return
				}
				i := NewIssuer("owner", m.incarnation, number)
				for _, old := range m.issuers {
					if old.Matches(m.incarnation, number) {
						i = old
					}
				}
				m.issuers = append(m.issuers, i)
				m.tickets = append(m.tickets, i.Next())
			},
			"claim": func(t *rapid.T) {
				if k, ok := m.ticket(t); ok {
					m.checkReply(t, k, m.table.Claim(k))
				}
			},
			"resolve": func(t *rapid.T) {
				if k, ok := m.ticket(t); ok {
					m.checkReply(t, k, m.table.Resolve(k))
				}
			},
			"complete": m.complete,
			"restart":  func(*rapid.T) { m.restart() },
			"pause": func(t *rapid.T) {
				m.clock.Advance(clock.Millis(rapid.IntRange(0, 3000).Draw(t, "span")))
			},
			"": func(t *rapid.T) {
				st := m.table.Stats()
				if st.Records > 6 || st.Bytes > 50 || st.Sessions > 3 {
					t.Fatalf("table: got %+v, want at most 6 records, 50 bytes, 3 sessions", st)
				}
			},
		})
	})
}

// TestMillionTickets runs a million tickets of issuers that come and go and
// never acknowledge an answer. The memory of the table must stay bounded.
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
			t.Fatalf("ticket %d: got no session, want one after the idle timeout", n)
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
		t.Errorf("completions: got %d entries, want at most %d", got, limit)
	}
}

// TestForgottenTicketNeverRuns claims a ticket whose record was evicted, one
// below the low-water mark that was never claimed, and one of an evicted
// session.
func TestForgottenTicketNeverRuns(t *testing.T) {
	var c clock.Manual
	table := NewTable("owner", 1, &c, func(int) int { return 1 },
		WithMaxRecords(1), WithMaxSessions(1), WithIdleTimeout(clock.Second))
	issuer := NewIssuer("owner", 1, table.OpenSession("a", 1))
	unclaimed, first, second := issuer.Next(), issuer.Next(), issuer.Next()
	for _, k := range []Ticket{first, second} {
		table.Claim(k)
		table.Finish(k, 1)
	}
	for _, k := range []Ticket{first, unclaimed} {
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

func BenchmarkClaim(b *testing.B) {
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
