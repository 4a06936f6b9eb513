package depot

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cuminhollow.example/portage"
)

var echoUpstream = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
	body, _ := io.ReadAll(q.Body)
	w.Header().Set(HeaderRun, q.Header.Get(HeaderRun))
	_, _ = w.Write(body)
})

// TestRejectedCalls checks the outcome, status and reason of calls that a node
// does not run.
func TestRejectedCalls(t *testing.T) {
	cluster := startCluster(t, echoUpstream)
	callers, nested := cluster.entry.settings.listen.Callers, cluster.owner.settings.listen.Upstream
	large := strings.Repeat("x", portage.MaxBody+1)
	tests := []struct {
		name, address, method, path, body string
		headers                           []string
		status                            int
		outcome, reason                   string
	}{
		{name: "no kind", address: callers, status: 400, outcome: "not-run", reason: reasonUnknownKind},
		{name: "unknown kind", address: callers, headers: []string{HeaderKind, "none"}, status: 400, outcome: "not-run", reason: reasonUnknownKind},
		{name: "retired", address: callers, headers: []string{HeaderKind, "old"}, status: 410, outcome: "not-run", reason: reasonRetiredKind},
		{name: "too large", address: callers, body: large, headers: []string{HeaderKind, "seal"}, status: 413, outcome: "not-run", reason: reasonBodyTooLarge},
		{name: "bad ticket", address: callers, headers: []string{HeaderKind, "seal", HeaderTicket, "?"}, status: 400, outcome: "not-run", reason: reasonBadTicket},
		{name: "bad time", address: callers, headers: []string{HeaderKind, "seal", HeaderTimeLeft, "-1"}, status: 400, outcome: "not-run", reason: reasonBadTimeLeft},
		{name: "ticket of another VM", address: callers, headers: []string{HeaderKind, "seal", HeaderTicket, "gone-1/1/1/1"}, status: 504, outcome: "unknown", reason: reasonNoVM},
		{name: "run that ended", address: nested, headers: []string{HeaderKind, "seal", HeaderRun, "gone"}, status: 409, outcome: "not-run", reason: reasonUnknownRun},
		{name: "query without ticket", address: callers, method: http.MethodGet, path: TicketPath, headers: []string{HeaderKind, "seal"}, status: 400, outcome: "not-run", reason: reasonBadTicket},
		{name: "ticket of no kind", address: callers, path: TicketPath, status: 400, outcome: "not-run", reason: reasonUnknownKind},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			method, path := tt.method, tt.path
			if method == "" {
				method = http.MethodPost
			}
			if path == "" {
				path = "/"
			}
			res, p := send(t, tt.address, method, path, tt.body, tt.headers...)
			got := fmt.Sprint(res.StatusCode, " ", res.Header.Get(HeaderOutcome), " ", p.Outcome, " ", p.Reason)
			if want := fmt.Sprint(tt.status, " ", tt.outcome, " ", tt.outcome, " ", tt.reason); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

// TestHeaders checks which header fields reach the upstream and the caller. A
// caller or an upstream must not be able to forge the node's own fields.
func TestHeaders(t *testing.T) {
	var seen http.Header
	cluster := startCluster(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		seen = q.Header.Clone()
		w.Header().Set("X-Depot", "kutch")
		w.Header().Set(HeaderTicket, "forged")
		w.WriteHeader(http.StatusCreated)
	}))
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	res, _ := send(t, cluster.entry.settings.listen.Callers, http.MethodPost, "/seals", "burn",
		HeaderKind, "seal", "Traceparent", parent, HeaderRank, "0", HeaderRun, "forged",
		"Connection", "X-Hop", "X-Hop", "1", "Idempotency-Key", "k")
	if got, want := fmt.Sprint(res.StatusCode, res.Header.Get("X-Depot")), "201kutch"; got != want {
		t.Errorf("answer: got %s, want %s", got, want)
	}
	if got := res.Header.Get(HeaderTicket); got == "forged" || got == "" {
		t.Errorf("ticket: got %q, want the node's own", got)
	}
	for name, want := range map[string]string{
		"Traceparent": parent, "X-Hop": "", "Idempotency-Key": "k", HeaderKind: "seal", HeaderRank: "0",
	} {
		if got := seen.Get(name); got != want {
			t.Errorf("%s at the upstream: got %q, want %q", name, got, want)
		}
	}
	if got := seen.Get(HeaderRun); got == "forged" || got == "" {
		t.Errorf("run: got %q, want the node's own", got)
	}
}

