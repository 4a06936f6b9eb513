package record

import (
	"cmp"
	"slices"
	"strings"

	"cuminhollow.example/clock"
)

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes are 0 where there is no limit, in bytes.
	HeaderBytes, BodyBytes int64
	// HeaderTime bounds the reading of a header, and IdleTime a connection
	// between two requests; 0 where there is no limit.
	HeaderTime, IdleTime clock.Millis
}

// Route maps the requests of a host below a path to a kind of work.
type Route struct {
	// Host is compared without regard to case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Policy *Policy
}

// Configuration is one version of all routes. It is immutable.
type Configuration struct {
	version uint64
	// byHost holds the routes of a host, the longest prefix first.
	byHost     map[string][]Route
	limits     Limits
	routeCount int
}

// NewConfiguration returns a configuration of the routes. A version is newer
// than each smaller one.
func NewConfiguration(version uint64, routes []Route, limits Limits) *Configuration {
	c := &Configuration{version: version, byHost: make(map[string][]Route), limits: limits, routeCount: len(routes)}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, of := range c.byHost {
		slices.SortFunc(of, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Version returns the version.
func (c *Configuration) Version() uint64 { return c.version }

// Limits returns the limits on callers.
func (c *Configuration) Limits() Limits { return c.limits }

// Routes returns the number of routes.
func (c *Configuration) Routes() int { return c.routeCount }

// Match returns the policy of the route with the longest prefix of path among
// those of the host, or nil.
func (c *Configuration) Match(host, path string) *Policy {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r.Policy
		}
	}
	return nil
}
