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
	// capacityZones is the number of zones in the measured fleets.
	capacityZones = 4
	// idleDuration is how long an idle fleet is measured. A fleet is idle if it
	// has no calls and no changes of documents.
	idleDuration = 10 * time.Second
	// warmUpDuration is the wait between start and measurement, so that the fleet
	// is idle when it is measured.
	warmUpDuration = 5 * time.Second
	// changeInterval is the pause after each measured change.
	changeInterval = 500 * time.Millisecond
	// changeCount is the number of measured changes.
	changeCount = 10
	// propagationTimeout is the maximum time for a change to reach all nodes.
	propagationTimeout = 20 * time.Second
)

// localFleet is a fleet of nodes that run in this process, with the platform in
// a child process.
type localFleet struct {
	nodes           []*depot.Node
	platformAddress string
	platformCommand *exec.Cmd
	// stopNodes cancels the context of the nodes; nodeGroup waits for them.
	stopNodes context.CancelFunc
	nodeGroup *errgroup.Group
}

// sample is one measurement of a fleet.
type sample struct {
	nodes, records int
	// idleCPU is the processor time of an idle node, as a share of a core.
	idleCPU float64
	// idleBytes and idleMessages are the control traffic that an idle node sends
	// per second.
	idleBytes, idleMessages float64
	// memory is the heap and stack memory of a node, in bytes.
	memory float64
	// platformReads is the number of platform reads per second by the whole idle
	// fleet.
	platformReads float64
	// changeBytes is the control traffic that a node sends for one change, in
	// bytes.
	changeBytes float64
	// changeCPU is the processor time of a node for one change.
	changeCPU time.Duration
	// maxPropagation is the longest time until a change was in force on all
	// nodes.
	maxPropagation time.Duration
}

// capacity measures control work for different fleet sizes and numbers of
// records, and prints the tables of docs/CAPACITY.md. After an error it prints
// the samples taken so far.
func capacity(ctx context.Context, c *cli.Command) error {
	bin := c.String("bin")
	var byNodes, byRecords []sample
	var err error
	for _, n := range c.IntSlice("sizes") {
		if byNodes, err = appendMeasurement(ctx, byNodes, bin, n, c.Int("records")); err != nil {
			break
		}
	}
	for _, n := range c.IntSlice("record-counts") {
		if err != nil {
			break
		}
		byRecords, err = appendMeasurement(ctx, byRecords, bin, c.Int("record-fleet"), n)
	}
	writeSampleTable(os.Stdout, "nodes", byNodes, func(s sample) float64 { return float64(s.nodes) })
	writeSampleTable(os.Stdout, "records", byRecords, func(s sample) float64 { return float64(s.records) })
	return trace.Wrap(err)
}

// appendMeasurement measures one fleet and appends the sample to samples.
func appendMeasurement(ctx context.Context, samples []sample, bin string, nodes, records int) ([]sample, error) {
	s, err := measureFleet(ctx, bin, nodes, records)
	if err != nil {
		return samples, trace.Wrap(err, "measure %d nodes with %d records", nodes, records)
	}
	_, _ = fmt.Fprintf(os.Stderr, "measured %d nodes with %d records\n", nodes, records)
	return append(samples, s), nil
}

// measureFleet starts a fleet, takes a sample and stops the fleet.
func measureFleet(ctx context.Context, bin string, nodes, records int) (sample, error) {
	before := heapAndStackBytes()
	f, err := startFleet(ctx, bin, nodes, records)
	if err != nil {
		return sample{}, err
	}
	defer f.close()
	if err := f.waitForStatus(func(s depot.Status) bool { return s.Ready && s.Records >= records+1 }); err != nil {
		return sample{}, err
	}
	time.Sleep(warmUpDuration)
	s := sample{nodes: nodes, records: records}
	if err := f.measureIdle(ctx, &s); err != nil {
		return sample{}, err
	}
	s.memory = float64(heapAndStackBytes()-before) / float64(nodes)
	return s, f.measureChanges(ctx, &s)
}

// startFleet starts the platform and the nodes. Each node has its own loopback
// address.
func startFleet(ctx context.Context, bin string, nodes, records int) (*localFleet, error) {
	address := fleet.NewHost().PlatformAddress()
	f := &localFleet{platformAddress: address}
	f.platformCommand = exec.CommandContext(ctx, filepath.Join(bin, "platform"), "--listen", address, "--rate", "100000")
	f.platformCommand.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.platformCommand.Start(); err != nil {
		return nil, err
	}
	if err := f.publishAll(ctx, nodes, records); err != nil {
		f.close()
		return nil, err
	}
	ctx, f.stopNodes = context.WithCancel(ctx)
	f.nodeGroup, ctx = errgroup.WithContext(ctx)
	for i := range nodes {
		s, err := depot.ParseSettings("crowd", []byte(nodeSettings(i, address)))
		if err != nil {
			f.close()
			return nil, err
		}
		n, err := depot.New(s)
		if err != nil {
			f.close()
			return nil, err
		}
		f.nodes = append(f.nodes, n)
		f.nodeGroup.Go(func() error { return n.Run(ctx) })
	}
	return f, nil
}

// nodeHost returns the loopback address of the i-th node.
func nodeHost(i int) string { return fmt.Sprintf("127.9.%d.%d", i/250, i%250+1) }

