package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
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

// tokenFlag is the flag with the path of the file that holds the operators' token.
const tokenFlag = "token-file"

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
	return queryNodesAs[T](ctx, c, "", method, path)
}

// readToken returns the token in the file given by --token-file; empty if none is
// given.
func readToken(c *cli.Command) (string, error) {
	path := c.String(tokenFlag)
	if path == "" {
		return "", nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	return strings.TrimSpace(string(content)), nil
}

// queryNodesAs is queryNodes with a token, unless that is empty.
func queryNodesAs[T any](ctx context.Context, c *cli.Command, token, method, path string) ([]reply[T], error) {
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
			replies[i] = queryNode[T](ctx, node, token, method, path)
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

func queryNode[T any](ctx context.Context, node, token, method, path string) reply[T] {
	out := reply[T]{Node: node}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, nil)
	if err != nil {
		out.Error = err.Error()
		return out
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		out.Error = err.Error()
		return out
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		out.Error = describeStatus(res.StatusCode)
		return out
	}
	if err := json.NewDecoder(res.Body).Decode(&out.Value); err != nil {
		out.Error = err.Error()
	}
	return out
}

// describeStatus returns the error of a node that answered with a status other
// than 200.
func describeStatus(status int) string {
	switch status {
	case http.StatusUnauthorized:
		return "status 401: the node needs another token, see --" + tokenFlag
	case http.StatusForbidden:
		return "status 403: the node has no token set and takes changes only from its own machine"
	case http.StatusServiceUnavailable:
		return "status 503: the node cannot read its token file"
	default:
		return fmt.Sprintf("status %d", status)
	}
}
