package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"cuminhollow.example/depot"
	"cuminhollow.example/standin/fleet"
)

const (
	// capacityZones is the number of zones of the measured fleets.
	capacityZones = 4
	// idleSpan is how long a fleet is measured without changes.
	idleSpan = 10 * time.Second
	// settleSpan lets a fleet come to rest before it is measured.
	settleSpan = 5 * time.Second
	// changeEvery is the interval of the changes that are measured.
	changeEvery = 500 * time.Millisecond
	// changes is the number of changes that are measured.
	changes = 10
	// spreadTimeout bounds the wait for a change to be everywhere.
	spreadTimeout = 20 * time.Second
)

// crowd is a fleet of node runtimes in this process with a platform beside it.
type crowd struct {
	nodes    []*depot.Node
	platform string
	command  *exec.Cmd
	stop     context.CancelFunc
	group    *errgroup.Group
}

// sample is one measurement of a crowd.
type sample struct {
	nodes, records int
	// cpu is the processor time of a node at rest, as a share of a core.
	cpu float64
	// bytes and messages are what a node at rest sends for control, a second.
	bytes, messages float64
	// heap is the memory of a node, in bytes.
	heap float64
	// reads is the number of reads a second of the platform by the whole fleet.
	reads float64
	// changeBytes is what a change costs a node, in bytes sent.
	changeBytes float64
	// changeCPU is what a change costs a node, in processor time.
	changeCPU time.Duration
	// everywhere is the longest time until a change was in force at all nodes.
	everywhere time.Duration
}

// capacity measures control work against fleet size and number of records, and
// prints the tables of docs/CAPACITY.md.
func capacity(ctx context.Context, c *cli.Command) error {
	bin := c.String("bin")
	var fleets, books []sample
	var err error
	for _, n := range c.IntSlice("sizes") {
		if fleets, err = measured(ctx, fleets, bin, n, c.Int("records")); err != nil {
			break
		}
	}
	for _, n := range c.IntSlice("record-counts") {
		if err != nil {
			break
		}
		books, err = measured(ctx, books, bin, c.Int("record-fleet"), n)
	}
	writeSamples(os.Stdout, "nodes", fleets, func(s sample) float64 { return float64(s.nodes) })
	writeSamples(os.Stdout, "records", books, func(s sample) float64 { return float64(s.records) })
	return trace.Wrap(err)
}

// measured appends the measurement of one crowd.
func measured(ctx context.Context, samples []sample, bin string, nodes, records int) ([]sample, error) {
	s, err := measureCrowd(ctx, bin, nodes, records)
	if err != nil {
		return samples, trace.Wrap(err, "%d nodes with %d records", nodes, records)
	}
	_, _ = fmt.Fprintf(os.Stderr, "%d nodes with %d records measured\n", nodes, records)
	return append(samples, s), nil
}

func measureCrowd(ctx context.Context, bin string, nodes, records int) (sample, error) {
	before := heapInUse()
	w, err := startCrowd(ctx, bin, nodes, records)
	if err != nil {
		return sample{}, err
	}
	defer w.close()
	if err := w.waitFor(func(s depot.Status) bool { return s.Ready && s.Records >= records+1 }); err != nil {
		return sample{}, err
	}
	time.Sleep(settleSpan)
	s := sample{nodes: nodes, records: records}
	if err := w.measureIdle(ctx, &s); err != nil {
		return sample{}, err
	}
	s.heap = float64(heapInUse()-before) / float64(nodes)
	return s, w.measureChanges(ctx, &s)
}

// startCrowd starts the platform and the nodes. Each node has a loopback
// address of its own.
func startCrowd(ctx context.Context, bin string, nodes, records int) (*crowd, error) {
	address := fleet.NewHost().PlatformAddress()
	w := &crowd{platform: address}
	w.command = exec.CommandContext(ctx, filepath.Join(bin, "platform"), "--listen", address, "--rate", "100000")
	w.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := w.command.Start(); err != nil {
		return nil, err
	}
	if err := w.publishAll(ctx, nodes, records); err != nil {
		w.close()
		return nil, err
	}
	ctx, w.stop = context.WithCancel(ctx)
	w.group, ctx = errgroup.WithContext(ctx)
	for i := range nodes {
		s, err := depot.ParseSettings("crowd", []byte(crowdSettings(i, address)))
		if err != nil {
			w.close()
			return nil, err
		}
		n, err := depot.New(s)
		if err != nil {
			w.close()
			return nil, err
		}
		w.nodes = append(w.nodes, n)
		w.group.Go(func() error { return n.Run(ctx) })
	}
	return w, nil
}

// hostOf returns the loopback address of a node.
func hostOf(i int) string { return fmt.Sprintf("127.9.%d.%d", i/250, i%250+1) }

