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

// progressInterval is how often a running experiment prints a line.
const progressInterval = 2 * time.Second

// runExperiment starts the deployment, sends the load and reports.
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
	began := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	faults := make(chan error, 1)
	go func() { faults <- disturb(ctx, e, f, began) }()
	go progress(ctx, e, r, began, out)
	newGenerator(e, f, r).run(ctx, began)
	if ctx.Err() != nil {
		return nil, trace.Wrap(ctx.Err())
	}
	if err := <-faults; err != nil {
		return nil, trace.Wrap(err)
	}
	report := newReport(e, policy, r, f)
	report.noteUsage(before, f.NodeUsage())
	return report, nil
}

// disturb causes the faults of each stage and ends them with it.
func disturb(ctx context.Context, e *Experiment, f *fleet.Fleet, began time.Time) error {
	at := time.Duration(0)
	for _, s := range e.Stages {
		if !clock.Sleep(ctx, time.Until(began.Add(at))) {
			return nil
		}
		if err := s.begin(e, f); err != nil {
			return err
		}
		at += s.Length
		if !clock.Sleep(ctx, time.Until(began.Add(at))) {
			return nil
		}
		if err := s.end(e, f); err != nil {
			return err
		}
	}
	return nil
}

func (s Stage) begin(e *Experiment, f *fleet.Fleet) error {
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

func (s Stage) end(e *Experiment, f *fleet.Fleet) error {
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

// progress prints a line at intervals while the experiment runs.
func progress(ctx context.Context, e *Experiment, r *results, began time.Time, out io.Writer) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		at := time.Since(began)
		_, _ = fmt.Fprintf(out, "%5.1f s of %.0f s, stage %s: good %d, not-run %d, unknown %d, error %d\n",
			at.Seconds(), e.length().Seconds(), e.Stages[r.stageAt(at)].Name,
			r.total(outcomeGood), r.total(outcomeNotRun), r.total(outcomeUnknown), r.total(outcomeError))
	}
}
