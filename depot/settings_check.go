package depot

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// maxHeadroom is the maximum share of the slots that may be left free, in
// percent.
const maxHeadroom = 50

// settingsChecker collects the faults of one settings file.
type settingsChecker struct {
	name   string
	body   []byte
	faults []string
}

// err returns all faults as one error.
func (c *settingsChecker) err() error {
	err := errors.New(strings.Join(c.faults, "\n"))
	return &Error{Op: "check settings", Kind: KindSettings, Err: err}
}

func (c *settingsChecker) addFault(line int, format string, args ...any) {
	fault := fmt.Sprintf("%s:%d: %s", c.name, line, fmt.Sprintf(format, args...))
	if !slices.Contains(c.faults, fault) {
		c.faults = append(c.faults, fault)
	}
}

// line returns the line of a key within a section, or else the line of the
// section, or else 1.
func (c *settingsChecker) line(section, key string) int {
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

func (c *settingsChecker) check(f *settingsFile) {
	c.required("vm", f.VM)
	c.required("service", f.Service)
	c.required("region", f.Region)
	c.required("zone", f.Zone)
	c.ports(f)
	c.address("upstream", "address", f.Upstream.Address)
	if host, _, err := net.SplitHostPort(f.Upstream.Address); err == nil && net.ParseIP(host) == nil {
		c.addFault(c.line("upstream", "address"), "upstream.address %q must have an IP address", f.Upstream.Address)
	}
	if f.Adapter.Name == "" {
		c.positive("slots", f.Upstream.Slots)
		c.positive("connections", f.Upstream.Connections)
	}
	if h := f.Upstream.Headroom; h < 0 || h > maxHeadroom {
		c.addFault(c.line("upstream", "headroom_percent"), "upstream.headroom_percent must be 0 to %d", maxHeadroom)
	}
	if f.Upstream.Connections < f.Upstream.Slots {
		c.addFault(c.line("upstream", "connections"), "upstream.connections %d is less than upstream.slots %d",
			f.Upstream.Connections, f.Upstream.Slots)
	}
	if len(f.Platform) == 0 {
		c.addFault(c.line("", "platform"), "platform needs at least one address")
	}
	for _, a := range f.Platform {
		c.address("", "platform", a)
	}
	for _, a := range f.Seeds {
		c.address("", "seeds", a)
	}
	c.oneOf("callers", "identity", f.Callers.Identity, identityAddress, identityHeader)
	c.optionalNumbers(f)
	c.oneOf("policy", "queue", f.Policy.Queue, queueRanked, queueFIFO)
	c.oneOf("policy", "limit", f.Policy.Limit, limitAdaptive, limitFixed)
	c.oneOf("policy", "retries", f.Policy.Retries, retriesBudget, retriesPerHop)
	c.oneOf("policy", "early", f.Policy.Early, earlyOn, earlyOff)
	c.transport(f)
	c.routes(f)
}

func (c *settingsChecker) required(key, value string) {
	switch {
	case value == "":
		c.addFault(c.line("", key), "%s is missing", key)
	case !settingName.MatchString(value):
		c.addFault(c.line("", key), "%s %q must be 1 to 63 letters, digits, dots, dashes or underscores", key, value)
	}
}

// settingName matches valid names in settings.
var settingName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,63}$`)

func (c *settingsChecker) positive(key string, value int) {
	if value < 1 {
		c.addFault(c.line("upstream", key), "upstream.%s must be 1 or more", key)
	}
}

func (c *settingsChecker) address(section, key, value string) {
	name := strings.TrimPrefix(section+"."+key, ".")
	line := c.line(section, key)
	if value == "" {
		c.addFault(line, "%s is missing", name)
		return
	}
	_, port, err := net.SplitHostPort(value)
	if err != nil {
		c.addFault(line, "%s %q must be host:port", name, value)
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		c.addFault(line, "%s %q needs a port from 1 to 65535", name, value)
	}
}

// ports checks the four listening addresses and that they all differ.
func (c *settingsChecker) ports(f *settingsFile) {
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
			c.addFault(c.line("listen", l.key), "listen.%s uses the same address as listen.%s", l.key, other)
		}
		seen[l.value] = l.key
	}
}

// oneOf checks an optional value that has two valid words.
func (c *settingsChecker) oneOf(section, key, value, first, second string) {
	if value != "" && value != first && value != second {
		c.addFault(c.line(section, key), "%s.%s %q must be %q or %q", section, key, value, first, second)
	}
}

// optionalNumbers checks the numbers in the settings for retries, the planned
// stop, heap growth and the adapter.
func (c *settingsChecker) optionalNumbers(f *settingsFile) {
	r := f.Retries
	if r.Share < 0 || r.Share > 1 || r.Base < 0 || r.Window < 0 {
		c.addFault(c.line("", "retries"), "retries.share must be 0 to 1, retries.spare and retries.window_s must be 0 or more")
	}
	if f.Stop.MaxDuration < 0 {
		c.addFault(c.line("stop", "within_s"), "stop.within_s must be 0 or more")
	}
	if f.Limits.Memory < 0 || f.Limits.Descriptors < 0 {
		c.addFault(c.line("", "limits"), "limits.memory_mb and limits.descriptors must be 0 or more")
	}
	if f.HeapGrowth < 0 || f.HeapGrowth > maxHeapGrowth {
		c.addFault(c.line("", "heap_growth_percent"), "heap_growth_percent must be 0 to %d", maxHeapGrowth)
	}
	if a := f.Adapter; a.Name != "" && (a.PeerPort < 0 || a.PeerPort > 65535 || a.AnswerGrace < 0 || a.AddressReuse < 0) {
		c.addFault(c.line("", "adapter"), "adapter.peer_port must be 0 to 65535, adapter.answer_grace_ms and adapter.address_reuse_s must be 0 or more")
	}
}

// maxHeapGrowth is the maximum of heap_growth_percent.
const maxHeapGrowth = 1000

func (c *settingsChecker) transport(f *settingsFile) {
	t := f.Transport
	files := t.Certificate != "" && t.Key != "" && t.Authority != ""
	none := t.Certificate == "" && t.Key == "" && t.Authority == ""
	line := c.line("transport", "plain")
	switch {
	case t.Plain && !none:
		c.addFault(line, "transport.plain cannot be combined with certificate, key or authority")
	case !t.Plain && !files:
		c.addFault(line, "transport needs certificate, key and authority, or plain: true")
	}
}

// methods are the HTTP methods that a route may have.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (c *settingsChecker) routes(f *settingsFile) {
	for i, r := range f.Routes {
		if r.Method == "" || !strings.HasPrefix(r.Prefix, "/") || r.Kind == "" {
			c.addFault(c.line("", "routes"), "route %d needs a method, a prefix that starts with / and a kind", i+1)
		} else if !slices.Contains(methods, r.Method) {
			c.addFault(c.line("", "routes"), "route %d: method %q is not a supported HTTP method", i+1, r.Method)
		}
	}
}
