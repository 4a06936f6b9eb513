package depot

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/ledger"
	"cuminhollow.example/record"
	"go.yaml.in/yaml/v3"
)

// Settings are the checked settings of one node. They are immutable.
type Settings struct {
	vm        string
	service   string
	place     dispatch.Place
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
	// heapGrowth is from 0 to maxHeapGrowth.
	heapGrowth int
}

// AdapterSettings tell a program which adapter connects the node, and what the
// adapter needs to know. The zero value is the product's own interface.
type AdapterSettings struct {
	// Name is empty for none.
	Name string `yaml:"name"`
	// Regions maps each availability zone to its region.
	Regions map[string]string `yaml:"regions"`
	// Grace is how long after its deadline an answer is still awaited, in
	// milliseconds.
	Grace clock.Millis `yaml:"answer_grace_ms"`
	// PeerPort is the port on which the nodes of all VMs listen for peers.
	PeerPort int `yaml:"peer_port"`
}

// retrySettings bound what reaches the upstreams of a service again, beside
// each request's tries. The zero value bounds it to a tenth.
type retrySettings struct {
	// Share is the repeats for each first request of a window, and Spare the
	// number beyond, over all VMs of the service.
	Share float64 `yaml:"share"`
	Spare float64 `yaml:"spare"`
	// Window is the span of a window, in seconds; 0 for the default.
	Window float64 `yaml:"window_s"`
}

const (
	defaultRepeatShare               = 0.1
	defaultRepeatSpare               = 10
	defaultRepeatWindow clock.Millis = 10 * clock.Second
	// repeatMargin is the part of what the settings allow that is used: calls
	// that a repeated run makes count as repeats too, and are not known as such.
	repeatMargin = 0.9
)

func (r retrySettings) repeats() *ledger.Repeats {
	if r.Window <= 0 {
		return ledger.NewRepeats(defaultRepeatShare, defaultRepeatSpare, defaultRepeatWindow)
	}
	window := clock.Millis(r.Window * float64(clock.Second))
	return ledger.NewRepeats(repeatMargin*r.Share, r.spareOf(1), window)
}

// spareOf returns the spare repeats of one of n VMs.
func (r retrySettings) spareOf(n int) float64 {
	if r.Window <= 0 {
		return defaultRepeatSpare
	}
	return repeatMargin * r.Spare / float64(max(n, 1))
}

// stopSettings say how a planned stop goes.
type stopSettings struct {
	// Within bounds the whole stop, in seconds; 0 for the default of 11 minutes,
	// which is longer than the longest target time. Where it is set, calls are
	// taken for a part of it, until callers have turned to other nodes.
	Within float64 `yaml:"within_s"`
}

const (
	defaultStop = 11 * clock.Minute
	// lingerPart of a stop is the time during which calls are still taken, and
	// settlePart the time after which no call is in flight.
	lingerPart = 0.38
	settlePart = 0.85
)

// linger returns how long calls are taken after a stop began.
func (s stopSettings) linger() time.Duration {
	return time.Duration(s.Within * lingerPart * float64(time.Second))
}

// timeout returns how long work in flight is waited for.
func (s stopSettings) timeout() time.Duration {
	if s.Within <= 0 {
		return defaultStop.Duration()
	}
	return time.Duration(s.Within * settlePart * float64(time.Second))
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
	// Ready answers whether the node is ready; empty for no port of its own.
	Ready string `yaml:"ready"`
}

type upstreamSettings struct {
	Address     string `yaml:"address"`
	Slots       int    `yaml:"slots"`
	Connections int    `yaml:"connections"`
}

type callerSettings struct {
	// Identity is "address" or "header".
	Identity string `yaml:"identity"`
}

