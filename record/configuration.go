package record

import (
	"cmp"
	"slices"
	"strings"

	"cuminhollow.example/clock"
)

// Limits are the limits on the requests and connections of callers.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of a header and a body, in
	// bytes; 0 means no limit.
	HeaderBytes, BodyBytes int64
	// HeaderTime is the maximum time for reading a header and IdleTime the maximum
	// time between two requests on a connection, in milliseconds; 0 means no
	// limit.
	HeaderTime, IdleTime clock.Millis
}

// Route maps the requests for a host and a path prefix to a kind of work.
type Route struct {
	// Host is matched case-insensitively.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Policy *Policy
}

// Configuration is one version of all routes. It is immutable.
type Configuration struct {
	version uint64
	// byHost holds the routes by host in lower case, the longest prefix first.
	byHost     map[string][]Route
	limits     Limits
	routeCount int
}

// NewConfiguration returns a configuration with the given routes and limits. A
// higher version is newer.
func NewConfiguration(version uint64, routes []Route, limits Limits) *Configuration {
	c := &Configuration{version: version, byHost: make(map[string][]Route), limits: limits, routeCount: len(routes)}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, hostRoutes := range c.byHost {
		slices.SortFunc(hostRoutes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Version returns the version of the configuration.
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
