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
type Count struct {
	// Asked is the number of requests, of which InTarget were answered within the
	// target time and Late later; Refused did not run, and Failed may have.
	Asked, InTarget, Late, Refused, Failed int
	// Owed is the worth of all requests, and Earned that of the answers.
	Owed, Earned float64
}

func (c *Count) add(o Count) {
	c.Asked += o.Asked
	c.InTarget += o.InTarget
	c.Late += o.Late
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.Owed += o.Owed
	c.Earned += o.Earned
}

// Share returns the part of the worth that was earned; 1 when none was owed.
func (c Count) Share() float64 {
	if c.Owed == 0 {
		return 1
	}
	return c.Earned / c.Owed
}

// Result is what clients got.
type Result struct {
	plan *Plan
	// counts holds the steps of each kind.
	counts map[string][]Count
	// used is the slot time of each service in use, in microseconds, by step.
	used map[string][]micros
}

func newResult(p *Plan) *Result {
	r := &Result{plan: p, counts: make(map[string][]Count), used: make(map[string][]micros)}
	for _, s := range p.Services {
		r.used[s.Name] = make([]micros, int(p.Length/Step)+1)
	}
	for _, k := range p.Kinds {
		r.counts[k.Name] = make([]Count, int(p.Length/Step)+1)
	}
	return r
}

func (r *Result) ask(k *Kind, at clock.Millis) {
	c := &r.counts[k.Name][int(at/Step)]
	c.Asked++
	c.Owed += k.Worth
}

func (r *Result) answer(k *Kind, asked, took clock.Millis, a answer) {
	c := &r.counts[k.Name][int(asked/Step)]
	switch {
	case a.outcome == answered && took <= k.Target:
		c.InTarget++
		c.Earned += k.Worth
	case a.outcome == answered:
		c.Late++
		c.Earned += k.Late
	case a.outcome == refused:
		c.Refused++
	default:
		c.Failed++
	}
}

// use notes that slots of a service were in use.
func (r *Result) use(service string, from, to micros, slots int) {
	used := r.used[service]
	for from < to {
		i := int(from.millis() / Step)
		if i >= len(used) {
			return
		}
		end := min(to, micros(i+1)*micros(Step)*perMilli)
		used[i] += micros(slots) * (end - from)
		from = end
	}
}

// Used returns the share of the slots of a service that were in use in the step
// that begins at a time.
func (r *Result) Used(service string, at clock.Millis) float64 {
	s := r.plan.service(service)
	all := micros(s.VMs*len(r.plan.Zones)*s.Slots) * micros(Step) * perMilli
	return float64(r.used[service][int(at/Step)]) / float64(all)
}

// Kind returns the count of a kind over the requests of a span.
func (r *Result) Kind(name string, s Span) Count {
	var out Count
	for i, c := range r.counts[name] {
		if s.holds(clock.Millis(i) * Step) {
			out.add(c)
		}
	}
	return out
}

// All returns the count of all kinds over the requests of a span.
func (r *Result) All(s Span) Count {
	var out Count
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
	span := Span{From: at, To: at + Step}
	c := r.All(span)
	row := fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t", at,
		c.Asked, c.InTarget, c.Late, c.Refused, c.Failed, c.Share(), Best(r.plan, span))
	for _, s := range r.plan.Services {
		row += fmt.Sprintf("%.2f\t", r.Used(s.Name, at))
	}
	return row
}
