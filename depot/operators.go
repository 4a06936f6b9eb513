package depot

import (
	"encoding/json"
	"net/http"
	"runtime"

	"cuminhollow.example/booking"
	"cuminhollow.example/record"
)

// Status is the state of a node as reported to operators.
type Status struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	// Ready tells that the node has documents and serves.
	Ready bool `json:"ready"`
	// Leaving tells that the node takes no new work.
	Leaving bool `json:"leaving"`
	// Reader tells that the node watches the platform for its zone.
	Reader bool `json:"reader"`
	// Fleet is the number of nodes in the rosters.
	Fleet   int `json:"fleet"`
	Records int `json:"records"`
	// Limit, Running and Waiting are counts of calls at the upstream.
	Limit   int `json:"limit"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// MeanMS is the mean duration of a run, in milliseconds.
	MeanMS float64 `json:"mean_ms"`
	// Refusing is the first class that is refused at present; 16 for none.
	Refusing int `json:"refusing"`
	// Completions is the number of completion records.
	Completions int `json:"completions"`
	// InWork counts calls taken from callers and peers and not yet answered.
	InWork int64 `json:"in_work"`
	// ControlBytes and ControlMessages count what was sent to peers besides
	// calls and answers.
	ControlBytes    int64 `json:"control_bytes"`
	ControlMessages int64 `json:"control_messages"`
	// HeapBytes is the memory in use by the node's heap.
	HeapBytes uint64 `json:"heap_bytes"`
}

// Explanation says which record is in force for a kind of work and what the
// node does with it.
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
	// Source is where the record came from, if the audit trail still has it.
	Source string `json:"source,omitempty"`
	// Class is the place in the order of service, 0 being the first.
	Class int `json:"class"`
	// Now says what the node does with the kind at present.
	Now string `json:"now"`
}

// Held is one document in force.
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
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, _ *http.Request) {
		n.Drain()
		writeJSON(w, n.Status())
	})
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
	desk, fleet := n.owner.controller.Stats(), n.replicator.currentFleet()
	return Status{
		VM:          n.settings.vm,
		Service:     n.settings.service,
		Region:      n.settings.place.Region,
		Zone:        n.settings.place.Zone,
		Ready:       n.ready.Load(),
		Leaving:     n.owner.leaving.Load(),
		Reader:      fleet.IsWatcher(),
		Fleet:       fleet.Size(),
		Records:     len(n.store.Snapshot().Keys()),
		Limit:       desk.Limit,
		Running:     desk.Running,
		Waiting:     desk.Waiting,
		MeanMS:      desk.MeanRunTime,
		Refusing:    int(n.owner.controller.Level(n.clock.Now())),
		Completions: n.owner.completions.Stats().Records,
		InWork:      n.owner.inFlight.Load() + n.entry.inFlight.Load(),
		HeapBytes:   memory.HeapAlloc,

		ControlBytes:    n.traffic.ControlBytes(),
		ControlMessages: n.traffic.ControlMessages(),
	}
}

// Control returns the bytes and messages sent to peers besides calls and
// answers.
func (n *Node) ControlTraffic() (bytes, messages int64) {
	return n.traffic.ControlBytes(), n.traffic.ControlMessages()
}

// Revision returns the revision of the record in force for a kind of work; 0
// for none.
func (n *Node) Revision(kind string) uint64 {
	d := n.store.Snapshot().Document(record.PolicyPrefix + kind)
	if d == nil {
		return 0
	}
	return d.Revision()
}

// Explain tells which record of a kind is in force and what it does.
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

// sourceOf finds the last accepted change of a document in the audit trail.
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
