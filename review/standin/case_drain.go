package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Bounds of the sheet "Unified Kiln Batch Ledger Mesh".
const drainS = 2500 * time.Millisecond

const (
	sealHost = "seal.example"
	sealPath = "/seal/"
)

// sealRoute is the route of burn-seal, with the times of the sheet.
func sealRoute() route {
	return route{
		Name: "burn-seal", Host: sealHost, PathPrefix: sealPath, Kind: "unsafe", TimeoutS: 5, TargetLatencyS: 4,
		Priority: 2, Service: "burn-register", MaxAttempts: 3,
	}
}

// around returns a function that returns spans from 0.7 to 1.3 times a mean.
func around(mean time.Duration) func() time.Duration {
	return func() time.Duration { return time.Duration((0.7 + 0.6*rand.Float64()) * float64(mean)) }
}

// caseDrain drains a server while the nodes of its service hold a queue.
func caseDrain(w *world) error {
	const (
		slots = 19
		work  = 290 * time.Millisecond
		// base is 0.57 of the 227 requests a second that the four servers can run. The
		// burst is the greatest one of the site file.
		base       = 130.0
		burst      = 2.6
		burstBegin = 3 * time.Second
		burstEnd   = burstBegin + 6800*time.Millisecond
		drainAt    = burstEnd - 500*time.Millisecond
	)
	w.store.putConfiguration("0000000c", []route{sealRoute()}, "burn-register", "history-desk")
	services := []string{"burn-register", "burn-register", "burn-register", "burn-register", "history-desk", "history-desk"}
	for i, service := range services {
		ip := machine(i + 1)
		s := &server{id: fmt.Sprintf("i-%04x", 0xa001+i), service: service, zone: "bhuj", slots: slots, work: around(work)}
		if i == 0 {
			// Servers of one service differ in speed.
			s.work = around(work * 3 / 2)
		}
		if err := w.addServer(s, ip); err != nil {
			return err
		}
		if _, err := w.addNode(fmt.Sprintf("sidecar-bhuj-%d", i+1), ip, service, "bhuj"); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	leaving := w.servers[0]

	var clients sync.WaitGroup
	var mu sync.Mutex
	told := make(map[string]int)
	statuses := make(map[string]int)
	began := time.Now()
	stop := began.Add(16 * time.Second)
	var acknowledged time.Time
	drained := false
	for next := began; next.Before(stop); {
		time.Sleep(time.Until(next))
		since := time.Since(began)
		rate := base
		if w.trouble && since > burstBegin && since < burstEnd {
			rate = base * burst
		}
		if since > drainAt && !drained {
			drained = true
			// It reports that just after a heartbeat of another server.
			w.servers[1].beat()
			time.Sleep(10 * time.Millisecond)
			acknowledged = leaving.drain()
			// It goes on serving for drainS and a little longer.
			time.AfterFunc(drainS+500*time.Millisecond, leaving.leave)
		}
		next = next.Add(time.Duration(float64(time.Second) / rate))
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := call{id: newID(), method: http.MethodPost, host: sealHost, path: sealPath + "x", body: "a sealed burn", deadline: 5 * time.Second}
			a := send(machine(5+rand.IntN(2)), c)
			w.log.add("client got %d for %s after %d ms (%v)", a.status, c.id, a.took.Milliseconds(), a.err)
			mu.Lock()
			told[fmt.Sprint(a.status)]++
			statuses[c.id] = a.status
			mu.Unlock()
		}()
	}
	clients.Wait()

	return w.judgeDrain(leaving, acknowledged, told, statuses)
}

// judgeDrain reports the requests that reached a server later than drainS after the
// acknowledgement of its leaving, and what their clients were told.
func (w *world) judgeDrain(s *server, acknowledged time.Time, told, statuses map[string]int) error {
	late, latest := s.lateArrivals(acknowledged.Add(drainS))
	lost := 0
	for _, id := range late {
		if statuses[id] != http.StatusOK {
			lost++
		}
	}
	w.log.say("clients were told: %v", told)
	w.log.say("DRAIN: %d requests reached %s later than %.1f s after its leaving was acknowledged, the last one %.2f s after that; %d of them were lost", len(late), s.id, drainS.Seconds(), latest.Seconds(), lost)
	if len(late) > 0 {
		return errBroken
	}
	return nil
}
