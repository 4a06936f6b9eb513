package kiln

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"cuminhollow.example/clock"
)

// Step is the span of time over which requests are counted, in milliseconds.
const Step = 2 * clock.Second

// Count is what became of requests. Requests count in the step in which the
// client asked first.
type Counts struct {
	// Asked is the number of requests, of which InTarget were answered within the
	// target time and Late later; Refused did not run, and Failed may have.
	Requests, OnTime, Late, Refused, Failed int
	// Owed is the worth of all requests, and Earned that of the answers.
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

// Share returns the part of the worth that was earned; 1 when none was owed.
func (c Counts) ValueShare() float64 {
	if c.TotalValue == 0 {
		return 1
	}
	return c.EarnedValue / c.TotalValue
}

// Result is what clients got.
type Result struct {
	plan *Plan
	// counts holds the steps of each kind.
	counts map[string][]Counts
	// used is the slot time of each service in use, in microseconds, by step.
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

func (r *Result) recordAnswer(k *Kind, asked, took clock.Millis, a answer) {
	c := &r.counts[k.Name][int(asked/Step)]
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

// use notes that slots of a service were in use.
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

// Used returns the share of the slots of a service that were in use in the step
// that begins at a time.
func (r *Result) Utilisation(service string, at clock.Millis) float64 {
	s := r.plan.service(service)
	all := micros(s.VMsPerZone*len(r.plan.Zones)*s.Slots) * micros(Step) * microsPerMilli
	return float64(r.slotTime[service][int(at/Step)]) / float64(all)
}

// Kind returns the count of a kind over the requests of a span.
func (r *Result) Kind(name string, s Interval) Counts {
	var out Counts
	for i, c := range r.counts[name] {
		if s.contains(clock.Millis(i) * Step) {
			out.add(c)
		}
	}
	return out
}

// All returns the count of all kinds over the requests of a span.
func (r *Result) All(s Interval) Counts {
	var out Counts
	for _, k := range r.plan.Kinds {
		out.add(r.Kind(k.Name, s))
	}
	return out
}

// Write prints a line for each step, with the best that the slots allow and the
// share of each service's slots in use.
func (r *Result) Write(w io.Writer) error {
	var text strings.Builder
	text.WriteString("from ms\tasked\tin target\tlate\trefused\tfailed\tearned\tbest\t")
	for _, s := range r.plan.Services {
		text.WriteString(s.Name + "\t")
	}
	for at := clock.Millis(0); at < r.plan.Length; at += Step {
		text.WriteString("\n" + r.row(at))
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(t, text.String()+"\n"); err != nil {
		return err
	}
	return t.Flush()
}

func (r *Result) row(at clock.Millis) string {
	span := Interval{From: at, To: at + Step}
	c := r.All(span)
	row := fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t", at,
		c.Requests, c.OnTime, c.Late, c.Refused, c.Failed, c.ValueShare(), IdealShare(r.plan, span))
	for _, s := range r.plan.Services {
		row += fmt.Sprintf("%.2f\t", r.Utilisation(s.Name, at))
	}
	return row
}
