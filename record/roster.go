package record

// VMState is the state of a VM as listed by the platform.
type VMState string

// The states of a VM in a roster.
const (
	StateLive    VMState = "live"
	StateLeaving VMState = "leaving"
)

// VM is one entry of a roster. It is immutable.
type VM struct {
	name    string
	region  string
	zone    string
	address string
	state   VMState
	// upstream is the address of the VM's upstream, empty when unknown. slots is
	// the number of requests that the upstream runs concurrently, 0 when unknown.
	upstream string
	slots    int
}

// NewVM returns an entry. The address is the host and port on which the VM's
// node listens for peers.
func NewVM(name, region, zone, address string, state VMState) VM {
	return VM{name: name, region: region, zone: zone, address: address, state: state}
}

// WithUpstream returns a copy with the address of the VM's upstream and the
// number of requests that the upstream runs concurrently.
func (v VM) WithUpstream(address string, slots int) VM {
	v.upstream, v.slots = address, slots
	return v
}

// Upstream returns the address of the VM's upstream, or "" when unknown.
func (v VM) Upstream() string { return v.upstream }

// Slots returns the number of requests that the upstream runs concurrently, or
// 0 when unknown.
func (v VM) Slots() int { return v.slots }

// Name returns the name of the VM, unique in the fleet.
func (v VM) Name() string { return v.name }

// Region returns the region of the VM.
func (v VM) Region() string { return v.region }

// Zone returns the availability zone of the VM.
func (v VM) Zone() string { return v.zone }

// Address returns the host and port on which the VM's node listens for peers.
func (v VM) Address() string { return v.address }

// State returns the state that the platform lists, which may be out of date.
func (v VM) State() VMState { return v.state }

// Roster lists the VMs of one service. It is immutable.
type Roster struct {
	// service is never empty.
	service string
	// vms has unique names.
	vms []VM
}

func (*Roster) isContent() {}

// NewRoster returns the roster of a service. The names of the VMs must be
// unique.
func NewRoster(service string, vms []VM) *Roster {
	return &Roster{service: service, vms: vms}
}

// Service returns the service that the VMs run.
func (r *Roster) Service() string { return r.service }

// VMs returns the entries in the order of the document. The caller must not
// change them.
func (r *Roster) VMs() []VM { return r.vms }

type rosterV1 struct {
	Schema   int    `yaml:"schema"`
	Revision uint64 `yaml:"revision"`
	Service  string `yaml:"service"`
	VMs      []vmV1 `yaml:"vms"`
}

type vmV1 struct {
	Name    string  `yaml:"name"`
	Region  string  `yaml:"region"`
	Zone    string  `yaml:"zone"`
	Address string  `yaml:"address"`
	State   VMState `yaml:"state"`
}

func (v *rosterV1) roster() *Roster {
	vms := make([]VM, 0, len(v.VMs))
	for _, m := range v.VMs {
		vms = append(vms, NewVM(m.Name, m.Region, m.Zone, m.Address, m.State))
	}
	return &Roster{service: v.Service, vms: vms}
}
