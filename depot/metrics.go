package depot

import (
	"context"
	"net/http"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
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
	registry *prom.Registry
	meter    metric.Meter
	calls    metric.Int64Counter
	verdicts metric.Int64Counter
	runs     metric.Float64Histogram
	asks     metric.Int64Counter
}

func newMetrics() (*metrics, error) {
	registry := prom.NewRegistry()
	exporter, err := prometheus.New(prometheus.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	m := &metrics{registry: registry, meter: provider.Meter(meterName)}
	return m, m.instruments()
}

func (m *metrics) instruments() error {
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
	m.runs, err = m.meter.Float64Histogram("cuminhollow.run.duration",
		metric.WithDescription("Duration of runs on the upstream, by outcome."),
		metric.WithUnit("ms"))
	if err != nil {
		return err
	}
	m.asks, err = m.meter.Int64Counter("cuminhollow.asks",
		metric.WithDescription("Tickets presented again after a lost connection."),
		metric.WithUnit("{message}"))
	return err
}

// observe reports the state of the desk, the claim table and the connections
// between nodes at each scrape.
func (m *metrics) observe(o *owner, traffic *portage.Traffic) error {
	for _, g := range []struct {
		name, description, unit string
		value                   func() int64
	}{
		{"cuminhollow.limit", "Concurrency limit of the upstream.", "{call}", func() int64 { return int64(o.desk.Stats().Limit) }},
		{"cuminhollow.running", "Calls that run on the upstream.", "{call}", func() int64 { return int64(o.desk.Stats().Running) }},
		{"cuminhollow.waiting", "Calls that wait for the upstream.", "{call}", func() int64 { return int64(o.desk.Stats().Waiting) }},
		{"cuminhollow.completion_records", "Completion records kept.", "{record}", func() int64 { return int64(o.table.Stats().Records) }},
		{"cuminhollow.control.bytes", "Bytes sent to peers besides calls and answers, since the start.", "By", traffic.ControlBytes},
		{"cuminhollow.control.messages", "Messages sent to peers besides calls and answers, since the start.", "{message}", traffic.ControlMessages},
		{"cuminhollow.call.bytes", "Bytes of calls and answers sent to peers, since the start.", "By", traffic.CallBytes},
	} {
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

// handler serves the metrics in the Prometheus format.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *metrics) outcome(kind string, o portage.Outcome, reason string) {
	if reason == reasonNoKind {
		kind = ""
	}
	m.calls.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("kind", kind),
		attribute.String("outcome", o.String()),
		attribute.String("reason", reason)))
}

func (m *metrics) verdict(v booking.Verdict) {
	m.verdicts.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("verdict", v.String())))
}

func (m *metrics) run(o portage.Outcome, span clock.Millis) {
	m.runs.Record(context.Background(), float64(span),
		metric.WithAttributes(attribute.String("outcome", o.String())))
}

func (m *metrics) asked() { m.asks.Add(context.Background(), 1) }
