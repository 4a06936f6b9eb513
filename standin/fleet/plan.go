package fleet

import (
	"fmt"
	"strings"
	"time"
)

// Plan describes a deployment.
type Plan struct {
	// Services are the services and their VMs.
	Services []Service
	// Records maps a kind of work to its record in YAML.
	Records map[string]string
	// Policy is the policy section of the nodes' settings, one "key: value" a
	// line; empty for the product's own.
	Policy []string
	// Direct leaves out the relays between nodes, so that their connections
	// cannot be made to fail.
	Direct bool
	// PlatformRate is the number of reads a second that the platform answers;
	// 0 means its default.
	PlatformRate int
}

// Service describes a service whose VMs are alike.
type Service struct {
	// Name is the name of the service.
	Name string
	// Places has one entry for each VM.
	Locations []Location
	// Slots is the number of calls that a VM runs at a time.
	Slots int
	// ServiceTime is the mean time of a call.
	ServiceTime time.Duration
	// Onward lists the kinds of work that each call asks of other services.
	NestedKinds []string
	// Loss is the share of calls whose connection is cut after they ran.
	Loss float64
}

// Place is where a VM runs.
type Location struct {
	Region, Zone string
}

// Spread returns n places that take turns over the zones of regions: each
// region has zones "REGION-a" and "REGION-b".
func SpreadOverZones(n int, regions ...string) []Location {
	out := make([]Location, 0, n)
	for i := range n {
		region := regions[i%len(regions)]
		zone := region + "-" + string(rune('a'+i/len(regions)%2))
		out = append(out, Location{Region: region, Zone: zone})
	}
	return out
}

// Work describes a kind of work for Record.
type Kind struct {
	Name, Service string
	Rank          int
	TargetTime    time.Duration
	// Retries counts the tries beyond the first.
	Retries               int
	Idempotent, Protected bool
}

// Record returns the record of a kind of work in schema 2.
func FormatRecord(revision int, w Kind) string {
	return fmt.Sprintf(`schema: 2
revision: %d
kind:
  name: %s
  service: %s
  idempotent: %t
urgency:
  rank: %d
  target: %s
  protected: %t
retries: %d
`, revision, w.Name, w.Service, w.Idempotent, w.Rank, w.TargetTime, w.Protected, w.Retries)
}

// Records returns the records of several kinds of work at revision 1.
func FormatRecords(works ...Kind) map[string]string {
	out := make(map[string]string, len(works))
	for _, w := range works {
		out[w.Name] = FormatRecord(1, w)
	}
	return out
}

// roster returns the roster of a service.
func formatRoster(revision int, service string, vms []*VM) string {
	var b strings.Builder
	fmt.Fprintf(&b, "schema: 1\nrevision: %d\nservice: %s\nvms:\n", revision, service)
	for _, v := range vms {
		fmt.Fprintf(&b, "  - {name: %s, region: %s, zone: %s, address: %q, state: %s}\n",
			v.Name, v.Location.Region, v.Location.Zone, v.PeerAddress, v.state)
	}
	return b.String()
}
