package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// WaitReady returns when every node that runs says that it is ready.
func (f *Fleet) WaitReady() error {
	return f.waitFor(func() bool {
		for _, v := range f.VMs {
			if !f.Ready(v) {
				return false
			}
		}
		return true
	})
}

// Ready reports whether a VM's node is ready and has every document.
func (f *Fleet) Ready(v *VM) bool {
	var status struct {
		Ready   bool `json:"ready"`
		Records int  `json:"records"`
	}
	if err := f.GetReport(v, "/v1/status", &status); err != nil {
		return false
	}
	return status.Ready && status.Records >= len(f.plan.Records)+len(f.plan.Services)
}

// Get reads a report of a VM's node.
func (f *Fleet) GetReport(v *VM, path string, into any) error {
	res, err := f.client.Get("http://" + v.OperatorAddress + path)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	return json.NewDecoder(res.Body).Decode(into)
}

func (f *Fleet) waitFor(done func() bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.New("the deployment did not become ready")
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// Runs returns how often each piece of work of a kind ran, over all upstreams
// that are up.
func (f *Fleet) Runs(kind string) map[string]int {
	out := make(map[string]int)
	for _, v := range f.VMs {
		for id, n := range f.runCounts(v)[kind] {
			out[id] += n
		}
	}
	return out
}

// Logs returns the last lines of the log of each node.
func (f *Fleet) Logs() string {
	var b bytes.Buffer
	for _, v := range f.VMs {
		if v.Node != nil {
			fmt.Fprintf(&b, "--- %s\n%s", v.Name, v.Node.Log())
		}
	}
	return b.String()
}

// RunsOn returns the number of runs that a VM's upstream logged.
func (f *Fleet) RunsOn(v *VM) int {
	n := 0
	for _, kind := range f.runCounts(v) {
		for _, runs := range kind {
			n += runs
		}
	}
	return n
}

// logOf returns the log of a VM's upstream, or nil when it is down.
func (f *Fleet) runCounts(v *VM) map[string]map[string]int {
	res, err := f.client.Get("http://" + v.UpstreamAddress + "/admin/runs")
	if err != nil {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	var log map[string]map[string]int
	if err := json.NewDecoder(res.Body).Decode(&log); err != nil {
		return nil
	}
	return log
}
