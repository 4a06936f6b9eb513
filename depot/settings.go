package depot

import (
	"bytes"
	"errors"
	"os"

	"cuminhollow.example/dispatch"
	"cuminhollow.example/record"
	"go.yaml.in/yaml/v3"
)

// Settings are the checked settings of one node. They are immutable.
type Settings struct {
	vm        string
	service   string
	locality  dispatch.Locality
	listen    listenSettings
	upstream  upstreamSettings
	platform  []string
	seeds     []string
	callers   callerSettings
	transport transportSettings
	policy    policySettings
	routes    []Route
	adapter   AdapterSettings
	retries   retrySettings
	stop      stopSettings
	vmLimits  vmLimitSettings
	operators operatorSettings
	// heapGrowth is from 0 to maxHeapGrowth.
	heapGrowth int
}

// Route maps a method and a path prefix to a kind of work.
type Route struct {
	Method string `yaml:"method"`
	Prefix string `yaml:"prefix"`
	Kind   string `yaml:"kind"`
}

type listenSettings struct {
	Callers   string `yaml:"callers"`
	Upstream  string `yaml:"upstream"`
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
	// Ready is the address of a separate port for readiness checks; empty for
	// none.
	Ready string `yaml:"ready"`
}

type upstreamSettings struct {
	Address     string `yaml:"address"`
	Slots       int    `yaml:"slots"`
	Connections int    `yaml:"connections"`
	// Headroom is the share of the slots that is left free, in percent.
	Headroom int `yaml:"headroom_percent"`
}

type callerSettings struct {
	// Identity selects how callers are identified: "address" (by IP address) or
	// "header" (by the header field HeaderCaller).
	Identity string `yaml:"identity"`
}

type transportSettings struct {
	Plain       bool   `yaml:"plain"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// policySettings replace mechanisms with simpler baselines for measurements.
// The zero value selects the product's own mechanisms.
type policySettings struct {
	// Queue is "ranked" (the default, by priority class) or "fifo".
	Queue string `yaml:"queue"`
	// Limit is "adaptive" (the default) or "fixed": the concurrency limit.
	Limit string `yaml:"limit"`
	// Retries is "budget" (the default) for one retry budget over the whole call
	// chain, or "per-hop" for independent retries at each hop.
	Retries string `yaml:"retries"`
	// Early is "on" (the default) if entries reject calls that owners would
	// reject, or "off".
	Early string `yaml:"early"`
}

// The values of the policy section.
const (
	queueRanked   = "ranked"
	queueFIFO     = "fifo"
	limitAdaptive = "adaptive"
	limitFixed    = "fixed"
	retriesBudget = "budget"
	retriesPerHop = "per-hop"
	earlyOn       = "on"
	earlyOff      = "off"
)

// The values of callers.identity.
const (
	identityAddress = "address"
	identityHeader  = "header"
)

type settingsFile struct {
	VM        string            `yaml:"vm"`
	Service   string            `yaml:"service"`
	Region    string            `yaml:"region"`
	Zone      string            `yaml:"zone"`
	Listen    listenSettings    `yaml:"listen"`
	Upstream  upstreamSettings  `yaml:"upstream"`
	Platform  []string          `yaml:"platform"`
	Seeds     []string          `yaml:"seeds"`
	Callers   callerSettings    `yaml:"callers"`
	Transport transportSettings `yaml:"transport"`
	Policy    policySettings    `yaml:"policy"`
	Routes    []Route           `yaml:"routes"`
	Adapter   AdapterSettings   `yaml:"adapter"`
	Retries   retrySettings     `yaml:"retries"`
	Stop      stopSettings      `yaml:"stop"`
	Limits    vmLimitSettings   `yaml:"limits"`
	Operators operatorSettings  `yaml:"operators"`
	// HeapGrowth is how much the heap may grow between two garbage collections, in
	// percent; 0 lets it grow to a fixed size.
	HeapGrowth int `yaml:"heap_growth_percent"`
}

// VM returns the name of the VM.
func (s *Settings) VM() string { return s.vm }

// Service returns the service that the VM's upstream runs.
func (s *Settings) Service() string { return s.service }

// Locality returns the region and availability zone of the VM.
func (s *Settings) Locality() dispatch.Locality { return s.locality }

// Adapter returns the settings of the adapter.
func (s *Settings) Adapter() AdapterSettings { return s.adapter }

// Seeds returns the addresses of nodes to query while no VM is known.
func (s *Settings) Seeds() []string { return s.seeds }

// Upstream returns the address of the VM's upstream.
func (s *Settings) Upstream() string { return s.upstream.Address }

// Platform returns the addresses of the configuration service.
func (s *Settings) Platform() []string { return s.platform }

// HeapGrowth returns how much the heap may grow between two garbage
// collections, in percent; 0 lets it grow to a fixed size.
func (s *Settings) HeapGrowth() int { return s.heapGrowth }

// Memory returns the memory of the VM for the process, in bytes; 0 if unknown.
func (s *Settings) Memory() int64 { return int64(s.vmLimits.Memory) << 20 }

// LoadSettings reads and checks the settings file at path. It returns an *Error
// that lists every fault.
func LoadSettings(path string) (*Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "read settings", Kind: KindSettings, Err: err}
	}
	return ParseSettings(path, body)
}

// ParseSettings parses and checks settings in YAML. It returns an *Error that
// lists every fault with its line; name is the file name to use in it.
func ParseSettings(name string, body []byte) (*Settings, error) {
	c := settingsChecker{name: name, body: body}
	var f settingsFile
	d := yaml.NewDecoder(bytes.NewReader(body))
	d.KnownFields(true)
	if err := d.Decode(&f); err != nil {
		for _, p := range record.YAMLProblems(err) {
			c.addFault(p.Line, "%s", p.Reason)
		}
		var typeErr *yaml.TypeError
		if !errors.As(err, &typeErr) {
			// The rest of the file was not decoded, so checking it would report
			// keys as missing that it may contain.
			return nil, c.err()
		}
	}
	c.check(&f)
	if len(c.faults) > 0 {
		return nil, c.err()
	}
	if f.Callers.Identity == "" {
		f.Callers.Identity = identityAddress
	}
	return &Settings{
		vm:        f.VM,
		service:   f.Service,
		locality:  dispatch.Locality{Region: f.Region, Zone: f.Zone},
		listen:    f.Listen,
		upstream:  f.Upstream,
		platform:  f.Platform,
		seeds:     f.Seeds,
		callers:   f.Callers,
		transport: f.Transport,
		policy:    f.Policy,
		routes:    f.Routes,
		adapter:   f.Adapter,
		retries:   f.Retries,
		stop:      f.Stop,
		vmLimits:  f.Limits,
		operators: f.Operators,

		heapGrowth: f.HeapGrowth,
	}, nil
}
