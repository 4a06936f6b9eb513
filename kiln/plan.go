package kiln

import "cuminhollow.example/clock"

// Plan is what a model is built from. Times are in milliseconds.
type Plan struct {
	// Seed makes two runs of one plan alike.
	Seed uint64
	// Zones are the availability zones; each service has VMs in all of them.
	Zones        []Zone
	Services     []Service
	Kinds        []Kind
	Disturbances []Disturbance
	// Length is how long clients send requests.
	Length clock.Millis
	// Repeats bound what reaches the upstreams of a service again.
	RetryLimits RetryLimits
}

// Zone is an availability zone in a region, and the part of all clients there.
type Zone struct {
	Name, Region string
	Share        float64
}

// Service is a group of upstreams that are alike but for their speeds.
type Service struct {
	Name string
	// VMs is the number in each zone.
	VMsPerZone int
	// Slots is the number of requests that an upstream runs at once.
	Slots int
	// Speeds are dealt to the upstreams in turn; work takes its time divided by
	// the speed.
	Speeds []float64
	// Knee is the share of the slots from which on work takes KneeFactor times
	// as long; 0 for none.
	Knee, KneeFactor float64
}

// Kind is a kind of work.
type Kind struct {
	Name, Service string
	// Rate is the number of requests of clients in a second; 0 for a kind that
	// only upstreams call.
	Rate float64
	// Work is the mean time of the upstream's own work, and Spread its standard
	// deviation as a part of the mean.
	ServiceTime clock.Millis
	Variation   float64
	// Calls are the onward calls of a run, made one after the other.
	NestedCalls []NestedCalls
	// Target is the time of an answer's full worth, and Limit the longest time
	// that a caller is kept waiting.
	TargetTime, TimeLimit clock.Millis
	// Deadline is how long clients wait, over all their attempts.
	ClientTimeout clock.Millis
	Rank          int
	Idempotent    bool
	// Tries is the most upstreams that one call may reach.
	Tries int
	// Worth is that of an answer within the target, and Late that of a later one.
	Value, LateValue float64
}

// Calls are onward calls of one kind.
type NestedCalls struct {
	Kind  string
	Count int
}

// Repeats are the bounds of a ledger.Repeats for a service: Share of the first
// requests of a Window, and Spare beyond, over all its VMs.
type RetryLimits struct {
	Share, Base float64
	Window      clock.Millis
}

// Trouble is a disturbance: a Burst, a Slowness, a Shedding or a Restart.
type Disturbance interface {
	isDisturbance()
}

// Span is a time from From to To, without To.
type Interval struct {
	From, To clock.Millis
}

func (s Interval) contains(now clock.Millis) bool { return now >= s.From && now < s.To }

// Burst multiplies the requests of clients for a kind, or for all kinds when
// Kind is empty.
type Burst struct {
	Interval
	Kind   string
	Factor float64
}

// Slowness makes the work of the first VMs of a service take Factor times as
// long.
type Slowdown struct {
	Interval
	Service string
	VMs     int
	Factor  float64
}

// Shedding makes all upstreams of a service refuse a share of what they get.
type Shedding struct {
	Interval
	Service string
	Share   float64
}

// Restart ends all nodes at From, in the middle of their work, and starts them
// at To. The upstreams go on with what they have.
type Restart struct {
	Interval
}

func (Burst) isDisturbance()    {}
func (Slowdown) isDisturbance() {}
func (Shedding) isDisturbance() {}
func (Restart) isDisturbance()  {}
