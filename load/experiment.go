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

// Experiment describes a deployment, the load on it and what goes wrong.
type Experiment struct {
	Name string `yaml:"name"`
	// Seed makes the arrivals repeatable.
	Seed     uint64          `yaml:"seed"`
	Regions  []string        `yaml:"regions"`
	Services []ServiceSpec   `yaml:"services"`
	Kinds    []KindSpec      `yaml:"kinds"`
	Stages   []Stage         `yaml:"stages"`
	Resend   int             `yaml:"resend"`
	Policies map[string]List `yaml:"policies"`
}

// List is the policy section of the nodes' settings, one "key: value" each.
type List []string

// ServiceSpec describes a service.
type ServiceSpec struct {
	Name        string        `yaml:"name"`
	VMs         int           `yaml:"vms"`
	Slots       int           `yaml:"slots"`
	ServiceTime time.Duration `yaml:"service_time"`
	Onward      []string      `yaml:"onward"`
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
	// Rate is the number of arrivals a second before any factor; 0 for a kind
	// that only upstreams ask for.
	Rate float64 `yaml:"rate"`
	// Caller names the caller of the kind.
	Caller string `yaml:"caller"`
}

// Stage is a span of the experiment.
type Stage struct {
	Name   string        `yaml:"name"`
	Length time.Duration `yaml:"length"`
	// Factor multiplies the arrivals of the kinds named in Kinds, or of all; 0
	// means 1.
	Factor float64  `yaml:"factor"`
	Kinds  []string `yaml:"kinds"`
	// Slow names services whose service time is multiplied by SlowBy.
	Slow   []string `yaml:"slow"`
	SlowBy float64  `yaml:"slow_by"`
	// Kill, Fail, Pause and Cut name VMs that lose their node, answer errors,
	// stand still or lose their connections during the stage.
	Kill  []string `yaml:"kill"`
	Fail  []string `yaml:"fail"`
	Pause []string `yaml:"pause"`
	Cut   []string `yaml:"cut"`
}

// loadExperiment reads and checks an experiment.
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

func (e *Experiment) check() error {
	services := make(map[string]bool)
	for _, s := range e.Services {
		if s.VMs < 1 || s.Slots < 1 || s.ServiceTime <= 0 {
			return fmt.Errorf("service %q needs vms, slots and service_time", s.Name)
		}
		services[s.Name] = true
	}
	kinds := make(map[string]bool)
	for _, k := range e.Kinds {
		if !services[k.Service] {
			return fmt.Errorf("kind %q: no service %q", k.Name, k.Service)
		}
		kinds[k.Name] = true
	}
	for _, s := range e.Services {
		for _, k := range s.Onward {
			if !kinds[k] {
				return fmt.Errorf("service %q: no kind %q", s.Name, k)
			}
		}
	}
	if len(e.Stages) == 0 || len(e.Regions) == 0 || len(e.Kinds) == 0 {
		return fmt.Errorf("regions, kinds and stages must not be empty")
	}
	for _, s := range e.Stages {
		if s.Length <= 0 {
			return fmt.Errorf("stage %q needs a length", s.Name)
		}
		for _, k := range s.Kinds {
			if !kinds[k] {
				return fmt.Errorf("stage %q: no kind %q", s.Name, k)
			}
		}
	}
	return nil
}

// factor returns by how much a stage multiplies the arrivals of a kind.
func (s Stage) factor(kind string) float64 {
	if s.Factor == 0 {
		return 1
	}
	if len(s.Kinds) > 0 && !slices.Contains(s.Kinds, kind) {
		return 1
	}
	return s.Factor
}

// length returns the length of all stages.
func (e *Experiment) length() time.Duration {
	var sum time.Duration
	for _, s := range e.Stages {
		sum += s.Length
	}
	return sum
}

func (e *Experiment) kind(name string) KindSpec {
	for _, k := range e.Kinds {
		if k.Name == name {
			return k
		}
	}
	return KindSpec{}
}

func (e *Experiment) service(name string) ServiceSpec {
	for _, s := range e.Services {
		if s.Name == name {
			return s
		}
	}
	return ServiceSpec{}
}

// plan returns the deployment of the experiment.
func (e *Experiment) plan(policy List) fleet.Plan {
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
	var works []fleet.Kind
	for _, k := range e.Kinds {
		works = append(works, fleet.Kind{
			Name:       k.Name,
			Service:    k.Service,
			Rank:       k.Rank,
			TargetTime: k.Target,
			Retries:    k.Retries,
			Idempotent: k.Idempotent,
			Protected:  k.Protected,
		})
	}
	p.Records = fleet.FormatRecords(works...)
	return p
}
