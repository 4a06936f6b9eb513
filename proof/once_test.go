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

// target is the target time of the kinds of work in these tests.
const targetTime = 3 * time.Second

// certifyPlan has entry nodes of the service "desk" that only pass calls on,
// and owners of the service "certifying", whose work is not idempotent.
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

// TestKillOwner kills an owner's node under load: nothing runs twice and no
// caller is told an untruth.
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

// TestKillEntry kills an entry node under load. Callers that carry a ticket
// learn the outcome through another node.
func TestKillEntry(t *testing.T) {
	f := startFleet(t, certifyPlan(3, 60*time.Millisecond, 2))
	desk := f.ServiceVMs("desk")
	out := new(resultLog)
	var wg sync.WaitGroup
	for w := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 10 {
				id := fmt.Sprintf("entry-%d-%d", w, n)
				ticket := reserveTicket(t, desk[1].CallerAddress)
				r := call(desk[0].CallerAddress, "certificate", id, "Cuminhollow-Ticket", ticket)
				if r.err != nil {
					r = call(desk[1].CallerAddress, "certificate", id, "Cuminhollow-Ticket", ticket)
				}
				out.add(r)
			}
		}()
	}
	for range 3 {
		time.Sleep(150 * time.Millisecond)
		desk[0].Node.Kill()
		time.Sleep(50 * time.Millisecond)
		if err := desk[0].Node.Restart(); err != nil {
			t.Fatal(err)
		}
	}
	wg.Wait()
	results := out.all()
	checkOutcomes(t, f, "certificate", results)
	checkAllAnswered(t, results)
}

// TestSameTicketManyNodes presents each ticket through all nodes at the same
// time: it runs once, and all get the one answer.
func TestSameTicketManyNodes(t *testing.T) {
	f := startFleet(t, certifyPlan(2, 30*time.Millisecond, 0))
	desk := f.ServiceVMs("desk")
	out := new(resultLog)
	var wg sync.WaitGroup
	for n := range 20 {
		id := "same-" + strconv.Itoa(n)
		ticket := reserveTicket(t, desk[0].CallerAddress)
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

// TestQueryRefusesFirst asks for the outcome of a ticket that was never
// presented: the answer is not-run, and it stays true when the ticket is
// presented afterwards.
func TestQueryRefusesFirst(t *testing.T) {
	f := startFleet(t, certifyPlan(2, 5*time.Millisecond, 0))
	desk := f.ServiceVMs("desk")
	ticket := reserveTicket(t, desk[0].CallerAddress)
	asked := queryTicket(desk[1].CallerAddress, "certificate", ticket)
	if got, want := asked.outcome, "not-run"; got != want {
		t.Errorf("query: got %q, want %q", got, want)
	}
	late := call(desk[0].CallerAddress, "certificate", "late", "Cuminhollow-Ticket", ticket)
	if got, want := late.outcome, "not-run"; got != want {
		t.Errorf("late call: got %q, want %q", got, want)
	}
	checkOutcomes(t, f, "certificate", []result{late})
}

// TestTicketOfOldIncarnation presents a ticket after the owner's node was
// replaced: it never runs and the answer is unknown.
func TestTicketOfOldIncarnation(t *testing.T) {
	f := startFleet(t, certifyPlan(1, 5*time.Millisecond, 0))
	desk, owner := f.ServiceVMs("desk"), f.ServiceVMs("certifying")[0]
	ticket := reserveTicket(t, desk[0].CallerAddress)
	owner.Node.Kill()
	if err := owner.Node.Restart(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "owner ready", 10*time.Second, func() bool { return f.Ready(owner) })
	// Each node opens a session with the new process, so that the number of the
	// old one is in use again and only the incarnation tells the two apart.
	for _, v := range f.VMs {
		reserveTicket(t, v.CallerAddress)
	}
	r := call(desk[0].CallerAddress, "certificate", "old", "Cuminhollow-Ticket", ticket)
	if got, want := r.outcome, "unknown"; got != want {
		t.Errorf("old ticket: got %q (%s), want %q", got, r.reason, want)
	}
	if got, want := f.Runs("certificate")["old"], 0; got != want {
		t.Errorf("old ticket: got %d runs, want %d", got, want)
	}
}

// TestSilentConnections makes every open connection between nodes swallow all
// bytes while calls are in flight: they still get their true answer.
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

// TestBrokenConnections closes every connection between nodes again and again.
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

// TestPause stops the owner's node, the entry's node and the upstream in turn
// for longer than any deadline, at whatever step the calls then are.
func TestPause(t *testing.T) {
	f := startFleet(t, certifyPlan(2, 15*time.Millisecond, 1))
	owner, desk := f.ServiceVMs("certifying")[0], f.ServiceVMs("desk")
	results := generateLoadFor(desk, "certificate", 24, 3*(targetTime+1500*time.Millisecond), func() {
		for _, p := range []*fleet.Process{owner.Node, desk[0].Node, owner.Upstream} {
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

// TestLostAnswerOfUpstream cuts connections between node and upstream after
// the work ran: the outcome is unknown, never not-run, and never run again.
func TestLostAnswerOfUpstream(t *testing.T) {
	plan := certifyPlan(2, 5*time.Millisecond, 3)
	plan.Services[1].Loss = 0.3
	f := startFleet(t, plan)
	results := generateLoadFor(f.ServiceVMs("desk"), "certificate", 8, time.Second, func() {})
	checkOutcomes(t, f, "certificate", results.all())
	if got := results.count("unknown"); got == 0 {
		t.Error("unknown: got 0, want some")
	}
	// The same for a method that HTTP libraries send again on their own.
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

// TestKillOwnerIdempotent kills an owner's node under idempotent load: the
// calls that were lost are answered by another owner.
func TestKillOwnerIdempotent(t *testing.T) {
	f := startFleet(t, certifyPlan(3, 20*time.Millisecond, 2))
	owner := f.ServiceVMs("certifying")[0]
	results := generateLoadFor(f.ServiceVMs("desk"), "history", 16, 2*time.Second, func() {
		time.Sleep(700 * time.Millisecond)
		owner.Node.Kill()
	}).all()
	checkAllAnswered(t, results)
}
