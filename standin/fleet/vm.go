package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// VM is one VM of a deployment: an upstream process and a node process.
type VM struct {
	Name     string
	Service  string
	Location Location
	// PeerAddress is the address in the roster: that of the relay, or of the
	// node itself if Plan.Direct is set.
	PeerAddress string
	// CallerAddress, NestedCallAddress and OperatorAddress are addresses of the
	// node, as host and port.
	CallerAddress, NestedCallAddress, OperatorAddress string
	UpstreamAddress                                   string
	Node, Upstream                                    *Process

	state             string
	peerListenAddress string
	settingsPath      string
}

func (f *Fleet) newVM(s Service, i int, location Location) (*VM, error) {
	host := NewHost()
	v := &VM{
		Name:              fmt.Sprintf("%s-%d", s.Name, i+1),
		Service:           s.Name,
		Location:          location,
		PeerAddress:       host.RelayAddress(),
		CallerAddress:     host.CallerAddress(),
		NestedCallAddress: host.NestedCallAddress(),
		OperatorAddress:   host.OperatorAddress(),
		UpstreamAddress:   host.UpstreamAddress(),
		state:             "live",
		peerListenAddress: host.PeerAddress(),
	}
	if f.plan.Direct {
		v.PeerAddress = v.peerListenAddress
		return v, nil
	}
	relay, err := newRelay(v.PeerAddress, v.peerListenAddress)
	if err != nil {
		return nil, err
	}
	f.relays = append(f.relays, relay)
	return v, nil
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
		"--node", v.NestedCallAddress,
		"--slots", fmt.Sprint(service.Slots),
		"--service-time", service.ServiceTime.String(),
		"--loss", fmt.Sprint(service.Loss),
	}
	for _, kind := range service.NestedKinds {
		args = append(args, "--onward", kind)
	}
	var err error
	v.Upstream, err = startProcess(filepath.Join(f.bin, "upstream"), filepath.Join(f.dir, v.Name+"-upstream.log"), args...)
	if err != nil {
		return err
	}
	v.settingsPath = filepath.Join(f.dir, v.Name+".yaml")
	if err := os.WriteFile(v.settingsPath, []byte(f.formatSettings(v, service)), 0o600); err != nil {
		return err
	}
	v.Node, err = startProcess(filepath.Join(f.bin, "node"), filepath.Join(f.dir, v.Name+".log"), "run", "--settings", v.settingsPath)
	return err
}

func (f *Fleet) formatSettings(v *VM, s Service) string {
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
`, v.Name, v.Service, v.Location.Region, v.Location.Zone, v.CallerAddress, v.NestedCallAddress, v.peerListenAddress,
		v.OperatorAddress, v.UpstreamAddress, s.Slots, s.Slots*connectionsPerSlot, f.PlatformAddress)
	if len(f.plan.Policy) > 0 {
		text += "policy:\n  " + strings.Join(f.plan.Policy, "\n  ") + "\n"
	}
	return text
}

// SetState sets the state of the VM in the roster. It takes effect at the next
// Fleet.PublishRoster.
func (v *VM) SetState(state string) { v.state = state }
