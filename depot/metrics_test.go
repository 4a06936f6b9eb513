package depot

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cuminhollow.example/record"
)

// TestMetrics scrapes a node after a call and checks that the metrics listed in
// docs/OPERATIONS.md are present.
func TestMetrics(t *testing.T) {
	a, vm := startFakeAdapter(t, "u-1", "")
	a.setRoster(vm)
	a.node.SetConfiguration(record.NewConfiguration(7, nil, record.Limits{}))
	a.dispatch(idempotentPolicy, 1)
	w := httptest.NewRecorder()
	a.node.metrics.handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	body := w.Body.String()
	for _, want := range []string{
		`cuminhollow_calls_total{kind="read"`,
		`cuminhollow_verdicts_total{`,
		`cuminhollow_placed_total{distance="zone"`,
		"cuminhollow_run_duration_milliseconds_count{",
		`cuminhollow_queue_duration_milliseconds_count{kind="read"`,
		"cuminhollow_limit{", "cuminhollow_running{", "cuminhollow_waiting{",
		"cuminhollow_repeats_left{", "cuminhollow_strain{", "cuminhollow_heap_bytes{",
		"cuminhollow_configuration_age_milliseconds{", "cuminhollow_source_age_milliseconds{",
	} {
		if !strings.Contains(body, want) {
			t.Errorf("got no %q in\n%s", want, body)
		}
	}
	if want := "cuminhollow_configuration_version{"; !strings.Contains(body, want) || !strings.Contains(body, "} 7\n") {
		t.Errorf("got no %q with version 7 in\n%s", want, body)
	}
}
