package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"cuminhollow.example/depot"
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
