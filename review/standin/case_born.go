package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// caseBorn steps the time of day of a machine back while its server starts again
// under the id that it had, and drains that server later.
func caseBorn(w *world) error {
	const (
		every   = 15500 * time.Microsecond
		step    = 2 * time.Second
		drainAt = 14 * time.Second
		length  = 24 * time.Second
	)
	w.store.putConfiguration("0000000c", []route{sealRoute()}, "burn-register", "history-desk")
	var leaving *server
	services := slices.Concat(slices.Repeat([]string{"burn-register"}, 7), slices.Repeat([]string{"history-desk"}, 2))
	for i, service := range services {
		if _, err := w.addNodeUnready(fmt.Sprintf("sidecar-bhuj-%d", i+1), machine(i+1), service, "bhuj"); err != nil {
			return err
		}
	}
	for i, service := range services {
		s := &server{id: fmt.Sprintf("i-%04x", 0xf001+i), service: service, zone: "bhuj", slots: 72, work: around(290 * time.Millisecond)}
		if i == 0 {
			leaving = s
			continue
		}
		if err := w.addServer(s, machine(i+1)); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	// The first server starts while the time of day of its machine is ahead. It crashes
	// soon and starts again under its id, after the time of day has become true again.
	if w.trouble {
		leaving.ahead = step
	}
	if err := w.addServer(leaving, machine(1)); err != nil {
		return err
	}
	time.Sleep(1200 * time.Millisecond)
	leaving.end()
	time.Sleep(400 * time.Millisecond)
	leaving.ahead = 0
	if err := leaving.start(); err != nil {
		return err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	told := make(map[string]int)
	statuses := make(map[string]int)
	began := time.Now()
	var acknowledged time.Time
	for next := began; time.Since(began) < length; next = next.Add(every) {
		time.Sleep(time.Until(next))
		if acknowledged.IsZero() && time.Since(began) > drainAt {
			acknowledged = leaving.drain()
			time.AfterFunc(drainS+5*time.Second, leaving.leave)
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := call{id: newID(), method: http.MethodPost, host: sealHost, path: sealPath + "x", body: "a sealed burn", deadline: 5 * time.Second}
			a := send(machine(8+rand.IntN(2)), c)
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
