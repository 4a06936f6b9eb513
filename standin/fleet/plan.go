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
	// Records maps the name of each kind of work to its record in YAML.
	Records map[string]string
	// Policy holds the "key: value" lines of the policy section of the nodes'
	// settings. If it is empty, the nodes use their defaults.
	Policy []string
	// Direct connects the nodes to each other without relays. Connection
	// faults cannot be injected then.
	Direct bool
	// PlatformRate is the number of reads that the platform answers per
	// second; 0 selects the default of the stand-in.
	PlatformRate int
}

// Service describes a service whose VMs all have the same properties.
type Service struct {
	// Name is the service name. VMs are named NAME-1, NAME-2 and so on.
	Name string
	// Locations has one element per VM.
	Locations []Location
	// Slots is the number of calls that a VM runs concurrently.
	Slots int
	// ServiceTime is the mean run time of a call.
	ServiceTime time.Duration
	// NestedKinds lists the kinds of the nested calls that each call makes.
	NestedKinds []string
	// Loss is the fraction of calls, from 0 to 1, whose connection is closed
	// after the run and before the response.
	Loss float64
}

// Location is the region and the availability zone of a VM.
type Location struct {
	Region, Zone string
}

// SpreadOverZones returns n locations, assigned round robin to the regions and
// to the two zones of each region, "REGION-a" and "REGION-b".
func SpreadOverZones(n int, regions ...string) []Location {
	out := make([]Location, 0, n)
	for i := range n {
		region := regions[i%len(regions)]
		zone := region + "-" + string(rune('a'+i/len(regions)%2))
		out = append(out, Location{Region: region, Zone: zone})
	}
	return out
}

// Kind describes a kind of work for FormatRecord.
type Kind struct {
	Name, Service string
	Rank          int
	TargetTime    time.Duration
	// Retries is the number of tries after the first.
	Retries               int
	Idempotent, Protected bool
}

// FormatRecord returns the record of a kind of work as schema 2 YAML.
func FormatRecord(revision int, k Kind) string {
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
`, revision, k.Name, k.Service, k.Idempotent, k.Rank, k.TargetTime, k.Protected, k.Retries)
}

// FormatRecords returns the records of several kinds of work at revision 1, by
// kind.
func FormatRecords(kinds ...Kind) map[string]string {
	out := make(map[string]string, len(kinds))
	for _, k := range kinds {
		out[k.Name] = FormatRecord(1, k)
	}
	return out
}

// formatRoster returns the roster of a service as YAML.
func formatRoster(revision int, service string, vms []*VM) string {
	var b strings.Builder
	fmt.Fprintf(&b, "schema: 1\nrevision: %d\nservice: %s\nvms:\n", revision, service)
	for _, v := range vms {
		fmt.Fprintf(&b, "  - {name: %s, region: %s, zone: %s, address: %q, state: %s}\n",
			v.Name, v.Location.Region, v.Location.Zone, v.PeerAddress, v.state)
	}
	return b.String()
}
