package main

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"cuminhollow.example/standin/fleet"
)

const (
	// recoveryTime is the time after the last fault after which most requests must
	// be answered, and recoveredFor how long that is measured.
	recoveryTime = 5 * time.Second
	recoveredFor = 3 * time.Second
	// recoveredShare is the share of requests that must be answered then.
	recoveredShare = 0.95
)

// options select what is run.
type options struct {
	bin, dir      string
	vmsPerService int
	// length is the time in which faults begin.
	length time.Duration
}

// run is one seed that is played.
type run struct {
	fleet *fleet.Fleet
	vms   []*vmState
	judge judge
	began time.Time

	// platformMu is held during faults of the platform.
	platformMu sync.Mutex
	// revision is the last revision of the record that was published.
	revision int

	failMu sync.Mutex
	err    error
}

// now returns the time since the start of the load.
func (r *run) now() time.Duration { return time.Since(r.began) }

// fail records an error of the soak itself.
func (r *run) fail(err error) {
	r.failMu.Lock()
	defer r.failMu.Unlock()
	r.err = errors.Join(r.err, err)
}

// play plays a seed and returns its report. The error is one of the soak itself.
func play(ctx context.Context, seed uint64, o options) (*report, error) {
	f, err := fleet.Start(o.bin, o.dir, newPlan(o.vmsPerService))
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	r := &run{fleet: f, revision: 1, began: time.Now()}
	for _, v := range f.VMs {
		r.vms = append(r.vms, &vmState{VM: v})
	}
	schedule := newSchedule(seed, len(r.vms), o.length)
	results := r.loadWithFaults(ctx, seed, schedule)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r.checkForce()
	r.check(results)
	return newReport(seed, schedule, r.judge.findings, results), r.err
}

// loadWithFaults sends requests while the schedule is played, and until service
// must have recovered.
func (r *run) loadWithFaults(ctx context.Context, seed uint64, schedule []event) []result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watchers sync.WaitGroup
	for _, v := range r.vms {
		watchers.Go(func() { r.watch(ctx, v) })
	}
	sent := make(chan []result, 1)
	go func() { sent <- newCallers(r).send(ctx, seed) }()
	r.playSchedule(ctx, schedule)
	over := r.now()
	sleep(ctx, recoveryTime+recoveredFor)
	cancel()
	watchers.Wait()
	results := <-sent
	r.judge.checkRecovery(results, over+recoveryTime)
	return results
}

// playSchedule carries out all events and returns when they are over.
func (r *run) playSchedule(ctx context.Context, schedule []event) {
	var events sync.WaitGroup
	defer events.Wait()
	for _, e := range schedule {
		sleep(ctx, e.At-r.now())
		if ctx.Err() != nil {
			return
		}
		events.Go(func() { r.apply(e) })
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// check compares what callers were told with the runs that the upstreams counted.
func (r *run) check(results []result) {
	runs := make(map[string]map[string]int)
	for _, kind := range []string{kindSeal, kindCertificate, kindHistory} {
		runs[kind] = r.fleet.Runs(kind)
	}
	r.judge.checkRuns(kindSeal, runs[kindSeal])
	r.judge.checkRuns(kindCertificate, runs[kindCertificate])
	for _, q := range results {
		at := func(v *vmState) faultCheck {
			return func(kinds ...faultKind) bool { return v.disturbed(q.From, q.To, kinds...) }
		}
		r.judge.checkResult(q, runs[q.Kind][q.ID], at(r.vms[q.VM]), func(kinds ...faultKind) bool {
			return slices.ContainsFunc(r.vms, func(v *vmState) bool { return at(v)(kinds...) })
		})
	}
}
