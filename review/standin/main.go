// Command standin plays the cases of the review: it starts nodes as separate
// processes and plays the platform's store, the servers and the clients.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxLength bounds the length of a case.
const maxLength = 116 * time.Second

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// world is what a case plays in.
type world struct {
	log     *journal
	dir     string
	program string
	store   *store

	mu      sync.Mutex
	nodes   []*node
	servers []*server
	// trouble is set if the disruption is played.
	trouble bool
}

var cases = map[string]func(*world) error{
	"born":      caseBorn,
	"drain":     caseDrain,
	"duplicate": caseDuplicate,
	"reuse":     caseReuse,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("node", "", "path of the node program")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(play(*name, *program, *path, *trouble))
}

func play(name, program, path string, trouble bool) int {
	run, ok := cases[name]
	if !ok {
		fmt.Println("no such case:", name)
		return exitFailed
	}
	log, err := newJournal(path)
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer log.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	w := &world{log: log, dir: dir, program: program, trouble: trouble}
	defer w.end()
	go func() {
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-ended:
		case <-time.After(maxLength):
			fmt.Println("the case took too long")
		}
		w.end()
		os.Exit(exitFailed)
	}()
	if err := pickAddresses(); err != nil {
		fmt.Println(err)
		return exitFailed
	}
	if w.store, err = newStore(fmt.Sprintf("%s:%d", machine(0), portStore)); err != nil {
		log.say("cannot run: %v", err)
		return exitFailed
	}
	switch err := run(w); {
	case err == nil:
		log.say("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		log.say("result: %v", err)
		return exitBroken
	default:
		log.say("cannot run: %v", err)
		return exitFailed
	}
}

// end ends all processes that were started.
func (w *world) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		n.close()
	}
	for _, s := range w.servers {
		s.end()
	}
	_ = os.RemoveAll(w.dir)
}

// addServer starts a server on a machine.
func (w *world) addServer(s *server, ip string) error {
	s.address, s.store, s.log = fmt.Sprintf("%s:%d", ip, portApp), w.store, w.log
	if s.queue == 0 {
		s.queue = 2 * s.slots
	}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return s.start()
}

// addNode starts a node on a machine and waits until it is ready.
func (w *world) addNode(name, ip, service, zone string) (*node, error) {
	n, err := w.addNodeUnready(name, ip, service, zone)
	if err != nil {
		return nil, err
	}
	return n, n.awaitReady()
}

// addNodeUnready starts a node on a machine.
func (w *world) addNodeUnready(name, ip, service, zone string) (*node, error) {
	n := &node{name: name, ip: ip, service: service, zone: zone, dir: w.dir, program: w.program, store: w.store.address, log: w.log}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	return n, n.start()
}
