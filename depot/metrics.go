package depot

import (
	"context"
	"net/http"
	runtimemetrics "runtime/metrics"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/portage"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// meterName is the instrumentation scope of the node's metrics.
const meterName = "cuminhollow.example/depot"

// metrics holds the instruments of a node.
type metrics struct {
	registry      *prom.Registry
	meter         metric.Meter
	calls         metric.Int64Counter
	verdicts      metric.Int64Counter
	runTimes      metric.Float64Histogram
	ticketRetries metric.Int64Counter
	queueTimes    metric.Float64Histogram
	attempts      metric.Int64Counter
	panics        metric.Int64Counter
}

func newMetrics() (*metrics, error) {
	registry := prom.NewRegistry()
	exporter, err := prometheus.New(prometheus.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	m := &metrics{registry: registry, meter: provider.Meter(meterName)}
	return m, m.createInstruments()
}

func (m *metrics) createInstruments() error {
	var err error
	m.calls, err = m.meter.Int64Counter("cuminhollow.calls",
		metric.WithDescription("Calls answered to callers, by kind, outcome and reason."),
		metric.WithUnit("{call}"))
	if err != nil {
		return err
	}
	m.verdicts, err = m.meter.Int64Counter("cuminhollow.verdicts",
		metric.WithDescription("Admission decisions of this VM, by verdict."),
		metric.WithUnit("{call}"))
	if err != nil {
		return err
	}
	m.runTimes, err = m.meter.Float64Histogram("cuminhollow.run.duration",
		metric.WithDescription("Duration of runs on the upstream, by outcome."),
		metric.WithUnit("ms"))
	if err != nil {
		return err
	}
	m.attempts, err = m.meter.Int64Counter("cuminhollow.placed",
		metric.WithDescription("Attempts of calls, by service and by the distance of the VM."),
		metric.WithUnit("{call}"))
	if err != nil {
		return err
	}
	m.queueTimes, err = m.meter.Float64Histogram("cuminhollow.queue.duration",
		metric.WithDescription("Time that calls waited for a slot, by kind."),
		metric.WithUnit("ms"))
	if err != nil {
		return err
	}
	m.panics, err = m.meter.Int64Counter("cuminhollow.panics",
		metric.WithDescription("Panics that ended a call, a connection or a round of a loop, by part."),
		metric.WithUnit("{panic}"))
	if err != nil {
		return err
	}
	m.ticketRetries, err = m.meter.Int64Counter("cuminhollow.asks",
		metric.WithDescription("Tickets presented again after a lost connection."),
		metric.WithUnit("{message}"))
	return err
}

// gauge is a metric whose value is computed at each scrape.
type gauge struct {
	name, description, unit string
	value                   func() int64
}

// registerGauges adds the gauges that report the state of the node.
func (m *metrics) registerGauges(n *Node) error {
	o, traffic := n.owner, &n.traffic
	gauges := append([]gauge{
		{"cuminhollow.limit", "Concurrency limit of the upstream.", "{call}", func() int64 { return int64(o.controller.Stats().Limit) }},
		{"cuminhollow.running", "Calls that run on the upstream.", "{call}", func() int64 { return int64(o.controller.Stats().Running) }},
		{"cuminhollow.waiting", "Calls that wait for the upstream.", "{call}", func() int64 { return int64(o.controller.Stats().Waiting) }},
		{"cuminhollow.upstream.closed", "Whether the upstream takes no new calls, 1 or 0.", "{state}", func() int64 {
			if o.controller.Closed() {
				return 1
			}
			return 0
		}},
		{"cuminhollow.completion_records", "Completion records kept.", "{record}", func() int64 { return int64(o.completions.Stats().Records) }},
		{"cuminhollow.control.bytes", "Bytes sent to peers besides calls and answers, since the start.", "By", traffic.ControlBytes},
		{"cuminhollow.control.messages", "Messages sent to peers besides calls and answers, since the start.", "{message}", traffic.ControlMessages},
		{"cuminhollow.call.bytes", "Bytes of calls and answers sent to peers, since the start.", "By", traffic.CallBytes},
		{"cuminhollow.repeats_left", "Requests that may reach the upstream again at once.", "{request}", func() int64 { return int64(o.retryLimiter.Available(n.clock.Now())) }},
		{"cuminhollow.strain", "Onward calls of the upstream that find a service full, in thousandths.", "{call}", func() int64 {
			return int64(o.controller.KindStats(n.clock.Now(), "").DownstreamOverload * overloadScale)
		}},
		{"cuminhollow.body.memory", "Memory reserved for the bodies of calls in flight.", "By", n.bodyMemory.Used},
		{"cuminhollow.answer.memory", "Memory reserved for long answers of the upstream that are being read.", "By", o.answerMemory.Used},
		{"cuminhollow.heap", "Live heap.", "By", heapBytes},
	}, n.gauges...)
	if n.source != nil {
		gauges = append(gauges,
			gauge{"cuminhollow.configuration.version", "Version of the routes in force.", "{version}", n.configurationVersion},
			gauge{"cuminhollow.configuration.age", "Time since the routes in force were taken.", "ms", func() int64 { return int64(n.clock.Now()) - n.configuredAt.Load() }},
			gauge{"cuminhollow.source.age", "Time since the source of routes and VMs last answered.", "ms", func() int64 { return int64(n.source.Age()) }},
		)
	}
	for _, g := range gauges {
		_, err := m.meter.Int64ObservableGauge(g.name,
			metric.WithDescription(g.description),
			metric.WithUnit(g.unit),
			metric.WithInt64Callback(func(_ context.Context, obs metric.Int64Observer) error {
				obs.Observe(g.value())
				return nil
			}))
		if err != nil {
			return err
		}
	}
	return nil
}

// heapBytes returns the size of the live heap, in bytes. It uses
// runtime/metrics because runtime.ReadMemStats stops the process.
func heapBytes() int64 {
	sample := []runtimemetrics.Sample{{Name: "/gc/heap/live:bytes"}}
	runtimemetrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// handler serves the metrics in the Prometheus text format.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *metrics) recordCall(kind string, o portage.Outcome, reason string) {
	if reason == reasonUnknownKind {
		kind = ""
	}
	m.calls.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("kind", kind),
		attribute.String("outcome", o.String()),
		attribute.String("reason", reason)))
}

func (m *metrics) recordVerdict(v booking.Verdict) {
	m.verdicts.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("verdict", v.String())))
}

func (m *metrics) recordRun(o portage.Outcome, span clock.Millis) {
	m.runTimes.Record(context.Background(), float64(span),
		metric.WithAttributes(attribute.String("outcome", o.String())))
}

func (m *metrics) recordAttempt(service string, t dispatch.Tier) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", service),
		attribute.String("distance", t.String())))
}

func (m *metrics) recordQueueWait(kind string, span clock.Millis) {
	m.queueTimes.Record(context.Background(), float64(span), metric.WithAttributes(attribute.String("kind", kind)))
}

func (m *metrics) recordPanic(part string) {
	m.panics.Add(context.Background(), 1, metric.WithAttributes(attribute.String("part", part)))
}

func (m *metrics) recordTicketRetry() { m.ticketRetries.Add(context.Background(), 1) }