func crowdSettings(i int, platform string) string {
	host := hostOf(i)
	return fmt.Sprintf(`vm: crowd-%d
service: crowd
region: r
zone: z-%d
listen: {callers: "%s:7001", upstream: "%s:7002", peers: "%s:7003", operators: "%s:7004"}
upstream: {address: "%s:8001", slots: 10, connections: 10}
platform: [%q]
transport: {plain: true}
`, i, i%capacityZones, host, host, host, host, host, platform)
}

func (w *crowd) publishAll(ctx context.Context, nodes, records int) error {
	for range 100 {
		if w.publish(ctx, "vms/crowd", crowdRoster(nodes)) == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	for i := range records {
		name := fmt.Sprintf("kind-%d", i)
		if err := w.publish(ctx, "records/"+name, crowdRecord(name, 1)); err != nil {
			return err
		}
	}
	return nil
}

func crowdRoster(nodes int) string {
	var b strings.Builder
	b.WriteString("schema: 1\nrevision: 1\nservice: crowd\nvms:\n")
	for i := range nodes {
		fmt.Fprintf(&b, "  - {name: crowd-%d, region: r, zone: z-%d, address: \"%s:7003\", state: live}\n",
			i, i%capacityZones, hostOf(i))
	}
	return b.String()
}

func crowdRecord(name string, revision int) string {
	return fleet.FormatRecord(revision, fleet.Kind{Name: name, Service: "crowd", TargetTime: time.Second, Retries: 1, Idempotent: true})
}

func (w *crowd) publish(ctx context.Context, key, text string) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.platform+"/admin/value?key="+key, strings.NewReader(text))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

func (w *crowd) waitFor(done func(depot.Status) bool) error {
	end := time.Now().Add(2 * time.Minute)
	for _, n := range w.nodes {
		for !done(n.Status()) {
			if time.Now().After(end) {
				return trace.LimitExceeded("the fleet did not come to rest")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// control adds up what all nodes have sent for control.
func (w *crowd) control() (bytes, messages int64) {
	for _, n := range w.nodes {
		b, m := n.ControlTraffic()
		bytes += b
		messages += m
	}
	return bytes, messages
}

func (w *crowd) measureIdle(ctx context.Context, s *sample) error {
	reads, err := w.reads(ctx)
	if err != nil {
		return err
	}
	bytes, messages := w.control()
	cpu := processorTime()
	time.Sleep(idleSpan)
	nodeSeconds := float64(len(w.nodes)) * idleSpan.Seconds()
	s.cpu = (processorTime() - cpu).Seconds() / nodeSeconds
	bytesNow, messagesNow := w.control()
	s.bytes = float64(bytesNow-bytes) / nodeSeconds
	s.messages = float64(messagesNow-messages) / nodeSeconds
	readsNow, err := w.reads(ctx)
	s.reads = float64(readsNow-reads) / idleSpan.Seconds()
	return err
}

// measureChanges publishes changes and takes off what the fleet does at rest.
func (w *crowd) measureChanges(ctx context.Context, s *sample) error {
	bytes, _ := w.control()
	cpu, began := processorTime(), time.Now()
	for i := range changes {
		published := time.Now()
		if err := w.publish(ctx, "records/kind-0", crowdRecord("kind-0", i+2)); err != nil {
			return err
		}
		if err := w.waitHeld("kind-0", uint64(i+2)); err != nil {
			return err
		}
		s.everywhere = max(s.everywhere, time.Since(published))
		time.Sleep(changeEvery)
	}
	span := time.Since(began).Seconds()
	bytesNow, _ := w.control()
	perNode := float64(len(w.nodes))
	s.changeBytes = (float64(bytesNow-bytes)/perNode - s.bytes*span) / changes
	used := (processorTime()-cpu).Seconds()/perNode - s.cpu*span
	s.changeCPU = time.Duration(used / changes * float64(time.Second))
	return nil
}

func (w *crowd) waitHeld(kind string, revision uint64) error {
	end := time.Now().Add(spreadTimeout)
	for _, n := range w.nodes {
		for n.Revision(kind) < revision {
			if time.Now().After(end) {
				return trace.LimitExceeded("a change was not everywhere in %s", spreadTimeout)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

func (w *crowd) reads(ctx context.Context) (int, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.platform+"/admin/reads", nil)
	if err != nil {
		return 0, err
	}
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	var n int
	_, err = fmt.Fscan(res.Body, &n)
	return n, err
}

func (w *crowd) close() {
	if w.stop != nil {
		w.stop()
		_ = w.group.Wait()
	}
	_ = w.command.Process.Kill()
	_ = w.command.Wait()
	http.DefaultClient.CloseIdleConnections()
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapInUse returns the memory of the heap and the stacks after a collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
