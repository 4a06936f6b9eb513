package record

import (
	"time"

	"cuminhollow.example/clock"
)

// The maximum values of the fields of a Policy.
const (
	// MaxRank is the least urgent rank.
	MaxRank = 7
	// MaxTries is the maximum number of tries of a request, including the first.
	MaxTries = 16
	// MaxTarget is the maximum target time, in milliseconds.
	MaxTarget = 10 * clock.Minute
)

// Policy defines how one kind of work is handled. It is immutable.
type Policy struct {
	// name is the kind of work, never empty.
	name string
	// service is the service that runs the work, empty only in a retired policy.
	service string
	// rank is 0, the most urgent, to MaxRank.
	rank int
	// target is 1 to MaxTarget, in milliseconds.
	target clock.Millis
	// tries is 1 to MaxTries and includes the first.
	tries      int
	idempotent bool
	protected  bool
	retired    bool
	schema     int
	// timeout is the maximum time until a caller gets an answer, in milliseconds;
	// 0 means target.
	timeout clock.Millis
	// services share the work; empty when service runs all of it.
	services []WeightedService
}

// PolicyOption sets a field of a Policy.
type PolicyOption func(*Policy)

// NewPolicy returns the policy of a kind of work that a service runs. By
// default it has one try, rank 0 and a target time of one second.
func NewPolicy(name, service string, opts ...PolicyOption) *Policy {
	p := &Policy{name: name, service: service, target: clock.Second, tries: 1, schema: SchemaV2}
	for _, o := range opts {
		o(p)
	}
	return p
}

// WithRank sets the rank, clamped to 0 to MaxRank; the default is 0.
func WithRank(rank int) PolicyOption {
	return func(p *Policy) { p.rank = max(0, min(rank, MaxRank)) }
}

// WithTarget sets the target time in milliseconds, clamped to 1 to MaxTarget;
// the default is one second.
func WithTarget(target clock.Millis) PolicyOption {
	return func(p *Policy) { p.target = max(1, min(target, MaxTarget)) }
}

// WithTimeout sets the maximum time until a caller gets an answer, in
// milliseconds, clamped to 0 to MaxTarget; 0, the default, means the target
// time.
func WithTimeout(timeout clock.Millis) PolicyOption {
	return func(p *Policy) { p.timeout = max(0, min(timeout, MaxTarget)) }
}

// WithTries sets the maximum number of tries, clamped to 1 to MaxTries; the
// default is 1.
func WithTries(tries int) PolicyOption {
	return func(p *Policy) { p.tries = max(1, min(tries, MaxTries)) }
}

// WithIdempotent sets whether the work may run more than once; the default is
// false.
func WithIdempotent(idempotent bool) PolicyOption {
	return func(p *Policy) { p.idempotent = idempotent }
}

// WithWeightedServices distributes the work among services by weight; by
// default one service runs all of it.
func WithWeightedServices(services []WeightedService) PolicyOption {
	return func(p *Policy) { p.services = services }
}

func (*Policy) isContent() {}

// Name returns the kind of work.
func (p *Policy) Name() string { return p.name }

// Service returns the name of the service that runs the work.
func (p *Policy) Service() string { return p.service }

// Rank returns the urgency, 0 being the most urgent.
func (p *Policy) Rank() int { return p.rank }

// Target returns the time within which callers need the answer, in
// milliseconds.
func (p *Policy) Target() clock.Millis { return p.target }

// Timeout returns the maximum time until a caller gets an answer, in
// milliseconds.
func (p *Policy) Timeout() clock.Millis {
	if p.timeout == 0 {
		return p.target
	}
	return p.timeout
}

// ServiceAt selects the service that runs the work by weight. A point that is
// uniform in [0, 1) selects each service in proportion to its weight.
func (p *Policy) ServiceAt(point float64) string {
	if len(p.services) == 0 {
		return p.service
	}
	return serviceAt(p.services, point)
}

// Tries returns the maximum number of tries in the whole call chain, including
// the first.
func (p *Policy) Tries() int { return p.tries }

// ExtraTries returns the maximum number of tries after the first.
func (p *Policy) ExtraTries() int { return p.tries - 1 }

// Idempotent reports whether the work may run more than once.
func (p *Policy) Idempotent() bool { return p.idempotent }

// Protected reports whether the work is shed only after all unprotected work.
func (p *Policy) Protected() bool { return p.protected }

// Retired reports whether the kind of work is no longer served.
func (p *Policy) Retired() bool { return p.retired }

// Schema returns the schema version in which the policy is written.
func (p *Policy) Schema() int { return p.schema }

// policyV1 is the YAML form of schema 1: flat, with times in milliseconds, and
// tries that include the first.
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

// policyV2 is the YAML form of schema 2: grouped, with times that have a unit,
// and retries that exclude the first try.
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
