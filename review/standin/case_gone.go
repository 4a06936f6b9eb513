package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// caseGone lets many clients of a machine leave while their requests wait.
func caseGone(w *world) error {
	const (
		slots = 72
		calls = 400
	)
	w.store.putConfiguration("0000000c", []route{sealRoute()}, "burn-register", "history-desk")
	for i, service := range []string{"burn-register", "history-desk"} {
		s := &server{id: fmt.Sprintf("i-%04x", 0x1001+i), service: service, zone: "bhuj", slots: slots, work: around(290 * time.Millisecond)}
		if err := w.addServer(s, machine(i+1)); err != nil {
			return err
		}
		if _, err := w.addNode(fmt.Sprintf("sidecar-bhuj-%d", i+1), machine(i+1), service, "bhuj"); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	late := 0
	for round := range 4 {
		var wg sync.WaitGroup
		var mu sync.Mutex
		var conns []net.Conn
		for range calls {
			wg.Add(1)
			go func() {
				defer wg.Done()
				conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", machine(2), portOutbound), time.Second)
				if err != nil {
					return
				}
				c := call{id: newID(), method: http.MethodPost, host: sealHost, path: sealPath + "x", body: "a", deadline: 5 * time.Second}
				_, _ = io.WriteString(conn, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: 1\r\n\r\na", c.path, c.host, c.id))
				mu.Lock()
				conns = append(conns, conn)
				mu.Unlock()
			}()
		}
		wg.Wait()
		time.Sleep(200 * time.Millisecond)
		left := time.Now()
		if w.trouble {
			for _, c := range conns {
				_ = c.Close()
			}
		}
		w.log.add("clients left in round %d", round)
		time.Sleep(6 * time.Second)
		if w.trouble {
			n, latest := w.servers[0].lateArrivals(left.Add(500 * time.Millisecond))
			w.log.say("round %d: %d requests reached the server over 0.5 s after their clients had left, the last %.2f s later", round, n, latest.Seconds())
			late += n
		}
	}
	if late > 5 {
		return errBroken
	}
	return nil
}
