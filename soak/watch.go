package main

import (
	"context"
	"fmt"
	"time"

	"cuminhollow.example/depot"
)

const (
	// readyTimeout is how long a node may take to be ready after its start.
	readyTimeout = 20 * time.Second
	// forceTimeout is how long a revision may take to be in force everywhere.
	forceTimeout = 16 * time.Second
	// pollInterval is the time between two looks at a node.
	pollInterval = 100 * time.Millisecond
)

// watch looks at a node until ctx ends: it must not end by itself, and a node that
// is ready must not go back to an older revision.
func (r *run) watch(ctx context.Context, v *vmState) {
	highest := uint64(0)
	for ctx.Err() == nil {
		if v.mu.TryLock() {
			ended := v.Node.Exited()
			v.mu.Unlock()
			if ended {
				r.judge.add(finding{ruleExit, v.Name, "the node ended by itself"})
				return
			}
		}
		if revision, ok := r.readyRevision(v); ok {
			if revision < highest {
				r.judge.add(finding{ruleBack, v.Name, fmt.Sprintf("revision %d after %d", revision, highest)})
			}
			highest = max(highest, revision)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

// readyRevision returns the revision of the record of kindHistory in force at a
// node. It is false if the node is not ready or does not answer.
func (r *run) readyRevision(v *vmState) (uint64, bool) {
	var s depot.Status
	if err := r.fleet.GetReport(v.VM, "/v1/status", &s); err != nil || !s.Ready {
		return 0, false
	}
	var e depot.Explanation
	if err := r.fleet.GetReport(v.VM, "/v1/explain?kind="+kindHistory, &e); err != nil {
		return 0, false
	}
	return e.Revision, true
}

// checkForce waits until the last revision is in force at every node.
func (r *run) checkForce() {
	end := time.Now().Add(forceTimeout)
	for _, v := range r.vms {
		for {
			revision, ok := r.readyRevision(v)
			if ok && revision == uint64(r.revision) {
				break
			}
			if time.Now().After(end) {
				r.judge.add(finding{ruleForce, v.Name, fmt.Sprintf("revision %d, ready %t, want %d", revision, ok, r.revision)})
				break
			}
			time.Sleep(pollInterval)
		}
	}
}
