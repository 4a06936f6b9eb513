package main

import (
	"net/http"
	"sync"
	"time"
)

// crowdCase shows whether a node answers in time while many clients come to its machine.
// Each asks once, on a connection of its own that it then keeps; they come evenly over
// spread.
func crowdCase(f *fleet, l *log, clients int, spread time.Duration) (broken bool, err error) {
	f.configure("desk", "safe")
	if err := f.start(); err != nil {
		return false, err
	}
	m := f.machines[0]
	time.Sleep(settleWindowS + time.Second)
	f.note(time.Now(), "all machines are in touch; %d clients of %s begin to come, in %s", clients, m.name, spread)
	var wait sync.WaitGroup
	began := time.Now()
	for n := range clients {
		time.Sleep(time.Until(began.Add(spread * time.Duration(n) / time.Duration(clients))))
		s := newSent(m, "/desk/1", n)
		l.add(s)
		client := &http.Client{Transport: &http.Transport{IdleConnTimeout: 12 * time.Second, DisableCompression: true}}
		wait.Go(func() { ask(client, l, s, http.MethodGet, "http://"+m.at(portOutbound)+"/desk/1", 3*routeTimeout) })
	}
	wait.Wait()
	return f.judgeHeld(l), nil
}

// judgeHeld reports whether more than half of the requests that were unanswered at their
// route's timeout had no answer 0.5 s later.
func (f *fleet) judgeHeld(l *log) bool {
	requests, unanswered, held, never := 0, 0, 0, 0
	for _, s := range l.copy() {
		requests++
		took := s.ended.Sub(s.at)
		if took > routeTimeout {
			unanswered++
		}
		if took > routeTimeout+500*time.Millisecond {
			held++
		}
		if s.status == 0 {
			never++
		}
	}
	f.note(time.Now(), "%d requests: %d unanswered at the route's timeout of %s, %d of them 0.5 s later; %d had no answer after %s, when their clients left", requests, unanswered, routeTimeout, held, never, 3*routeTimeout)
	return unanswered >= 20 && held > unanswered/2
}
