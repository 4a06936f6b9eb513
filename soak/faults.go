package main

import (
	"fmt"
	"time"

	"cuminhollow.example/standin/fleet"
)

const (
	// stopTimeout bounds a planned stop of a node.
	stopTimeout = 10 * time.Second
	// slowTime is the run time of a slow upstream, and normalTime that of others.
	slowTime   = "500ms"
	normalTime = "80ms"
	// noticeTime is the time within which nodes notice that connections are closed.
	noticeTime = time.Second
)

// apply carries out an event and returns when it is over.
func (r *run) apply(e event) {
	if e.Kind.ofPlatform() {
		r.applyToPlatform(e)
		return
	}
	v := r.vms[e.VM]
	if e.Kind.ofProcess() {
		v.mu.Lock()
		defer v.mu.Unlock()
		defer v.begin(e.Kind, r.now)()
		r.applyToProcess(v, e)
		return
	}
	end := v.begin(e.Kind, r.now)
	if e.Kind == faultSilence {
		// It has no end: an idle connection is noticed to be silent when it is used.
		r.fleet.Relay(v.VM).Blackhole()
		return
	}
	defer end()
	switch e.Kind {
	case faultBreak:
		r.fleet.Relay(v.VM).CloseConnections()
		time.Sleep(noticeTime)
	case faultCut:
		r.fleet.Relay(v.VM).Disable()
		time.Sleep(e.Span)
		r.fleet.Relay(v.VM).Enable()
	case faultSlow:
		r.setUpstream(v, "service-time="+slowTime)
		time.Sleep(e.Span)
		r.setUpstream(v, "service-time="+normalTime)
	case faultCopies:
		r.setUpstream(v, "rejects=0.3&copies=0.3")
		time.Sleep(e.Span)
		r.setUpstream(v, "rejects=0&copies=0")
	default:
		r.fail(fmt.Errorf("unknown fault %q", e.Kind))
	}
}

// applyToProcess carries out an event on a process of a VM. The caller holds v.mu.
func (r *run) applyToProcess(v *vmState, e event) {
	switch e.Kind {
	case faultKill:
		if v.Node.Exited() {
			r.judge.add(finding{Rule: ruleExit, Subject: v.Name, Detail: "the node had ended before it was killed"})
		}
		v.Node.Kill()
		time.Sleep(e.Span)
		r.start(v)
	case faultStop:
		if err := v.Node.Terminate(stopTimeout); err != nil {
			r.judge.add(finding{Rule: ruleExit, Subject: v.Name, Detail: fmt.Sprintf("planned stop: %v", err)})
		}
		time.Sleep(e.Span)
		r.start(v)
	case faultPauseNode:
		pause(v.Node, e.Span)
	case faultPauseUpstream:
		pause(v.Upstream, e.Span)
	default:
		r.fail(fmt.Errorf("fault %q is not one of a process", e.Kind))
	}
}

func pause(p *fleet.Process, d time.Duration) {
	p.Pause()
	time.Sleep(d)
	p.Resume()
}

// start starts a node again and waits until it is ready, so that the next fault
// does not hit a node that never served.
func (r *run) start(v *vmState) {
	if err := v.Node.Restart(); err != nil {
		r.judge.add(finding{Rule: ruleExit, Subject: v.Name, Detail: fmt.Sprintf("start: %v", err)})
		return
	}
	for end := time.Now().Add(readyTimeout); !r.fleet.Ready(v.VM); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			r.judge.add(finding{Rule: ruleRecover, Subject: v.Name, Detail: fmt.Sprintf("not ready %s after its start", readyTimeout)})
			return
		}
	}
}

// applyToPlatform carries out an event on the platform.
func (r *run) applyToPlatform(e event) {
	r.platformMu.Lock()
	defer r.platformMu.Unlock()
	switch e.Kind {
	case faultPublish:
		if err := r.fleet.Publish("records/"+kindHistory, historyRecord(r.revision+1)); err != nil {
			r.fail(err)
			return
		}
		r.revision++
	case faultPlatformDown:
		r.setPlatform("down")
		time.Sleep(e.Span)
		r.setPlatform("up")
	default:
		r.fail(fmt.Errorf("fault %q is not one of the platform", e.Kind))
	}
}

func (r *run) setPlatform(mode string) {
	if err := r.fleet.SetPlatformMode(mode); err != nil {
		r.fail(err)
	}
}

// setUpstream changes parameters of an upstream. One that is paused takes them when it
// goes on.
func (r *run) setUpstream(v *vmState, parameters string) {
	for range 3 {
		if r.fleet.SetUpstream(v.VM, parameters) == nil {
			return
		}
	}
	r.fail(fmt.Errorf("upstream of %s does not answer", v.Name))
}
