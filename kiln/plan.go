package kiln

import "cuminhollow.example/clock"

// Plan describes a simulation. All times are in milliseconds.
type Plan struct {
	// Seed seeds the random numbers: runs with the same plan have the same
	// result.
	Seed uint64
	// Zones are the availability zones; each service has VMs in all of them.
	Zones        []Zone
	Services     []Service
	Kinds        []Kind
	Disturbances []Disturbance
	// Length is how long clients send requests.
	Length clock.Millis
	// RetryLimits bound the retries that reach the upstreams of a service.
	RetryLimits RetryLimits
}

// Zone is an availability zone in a region. Share is the part of all client
// requests that is sent there; the shares of all zones should add up to 1.
type Zone struct {
	Name, Region string
	Share        float64
}

// Service is a group of upstreams that differ only in their speeds.
type Service struct {
	Name string
	// VMsPerZone is the number of VMs in each zone. The first ExtraVMs zones have
	// one more.
	VMsPerZone, ExtraVMs int
	// Slots is the number of requests that an upstream runs at once.
	Slots int
	// Speeds are assigned to the upstreams in rotation. The service time of a
	// request is divided by the speed. If empty, all speeds are 1.
	Speeds []float64
	// Knee is the utilisation, as a share of the slots, above which requests
	// take KneeFactor times as long; 0 for no such slowdown.
	Knee, KneeFactor float64
}

// Kind is a kind of work.
type Kind struct {
	Name, Service string
	// Rate is the number of client requests per second; 0 for a kind that only
	// upstreams call.
	Rate float64
	// ServiceTime is the mean duration of the upstream's own work, without
	// nested calls, and Variation its coefficient of variation.
	ServiceTime clock.Millis
	Variation   float64
	// NestedCalls are made by each run, one after the other.
	NestedCalls []NestedCalls
	// TargetTime is the time within which an answer has its full value, and
	// TimeLimit the longest time that a node works on a call.
	TargetTime, TimeLimit clock.Millis
	// ClientTimeout is how long a client waits for an answer, over all its
	// attempts.
	ClientTimeout clock.Millis
	Rank          int
	Idempotent    bool
	// Tries is the maximum number of upstreams that one call may reach.
	Tries int
	// Value is the value of an answer within TargetTime, and LateValue that of
	// a later answer.
	Value, LateValue float64
}

// NestedCalls are Count nested calls of one kind.
type NestedCalls struct {
	Kind  string
	Count int
}

// RetryLimits configures the ledger.RetryLimiter of each VM of a service: in
// any Window, retries up to a Share of the first requests, plus Base, which is
// divided evenly among all VMs of the service.
type RetryLimits struct {
	Share, Base float64
	Window      clock.Millis
}

// Disturbance is a Burst, a Slowdown, a Shedding or a Restart.
type Disturbance interface {
	isDisturbance()
}

// Interval is the time from From to To, excluding To.
type Interval struct {
	From, To clock.Millis
}

func (i Interval) contains(now clock.Millis) bool { return now >= i.From && now < i.To }

// Burst multiplies the rate of client requests of a kind, or of all kinds if
// Kind is empty, by Factor.
type Burst struct {
	Interval
	Kind   string
	Factor float64
}

// Slowdown multiplies the service times on the first VMs of a service by
// Factor. VMs is the number of these VMs over all zones.
type Slowdown struct {
	Interval
	Service string
	VMs     int
	Factor  float64
}

// Shedding makes all upstreams of a service refuse a share of their requests.
type Shedding struct {
	Interval
	Service string
	Share   float64
}

// Restart stops all nodes at From without waiting for calls in flight, and
// starts them at To. The upstreams keep running what they were sent.
type Restart struct {
	Interval
}

func (Burst) isDisturbance()    {}
func (Slowdown) isDisturbance() {}
func (Shedding) isDisturbance() {}
func (Restart) isDisturbance()  {}