// TestRoute checks that a call without a kind header gets its kind from the
// routes of the settings.
func TestRoute(t *testing.T) {
	cluster := startCluster(t, echoUpstream)
	res, _ := send(t, cluster.entry.settings.listen.Callers, http.MethodGet, "/histories/7", "")
	if got, want := res.Header.Get(HeaderOutcome), "answered"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestUpstreamFaults checks that a truncated or missing answer of the upstream
// is reported as unknown, so that a caller never takes a truncated answer for a
// complete one.
func TestUpstreamFaults(t *testing.T) {
	tests := []struct {
		name     string
		upstream http.Handler
		outcome  string
	}{
		{"cut short", sendRaw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart"), "unknown"},
		{"cut short in chunks", sendRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\npa"), "unknown"},
		{"without a length", sendRaw("HTTP/1.1 200 OK\r\n\r\nperhaps whole"), "unknown"},
		{"nothing", sendRaw(""), "unknown"},
		{"says not run", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}), "not-run"},
		{"reports an error", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		}), "answered"},
		{"empty answer", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), "answered"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cluster := startCluster(t, tt.upstream)
			res, p := send(t, cluster.entry.settings.listen.Callers, http.MethodPost, "/", "burn", HeaderKind, "seal")
			if got := res.Header.Get(HeaderOutcome); got != tt.outcome {
				t.Errorf("got %q (%s), want %q", got, p.Reason, tt.outcome)
			}
		})
	}
}

// TestLongCall checks that the time limit on reading a request does not end a
// call whose answer takes longer.
func TestLongCall(t *testing.T) {
	cluster := startClusterWith(t, []Option{WithBodyTimeout(100 * time.Millisecond)}, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		select {
		case <-time.After(500 * time.Millisecond):
		case <-q.Context().Done():
		}
	}))
	for _, kind := range []string{"read", "seal"} {
		res, p := send(t, cluster.entry.settings.listen.Callers, http.MethodPost, "/", "burn", HeaderKind, kind)
		if got, want := res.Header.Get(HeaderOutcome), "answered"; got != want {
			t.Errorf("%s: got %q (%s), want %q", kind, got, p.Reason, want)
		}
	}
}

// TestUnreachableUpstream checks that a call is reported as not run if no
// upstream listens at the address.
func TestUnreachableUpstream(t *testing.T) {
	u := newHTTPUpstream(upstreamSettings{Address: "127.0.0.1:1", Slots: 1, Connections: 1})
	got := u.Run(t.Context(), newRun(&portage.Call{Method: http.MethodPost, Path: "/"}, "id", 1000))
	if got.Outcome != portage.OutcomeNotRun {
		t.Errorf("got %s, want %s", got.Outcome, portage.OutcomeNotRun)
	}
}

// authority is a certificate authority for tests.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	dir  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{key: key, dir: t.TempDir(), cert: &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	a.write(t, "ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// transport issues a certificate and returns the transport section of the
// settings for it.
func (a *authority) transport(t *testing.T) string {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{serverName},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("{certificate: %q, key: %q, authority: %q}",
		a.write(t, "node.pem", "CERTIFICATE", der), a.write(t, "key.pem", "PRIVATE KEY", keyDER), filepath.Join(a.dir, "ca.pem"))
}

// TestTransportIsAuthenticated checks that an owner accepts calls only from an
// entry with a certificate of the same authority.
func TestTransportIsAuthenticated(t *testing.T) {
	fleet, stranger := newAuthority(t), newAuthority(t)
	section := fleet.transport(t)
	for name, tt := range map[string]struct{ transport, want string }{
		"same authority":  {section, "answered"},
		"plain":           {"{plain: true}", "not-run"},
		"other authority": {stranger.transport(t), "not-run"},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := startCluster(t, echoUpstream, section, tt.transport)
			res, p := send(t, cluster.entry.settings.listen.Callers, http.MethodPost, "/", "burn", HeaderKind, "seal")
			if got := res.Header.Get(HeaderOutcome); got != tt.want {
				t.Errorf("got %q (%s), want %q", got, p.Reason, tt.want)
			}
		})
	}
}

// BenchmarkTwoHops alternates calls through two nodes with the same calls sent
// directly to the upstream. It reports the 50th and 99th percentiles of the
// direct latency and of the added latency, in microseconds.
func BenchmarkTwoHops(b *testing.B) {
	for _, kind := range []string{"read", "seal"} {
		b.Run(kind, func(b *testing.B) {
			cluster := startCluster(b, echoUpstream)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			direct, through := newHistogram(), newHistogram()
			b.ReportAllocs()
			for b.Loop() {
				direct.time(b, client, cluster.upstream, kind)
				through.time(b, client, cluster.entry.settings.listen.Callers, kind)
			}
			for _, q := range []float64{50, 99} {
				d, h := direct.ValueAtQuantile(q), through.ValueAtQuantile(q)
				b.ReportMetric(float64(d), fmt.Sprintf("direct-p%.0f-µs", q))
				b.ReportMetric(float64(h-d), fmt.Sprintf("added-p%.0f-µs", q))
			}
		})
	}
}

type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram { return histogram{hdrhistogram.New(1, 10_000_000, 3)} }

func (h histogram) time(b *testing.B, client *http.Client, address, kind string) {
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/", strings.NewReader(strings.Repeat("x", 512)))
	if err != nil {
		b.Fatal(err)
	}
	q.Header.Set(HeaderKind, kind)
	began := time.Now()
	res, err := client.Do(q)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	_ = h.RecordValue(time.Since(began).Microseconds())
	if res.StatusCode != http.StatusOK {
		b.Fatalf("got status %d, want 200", res.StatusCode)
	}
}
