package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"cuminhollow.example/clock"
	"cuminhollow.example/standin/fleet"
)

// progressInterval is the interval between progress lines of a running
// experiment.
const progressInterval = 2 * time.Second

// runExperiment starts the deployment with the programs in bin, applies load and
// faults, and returns the report. It writes progress lines to out.
func runExperiment(ctx context.Context, bin string, e *Experiment, policy string, out io.Writer) (*Report, error) {
	dir, err := os.MkdirTemp("", "load")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := fleet.Start(bin, dir, e.plan(e.Policies[policy]))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer f.Stop()
	r := newResults(e)
	before := f.NodeUsage()
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	faultErrs := make(chan error, 1)
	go func() { faultErrs <- injectFaults(ctx, e, f, start) }()
	go printProgress(ctx, e, r, start, out)
	newGenerator(e, f, r).run(ctx, start)
	if ctx.Err() != nil {
		return nil, trace.Wrap(ctx.Err())
	}
	if err := <-faultErrs; err != nil {
		return nil, trace.Wrap(err)
	}
	report := newReport(e, policy, r, f)
	report.setNodeUsage(before, f.NodeUsage())
	return report, nil
}

// injectFaults starts the faults of each stage at its start and stops them at
// its end. It returns nil when ctx is done.
func injectFaults(ctx context.Context, e *Experiment, f *fleet.Fleet, start time.Time) error {
	offset := time.Duration(0)
	for _, s := range e.Stages {
		if !clock.Sleep(ctx, time.Until(start.Add(offset))) {
			return nil
		}
		if err := s.startFaults(e, f); err != nil {
			return err
		}
		offset += s.Length
		if !clock.Sleep(ctx, time.Until(start.Add(offset))) {
			return nil
		}
		if err := s.stopFaults(e, f); err != nil {
			return err
		}
	}
	return nil
}

// startFaults starts the faults of the stage: killed or paused nodes, cut
// connections, failing upstreams and slow services.
func (s Stage) startFaults(e *Experiment, f *fleet.Fleet) error {
	for _, v := range f.VMs {
		if slices.Contains(s.Kill, v.Name) {
			v.Node.Kill()
		}
		if slices.Contains(s.Pause, v.Name) {
			v.Node.Pause()
		}
		if slices.Contains(s.Cut, v.Name) {
			f.Relay(v).Disable()
		}
		if slices.Contains(s.Fail, v.Name) {
			if err := f.SetUpstream(v, "failing=true"); err != nil {
				return err
			}
		}
		if slices.Contains(s.Slow, v.Service) {
			slow := time.Duration(float64(e.service(v.Service).ServiceTime) * s.SlowBy)
			if err := f.SetUpstream(v, "service-time="+slow.String()); err != nil {
				return err
			}
		}
	}
	return nil
}

// stopFaults reverts the faults of the stage.
func (s Stage) stopFaults(e *Experiment, f *fleet.Fleet) error {
	for _, v := range f.VMs {
		if slices.Contains(s.Kill, v.Name) {
			if err := v.Node.Restart(); err != nil {
				return err
			}
		}
		if slices.Contains(s.Pause, v.Name) {
			v.Node.Resume()
		}
		if slices.Contains(s.Cut, v.Name) {
			f.Relay(v).Enable()
		}
		if slices.Contains(s.Fail, v.Name) {
			if err := f.SetUpstream(v, "failing=false"); err != nil {
				return err
			}
		}
		if slices.Contains(s.Slow, v.Service) {
			if err := f.SetUpstream(v, "service-time="+e.service(v.Service).ServiceTime.String()); err != nil {
				return err
			}
		}
	}
	return nil
}

// printProgress prints the totals so far at intervals until ctx is done.
func printProgress(ctx context.Context, e *Experiment, r *results, start time.Time, out io.Writer) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		elapsed := time.Since(start)
		_, _ = fmt.Fprintf(out, "%5.1f s of %.0f s, stage %s: good %d, not-run %d, unknown %d, error %d\n",
			elapsed.Seconds(), e.length().Seconds(), e.Stages[r.stageAt(elapsed)].Name,
			r.outcomeTotal(outcomeGood), r.outcomeTotal(outcomeNotRun), r.outcomeTotal(outcomeUnknown), r.outcomeTotal(outcomeError))
	}
}
