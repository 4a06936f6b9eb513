package depot

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"cuminhollow.example/portage"
	"cuminhollow.example/receipt"
)

// upstreamDialTimeout limits the time to open a connection to the upstream.
const upstreamDialTimeout = 500 * time.Millisecond

// Upstream runs calls on the VM's own upstream. It is safe for concurrent use.
type Upstream interface {
	// Run sends a call to the upstream and returns its result. It returns early when
	// ctx ends.
	Run(ctx context.Context, r *Run) RunResult
}

// RunResult is the result of a call on the upstream.
type RunResult struct {
	// Outcome is OutcomeNotRun only if no byte of the call reached the upstream
	// or if the upstream says so.
	Outcome portage.Outcome
	// Reason is set unless the outcome is OutcomeAnswered.
	Reason string
	// Reached reports whether a byte of the call may have reached the upstream.
	Reached bool
	// Retryable reports, with OutcomeNotRun, that the upstream may accept the
	// call a moment later.
	Retryable bool
	Status    int
	Header    []portage.Field
	Body      []byte
	// Instance is the name of the process that was to run the call, where the adapter
	// names one.
	Instance string
	// Conn tells on which connection the call was sent.
	Conn ConnUse
}

// ConnUse tells on which connection to the upstream a call was sent. The zero
// value means that it is not known.
type ConnUse struct {
	// Number identifies the connection among those of the process.
	Number uint64
	// Requests is the number of requests sent on it so far, this one included.
	Requests int
	// Skipped is the number of answers to other requests that were read first.
	Skipped int
}

// httpUpstream is an Upstream that uses the product's own HTTP interface.
type httpUpstream struct {
	address string
	client  *http.Client
	// repeatsRun is set while the upstream repeats HeaderRun in its responses. Only
	// then do connections carry more than one call: without it, a late copy of an
	// earlier response could not be told from the response to a call.
	repeatsRun atomic.Bool
}

func newHTTPUpstream(s upstreamSettings) *httpUpstream {
	dialer := &net.Dialer{Timeout: upstreamDialTimeout}
	return &httpUpstream{
		address: s.Address,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					raw, err := dialer.DialContext(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return &guardedConn{Conn: raw}, nil
				},
				MaxConnsPerHost:     s.Connections,
				MaxIdleConnsPerHost: s.Connections,
				IdleConnTimeout:     time.Minute,
				DisableCompression:  true,

				MaxResponseHeaderBytes: maxHeaderBytes,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// Run implements Upstream.
func (u *httpUpstream) Run(ctx context.Context, r *Run) RunResult {
	var connected, reused atomic.Bool
	var refusal atomic.Pointer[RunResult]
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if _, refused := r.Begin(ctx); refused != nil {
				refusal.Store(refused)
				i.Conn.(*guardedConn).refuse()
			}
			connected.Store(true)
			reused.Store(i.Reused)
		},
		Got1xxResponse: receipt.CheckInterim,
	}
	c := r.Call()
	q, err := u.newRequest(httptrace.WithClientTrace(ctx, trace), c)
	if err != nil {
		return RunResult{Outcome: portage.OutcomeNotRun, Reason: reasonDamaged}
	}
	q.Header.Set(HeaderRun, r.ID())
	q.Header.Set(HeaderRequest, c.Request)
	q.Header.Set(HeaderKind, c.Kind)
	q.Header.Set(HeaderTimeLeft, strconv.FormatInt(int64(r.Left()), 10))
	q.Header.Set(HeaderRank, strconv.Itoa(int(c.Class)))
	q.Close = !u.repeatsRun.Load()
	res, err := u.client.Do(q)
	switch {
	case err != nil && refusal.Load() != nil:
		return *refusal.Load()
	case err != nil:
		return transportFailure(connected.Load())
	}
	defer func() { _ = res.Body.Close() }()
	if receipt.Check(res) != nil || !u.isOwnResponse(res, r.ID(), reused.Load()) {
		return RunResult{Outcome: portage.OutcomeUnknown, Reached: true, Reason: reasonDamaged}
	}
	return readResponse(res, r)
}

// isOwnResponse reports whether a response belongs to the run with an id. On a
// connection that carried another call before, only one that repeats the id does. If
// the response belongs to another run, so may what the idle connections hold, which
// are closed.
func (u *httpUpstream) isOwnResponse(res *http.Response, id string, reused bool) bool {
	run := res.Header.Get(HeaderRun)
	u.repeatsRun.Store(run != "")
	if run == id || run == "" && !reused {
		return true
	}
	u.client.CloseIdleConnections()
	return false
}

// transportFailure returns the result of a call without a response. Without a
// connection the call did not run; with one, it may have run.
func transportFailure(connected bool) RunResult {
	if !connected {
		return RunResult{Outcome: portage.OutcomeNotRun, Reason: reasonUnreachable}
	}
	return RunResult{Outcome: portage.OutcomeUnknown, Reached: true, Reason: reasonAnswerLost}
}

// readResponse returns the result of a run from the upstream's response.
func readResponse(res *http.Response, r *Run) RunResult {
	body, err := io.ReadAll(NewAnswerReader(io.LimitReader(res.Body, portage.MaxBody+1), r, AnswerBodyCopies))
	switch {
	case errors.Is(err, ErrAnswerMemory):
		return RunResult{Outcome: portage.OutcomeUnknown, Reached: true, Reason: reasonMemory}
	case err != nil, !receipt.HasLength(res):
		return RunResult{Outcome: portage.OutcomeUnknown, Reached: true, Reason: reasonAnswerLost}
	case len(body) > portage.MaxBody:
		return RunResult{Outcome: portage.OutcomeUnknown, Reached: true, Reason: reasonBodyTooLarge}
	case receipt.CheckTrailer(res) != nil:
		return RunResult{Outcome: portage.OutcomeUnknown, Reached: true, Reason: reasonDamaged}
	case res.Header.Get(HeaderOutcome) == portage.OutcomeNotRun.String():
		return RunResult{Outcome: portage.OutcomeNotRun, Reached: true, Reason: reasonOverload}
	}
	return RunResult{
		Outcome: portage.OutcomeAnswered,
		Reached: true,
		Status:  res.StatusCode,
		Header:  EndToEndFields(res.Header),
		Body:    body,
	}
}

// newRequest returns the HTTP request for a call. Its body cannot be rewound, so
// the transport never sends it a second time on its own.
func (u *httpUpstream) newRequest(ctx context.Context, c *portage.Call) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, c.Method, "http://"+u.address+c.Path, nil)
	if err != nil {
		return nil, err
	}
	addFields(q.Header, c.Header)
	if host := q.Header.Get("Host"); host != "" {
		q.Host = host
		q.Header.Del("Host")
	}
	q.Body = io.NopCloser(bytes.NewReader(c.Body))
	q.ContentLength = int64(len(c.Body))
	return q, nil
}

// errShutdown is the cause of contexts that are cancelled when the node stops.
var errShutdown = errors.New("depot: node has stopped")
