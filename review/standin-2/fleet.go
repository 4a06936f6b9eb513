package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"
)

// fleet is a small deployment: the store, machines with their servers and nodes, and
// the record of the case.
type fleet struct {
	root, folder string
	zones        map[string]string
	store        *store
	machines     []*machine
	began        time.Time
	mu           sync.Mutex
	notes        []string
}

// bounds of the pages that the cases check, in their words.
const (
	drainS        = 2500 * time.Millisecond
	settleWindowS = 4 * time.Second
)

// newFleet makes a store and count machines on free loopback addresses, alternately in the
// zones; the services take turns in the same way every two machines. Serve starts the server of a
// machine; the nodes are not started.
func newFleet(root string, zones map[string]string, services []string, count int, serve func(*machine, net.Listener)) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, folder: folder, zones: zones, began: time.Now()}
	names := []string{}
	for z := range zones {
		names = append(names, z)
	}
	sort.Strings(names)
	net0 := freeNetwork(count)
	l, err := net.Listen("tcp", fmt.Sprintf("%s.250:8309", net0))
	if err != nil {
		return nil, err
	}
	f.store = newStore(l)
	for i := range count {
		service := services[i/2%len(services)]
		m := &machine{
			name: fmt.Sprintf("sidecar-%d", i+1), ip: fmt.Sprintf("%s.%d", net0, i+1),
			zone: names[i%len(names)], service: service, serverID: fmt.Sprintf("i-%04x%04x", i+1, rand.IntN(1<<16)),
		}
		l, err := net.Listen("tcp", m.at(portServer))
		if err != nil {
			return nil, err
		}
		serve(m, l)
		f.machines = append(f.machines, m)
		f.register(m)
	}
	return f, nil
}

// freeNetwork returns the first three parts of loopback addresses on which the ports of
// all machines are free.
func freeNetwork(count int) string {
	for {
		prefix := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		free := true
		for i := 1; i <= count && free; i++ {
			for _, port := range []string{portServer, portReady, portOutbound, portPeers, "9464"} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%s", prefix, i, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix
		}
	}
}

// register writes the entry of a machine's server.
func (f *fleet) register(m *machine) {
	f.store.put("servers/"+m.serverID, map[string]any{
		"service": m.service, "address": m.at(portServer), "zone": m.zone, "version": "v1",
		"maxConcurrency": 72, "state": "ready", "coldRemainingS": 0, "sequence": 4,
		"born": f.began.UnixMilli(),
	})
}

// configure writes a configuration with one route of a kind to the service.
func (f *fleet) configure(service, kind string) {
	f.store.put("op/config", map[string]any{
		"version": "00000007",
		"routes": map[string]any{"r-desk": map[string]any{
			"host": host, "pathPrefix": "/desk/", "kind": kind, "timeoutS": 1.5,
			"targetLatencyS": 1.5, "priority": 1, "service": service, "maxAttempts": 2,
		}},
		"services": map[string]any{service: map[string]any{
			"healthCheckPath": "/health", "maxConnections": 532, "protocol": "h1", "tls": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
}

// start starts all nodes and waits until they are ready.
func (f *fleet) start() error {
	for _, m := range f.machines {
		if err := m.start(f.root, f.folder, f.store.listener.Addr().String(), f.zones); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	for _, m := range f.machines {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// since returns the time since the start of the case in seconds.
func (f *fleet) since(t time.Time) string { return fmt.Sprintf("%9.4f", t.Sub(f.began).Seconds()) }

// note adds a line to the record.
func (f *fleet) note(at time.Time, format string, args ...any) {
	line := f.since(at) + "  " + fmt.Sprintf(format, args...)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notes = append(f.notes, line)
	fmt.Println(line)
}

// write writes the record: the notes, then what was sent, answered and run.
func (f *fleet) write(path string, l *log, runs []arrival) error {
	out, err := os.Create(filepath.Clean(path))
	if err != nil {
		return err
	}
	w := bufio.NewWriter(out)
	for _, n := range f.notes {
		fmt.Fprintln(w, n)
	}
	fmt.Fprintln(w, "\nrequests: time sent, id, time ended, status, signature or failure")
	for _, s := range l.copy() {
		ended := "        -"
		if !s.ended.IsZero() {
			ended = f.since(s.ended)
		}
		fmt.Fprintf(w, "%s  %s  %s  %d  %s%s\n", f.since(s.at), s.id, ended, s.status, s.signature, s.fail)
	}
	fmt.Fprintln(w, "\nruns: time, id, server")
	for _, m := range f.machines {
		if m.server != nil {
			runs = append(runs, m.server.seen()...)
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].at.Before(runs[j].at) })
	for _, a := range runs {
		fmt.Fprintf(w, "%s  %s  %s\n", f.since(a.at), a.id, a.server)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return out.Close()
}
