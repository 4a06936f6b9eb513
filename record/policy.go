package record

import (
	"time"

	"cuminhollow.example/clock"
)

// The limits of the fields of a Policy.
const (
	// MaxRank is the least urgent rank.
	MaxRank = 7
	// MaxTries is the most tries, the first included, that a request may have.
	MaxTries = 16
	// MaxTarget is the longest target time, in milliseconds.
	MaxTarget = 10 * clock.Minute
)

// Policy states how one kind of work is treated. It is immutable.
type Policy struct {
	// name is the kind of work, never empty.
	name string
	// service runs the work, never empty unless retired.
	service string
	// rank is from 0, the most urgent, to MaxRank.
	rank int
	// target is from 1 to MaxTarget.
	target clock.Millis
	// tries is from 1 to MaxTries and includes the first.
	tries      int
	idempotent bool
	protected  bool
	retired    bool
	schema     int
	// limit is the longest time that a caller is kept waiting; 0 means target.
	timeout clock.Millis
	// parts share the work by weight; empty when service does all of it.
	weightedServices []WeightedService
}

// PolicyOption sets a field of a Policy.
type PolicyOption func(*Policy)

// NewPolicy returns the policy of a kind of work that a service runs: once, of
// rank 0, within a second, unless options say otherwise.
func NewPolicy(name, service string, opts ...PolicyOption) *Policy {
	p := &Policy{name: name, service: service, target: clock.Second, tries: 1, schema: SchemaV2}
	for _, o := range opts {
		o(p)
	}
	return p
}

// WithRank sets the rank, limited to 0 to MaxRank; the default is 0.
func WithRank(rank int) PolicyOption {
	return func(p *Policy) { p.rank = max(0, min(rank, MaxRank)) }
}

// WithTarget sets the target time, limited to 1 to MaxTarget; the default is
// one second.
func WithTarget(target clock.Millis) PolicyOption {
	return func(p *Policy) { p.target = max(1, min(target, MaxTarget)) }
}

// WithLimit sets the longest time that a caller is kept waiting; the default is
// the target time.
func WithTimeout(limit clock.Millis) PolicyOption {
	return func(p *Policy) { p.timeout = max(0, min(limit, MaxTarget)) }
}

// WithTries sets the tries, limited to 1 to MaxTries; the default is 1.
func WithTries(tries int) PolicyOption {
	return func(p *Policy) { p.tries = max(1, min(tries, MaxTries)) }
}

// WithIdempotent marks work that may run twice; the default is work that may
// not.
func WithIdempotent(idempotent bool) PolicyOption {
	return func(p *Policy) { p.idempotent = idempotent }
}

// WithParts shares the work among services by weight; the default is one
// service.
func WithWeightedServices(parts []WeightedService) PolicyOption {
	return func(p *Policy) { p.weightedServices = parts }
}

func (*Policy) isContent() {}

// Name returns the kind of work.
func (p *Policy) Name() string { return p.name }

// Service returns the name of the service that runs the work.
func (p *Policy) Service() string { return p.service }

// Rank returns the urgency, 0 being the most urgent.
func (p *Policy) Rank() int { return p.rank }

// Target returns the time within which callers need the answer.
func (p *Policy) Target() clock.Millis { return p.target }

// Limit returns the longest time that a caller is kept waiting.
func (p *Policy) Timeout() clock.Millis {
	if p.timeout == 0 {
		return p.target
	}
	return p.timeout
}

// ServiceAt returns the service that runs the work at a point, from 0 to 1, of
// the services laid end to end by their weights.
func (p *Policy) ServiceAt(point float64) string {
	if len(p.weightedServices) == 0 {
		return p.service
	}
	return serviceAt(p.weightedServices, point)
}

// Tries returns the most tries over the whole call chain, the first included.
func (p *Policy) Tries() int { return p.tries }

// ExtraTries returns the tries beyond the first.
func (p *Policy) ExtraTries() int { return p.tries - 1 }

// Idempotent reports whether running the work twice does no harm.
func (p *Policy) Idempotent() bool { return p.idempotent }

// Protected reports whether the work is shed only after all unprotected work.
func (p *Policy) Protected() bool { return p.protected }

// Retired reports whether the kind of work is no longer served.
func (p *Policy) Retired() bool { return p.retired }

// Schema returns the schema version in which the record is written.
func (p *Policy) Schema() int { return p.schema }

// policyV1 is the YAML form of schema 1: flat, times in milliseconds, tries
// including the first.
type policyV1 struct {
	Schema     int    `yaml:"schema"`
	Revision   uint64 `yaml:"revision"`
	Name       string `yaml:"name"`
	Service    string `yaml:"service"`
	Rank       int    `yaml:"rank"`
	TargetMS   int64  `yaml:"target_ms"`
	Tries      int    `yaml:"tries"`
	Idempotent bool   `yaml:"idempotent"`
	Protected  bool   `yaml:"protected"`
	Retired    bool   `yaml:"retired"`
}

func (v *policyV1) policy() *Policy {
	return &Policy{
		name:       v.Name,
		service:    v.Service,
		rank:       v.Rank,
		target:     clock.Millis(v.TargetMS),
		tries:      v.Tries,
		idempotent: v.Idempotent,
		protected:  v.Protected,
		retired:    v.Retired,
		schema:     SchemaV1,
	}
}

// policyV2 is the YAML form of schema 2: grouped, times with their unit,
// tries counted beyond the first.
type policyV2 struct {
	Schema   int    `yaml:"schema"`
	Revision uint64 `yaml:"revision"`
	Kind     struct {
		Name       string `yaml:"name"`
		Service    string `yaml:"service"`
		Idempotent bool   `yaml:"idempotent"`
	} `yaml:"kind"`
	Urgency struct {
		Rank      int           `yaml:"rank"`
		Target    time.Duration `yaml:"target"`
		Protected bool          `yaml:"protected"`
	} `yaml:"urgency"`
	Retries int  `yaml:"retries"`
	Retired bool `yaml:"retired"`
}

func (v *policyV2) policy() *Policy {
	return &Policy{
		name:       v.Kind.Name,
		service:    v.Kind.Service,
		rank:       v.Urgency.Rank,
		target:     clock.FromDuration(v.Urgency.Target),
		tries:      v.Retries + 1,
		idempotent: v.Kind.Idempotent,
		protected:  v.Urgency.Protected,
		retired:    v.Retired,
		schema:     SchemaV2,
	}
}
