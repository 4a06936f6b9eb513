package proof

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"cuminhollow.example/standin/fleet"
)

// targetTime is the target time of the kinds of work in these tests.
const targetTime = 3 * time.Second

// certifyPlan returns a plan with two entry nodes, in service "desk", and the
// given number of owners, in service "certifying". Of the two kinds of work that
// the owners run, "certificate" is not idempotent and "history" is.
func certifyPlan(owners int, serviceTime time.Duration, retries int) fleet.Plan {
	return fleet.Plan{
		Services: []fleet.Service{
			{Name: "desk", Locations: fleet.SpreadOverZones(2, "kutch"), Slots: 4, ServiceTime: time.Millisecond},
			{Name: "certifying", Locations: fleet.SpreadOverZones(owners, "kutch"), Slots: 16, ServiceTime: serviceTime},
		},
		Records: fleet.FormatRecords(
			fleet.Kind{Name: "certificate", Service: "certifying", TargetTime: targetTime, Retries: retries, Protected: true},
			fleet.Kind{Name: "history", Service: "certifying", TargetTime: targetTime, Retries: retries, Rank: 5, Idempotent: true},
		),
	}
}

// TestKillOwner kills an owner's node under load and checks that no work runs
// twice and that every reported outcome is correct.
func TestKillOwner(t *testing.T) {
	f := startFleet(t, certifyPlan(3, 20*time.Millisecond, 2))
	owner := f.ServiceVMs("certifying")[0]
	results := generateLoadFor(f.ServiceVMs("desk"), "certificate", 24, 4*time.Second, func() {
		for range 3 {
			time.Sleep(700 * time.Millisecond)
			owner.Node.Kill()
			time.Sleep(300 * time.Millisecond)
			if err := owner.Node.Restart(); err != nil {
				t.Error(err)
			}
		}
	})
	checkOutcomes(t, f, "certificate", results.all())
	if got, want := results.count("answered"), 500; got < want {
		t.Errorf("answered: got %d, want at least %d", got, want)
	}
}

// TestKillEntry kills an entry node under load and checks that callers with a
// ticket get the outcome of their call through another node.
func TestKillEntry(t *testing.T) {
	f := startFleet(t, certifyPlan(3, 60*time.Millisecond, 2))
	entries := f.ServiceVMs("desk")
	out := new(resultLog)
	var wg sync.WaitGroup
	for w := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 10 {
				id := fmt.Sprintf("entry-%d-%d", w, n)
				ticket := reserveTicket(t, entries[1].CallerAddress)
				r := call(entries[0].CallerAddress, "certificate", id, "Cuminhollow-Ticket", ticket)
				if r.err != nil {
					r = call(entries[1].CallerAddress, "certificate", id, "Cuminhollow-Ticket", ticket)
				}
				out.add(r)
			}
		}()
	}
	for range 3 {
		time.Sleep(150 * time.Millisecond)
		entries[0].Node.Kill()
		time.Sleep(50 * time.Millisecond)
		if err := entries[0].Node.Restart(); err != nil {
			t.Fatal(err)
		}
	}
	wg.Wait()
	results := out.all()
	checkOutcomes(t, f, "certificate", results)
	checkAllAnswered(t, results)
}

// TestSameTicketManyNodes sends each ticket through all nodes at the same time
// and checks that the work runs once and that all callers get its answer.
func TestSameTicketManyNodes(t *testing.T) {
	f := startFleet(t, certifyPlan(2, 30*time.Millisecond, 0))
	entries := f.ServiceVMs("desk")
	out := new(resultLog)
	var wg sync.WaitGroup
	for n := range 20 {
		id := "same-" + strconv.Itoa(n)
		ticket := reserveTicket(t, entries[0].CallerAddress)
		for i := range 6 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				v := f.VMs[i%len(f.VMs)]
				out.add(call(v.CallerAddress, "certificate", id, "Cuminhollow-Ticket", ticket))
			}()
		}
	}
	wg.Wait()
	checkOutcomes(t, f, "certificate", out.all())
	if got, want := out.count("answered"), 120; got != want {
		t.Errorf("answered: got %d, want %d", got, want)
	}
}

// TestQueryRefusesFirst queries a ticket that no call has used yet. The outcome
// is not-run, so a call that uses the ticket afterwards must not run.
func TestQueryRefusesFirst(t *testing.T) {
	f := startFleet(t, certifyPlan(2, 5*time.Millisecond, 0))
	entries := f.ServiceVMs("desk")
	ticket := reserveTicket(t, entries[0].CallerAddress)
	asked := queryTicket(entries[1].CallerAddress, "certificate", ticket)
	if got, want := asked.outcome, "not-run"; got != want {
		t.Errorf("query: got %q, want %q", got, want)
	}
	late := call(entries[0].CallerAddress, "certificate", "late", "Cuminhollow-Ticket", ticket)
	if got, want := late.outcome, "not-run"; got != want {
		t.Errorf("late call: got %q, want %q", got, want)
	}
	checkOutcomes(t, f, "certificate", []result{late})
}

// TestTicketOfOldIncarnation uses a ticket after the owner's node was restarted
// and checks that the call never runs and that its outcome is unknown.
func TestTicketOfOldIncarnation(t *testing.T) {
	f := startFleet(t, certifyPlan(1, 5*time.Millisecond, 0))
	entries, owner := f.ServiceVMs("desk"), f.ServiceVMs("certifying")[0]
	ticket := reserveTicket(t, entries[0].CallerAddress)
	owner.Node.Kill()
	if err := owner.Node.Restart(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "owner ready", 10*time.Second, func() bool { return f.Ready(owner) })
	// Each node opens a session with the new process. The session number of the
	// ticket is then in use again, and only the incarnation differs.
	for _, v := range f.VMs {
		reserveTicket(t, v.CallerAddress)
	}
	r := call(entries[0].CallerAddress, "certificate", "old", "Cuminhollow-Ticket", ticket)
	if got, want := r.outcome, "unknown"; got != want {
		t.Errorf("old ticket: got %q (%s), want %q", got, r.reason, want)
	}
	if got, want := f.Runs("certificate")["old"], 0; got != want {
		t.Errorf("old ticket: got %d runs, want %d", got, want)
	}
}