type transportSettings struct {
	Plain       bool   `yaml:"plain"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// policySettings select baselines for measurements; the zero value is the
// product.
type policySettings struct {
	// Queue is "ranked" or "fifo".
	Queue string `yaml:"queue"`
	// Limit is "adaptive" or "fixed".
	Limit string `yaml:"limit"`
	// Retries is "budget" for one bound over the whole chain, or "per-hop".
	Retries string `yaml:"retries"`
	// Early is "on" when entries refuse what owners would refuse, or "off".
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
	// HeapGrowth is the growth of the heap between two collections, in percent;
	// 0 lets it grow to a fixed size.
	HeapGrowth int `yaml:"heap_growth_percent"`
}

// VM returns the name of the VM.
func (s *Settings) VM() string { return s.vm }

// Service returns the service that the VM's upstream runs.
func (s *Settings) Service() string { return s.service }

// Place returns the region and the availability zone of the VM.
func (s *Settings) Place() dispatch.Place { return s.place }

// Adapter returns the settings of the adapter.
func (s *Settings) Adapter() AdapterSettings { return s.adapter }

// Upstream returns the address of the VM's upstream.
func (s *Settings) Upstream() string { return s.upstream.Address }

// Platform returns the addresses of the configuration service.
func (s *Settings) Platform() []string { return s.platform }

// HeapGrowth returns the growth of the heap between two collections, in
// percent; 0 lets it grow to a fixed size.
func (s *Settings) HeapGrowth() int { return s.heapGrowth }

// LoadSettings reads and checks the settings file at path.
func LoadSettings(path string) (*Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "read settings", Kind: KindSettings, Err: err}
	}
	return ParseSettings(path, body)
}

// ParseSettings checks settings in YAML. The error lists every fault with its
// line; name stands for the file in it.
func ParseSettings(name string, body []byte) (*Settings, error) {
	c := settingsCheck{name: name, body: body}
	var f settingsFile
	d := yaml.NewDecoder(bytes.NewReader(body))
	d.KnownFields(true)
	if err := d.Decode(&f); err != nil {
		for _, p := range record.YAMLProblems(err) {
			c.fail(p.Line, "%s", p.Reason)
		}
		var values *yaml.TypeError
		if !errors.As(err, &values) {
			// What follows a syntax error was not read: nothing is known of it.
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
		place:     dispatch.Place{Region: f.Region, Zone: f.Zone},
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

		heapGrowth: f.HeapGrowth,
	}, nil
}

// settingsCheck collects the faults of one settings file.
type settingsCheck struct {
	name   string
	body   []byte
	faults []string
}

// err returns all faults as one error.
func (c *settingsCheck) err() error {
	err := errors.New(strings.Join(c.faults, "\n"))
	return &Error{Op: "check settings", Kind: KindSettings, Err: err}
}

func (c *settingsCheck) fail(line int, format string, args ...any) {
	fault := fmt.Sprintf("%s:%d: %s", c.name, line, fmt.Sprintf(format, args...))
	if !slices.Contains(c.faults, fault) {
		c.faults = append(c.faults, fault)
	}
}

// line returns the line of a key below a section, or of the section, or 1.
func (c *settingsCheck) line(section, key string) int {
	found, inSection := 1, section == ""
	for i, l := range strings.Split(string(c.body), "\n") {
		trimmed := strings.TrimLeft(l, " ")
		if len(trimmed) == len(l) && section != "" && trimmed != "" {
			inSection = strings.HasPrefix(trimmed, section+":")
			if inSection {
				found = i + 1
			}
		}
		if inSection && strings.HasPrefix(strings.TrimLeft(trimmed, "- {"), key+":") {
			return i + 1
		}
	}
	return found
}

func (c *settingsCheck) check(f *settingsFile) {
	c.required("vm", f.VM)
	c.required("service", f.Service)
	c.required("region", f.Region)
	c.required("zone", f.Zone)
	c.ports(f)
	c.address("upstream", "address", f.Upstream.Address)
	if host, _, err := net.SplitHostPort(f.Upstream.Address); err == nil && net.ParseIP(host) == nil {
		c.fail(c.line("upstream", "address"), "upstream.address %q must have an IP address", f.Upstream.Address)
	}
	if f.Adapter.Name == "" {
		c.positive("slots", f.Upstream.Slots)
		c.positive("connections", f.Upstream.Connections)
	}
	if f.Upstream.Connections < f.Upstream.Slots {
		c.fail(c.line("upstream", "connections"), "upstream.connections %d is less than upstream.slots %d",
			f.Upstream.Connections, f.Upstream.Slots)
	}
	if len(f.Platform) == 0 {
		c.fail(c.line("", "platform"), "platform needs at least one address")
	}
	for _, a := range f.Platform {
		c.address("", "platform", a)
	}
	for _, a := range f.Seeds {
		c.address("", "seeds", a)
	}
	c.oneOf("callers", "identity", f.Callers.Identity, identityAddress, identityHeader)
	c.retries(f)
	c.oneOf("policy", "queue", f.Policy.Queue, queueRanked, queueFIFO)
	c.oneOf("policy", "limit", f.Policy.Limit, limitAdaptive, limitFixed)
	c.oneOf("policy", "retries", f.Policy.Retries, retriesBudget, retriesPerHop)
	c.oneOf("policy", "early", f.Policy.Early, earlyOn, earlyOff)
	c.transport(f)
	c.routes(f)
}

func (c *settingsCheck) required(key, value string) {
	switch {
	case value == "":
		c.fail(c.line("", key), "%s is missing", key)
	case !settingName.MatchString(value):
		c.fail(c.line("", key), "%s %q must be 1 to 63 letters, digits, dots, dashes or underscores", key, value)
	}
}

// settingName is what names in settings look like.
var settingName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,63}$`)

