package depot

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cuminhollow.example/standin/fleet"
)

// fakePlatform serves fixed documents.
type fakePlatform map[string]string

func (p fakePlatform) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/v1/value" {
		_, _ = w.Write([]byte(p[q.URL.Query().Get("key")]))
		return
	}
	if q.URL.Path == "/v1/watch" {
		<-q.Context().Done()
		return
	}
	out := platformListing{Index: 1}
	for key := range p {
		out.Keys = append(out.Keys, platformEntry{Key: key, Version: 1})
	}
	_ = json.NewEncoder(w).Encode(out)
}

// testCluster is two nodes in this process: an entry of service "desk" and an
// owner of service "sealing", both with the same upstream.
type testCluster struct {
	entry, owner *Node
	upstream     string
}

const (
	sealRecord    = "schema: 1\nrevision: 1\nname: seal\nservice: sealing\nrank: 0\ntarget_ms: 2000\ntries: 2\nprotected: true\n"
	readRecord    = "schema: 1\nrevision: 1\nname: read\nservice: sealing\nrank: 5\ntarget_ms: 2000\ntries: 2\nidempotent: true\n"
	retiredRecord = "schema: 2\nrevision: 1\nkind: {name: old}\nretired: true\n"
)

// startCluster starts both nodes; transports are the transport sections of the
// owner's and the entry's settings, plain by default.
func startCluster(t testing.TB, upstream http.Handler, transports ...string) *testCluster {
	t.Helper()
	return startClusterWith(t, nil, upstream, transports...)
}

// startClusterWith is startCluster with options for both nodes.
func startClusterWith(t testing.TB, opts []Option, upstream http.Handler, transports ...string) *testCluster {
	t.Helper()
	u := httptest.NewServer(upstream)
	t.Cleanup(u.Close)
	ownerHost, entryHost := fleet.NewHost(), fleet.NewHost()
	platform := httptest.NewServer(fakePlatform{
		"records/seal": sealRecord,
		"records/read": readRecord,
		"records/old":  retiredRecord,
		"vms/sealing":  rosterText("sealing", ownerHost.PeerAddress()),
		"vms/desk":     rosterText("desk", entryHost.PeerAddress()),
	})
	t.Cleanup(platform.Close)
	if len(transports) == 0 {
		transports = []string{"{plain: true}", "{plain: true}"}
	}
	cluster := &testCluster{upstream: strings.TrimPrefix(u.URL, "http://")}
	platformAddress := strings.TrimPrefix(platform.URL, "http://")
	cluster.owner = startNode(t, "sealing", ownerHost, cluster.upstream, platformAddress, transports[0], opts...)
	cluster.entry = startNode(t, "desk", entryHost, cluster.upstream, platformAddress, transports[1], opts...)
	return cluster
}

func rosterText(service, address string) string {
	return fmt.Sprintf("schema: 1\nrevision: 1\nservice: %s\nvms:\n  - {name: %s-1, region: kutch, zone: kutch-a, address: %q, state: live}\n",
		service, service, address)
}

func startNode(t testing.TB, service string, host fleet.Host, upstream, platform, transport string, opts ...Option) *Node {
	t.Helper()
	s, err := ParseSettings("test", fmt.Appendf(nil, `vm: %s-1
service: %s
region: kutch
zone: kutch-a
listen: {callers: %q, upstream: %q, peers: %q, operators: %q}
upstream: {address: %q, slots: 64, connections: 512}
platform: [%q]
transport: %s
routes: [{method: GET, prefix: /histories, kind: read}]
`, service, service, host.CallerAddress(), host.NestedCallAddress(), host.PeerAddress(), host.OperatorAddress(), upstream, platform, transport))
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(s, opts...)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("run: got %v, want nil", err)
		}
	})
	for end := time.Now().Add(10 * time.Second); !n.ready.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the node did not become ready")
		}
	}
	for end := time.Now().Add(10 * time.Second); len(n.store.Snapshot().Keys()) < 5; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got documents %v, want all", n.store.Snapshot().Keys())
		}
	}
	return n
}

// send makes a call through a port of a node.
func send(t testing.TB, address, method, path, body string, headers ...string) (*http.Response, problem) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	var p problem
	if strings.HasPrefix(res.Header.Get("Content-Type"), "application/problem") {
		if err := json.NewDecoder(res.Body).Decode(&p); err != nil {
			t.Errorf("problem: %v", err)
		}
	}
	return res, p
}
