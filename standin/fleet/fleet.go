package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	// readyTimeout bounds the start of a deployment.
	readyTimeout = 30 * time.Second
	// readyPoll is how often a port is tried while a deployment starts.
	readyPoll = 20 * time.Millisecond
	// connectionsPerSlot is the number of connections that an upstream takes
	// for each slot.
	connectionsPerSlot = 8
)

// VM is one VM of a deployment with its upstream and its node.
type VM struct {
	Name    string
	Service string
	Place   Place
	// PeerAddress is the address that the roster lists.
	PeerAddress string
	// CallerAddress, OnwardAddress and OperatorAddress are ports of the node.
	CallerAddress, OnwardAddress, OperatorAddress string
	UpstreamAddress                               string
	Node, Upstream                                *Process

	state    string
	listen   string
	settings string
}

// Fleet is a running deployment.
type Fleet struct {
	VMs             []*VM
	Platform        *Process
	PlatformAddress string

	bin, dir  string
	plan      Plan
	revisions map[string]int
	relays    []*Relay
	client    *http.Client
}

// Start starts a deployment with the programs in bin and its files in dir, and
// waits until every node is ready.
func Start(bin, dir string, plan Plan) (*Fleet, error) {
	f := &Fleet{
		bin:       bin,
		dir:       dir,
		plan:      plan,
		revisions: make(map[string]int),
		client:    &http.Client{Timeout: 5 * time.Second},
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
		for i, place := range s.Places {
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

func (f *Fleet) startPlatform() error {
	address := NewHost().Platform()
	f.PlatformAddress = address
	args := []string{"--listen", address}
	if f.plan.PlatformRate > 0 {
		args = append(args, "--rate", fmt.Sprint(f.plan.PlatformRate))
	}
	var err error
	f.Platform, err = start(filepath.Join(f.bin, "platform"), filepath.Join(f.dir, "platform.log"), args...)
	if err != nil {
		return err
	}
	return f.waitFor(func() bool {
		res, err := f.client.Get("http://" + address + "/admin/reads")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return true
	})
}

func (f *Fleet) newVM(s Service, i int, place Place) (*VM, error) {
	host := NewHost()
	v := &VM{
		Name:            fmt.Sprintf("%s-%d", s.Name, i+1),
		Service:         s.Name,
		Place:           place,
		PeerAddress:     host.Relay(),
		CallerAddress:   host.Callers(),
		OnwardAddress:   host.Onward(),
		OperatorAddress: host.Operators(),
		UpstreamAddress: host.Upstream(),
		state:           "live",
		listen:          host.Peers(),
	}
	if f.plan.Direct {
		v.PeerAddress = v.listen
		return v, nil
	}
	relay, err := newRelay(v.PeerAddress, v.listen)
	if err != nil {
		return nil, err
	}
	f.relays = append(f.relays, relay)
	return v, nil
}

func (f *Fleet) publishAll() error {
	for kind, text := range f.plan.Records {
		if err := f.Publish("records/"+kind, text); err != nil {
			return err
		}
	}
	for _, s := range f.plan.Services {
		if err := f.PublishRoster(s.Name); err != nil {
			return err
		}
	}
	return nil
}

// PublishRoster publishes the VMs of a service at the next revision.
func (f *Fleet) PublishRoster(service string) error {
	f.revisions[service]++
	var vms []*VM
	for _, v := range f.VMs {
		if v.Service == service {
			vms = append(vms, v)
		}
	}
	return f.Publish("vms/"+service, roster(f.revisions[service], service, vms))
}

// Publish puts a document on the platform, as an operator would.
func (f *Fleet) Publish(key, text string) error {
	q, err := http.NewRequest(http.MethodPut, "http://"+f.PlatformAddress+"/admin/value?key="+key, strings.NewReader(text))
	if err != nil {
		return err
	}
	return f.expectOK(q)
}

// SetPlatform puts the platform into mode up, down or stale.
func (f *Fleet) SetPlatform(mode string) error {
	q, err := http.NewRequest(http.MethodPost, "http://"+f.PlatformAddress+"/admin/mode?mode="+mode, nil)
	if err != nil {
		return err
	}
	return f.expectOK(q)
}

// MarkPlatform keeps the documents of now as the copy that mode stale serves.
func (f *Fleet) MarkPlatform() error {
	q, err := http.NewRequest(http.MethodPost, "http://"+f.PlatformAddress+"/admin/mark", nil)
	if err != nil {
		return err
	}
	return f.expectOK(q)
}

// Reads returns the number of reads that the platform has answered.
func (f *Fleet) Reads() (int, error) {
	return f.number("http://" + f.PlatformAddress + "/admin/reads")
}

// Attempts returns the number of calls that reached a VM's upstream, refused
// ones included.
func (f *Fleet) Attempts(v *VM) (int, error) {
	return f.number("http://" + v.UpstreamAddress + "/admin/attempts")
}

func (f *Fleet) number(url string) (int, error) {
	res, err := f.client.Get(url)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	var n int
	err = json.NewDecoder(res.Body).Decode(&n)
	return n, err
}

// SetUpstream changes the behaviour of a VM's upstream, for example with
// "service-time=1s".
func (f *Fleet) SetUpstream(v *VM, query string) error {
	q, err := http.NewRequest(http.MethodPost, "http://"+v.UpstreamAddress+"/admin/set?"+query, nil)
	if err != nil {
		return err
	}
	return f.expectOK(q)
}

func (f *Fleet) expectOK(q *http.Request) error {
	res, err := f.client.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d", q.Method, q.URL, res.StatusCode)
	}
	return nil
}

func (f *Fleet) startVM(v *VM) error {
	var service Service
	for _, s := range f.plan.Services {
		if s.Name == v.Service {
			service = s
		}
	}
	args := []string{
		"--listen", v.UpstreamAddress,
		"--node", v.OnwardAddress,
		"--slots", fmt.Sprint(service.Slots),
		"--service-time", service.ServiceTime.String(),
		"--loss", fmt.Sprint(service.Loss),
	}
	for _, kind := range service.Onward {
		args = append(args, "--onward", kind)
	}
	var err error
	v.Upstream, err = start(filepath.Join(f.bin, "upstream"), filepath.Join(f.dir, v.Name+"-upstream.log"), args...)
	if err != nil {
		return err
	}
	v.settings = filepath.Join(f.dir, v.Name+".yaml")
	if err := os.WriteFile(v.settings, []byte(f.settingsOf(v, service)), 0o600); err != nil {
		return err
	}
	v.Node, err = start(filepath.Join(f.bin, "node"), filepath.Join(f.dir, v.Name+".log"), "run", "--settings", v.settings)
	return err
}

func (f *Fleet) settingsOf(v *VM, s Service) string {
	text := fmt.Sprintf(`vm: %s
service: %s
region: %s
zone: %s
listen:
  callers: %s
  upstream: %s
  peers: %s
  operators: %s
upstream:
  address: %s
  slots: %d
  connections: %d
platform: [%q]
callers:
  identity: header
transport:
  plain: true
`, v.Name, v.Service, v.Place.Region, v.Place.Zone, v.CallerAddress, v.OnwardAddress, v.listen,
		v.OperatorAddress, v.UpstreamAddress, s.Slots, s.Slots*connectionsPerSlot, f.PlatformAddress)
	if len(f.plan.Policy) > 0 {
		text += "policy:\n  " + strings.Join(f.plan.Policy, "\n  ") + "\n"
	}
	return text
}

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
	if err := f.Get(v, "/v1/status", &status); err != nil {
		return false
	}
	return status.Ready && status.Records >= len(f.plan.Records)+len(f.plan.Services)
}

// Get reads a report of a VM's node.
func (f *Fleet) Get(v *VM, path string, into any) error {
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
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// Service returns the VMs of a service.
func (f *Fleet) Service(name string) []*VM {
	var out []*VM
	for _, v := range f.VMs {
		if v.Service == name {
			out = append(out, v)
		}
	}
	return out
}

// SetState changes the state of a VM in the next roster.
func (v *VM) SetState(state string) { v.state = state }

// Relay returns the relay in front of a VM's node.
func (f *Fleet) Relay(v *VM) *Relay {
	for _, r := range f.relays {
		if r.Address() == v.PeerAddress {
			return r
		}
	}
	return nil
}

// Runs returns how often each piece of work of a kind ran, over all upstreams
// that are up.
func (f *Fleet) Runs(kind string) map[string]int {
	out := make(map[string]int)
	for _, v := range f.VMs {
		for id, n := range f.logOf(v)[kind] {
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

// RunsOn returns the number of runs that a VM's upstream logged.
func (f *Fleet) RunsOn(v *VM) int {
	n := 0
	for _, kind := range f.logOf(v) {
		for _, runs := range kind {
			n += runs
		}
	}
	return n
}

// logOf returns the log of a VM's upstream, or nil when it is down.
func (f *Fleet) logOf(v *VM) map[string]map[string]int {
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
