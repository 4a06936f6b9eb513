package main

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"

	"cuminhollow.example/record"
	"cuminhollow.example/standin/fleet"
)

// Experiment describes a deployment, the load on it and the faults injected.
type Experiment struct {
	Name string `yaml:"name"`
	// Seed is the seed of the random arrivals; the same seed gives the same
	// arrivals.
	Seed     uint64        `yaml:"seed"`
	Regions  []string      `yaml:"regions"`
	Services []ServiceSpec `yaml:"services"`
	Kinds    []KindSpec    `yaml:"kinds"`
	Stages   []Stage       `yaml:"stages"`
	// Resend is the maximum number of times that clients send a failed request
	// again.
	Resend int `yaml:"resend"`
	// Policies maps the name of a policy to its node settings.
	Policies map[string]PolicySettings `yaml:"policies"`
}

// PolicySettings is the policy section of the node settings; each element is
// one "key: value" line.
type PolicySettings []string

// ServiceSpec describes a service whose VMs all have the same properties.
type ServiceSpec struct {
	Name string `yaml:"name"`
	// VMs is the number of VMs.
	VMs int `yaml:"vms"`
	// Slots is the number of calls that a VM runs at a time.
	Slots int `yaml:"slots"`
	// ServiceTime is the mean run time of a call without its nested calls.
	ServiceTime time.Duration `yaml:"service_time"`
	// Onward lists the kinds of the nested calls that each call makes.
	Onward []string `yaml:"onward"`
}

// KindSpec describes a kind of work and its arrivals.
type KindSpec struct {
	Name       string        `yaml:"name"`
	Service    string        `yaml:"service"`
	Rank       int           `yaml:"rank"`
	Target     time.Duration `yaml:"target"`
	Retries    int           `yaml:"retries"`
	Idempotent bool          `yaml:"idempotent"`
	Protected  bool          `yaml:"protected"`
	// Rate is the number of arrivals per second before Stage.Factor applies. It
	// is 0 for a kind that only upstreams call.
	Rate float64 `yaml:"rate"`
	// Caller is the caller name sent with each request.
	Caller string `yaml:"caller"`
}

// Stage is a period of the experiment with its own load and faults.
type Stage struct {
	Name   string        `yaml:"name"`
	Length time.Duration `yaml:"length"`
	// Factor multiplies the arrival rates of the kinds in Kinds, or of all kinds
	// if Kinds is empty; 0 means 1.
	Factor float64  `yaml:"factor"`
	Kinds  []string `yaml:"kinds"`
	// Slow lists the services whose service time is multiplied by SlowBy.
	Slow   []string `yaml:"slow"`
	SlowBy float64  `yaml:"slow_by"`
	// Kill lists the VMs whose node is killed during the stage.
	Kill []string `yaml:"kill"`
	// Fail lists the VMs whose upstream answers with errors.
	Fail []string `yaml:"fail"`
	// Pause lists the VMs whose node process is paused.
	Pause []string `yaml:"pause"`
	// Cut lists the VMs whose node cannot be reached by other nodes.
	Cut []string `yaml:"cut"`
}

// loadExperiment reads and validates an experiment file. Unknown keys are
// errors.
func loadExperiment(path string) (*Experiment, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	d := yaml.NewDecoder(bytes.NewReader(body))
	d.KnownFields(true)
	var e Experiment
	if err := d.Decode(&e); err != nil {
		p := record.YAMLProblems(err)[0]
		return nil, trace.BadParameter("%s:%d: %s", path, p.Line, p.Reason)
	}
	if err := e.check(); err != nil {
		return nil, trace.BadParameter("%s: %v", path, err)
	}
	return &e, nil
}

// check reports the first invalid value or undefined reference.
func (e *Experiment) check() error {
	services := make(map[string]bool)
	for _, s := range e.Services {
		if s.VMs < 1 || s.Slots < 1 || s.ServiceTime <= 0 {
			return fmt.Errorf("service %q: vms, slots and service_time must be positive", s.Name)
		}
		services[s.Name] = true
	}
	kinds := make(map[string]bool)
	for _, k := range e.Kinds {
		if !services[k.Service] {
			return fmt.Errorf("kind %q: service %q is not defined", k.Name, k.Service)
		}
		kinds[k.Name] = true
	}
	for _, s := range e.Services {
		for _, k := range s.Onward {
			if !kinds[k] {
				return fmt.Errorf("service %q: onward kind %q is not defined", s.Name, k)
			}
		}
	}
	if len(e.Stages) == 0 || len(e.Regions) == 0 || len(e.Kinds) == 0 {
		return fmt.Errorf("regions, kinds and stages must not be empty")
	}
	for _, s := range e.Stages {
		if s.Length <= 0 {
			return fmt.Errorf("stage %q: length must be positive", s.Name)
		}
		for _, k := range s.Kinds {
			if !kinds[k] {
				return fmt.Errorf("stage %q: kind %q is not defined", s.Name, k)
			}
		}
	}
	return nil
}

// rateFactor returns the factor by which the stage multiplies the arrival rate
// of a kind.
func (s Stage) rateFactor(kind string) float64 {
	if s.Factor == 0 {
		return 1
	}
	if len(s.Kinds) > 0 && !slices.Contains(s.Kinds, kind) {
		return 1
	}
	return s.Factor
}

// length returns the total length of all stages.
func (e *Experiment) length() time.Duration {
	var total time.Duration
	for _, s := range e.Stages {
		total += s.Length
	}
	return total
}

// kind returns the kind with the given name, or the zero value.
func (e *Experiment) kind(name string) KindSpec {
	for _, k := range e.Kinds {
		if k.Name == name {
			return k
		}
	}
	return KindSpec{}
}

// service returns the service with the given name, or the zero value.
func (e *Experiment) service(name string) ServiceSpec {
	for _, s := range e.Services {
		if s.Name == name {
			return s
		}
	}
	return ServiceSpec{}
}

// plan returns the deployment of the experiment under a policy. Nodes connect
// to each other through relays only if a stage cuts connections.
func (e *Experiment) plan(policy PolicySettings) fleet.Plan {
	p := fleet.Plan{Policy: policy, Direct: true}
	for _, s := range e.Stages {
		p.Direct = p.Direct && len(s.Cut) == 0
	}
	for _, s := range e.Services {
		p.Services = append(p.Services, fleet.Service{
			Name:        s.Name,
			Locations:   fleet.SpreadOverZones(s.VMs, e.Regions...),
			Slots:       s.Slots,
			ServiceTime: s.ServiceTime,
			NestedKinds: s.Onward,
		})
	}
	var kinds []fleet.Kind
	for _, k := range e.Kinds {
		kinds = append(kinds, fleet.Kind{
			Name:       k.Name,
			Service:    k.Service,
			Rank:       k.Rank,
			TargetTime: k.Target,
			Retries:    k.Retries,
			Idempotent: k.Idempotent,
			Protected:  k.Protected,
		})
	}
	p.Records = fleet.FormatRecords(kinds...)
	return p
}
