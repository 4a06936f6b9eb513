package caller_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"cuminhollow.example/caller"
)

// The error for refused work says that the work did not run.
func Example() {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Cuminhollow-Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprint(w, `{"reason":"overload"}`)
	}))
	defer node.Close()

	c := caller.New([]string{strings.TrimPrefix(node.URL, "http://")})
	_, err := c.Do(context.Background(), caller.Work{Kind: "history", Idempotent: true})
	fmt.Println(err)
	// Output:
	// caller: do: not-run: overload
}
