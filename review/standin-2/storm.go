package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// bigServices is the number of services of the deployment whose configuration the case
// publishes; letter 1 names it as the size to design for.
const bigServices = 2600

// bigConfiguration returns a configuration with a route for each of many services. The
// route /desk/ goes to the service desk, or after the move to the service office.
func bigConfiguration(version int, timeout float64, moved bool) map[string]any {
	routes := map[string]any{}
	services := map[string]any{}
	route := func(host, prefix, service string) map[string]any {
		return map[string]any{
			"host": host, "pathPrefix": prefix, "kind": "safe", "timeoutS": timeout,
			"targetLatencyS": 1.5, "priority": 1, "service": service, "maxAttempts": 2,
		}
	}
	service := map[string]any{"healthCheckPath": "/health", "maxConnections": 532, "protocol": "h1", "tls": false}
	for i := range bigServices {
		name := fmt.Sprintf("huvo%05x", i*397)
		services[name] = service
		routes[fmt.Sprintf("r-u6ws%05x", i*397)] = route(fmt.Sprintf("hulo%05x.example", i*397), fmt.Sprintf("/leny%03d/", i%900), name)
	}
	services["desk"], services["office"] = service, service
	routes["r-desk"] = route("desk.example", "/desk/", "desk")
	if moved {
		routes["r-desk"] = route("desk.example", "/desk/", "office")
		routes["r-new"] = route("desk.example", "/new/", "office")
	}
	return map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	}
}

// stormCase shows whether the last of many configurations in quick succession comes in
// force. Each changes the timeout of the routes; the last one also moves one route to
// another service and adds one.
func stormCase(f *fleet, l *log, trouble bool, count int, gap, applyS, judged time.Duration) (broken bool, err error) {
	first := bigConfiguration(7, 1.5, false)
	encoded, err := json.Marshal(first)
	if err != nil {
		return false, err
	}
	f.store.put("op/config", first)
	f.note(time.Now(), "a configuration of %d routes, %d bytes, is in the store", bigServices+1, len(encoded))
	if err := f.start(); err != nil {
		return false, err
	}
	f.note(time.Now(), "all nodes are ready")
	time.Sleep(6 * time.Second)
	// All machines are in touch now.
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	if trouble {
		for i := range count - 1 {
			at := f.store.put("op/config", bigConfiguration(9+2*i, 1.5+float64(i%2)/2, false))
			f.note(at, "the store acknowledges version %08x", 9+2*i)
			<-ticker.C
		}
	}
	acknowledged := f.store.put("op/config", bigConfiguration(9+2*count, 1.5, true))
	f.note(acknowledged, "the store acknowledges version %08x, which moves the route /desk/ from desk to office and adds the route /new/", 9+2*count)
	from := acknowledged.Add(applyS)
	time.Sleep(time.Until(from.Add(100 * time.Millisecond)))
	ctx, stop := context.WithTimeout(context.Background(), judged)
	defer stop()
	var wait sync.WaitGroup
	for _, m := range f.machines {
		for _, path := range []string{"/new/1", "/desk/1"} {
			wait.Go(func() { load(ctx, m, l, http.MethodGet, path, 1500*time.Millisecond, 100*time.Millisecond) })
		}
	}
	wait.Wait()
	return f.judgeStorm(l, from), nil
}

// judgeStorm reports whether a request that was sent later than a time was handled as only
// an older version allows: run by the old service, or refused with 404 on the new route.
func (f *fleet) judgeStorm(l *log, from time.Time) bool {
	refused, elsewhere, served := 0, 0, 0
	var latest time.Time
	for _, m := range f.machines {
		for _, a := range m.server.seen() {
			s := l.get(a.id)
			switch {
			case s == nil || s.at.Before(from):
			case m.service == "desk":
				elsewhere++
				if elsewhere <= 10 {
					f.note(a.at, "BROKEN: request %s (%s) is run by %s of the old service %s", s.id, s.path, a.server, m.service)
				}
				if a.at.After(latest) {
					latest = a.at
				}
			default:
				served++
			}
		}
	}
	for _, s := range l.copy() {
		if s.status == 404 && s.at.After(from) {
			refused++
			if refused <= 10 {
				f.note(s.at, "BROKEN: request %s (%s) gets 404", s.id, s.path)
			}
		}
	}
	if elsewhere > 0 {
		f.note(latest, "the last request is run by the old service, %.1f s after configApplyS was over", latest.Sub(from).Seconds())
	}
	f.note(time.Now(), "requests sent later than configApplyS after the acknowledgement: %d were run by the old service, %d got 404 on the new route, %d were run by the new service", elsewhere, refused, served)
	return elsewhere > 0 || refused > 0
}
