package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports are the same on all machines. pickAddresses sets them.
var portOutbound, portReady, portApp, portPeers, portStore int

// block is the first three numbers of the addresses of all machines.
var block string

// pickAddresses picks a block of loopback addresses and free ports.
func pickAddresses() error {
	block = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
	for _, port := range []*int{&portOutbound, &portReady, &portApp, &portPeers, &portStore} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		*port = l.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// machine returns the address of a machine; 0 is that of the store.
func machine(i int) string { return fmt.Sprintf("%s.%d", block, i+1) }

// errClosed is returned for a node that starts no further process.
var errClosed = errors.New("the case has ended")

// node is one process of the system, on a machine with an address of its own.
type node struct {
	name, ip, service, zone string
	dir                     string
	program                 string
	store                   string
	memoryMB                int
	log                     *journal

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// closed is set once no further process is started.
	closed bool
}

// settings returns the settings file as the platform renders deploy/settings.yaml.
func (n *node) settings() string {
	quote := func(v any) string {
		text, _ := json.Marshal(v)
		return string(text)
	}
	if n.memoryMB == 0 {
		n.memoryMB = 284
	}
	zones := map[string]string{"bhuj": "kutch", "anjar": "kutch", "godhra": "panchmahal", "halol": "panchmahal", "ahwa": "dangs", "waghai": "dangs"}
	lines := []string{
		"vm: " + quote(n.name),
		"service: " + quote(n.service),
		"region: " + quote(zones[n.zone]),
		"zone: " + quote(n.zone),
		"listen:",
		"  callers: " + quote(fmt.Sprintf("%s:%d", n.ip, portOutbound)),
		"  ready: " + quote(fmt.Sprintf("%s:%d", n.ip, portReady)),
		"  peers: " + quote(fmt.Sprintf("%s:%d", n.ip, portPeers)),
		"  operators: " + quote(n.ip+":9464"),
		"upstream:",
		"  address: " + quote(fmt.Sprintf("%s:%d", n.ip, portApp)),
		"  headroom_percent: 5",
		"seeds: []",
		"platform: [" + quote(n.store) + "]",
		"adapter:",
		"  name: platform",
		"  answer_grace_ms: 150",
		"  regions: " + quote(zones),
		fmt.Sprintf("  peer_port: %d", portPeers),
		"transport:",
		"  plain: true",
		"stop:",
		"  within_s: 6",
		"limits:",
		fmt.Sprintf("  memory_mb: %d", n.memoryMB),
		"  descriptors: 4100",
		"heap_growth_percent: 30",
		"policy:",
		"  limit: fixed",
		"retries:",
		"  share: 0.2",
		"  spare: 49",
		"  window_s: 10",
	}
	return strings.Join(lines, "\n") + "\n"
}

func (n *node) file() string { return filepath.Join(n.dir, n.name+".yaml") }

// start starts the process.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return errClosed
	}
	if err := os.WriteFile(n.file(), []byte(n.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(n.dir, n.name+".log"))
	if err != nil {
		return err
	}
	n.cmd = exec.Command(n.program, "run", "--settings", n.file())
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(done chan struct{}, cmd *exec.Cmd) {
		_ = cmd.Wait()
		close(done)
	}(n.exited, n.cmd)
	n.log.add("node %s (%s) starts at %s", n.name, n.service, n.ip)
	return nil
}

// awaitReady waits until the node says that it is ready.
func (n *node) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for range 100 {
		res, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", n.ip, portReady))
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("node %s: %w", n.name, errTimeout)
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.log.add("node %s gets %s", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// end kills the process.
func (n *node) end() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	if exited == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// close kills the process for good.
func (n *node) close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.end()
}