// nodeSettings returns the settings of the i-th node in YAML.
func nodeSettings(i int, platform string) string {
	host := nodeHost(i)
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

// publishAll publishes the roster and the records. It retries the roster until
// the platform accepts connections.
func (f *localFleet) publishAll(ctx context.Context, nodes, records int) error {
	for range 100 {
		if f.publish(ctx, "vms/crowd", rosterYAML(nodes)) == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	for i := range records {
		name := fmt.Sprintf("kind-%d", i)
		if err := f.publish(ctx, "records/"+name, recordYAML(name, 1)); err != nil {
			return err
		}
	}
	return nil
}

// rosterYAML returns the roster of the fleet in YAML.
func rosterYAML(nodes int) string {
	var b strings.Builder
	b.WriteString("schema: 1\nrevision: 1\nservice: crowd\nvms:\n")
	for i := range nodes {
		fmt.Fprintf(&b, "  - {name: crowd-%d, region: r, zone: z-%d, address: \"%s:7003\", state: live}\n",
			i, i%capacityZones, nodeHost(i))
	}
	return b.String()
}

// recordYAML returns the record of a kind in YAML.
func recordYAML(name string, revision int) string {
	return fleet.FormatRecord(revision, fleet.Kind{Name: name, Service: "crowd", TargetTime: time.Second, Retries: 1, Idempotent: true})
}

// publish stores a document on the platform under key.
func (f *localFleet) publish(ctx context.Context, key, text string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+f.platformAddress+"/admin/value?key="+key, strings.NewReader(text))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// waitForStatus waits until done holds for the status of every node.
func (f *localFleet) waitForStatus(done func(depot.Status) bool) error {
	deadline := time.Now().Add(2 * time.Minute)
	for _, n := range f.nodes {
		for !done(n.Status()) {
			if time.Now().After(deadline) {
				return trace.LimitExceeded("fleet did not reach the expected status in time")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// controlTraffic returns the control traffic that all nodes have sent so far.
func (f *localFleet) controlTraffic() (bytes, messages int64) {
	for _, n := range f.nodes {
		b, m := n.ControlTraffic()
		bytes += b
		messages += m
	}
	return bytes, messages
}

// measureIdle measures the idle fleet for idleDuration and sets the idle fields
// and platformReads of s.
func (f *localFleet) measureIdle(ctx context.Context, s *sample) error {
	reads, err := f.platformReads(ctx)
	if err != nil {
		return err
	}
	bytes, messages := f.controlTraffic()
	cpu := processCPUTime()
	time.Sleep(idleDuration)
	nodeSeconds := float64(len(f.nodes)) * idleDuration.Seconds()
	s.idleCPU = (processCPUTime() - cpu).Seconds() / nodeSeconds
	bytesNow, messagesNow := f.controlTraffic()
	s.idleBytes = float64(bytesNow-bytes) / nodeSeconds
	s.idleMessages = float64(messagesNow-messages) / nodeSeconds
	readsNow, err := f.platformReads(ctx)
	s.platformReads = float64(readsNow-reads) / idleDuration.Seconds()
	return err
}

// measureChanges publishes changes and measures their cost. It subtracts the
// idle cost, which measureIdle must have set in s.
func (f *localFleet) measureChanges(ctx context.Context, s *sample) error {
	bytes, _ := f.controlTraffic()
	cpu, start := processCPUTime(), time.Now()
	for i := range changeCount {
		published := time.Now()
		if err := f.publish(ctx, "records/kind-0", recordYAML("kind-0", i+2)); err != nil {
			return err
		}
		if err := f.waitForRevision("kind-0", uint64(i+2)); err != nil {
			return err
		}
		s.maxPropagation = max(s.maxPropagation, time.Since(published))
		time.Sleep(changeInterval)
	}
	elapsed := time.Since(start).Seconds()
	bytesNow, _ := f.controlTraffic()
	nodeCount := float64(len(f.nodes))
	s.changeBytes = (float64(bytesNow-bytes)/nodeCount - s.idleBytes*elapsed) / changeCount
	cpuSeconds := (processCPUTime()-cpu).Seconds()/nodeCount - s.idleCPU*elapsed
	s.changeCPU = time.Duration(cpuSeconds / changeCount * float64(time.Second))
	return nil
}

// waitForRevision waits until every node holds the record of a kind in at least
// the given revision.
func (f *localFleet) waitForRevision(kind string, revision uint64) error {
	deadline := time.Now().Add(propagationTimeout)
	for _, n := range f.nodes {
		for n.Revision(kind) < revision {
			if time.Now().After(deadline) {
				return trace.LimitExceeded("record change did not reach all nodes within %s", propagationTimeout)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

// platformReads returns the number of reads that the platform has served.
func (f *localFleet) platformReads(ctx context.Context) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.platformAddress+"/admin/reads", nil)
	if err != nil {
		return 0, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	var n int
	_, err = fmt.Fscan(res.Body, &n)
	return n, err
}

// close stops the nodes and the platform.
func (f *localFleet) close() {
	if f.stopNodes != nil {
		f.stopNodes()
		_ = f.nodeGroup.Wait()
	}
	_ = f.platformCommand.Process.Kill()
	_ = f.platformCommand.Wait()
	http.DefaultClient.CloseIdleConnections()
}

// processCPUTime returns the user and system time of this process, or 0 on
// error.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapAndStackBytes returns the heap and stack memory of this process after two
// garbage collections.
func heapAndStackBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
