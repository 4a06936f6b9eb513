package depot

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cuminhollow.example/receipt"
	"cuminhollow.example/record"
)

const (
	// platformTimeout limits the duration of a request to the platform, besides
	// the wait of a watch.
	platformTimeout = 3 * time.Second
	// watchWait is how long the platform holds a watch open for a change.
	watchWait = 20 * time.Second
	// readBatch is the maximum number of documents read after one listing.
	readBatch = 128
	// readsPerSecond limits the documents that a node reads after the first batch,
	// so that all watchers together stay below the platform's rate limit.
	readsPerSecond = 16
	// newestFirstCount is the number of documents that are read in order of their
	// version, the newest first.
	newestFirstCount = 32
	// maxListingBytes limits the size of a listing, in bytes.
	maxListingBytes = 16 << 20
)

// platformClient reads the configuration service (the platform). It never
// writes. It is safe for concurrent use.
type platformClient struct {
	addresses []string
	client    *http.Client
	// limiter limits the rate of document reads.
	limiter *rate.Limiter
	mu      sync.Mutex
	// nextAddress is the index of the address for the next request, modulo the
	// number of addresses.
	nextAddress int
	// versions holds the version of each key that was read last.
	versions map[string]uint64
}

// platformListing is the platform's answer to a list or watch request.
type platformListing struct {
	Index uint64          `json:"index"`
	Keys  []platformEntry `json:"keys"`
}

type platformEntry struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

func newPlatformClient(addresses []string) *platformClient {
	return &platformClient{
		addresses: addresses,
		client:    &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: maxHeaderBytes}},
		limiter:   rate.NewLimiter(readsPerSecond, readBatch),
		versions:  make(map[string]uint64),
	}
}

// readChanges passes the documents that changed since the last read to handle,
// at most readBatch of them, and returns the platform's index. With a positive
// index the platform waits for a change. The returned index is 0 if more
// documents remain to be read.
func (p *platformClient) readChanges(ctx context.Context, index uint64, handle func(...record.RawDocument)) (uint64, error) {
	listing, err := p.list(ctx, index)
	if err != nil {
		return 0, err
	}
	changed := p.unread(listing.Keys)
	for _, e := range changed[:min(len(changed), readBatch)] {
		if err := p.limiter.Wait(ctx); err != nil {
			return 0, &Error{Op: "read platform", Kind: KindPlatform, Err: err}
		}
		body, err := p.value(ctx, e.Key)
		if err != nil {
			return 0, err
		}
		handle(record.RawDocument{Key: e.Key, Body: body})
		p.markRead(e)
	}
	if len(changed) > readBatch {
		return 0, nil
	}
	return listing.Index, nil
}

// unread returns the keys whose current version was not read yet. The newest
// come first, so that a change is read before a backlog. The rest is in random
// order, so that nodes that start together read different documents and
// exchange them.
func (p *platformClient) unread(keys []platformEntry) []platformEntry {
	var out []platformEntry
	for _, e := range keys {
		if !p.hasRead(e) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b platformEntry) int { return cmp.Compare(b.Version, a.Version) })
	if rest := out[min(len(out), newestFirstCount):]; len(rest) > 1 {
		rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	}
	return out
}

func (p *platformClient) hasRead(e platformEntry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.versions[e.Key] == e.Version
}

func (p *platformClient) markRead(e platformEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions[e.Key] = e.Version
}

func (p *platformClient) list(ctx context.Context, index uint64) (*platformListing, error) {
	path := "/v1/list"
	timeout := platformTimeout
	if index > 0 {
		path = "/v1/watch?index=" + strconv.FormatUint(index, 10) + "&wait=" + watchWait.String()
		timeout += watchWait
	}
	body, err := p.get(ctx, path, timeout, maxListingBytes)
	if err != nil {
		return nil, err
	}
	var listing platformListing
	if err := json.Unmarshal(body, &listing); err != nil {
		return nil, &Error{Op: "read platform", Kind: KindPlatform, Err: err}
	}
	return &listing, nil
}

// value reads one document. It reads one byte more than the limit, so that a
// document that is too large is rejected instead of truncated.
func (p *platformClient) value(ctx context.Context, key string) ([]byte, error) {
	return p.get(ctx, "/v1/value?key="+url.QueryEscape(key), platformTimeout, record.MaxBytes+1)
}

// get requests a path from the address that answered last, and switches to the
// next address after a failure.
func (p *platformClient) get(ctx context.Context, path string, timeout time.Duration, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	p.mu.Lock()
	address := p.addresses[p.nextAddress%len(p.addresses)]
	p.mu.Unlock()
	body, err := p.fetch(ctx, "http://"+address+path, limit)
	if err != nil {
		p.mu.Lock()
		p.nextAddress++
		p.mu.Unlock()
		return nil, &Error{Op: "read platform", Kind: KindPlatform, Err: err}
	}
	return body, nil
}

func (p *platformClient) fetch(ctx context.Context, url string, limit int64) ([]byte, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := p.client.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if err := receipt.Check(res); err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("get %q: unexpected status %d", url, res.StatusCode)
	}
	return io.ReadAll(io.LimitReader(res.Body, limit))
}
