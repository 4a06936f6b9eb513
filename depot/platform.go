package depot

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"cuminhollow.example/record"
)

const (
	// platformTimeout bounds a read of the platform.
	platformTimeout = 3 * time.Second
	// watchWait is how long a watch waits for a change.
	watchWait = 20 * time.Second
	// listingLimit bounds the size of a listing, in bytes.
	listingLimit = 16 << 20
)

// platform reads the configuration service. It never writes.
type platform struct {
	addresses []string
	client    *http.Client
	mu        sync.Mutex
	// next is the address that is tried first.
	next int
	// seen holds the version of each key that was read last.
	seen map[string]uint64
}

// platformListing is the answer of the platform to a list or a watch.
type platformListing struct {
	Index uint64          `json:"index"`
	Keys  []platformEntry `json:"keys"`
}

type platformEntry struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

func newPlatform(addresses []string) *platform {
	return &platform{
		addresses: addresses,
		client:    &http.Client{},
		seen:      make(map[string]uint64),
	}
}

// read brings every document that changed since the last read to take, and
// returns the platform's index. A positive index makes the platform wait for a
// change.
func (p *platform) read(ctx context.Context, index uint64, take func(key string, body []byte)) (uint64, error) {
	listing, err := p.list(ctx, index)
	if err != nil {
		return 0, err
	}
	for _, e := range listing.Keys {
		if p.known(e) {
			continue
		}
		body, err := p.value(ctx, e.Key)
		if err != nil {
			return 0, err
		}
		take(e.Key, body)
		p.note(e)
	}
	return listing.Index, nil
}

func (p *platform) known(e platformEntry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen[e.Key] == e.Version
}

func (p *platform) note(e platformEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen[e.Key] = e.Version
}

func (p *platform) list(ctx context.Context, index uint64) (*platformListing, error) {
	path := "/v1/list"
	timeout := platformTimeout
	if index > 0 {
		path = "/v1/watch?index=" + strconv.FormatUint(index, 10) + "&wait=" + watchWait.String()
		timeout += watchWait
	}
	body, err := p.get(ctx, path, timeout, listingLimit)
	if err != nil {
		return nil, err
	}
	var listing platformListing
	if err := json.Unmarshal(body, &listing); err != nil {
		return nil, &Error{Op: "read platform", Kind: KindPlatform, Err: err}
	}
	return &listing, nil
}

// value reads one document. One byte more than the limit is read, so that a
// document that is too large is refused rather than cut.
func (p *platform) value(ctx context.Context, key string) ([]byte, error) {
	return p.get(ctx, "/v1/value?key="+url.QueryEscape(key), platformTimeout, record.MaxBytes+1)
}

// get reads from the address that answered last, and turns to the next one
// after a failure.
func (p *platform) get(ctx context.Context, path string, timeout time.Duration, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	p.mu.Lock()
	address := p.addresses[p.next%len(p.addresses)]
	p.mu.Unlock()
	body, err := p.fetch(ctx, "http://"+address+path, limit)
	if err != nil {
		p.mu.Lock()
		p.next++
		p.mu.Unlock()
		return nil, &Error{Op: "read platform", Kind: KindPlatform, Err: err}
	}
	return body, nil
}

func (p *platform) fetch(ctx context.Context, url string, limit int64) ([]byte, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := p.client.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", res.StatusCode)
	}
	return io.ReadAll(io.LimitReader(res.Body, limit))
}