// TestSilentConnections discards all bytes on the open connections between nodes
// while calls are in flight, without closing them. All calls must still be
// answered.
func TestSilentConnections(t *testing.T) {
	f := startFleet(t, certifyPlan(3, 300*time.Millisecond, 0))
	results := generateLoadFor(f.ServiceVMs("desk"), "certificate", 24, 5*time.Second, func() {
		for range 4 {
			time.Sleep(time.Second)
			for _, v := range f.ServiceVMs("certifying") {
				f.Relay(v).Blackhole()
			}
		}
	}).all()
	checkOutcomes(t, f, "certificate", results)
	checkAllAnswered(t, results)
}

// TestBrokenConnections closes the connections between nodes repeatedly while
// calls are in flight. All calls must still be answered.
func TestBrokenConnections(t *testing.T) {
	f := startFleet(t, certifyPlan(3, 50*time.Millisecond, 0))
	results := generateLoadFor(f.ServiceVMs("desk"), "certificate", 24, 3*time.Second, func() {
		for range 10 {
			time.Sleep(250 * time.Millisecond)
			for _, v := range f.ServiceVMs("certifying") {
				f.Relay(v).CloseConnections()
			}
		}
	}).all()
	checkOutcomes(t, f, "certificate", results)
	checkAllAnswered(t, results)
}

// TestPause suspends the owner's node, an entry node and the upstream in turn for
// longer than any deadline, while calls are in flight, and checks that every
// reported outcome is correct.
func TestPause(t *testing.T) {
	f := startFleet(t, certifyPlan(2, 15*time.Millisecond, 1))
	owner, entries := f.ServiceVMs("certifying")[0], f.ServiceVMs("desk")
	results := generateLoadFor(entries, "certificate", 24, 3*(targetTime+1500*time.Millisecond), func() {
		for _, p := range []*fleet.Process{owner.Node, entries[0].Node, owner.Upstream} {
			time.Sleep(700 * time.Millisecond)
			p.Pause()
			time.Sleep(targetTime + 500*time.Millisecond)
			p.Resume()
		}
	})
	time.Sleep(500 * time.Millisecond)
	checkOutcomes(t, f, "certificate", results.all())
	if got, want := results.count("answered"), 500; got < want {
		t.Errorf("answered: got %d, want at least %d", got, want)
	}
}

// TestLostAnswerOfUpstream closes connections between node and upstream after the
// work ran. The outcome must be unknown rather than not-run, and the work must
// not run again.
func TestLostAnswerOfUpstream(t *testing.T) {
	plan := certifyPlan(2, 5*time.Millisecond, 3)
	plan.Services[1].Loss = 0.3
	f := startFleet(t, plan)
	results := generateLoadFor(f.ServiceVMs("desk"), "certificate", 8, time.Second, func() {})
	checkOutcomes(t, f, "certificate", results.all())
	if got := results.count("unknown"); got == 0 {
		t.Error("unknown: got 0, want some")
	}
	// HTTP clients retry GET requests with an Idempotency-Key by themselves.
	for i := range 40 {
		id := "get-" + strconv.Itoa(i)
		q, err := http.NewRequest(http.MethodGet, "http://"+f.VMs[0].CallerAddress+"/work", nil)
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set("Cuminhollow-Kind", "certificate")
		q.Header.Set("Idempotency-Key", id)
		q.Header.Set("X-Work", id)
		send(q)
	}
	for id, n := range f.Runs("certificate") {
		if n > 1 {
			t.Errorf("%s: got %d runs, want at most 1", id, n)
		}
	}
}

// TestKillOwnerIdempotent kills an owner's node under idempotent load and checks
// that other owners answer the calls that were lost.
func TestKillOwnerIdempotent(t *testing.T) {
	f := startFleet(t, certifyPlan(3, 20*time.Millisecond, 2))
	owner := f.ServiceVMs("certifying")[0]
	results := generateLoadFor(f.ServiceVMs("desk"), "history", 16, 2*time.Second, func() {
		time.Sleep(700 * time.Millisecond)
		owner.Node.Kill()
	}).all()
	checkAllAnswered(t, results)
}

// TestPausedEntryKeepsCalls suspends an entry node for longer than the silence
// timeout while idempotent calls run. When the node goes on, it must read the
// answers that wait for it rather than give the calls up or run them again.
func TestPausedEntryKeepsCalls(t *testing.T) {
	const calls, runTime = 12, 1200 * time.Millisecond
	f := startFleet(t, certifyPlan(2, runTime, 1))
	entry := f.ServiceVMs("desk")[0]
	var results resultLog
	var wg sync.WaitGroup
	for n := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results.add(call(entry.CallerAddress, "history", strconv.Itoa(n)))
		}()
	}
	time.Sleep(runTime / 3)
	entry.Node.Pause()
	time.Sleep(runTime)
	entry.Node.Resume()
	wg.Wait()
	checkAllAnswered(t, results.all())
	for id, runs := range f.Runs("history") {
		if runs != 1 {
			t.Errorf("call %s: got %d runs, want 1", id, runs)
		}
	}
}
