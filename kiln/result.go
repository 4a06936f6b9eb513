package kiln

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"cuminhollow.example/clock"
)

// Step is the length of the intervals in which requests are counted, in
// milliseconds.
const Step = 2 * clock.Second

// Counts holds the results of requests. A request counts in the step in which
// the client sent it first.
type Counts struct {
	// Requests is the number of requests. OnTime of them were answered within
	// the target time and Late of them later; Refused did not run, and Failed
	// may have run.
	Requests, OnTime, Late, Refused, Failed int
	// TotalValue is the value of all requests if answered on time, and
	// EarnedValue that of the answers.
	TotalValue, EarnedValue float64
}

func (c *Counts) add(o Counts) {
	c.Requests += o.Requests
	c.OnTime += o.OnTime
	c.Late += o.Late
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.TotalValue += o.TotalValue
	c.EarnedValue += o.EarnedValue
}

// ValueShare returns the earned part of the total value; 1 if that is 0.
func (c Counts) ValueShare() float64 {
	if c.TotalValue == 0 {
		return 1
	}
	return c.EarnedValue / c.TotalValue
}

// Result holds the results of the client requests of a simulation.
type Result struct {
	plan *Plan
	// counts holds the counts of each kind by step.
	counts map[string][]Counts
	// slotTime is the slot time that each service used, in microseconds, by
	// step.
	slotTime map[string][]micros
}

func newResult(p *Plan) *Result {
	r := &Result{plan: p, counts: make(map[string][]Counts), slotTime: make(map[string][]micros)}
	for _, s := range p.Services {
		r.slotTime[s.Name] = make([]micros, int(p.Length/Step)+1)
	}
	for _, k := range p.Kinds {
		r.counts[k.Name] = make([]Counts, int(p.Length/Step)+1)
	}
	return r
}

func (r *Result) recordRequest(k *Kind, at clock.Millis) {
	c := &r.counts[k.Name][int(at/Step)]
	c.Requests++
	c.TotalValue += k.Value
}

func (r *Result) recordAnswer(k *Kind, started, took clock.Millis, a answer) {
	c := &r.counts[k.Name][int(started/Step)]
	switch {
	case a.outcome == answered && took <= k.TargetTime:
		c.OnTime++
		c.EarnedValue += k.Value
	case a.outcome == answered:
		c.Late++
		c.EarnedValue += k.LateValue
	case a.outcome == refused:
		c.Refused++
	default:
		c.Failed++
	}
}

// recordSlotTime records that a number of slots of a service were in use
// between two points in time. Time after the last step is ignored.
func (r *Result) recordSlotTime(service string, from, to micros, slots int) {
	used := r.slotTime[service]
	for from < to {
		i := int(from.millis() / Step)
		if i >= len(used) {
			return
		}
		end := min(to, micros(i+1)*micros(Step)*microsPerMilli)
		used[i] += micros(slots) * (end - from)
		from = end
	}
}

// Utilisation returns the share of the slot time of a service that was used in
// the step that begins at a time.
func (r *Result) Utilisation(service string, at clock.Millis) float64 {
	s := r.plan.service(service)
	available := micros(s.vms(r.plan)*s.Slots) * micros(Step) * microsPerMilli
	return float64(r.slotTime[service][int(at/Step)]) / float64(available)
}

// Kind returns the counts of a kind over the steps that begin in an interval.
func (r *Result) Kind(name string, in Interval) Counts {
	var out Counts
	for i, c := range r.counts[name] {
		if in.contains(clock.Millis(i) * Step) {
			out.add(c)
		}
	}
	return out
}

// All returns the counts of all kinds over the steps that begin in an interval.
func (r *Result) All(in Interval) Counts {
	var out Counts
	for _, k := range r.plan.Kinds {
		out.add(r.Kind(k.Name, in))
	}
	return out
}

// Write writes a table with a line for each step: the counts, the earned share
// of the value, IdealShare, and the utilisation of each service.
func (r *Result) Write(w io.Writer) error {
	var table strings.Builder
	table.WriteString("from ms\trequests\ton time\tlate\trefused\tfailed\tearned\tideal\t")
	for _, s := range r.plan.Services {
		table.WriteString(s.Name + "\t")
	}
	for at := clock.Millis(0); at < r.plan.Length; at += Step {
		table.WriteString("\n" + r.row(at))
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(t, table.String()+"\n"); err != nil {
		return err
	}
	return t.Flush()
}

func (r *Result) row(at clock.Millis) string {
	step := Interval{From: at, To: at + Step}
	c := r.All(step)
	row := fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t", at,
		c.Requests, c.OnTime, c.Late, c.Refused, c.Failed, c.ValueShare(), IdealShare(r.plan, step))
	for _, s := range r.plan.Services {
		row += fmt.Sprintf("%.2f\t", r.Utilisation(s.Name, at))
	}
	return row
}
