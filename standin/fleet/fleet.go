package fleet

import (
	"net/http"
	"time"
)

const (
	// readyTimeout bounds the start of a deployment.
	readyTimeout = 30 * time.Second
	// readyPoll is how often a port is tried while a deployment starts.
	readyPollInterval = 20 * time.Millisecond
	// connectionsPerSlot is the number of connections that an upstream takes
	// for each slot.
	connectionsPerSlot = 8
)

// Fleet is a running deployment.
type Fleet struct {
	VMs             []*VM
	Platform        *Process
	PlatformAddress string

	bin, dir        string
	plan            Plan
	rosterRevisions map[string]int
	relays          []*Relay
	client          *http.Client
}

// Start starts a deployment with the programs in bin and its files in dir, and
// waits until every node is ready.
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
		for i, place := range s.Locations {
			v, err := f.newVM(s, i, place)
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

// Service returns the VMs of a service.
func (f *Fleet) ServiceVMs(name string) []*VM {
	var out []*VM
	for _, v := range f.VMs {
		if v.Service == name {
			out = append(out, v)
		}
	}
	return out
}

// Relay returns the relay in front of a VM's node.
func (f *Fleet) Relay(v *VM) *Relay {
	for _, r := range f.relays {
		if r.Address() == v.PeerAddress {
			return r
		}
	}
	return nil
}

// Stop ends every process.
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

// Drain asks a VM's node to leave, as an operator would.
func (f *Fleet) Drain(v *VM) error {
	q, err := http.NewRequest(http.MethodPost, "http://"+v.OperatorAddress+"/v1/drain", nil)
	if err != nil {
		return err
	}
	return f.expectOK(q)
}
