package depot

import (
	"encoding/json"
	"net/http"
	"runtime"

	"cuminhollow.example/booking"
	"cuminhollow.example/record"
)

// Status is the state of a node as the operator API reports it.
type Status struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	// Ready is set once the node has its configuration and serves.
	Ready bool `json:"ready"`
	// Leaving is set once the node rejects new calls.
	Leaving bool `json:"leaving"`
	// Reader is set if the node watches the platform for its zone.
	Reader bool `json:"reader"`
	// Fleet is the number of nodes in the rosters.
	Fleet int `json:"fleet"`
	// Records is the number of current documents.
	Records int `json:"records"`
	// Limit is the concurrency limit of the upstream; Running and Waiting count
	// its calls that run and that are queued.
	Limit   int `json:"limit"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// MeanMS is the mean duration of a run, in milliseconds.
	MeanMS float64 `json:"mean_ms"`
	// Refusing is the first priority class that is rejected at present; 16 for
	// none.
	Refusing int `json:"refusing"`
	// Completions is the number of completion records.
	Completions int `json:"completions"`
	// InWork counts the calls from callers and peers that are not answered yet.
	InWork int64 `json:"in_work"`
	// ControlBytes and ControlMessages count the traffic sent to peers, excluding
	// calls and answers.
	ControlBytes    int64 `json:"control_bytes"`
	ControlMessages int64 `json:"control_messages"`
	// HeapBytes is the size of the allocated heap objects, in bytes.
	HeapBytes uint64 `json:"heap_bytes"`
}

// Explanation describes the current record for a kind of work and how the node
// handles calls of that kind.
type Explanation struct {
	Kind     string `json:"kind"`
	Found    bool   `json:"found"`
	Revision uint64 `json:"revision,omitempty"`
	Digest   string `json:"digest,omitempty"`
	Schema   int    `json:"schema,omitempty"`
	Service  string `json:"service,omitempty"`
	Rank     int    `json:"rank"`
	// TargetMS is the target time, in milliseconds.
	TargetMS   int64 `json:"target_ms,omitempty"`
	Tries      int   `json:"tries,omitempty"`
	Idempotent bool  `json:"idempotent"`
	Protected  bool  `json:"protected"`
	Retired    bool  `json:"retired"`
	// Source is where the record came from; empty if the audit log no longer
	// contains it.
	Source string `json:"source,omitempty"`
	// Class is the priority class; 0 is served first.
	Class int `json:"class"`
	// Now describes how the node handles calls of the kind at present.
	Now string `json:"now"`
}

// DocumentVersion identifies the version of a current document.
type DocumentVersion struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.Status()) })
	mux.HandleFunc("GET /v1/explain", func(w http.ResponseWriter, q *http.Request) {
		writeJSON(w, n.Explain(q.URL.Query().Get("kind")))
	})
	mux.HandleFunc("GET /v1/audit", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, n.store.AuditLog().Changes())
	})
	mux.HandleFunc("GET /v1/records", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.documentVersions()) })
	mux.HandleFunc("POST /v1/drain", n.authorized(func(w http.ResponseWriter, _ *http.Request) {
		n.Drain()
		writeJSON(w, n.Status())
	}))
	mux.HandleFunc("GET /v1/ready", n.serveReady)
	mux.Handle("GET /metrics", n.metrics.handler())
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Status returns the state of the node.
func (n *Node) Status() Status {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	stats, fleet := n.owner.controller.Stats(), n.replicator.currentFleet()
	return Status{
		VM:          n.settings.vm,
		Service:     n.settings.service,
		Region:      n.settings.locality.Region,
		Zone:        n.settings.locality.Zone,
		Ready:       n.ready.Load(),
		Leaving:     n.owner.leaving.Load(),
		Reader:      fleet.IsWatcher(),
		Fleet:       fleet.Size(),
		Records:     len(n.store.Snapshot().Keys()),
		Limit:       stats.Limit,
		Running:     stats.Running,
		Waiting:     stats.Waiting,
		MeanMS:      stats.MeanRunTime,
		Refusing:    int(n.owner.controller.Level(n.clock.Now())),
		Completions: n.owner.completions.Stats().Records,
		InWork:      n.owner.inFlight.Load() + n.entry.inFlight.Load(),
		HeapBytes:   memory.HeapAlloc,

		ControlBytes:    n.traffic.ControlBytes(),
		ControlMessages: n.traffic.ControlMessages(),
	}
}

// ControlTraffic returns the bytes and messages sent to peers, excluding calls
// and answers.
func (n *Node) ControlTraffic() (bytes, messages int64) {
	return n.traffic.ControlBytes(), n.traffic.ControlMessages()
}

// Revision returns the revision of the current record for a kind of work; 0 if
// there is none.
func (n *Node) Revision(kind string) uint64 {
	d := n.store.Snapshot().Document(record.PolicyPrefix + kind)
	if d == nil {
		return 0
	}
	return d.Revision()
}

// Explain describes the current record for a kind of work and how the node
// handles calls of that kind.
func (n *Node) Explain(kind string) Explanation {
	out := Explanation{Kind: kind}
	d := n.store.Snapshot().Document(record.PolicyPrefix + kind)
	if d == nil {
		out.Now = "refused: no record is known for this kind of work"
		return out
	}
	p := d.Content().(*record.Policy)
	out.Found = true
	out.Revision = d.Revision()
	out.Digest = d.Digest().String()
	out.Schema = p.Schema()
	out.Service = p.Service()
	out.Rank = p.Rank()
	out.TargetMS = int64(p.Target())
	out.Tries = p.Tries()
	out.Idempotent = p.Idempotent()
	out.Protected = p.Protected()
	out.Retired = p.Retired()
	class := booking.ClassOf(p.Protected(), p.Rank())
	out.Class = int(class)
	out.Source = n.sourceOf(d)
	out.Now = n.currentHandling(p, class)
	return out
}

// sourceOf returns the source of a document according to the audit log; empty
// if the log does not contain its version.
func (n *Node) sourceOf(d *record.Document) string {
	source := ""
	for _, c := range n.store.AuditLog().Changes() {
		if c.Key == d.Key() && c.To == d.Revision() && c.Digest == d.Digest().String() {
			source = c.Source
		}
	}
	return source
}

func (n *Node) currentHandling(p *record.Policy, class booking.Class) string {
	switch {
	case p.Retired():
		return "refused: the kind of work is retired"
	case p.Service() != n.settings.service:
		return "sent on: service " + p.Service() + " runs on other VMs"
	case n.owner.leaving.Load():
		return "refused: this VM is leaving"
	case class >= n.owner.controller.Level(n.clock.Now()):
		return "partly refused: the upstream is overloaded"
	default:
		return "served"
	}
}

func (n *Node) documentVersions() []DocumentVersion {
	s := n.store.Snapshot()
	var out []DocumentVersion
	for _, key := range s.Keys() {
		d := s.Document(key)
		out = append(out, DocumentVersion{Key: key, Revision: d.Revision(), Digest: d.Digest().String()})
	}
	return out
}
