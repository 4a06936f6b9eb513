package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	addrReuseS = 2 * time.Second
	graceS     = 6 * time.Second
)

// caseReuse lets servers crash for good, and servers of another service start at
// their addresses.
func caseReuse(w *world) error {
	const (
		host      = "history.example"
		perSecond = 143
		length    = 58 * time.Second
		service   = "history-desk"
		other     = "burn-register"
	)
	seal := sealRoute()
	w.store.putConfiguration("0000000c", []route{seal, {
		Name: "batch-history", Host: host, PathPrefix: "/batch/", Kind: "safe", TimeoutS: 1.5, TargetLatencyS: 1.5,
		Priority: 1, Service: service, MaxAttempts: 3,
	}}, service, other)
	for i := range 10 {
		ip := machine(i + 1)
		name := service
		if i >= 8 {
			name = other
		}
		s := &server{id: fmt.Sprintf("i-%04x", 0xd001+i), service: name, zone: "bhuj", slots: 72, work: around(220 * time.Millisecond)}
		if err := w.addServer(s, ip); err != nil {
			return err
		}
		if _, err := w.addNode(fmt.Sprintf("sidecar-bhuj-%d", i+1), ip, name, "bhuj"); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)

	began := time.Now()
	var mu sync.Mutex
	var replaced []*server
	if w.trouble {
		for i := range 5 {
			time.AfterFunc(time.Duration(6+11*i)*time.Second, func() {
				s, err := w.replace(i, fmt.Sprintf("i-%04x", 0xe001+i), other)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					w.log.say("%v", err)
					return
				}
				replaced = append(replaced, s)
			})
		}
	}
	var clients sync.WaitGroup
	told := make(map[int]int)
	for next := began; time.Since(began) < length; next = next.Add(time.Second / perSecond) {
		time.Sleep(time.Until(next))
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := call{id: newID(), method: http.MethodGet, host: host, path: "/batch/1", deadline: 5 * time.Second}
			a := send(machine(6+rand.IntN(5)), c)
			w.log.add("client got %d for %s after %d ms (%v), signed %s", a.status, c.id, a.took.Milliseconds(), a.err, a.signature)
			mu.Lock()
			told[a.status]++
			mu.Unlock()
		}()
	}
	clients.Wait()

	wrong := 0
	mu.Lock()
	defer mu.Unlock()
	for _, s := range replaced {
		s.mu.Lock()
		for id, n := range s.runs {
			wrong += n
			w.log.add("ROUTE: %s of batch-history was run by %s, a server of %s", id, s.id, s.service)
		}
		s.mu.Unlock()
	}
	w.log.say("clients were told: %v", told)
	w.log.say("ROUTE: %d requests on a route to %s were run by servers of %s", wrong, service, other)
	if wrong > 0 {
		return errBroken
	}
	return nil
}

// replace lets a server crash. Its address goes to a server of another service; the
// machine's node gets SIGTERM after the crash and starts again with the new settings.
func (w *world) replace(i int, id, service string) (*server, error) {
	w.mu.Lock()
	old, n := w.servers[i], w.nodes[i]
	w.mu.Unlock()
	old.end()
	old.lapse()
	restarted := make(chan error, 1)
	go func() {
		n.signal(syscall.SIGTERM)
		select {
		case <-n.exited:
		case <-time.After(graceS):
			n.end()
		}
		n.service = service
		time.Sleep(200 * time.Millisecond)
		restarted <- n.start()
	}()
	time.Sleep(addrReuseS + 50*time.Millisecond)
	s := &server{id: id, service: service, zone: old.zone, slots: old.slots, work: old.work, address: old.address, store: w.store, log: w.log, queue: old.queue}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	if err := s.start(); err != nil {
		return nil, err
	}
	return s, <-restarted
}
