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

// observe reports the state of the desk and the claim table at each scrape.
func (m *metrics) observe(o *owner) error {
	limit, err := m.meter.Int64ObservableGauge("cuminhollow.limit",
		metric.WithDescription("Concurrency limit of the upstream."), metric.WithUnit("{call}"))
	if err != nil {
		return err
	}
	running, err := m.meter.Int64ObservableGauge("cuminhollow.running",
		metric.WithDescription("Calls that run on the upstream."), metric.WithUnit("{call}"))
	if err != nil {
		return err
	}
	waiting, err := m.meter.Int64ObservableGauge("cuminhollow.waiting",
		metric.WithDescription("Calls that wait for the upstream."), metric.WithUnit("{call}"))
	if err != nil {
		return err
	}
	records, err := m.meter.Int64ObservableGauge("cuminhollow.completion_records",
		metric.WithDescription("Completion records kept."), metric.WithUnit("{record}"))
	if err != nil {
		return err
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, obs metric.Observer) error {
		desk, table := o.desk.Stats(), o.table.Stats()
		obs.ObserveInt64(limit, int64(desk.Limit))
		obs.ObserveInt64(running, int64(desk.Running))
		obs.ObserveInt64(waiting, int64(desk.Waiting))
		obs.ObserveInt64(records, int64(table.Records))
		return nil
	}, limit, running, waiting, records)
	return err
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