func (c *settingsCheck) positive(key string, value int) {
	if value < 1 {
		c.fail(c.line("upstream", key), "upstream.%s must be 1 or more", key)
	}
}

func (c *settingsCheck) address(section, key, value string) {
	name := strings.TrimPrefix(section+"."+key, ".")
	line := c.line(section, key)
	if value == "" {
		c.fail(line, "%s is missing", name)
		return
	}
	_, port, err := net.SplitHostPort(value)
	if err != nil {
		c.fail(line, "%s %q must be host:port", name, value)
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		c.fail(line, "%s %q needs a port from 1 to 65535", name, value)
	}
}

// ports checks the four listening addresses and that no two are the same.
func (c *settingsCheck) ports(f *settingsFile) {
	seen := make(map[string]string)
	for _, l := range []struct{ key, value string }{
		{"callers", f.Listen.Callers},
		{"upstream", f.Listen.Upstream},
		{"peers", f.Listen.Peers},
		{"operators", f.Listen.Operators},
	} {
		if l.key == "upstream" && l.value == "" && f.Adapter.Name != "" {
			continue
		}
		c.address("listen", l.key, l.value)
		if other := seen[l.value]; other != "" && l.value != "" {
			c.fail(c.line("listen", l.key), "listen.%s uses the same address as listen.%s", l.key, other)
		}
		seen[l.value] = l.key
	}
}

// oneOf checks a word that may be left out.
func (c *settingsCheck) oneOf(section, key, value, first, second string) {
	if value != "" && value != first && value != second {
		c.fail(c.line(section, key), "%s.%s %q must be %q or %q", section, key, value, first, second)
	}
}

// retries checks what bounds repeats, stops and memory.
func (c *settingsCheck) retries(f *settingsFile) {
	r := f.Retries
	if r.Share < 0 || r.Share > 1 || r.Spare < 0 || r.Window < 0 {
		c.fail(c.line("", "retries"), "retries needs a share from 0 to 1, and spare and window_s of 0 or more")
	}
	if f.Stop.Within < 0 {
		c.fail(c.line("stop", "within_s"), "stop.within_s must be 0 or more")
	}
	if f.HeapGrowth < 0 || f.HeapGrowth > maxHeapGrowth {
		c.fail(c.line("", "heap_growth_percent"), "heap_growth_percent must be 0 to %d", maxHeapGrowth)
	}
	if a := f.Adapter; a.Name != "" && (a.PeerPort < 0 || a.PeerPort > 65535 || a.Grace < 0) {
		c.fail(c.line("", "adapter"), "adapter needs a peer_port up to 65535 and an answer_grace_ms of 0 or more")
	}
}

// maxHeapGrowth is the largest growth of the heap, in percent.
const maxHeapGrowth = 1000

func (c *settingsCheck) transport(f *settingsFile) {
	t := f.Transport
	files := t.Certificate != "" && t.Key != "" && t.Authority != ""
	none := t.Certificate == "" && t.Key == "" && t.Authority == ""
	line := c.line("transport", "plain")
	switch {
	case t.Plain && !none:
		c.fail(line, "transport.plain excludes certificate, key and authority")
	case !t.Plain && !files:
		c.fail(line, "transport needs certificate, key and authority, or plain: true")
	}
}

// methods are the methods that a route may have.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (c *settingsCheck) routes(f *settingsFile) {
	for i, r := range f.Routes {
		if r.Method == "" || !strings.HasPrefix(r.Prefix, "/") || r.Kind == "" {
			c.fail(c.line("", "routes"), "route %d needs a method, a prefix that starts with / and a kind", i+1)
		} else if !slices.Contains(methods, r.Method) {
			c.fail(c.line("", "routes"), "route %d: method %q is not one of HTTP", i+1, r.Method)
		}
	}
}
