package proof

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cuminhollow.example/standin/fleet"
)

// BenchmarkAdded measures the latency that two nodes add to a call. It alternates
// calls through the nodes with calls directly to the upstream, on real processes,
// and reports percentiles of the direct latency and of the added latency, and the
// CPU time of the nodes per call, all in microseconds.
func BenchmarkAdded(b *testing.B) {
	plan := certifyPlan(1, time.Millisecond, 0)
	plan.Direct = true
	f, err := fleet.Start(binDir, b.TempDir(), plan)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Stop()
	owner, entry := f.ServiceVMs("certifying")[0], f.ServiceVMs("desk")[0]
	if err := f.SetUpstream(owner, "service-time=0s"); err != nil {
		b.Fatal(err)
	}
	for _, kind := range []string{"history", "certificate"} {
		b.Run(kind, func(b *testing.B) {
			direct := hdrhistogram.New(1, 10_000_000, 3)
			proxied := hdrhistogram.New(1, 10_000_000, 3)
			before := f.NodeUsage()
			n := 0
			for b.Loop() {
				measureCall(b, direct, owner.UpstreamAddress, kind)
				measureCall(b, proxied, entry.CallerAddress, kind)
				n++
			}
			used := f.NodeUsage().CPU - before.CPU
			b.ReportMetric(float64(used.Microseconds())/float64(n), "node-cpu-µs")
			for _, q := range []float64{50, 99} {
				d := direct.ValueAtQuantile(q)
				b.ReportMetric(float64(d), fmt.Sprintf("direct-p%.0f-µs", q))
				b.ReportMetric(float64(proxied.ValueAtQuantile(q)-d), fmt.Sprintf("added-p%.0f-µs", q))
			}
		})
	}
}

func measureCall(b *testing.B, h *hdrhistogram.Histogram, address, kind string) {
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/", strings.NewReader(strings.Repeat("x", 512)))
	if err != nil {
		b.Fatal(err)
	}
	q.Header.Set("Cuminhollow-Kind", kind)
	start := time.Now()
	res, err := client.Do(q)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	_ = h.RecordValue(time.Since(start).Microseconds())
	if res.StatusCode != http.StatusOK {
		b.Fatalf("got status %d, want 200", res.StatusCode)
	}
}
