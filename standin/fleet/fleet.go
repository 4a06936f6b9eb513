package fleet

import (
	"net/http"
	"time"
)

const (
	// readyTimeout bounds each wait for the platform or for all nodes.
	readyTimeout = 30 * time.Second
	// readyPollInterval is the pause between two readiness checks.
	readyPollInterval = 20 * time.Millisecond
	// connectionsPerSlot is the number of connections that a node may open to
	// its upstream for each slot.
	connectionsPerSlot = 8
)

// Fleet is a running deployment.
type Fleet struct {
	VMs []*VM
	// Platform is the stand-in for the configuration platform.
	Platform        *Process
	PlatformAddress string

	bin, dir        string
	plan            Plan
	rosterRevisions map[string]int
	relays          []*Relay
	client          *http.Client
}

// Start starts a deployment with the binaries in bin and waits until every node
// is ready. Settings and log files are written to dir. When a process fails to
// start or the deployment is not ready within 30 seconds, Start stops what it
// started and returns the error.
func Start(bin, dir string, plan Plan) (*Fleet, error) {
	f := &Fleet{
		bin:             bin,
		dir:             dir,
		plan:            plan,
		rosterRevisions: make(map[string]int),
		client:          &http.Client{Timeout: 5 * time.Second},
	}
	if err := f.start(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	if err := f.startPlatform(); err != nil {
		return err
	}
	for _, s := range f.plan.Services {
		for i, location := range s.Locations {
			v, err := f.newVM(s, i, location)
			if err != nil {
				return err
			}
			f.VMs = append(f.VMs, v)
		}
	}
	if err := f.publishAll(); err != nil {
		return err
	}
	for _, v := range f.VMs {
		if err := f.startVM(v); err != nil {
			return err
		}
	}
	return f.WaitReady()
}

// ServiceVMs returns the VMs of a service.
func (f *Fleet) ServiceVMs(name string) []*VM {
	var out []*VM
	for _, v := range f.VMs {
		if v.Service == name {
			out = append(out, v)
		}
	}
	return out
}

// Relay returns the relay in front of a VM's node, or nil if Plan.Direct is set.
func (f *Fleet) Relay(v *VM) *Relay {
	for _, r := range f.relays {
		if r.Address() == v.PeerAddress {
			return r
		}
	}
	return nil
}

// Stop kills every process and closes the relays.
func (f *Fleet) Stop() {
	for _, v := range f.VMs {
		for _, p := range []*Process{v.Node, v.Upstream} {
			if p != nil {
				p.Resume()
				p.Kill()
			}
		}
	}
	if f.Platform != nil {
		f.Platform.Kill()
	}
	for _, r := range f.relays {
		r.Close()
	}
}

// Drain tells a VM's node, through its operator port, to take no new work.
func (f *Fleet) Drain(v *VM) error {
	q, err := http.NewRequest(http.MethodPost, "http://"+v.OperatorAddress+"/v1/drain", nil)
	if err != nil {
		return err
	}
	return f.expectOK(q)
}
