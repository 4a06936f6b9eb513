package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// WaitReady waits until Ready is true for every VM. It returns an error after 30
// seconds.
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

// Ready reports whether a VM's node is ready and has as many documents as the
// plan publishes. It is false if the node does not answer.
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

// GetReport gets path from the operator port of a VM's node and decodes the JSON
// body into target, a pointer. It does not check the status code.
func (f *Fleet) GetReport(v *VM, path string, target any) error {
	res, err := f.client.Get("http://" + v.OperatorAddress + path)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	return json.NewDecoder(res.Body).Decode(target)
}

func (f *Fleet) waitFor(done func() bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.New("deployment did not become ready in time")
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// Runs returns the number of runs of each piece of work of a kind, keyed by its
// X-Work identity and summed over all upstreams. Upstreams that do not answer
// are skipped.
func (f *Fleet) Runs(kind string) map[string]int {
	out := make(map[string]int)
	for _, v := range f.VMs {
		for id, n := range f.runCounts(v)[kind] {
			out[id] += n
		}
	}
	return out
}

// Logs returns the logs of all nodes, each under its VM's name.
func (f *Fleet) Logs() string {
	var b bytes.Buffer
	for _, v := range f.VMs {
		if v.Node != nil {
			fmt.Fprintf(&b, "--- %s\n%s", v.Name, v.Node.Log())
		}
	}
	return b.String()
}

// RunsOn returns the number of runs that a VM's upstream has counted.
func (f *Fleet) RunsOn(v *VM) int {
	n := 0
	for _, kind := range f.runCounts(v) {
		for _, runs := range kind {
			n += runs
		}
	}
	return n
}

// runCounts returns the runs that a VM's upstream has counted, by kind and X-Work
// identity, or nil if it does not answer.
func (f *Fleet) runCounts(v *VM) map[string]map[string]int {
	res, err := f.client.Get("http://" + v.UpstreamAddress + "/admin/runs")
	if err != nil {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	var counts map[string]map[string]int
	if err := json.NewDecoder(res.Body).Decode(&counts); err != nil {
		return nil
	}
	return counts
}
