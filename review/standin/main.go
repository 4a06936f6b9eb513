// Command standin plays the cases of the review: it starts nodes as separate
// processes and plays the platform's store, the servers and the clients.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// world is what a case plays in.
type world struct {
	log     *journal
	dir     string
	program string
	store   *store
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
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	w := &world{log: log, dir: dir, program: program, trouble: trouble}
	defer w.end()
	go func() {
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
		<-ended
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
	for _, n := range w.nodes {
		n.end()
	}
	for _, s := range w.servers {
		s.end()
	}
}

// addServer starts a server on a machine.
func (w *world) addServer(s *server, ip string) error {
	s.address, s.store, s.log = fmt.Sprintf("%s:%d", ip, portApp), w.store, w.log
	if s.queue == 0 {
		s.queue = 2 * s.slots
	}
	w.servers = append(w.servers, s)
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
	w.nodes = append(w.nodes, n)
	return n, n.start()
}
