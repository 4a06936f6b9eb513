package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

const (
	// queryTimeout is the time limit of the request to one node.
	queryTimeout = 5 * time.Second
	// maxParallelQueries is the maximum number of concurrent requests.
	maxParallelQueries = 32
)

// reply is the answer of one node.
type reply[T any] struct {
	Node  string `json:"node"`
	Value T      `json:"value"`
	// Error is why Value is missing; empty if the node answered.
	Error string `json:"error,omitempty"`
}

// nodeAddresses returns the addresses given by --nodes or CUMINHOLLOW_NODES.
func nodeAddresses(c *cli.Command) ([]string, error) {
	var out []string
	for _, entry := range c.StringSlice("nodes") {
		for address := range strings.SplitSeq(entry, ",") {
			out = append(out, strings.TrimSpace(address))
		}
	}
	if len(out) == 0 {
		return nil, trace.BadParameter("no node address given: use --nodes or CUMINHOLLOW_NODES")
	}
	return out, nil
}

// queryNodes sends a request to all nodes and returns their replies in the
// order of the nodes. It fails if no node is given or none answers.
func queryNodes[T any](ctx context.Context, c *cli.Command, method, path string) ([]reply[T], error) {
	nodes, err := nodeAddresses(c)
	if err != nil {
		return nil, err
	}
	replies := make([]reply[T], len(nodes))
	semaphore := make(chan struct{}, maxParallelQueries)
	var wg sync.WaitGroup
	for i, node := range nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			replies[i] = queryNode[T](ctx, node, method, path)
		}()
	}
	wg.Wait()
	for _, r := range replies {
		if r.Error == "" {
			return replies, nil
		}
	}
	return nil, trace.ConnectionProblem(nil, "no node answered: %s: %s", replies[0].Node, replies[0].Error)
}

func queryNode[T any](ctx context.Context, node, method, path string) reply[T] {
	out := reply[T]{Node: node}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, nil)
	if err != nil {
		out.Error = err.Error()
		return out
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		out.Error = err.Error()
		return out
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		out.Error = fmt.Sprintf("status %d", res.StatusCode)
		return out
	}
	if err := json.NewDecoder(res.Body).Decode(&out.Value); err != nil {
		out.Error = err.Error()
	}
	return out
}
