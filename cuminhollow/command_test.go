package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runCommand runs the program with args and returns what it prints.
func runCommand(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := command(&out).Run(t.Context(), append([]string{"cuminhollow"}, args...))
	return out.String(), err
}

// fakeNode starts a server that answers the paths of a node's operators' port
// with fixed reports, and returns its address.
func fakeNode(t *testing.T) string {
	t.Helper()
	reports := map[string]string{
		"/v1/status":  `{"vm":"seal-1","service":"sealing","zone":"kutch-a","ready":true,"limit":70,"refusing":13}`,
		"/v1/explain": `{"kind":"seal","found":true,"revision":4,"digest":"aa","schema":1,"service":"sealing","rank":1,"target_ms":800,"tries":3,"now":"served"}`,
		"/v1/audit":   `[{"at_ms":5,"key":"records/seal","from":3,"to":4,"source":"platform","verdict":"accepted"}]`,
		"/v1/records": `[{"key":"records/seal","revision":4,"digest":"aa"}]`,
		"/v1/drain":   `{"vm":"seal-1","leaving":true}`,
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(reports[r.URL.Path]))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestReports queries a node that answers and one that does not.
func TestReports(t *testing.T) {
	node := fakeNode(t)
	tests := []struct {
		args []string
		want []string
	}{
		{[]string{"status"}, []string{"seal-1", "ready", "unprotected from rank 5"}},
		{[]string{"status", "--output", "json"}, []string{`"limit": 70`}},
		{[]string{"explain", "seal"}, []string{"served", "800ms"}},
		{[]string{"audit"}, []string{"records/seal", "accepted", "platform"}},
		{[]string{"rollout"}, []string{"records/seal", "1 of 2"}},
		{[]string{"rollout", "records/other"}, []string{"REVISION"}},
		{[]string{"drain"}, []string{"leaving"}},
	}
	for _, tt := range tests {
		t.Run(strings.Join(tt.args, " "), func(t *testing.T) {
			args := append([]string{tt.args[0], "--nodes", node + ",127.0.0.1:1"}, tt.args[1:]...)
			got, err := runCommand(t, args...)
			if err != nil {
				t.Fatal(err)
			}
			for _, want := range tt.want {
				if !strings.Contains(got, want) {
					t.Errorf("got\n%s\nwant %q in it", got, want)
				}
			}
		})
	}
}

func TestUsageErrors(t *testing.T) {
	tests := []struct {
		args []string
		want string
	}{
		{[]string{"status"}, "no node address given"},
		{[]string{"status", "--nodes", "127.0.0.1:1"}, "no node answered"},
		{[]string{"explain"}, "no kind of work given"},
		{[]string{"check"}, "no file given"},
		{[]string{"check", "missing.yaml"}, "missing.yaml"},
		{[]string{"status", "--nodes", fakeNode(t), "--output", "xml"}, `"xml" must be`},
	}
	for _, tt := range tests {
		t.Run(strings.Join(tt.args, " "), func(t *testing.T) {
			if _, err := runCommand(t, tt.args...); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v, want an error about %q", err, tt.want)
			}
		})
	}
}

// TestCheckAndDiff checks a valid and an invalid record, and compares the valid
// one with the record in force.
func TestCheckAndDiff(t *testing.T) {
	dir := t.TempDir()
	write := func(name, body string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	valid := write("seal.yaml", "schema: 1\nrevision: 5\nname: seal\nservice: sealing\nrank: 2\ntarget_ms: 800\ntries: 3\n")
	invalid := write("lot.yaml", "schema: 1\nrevision: 5\nname: lot\nservice: dispatching\nrank: 9\ntarget_ms: 0\ntries: 1\n")
	got, err := runCommand(t, "check", valid, invalid)
	if !strings.Contains(got, "records/seal revision 5 is valid") {
		t.Errorf("valid record: got %q, want it accepted", got)
	}
	for _, want := range []string{"lot.yaml:5: rank 9", "lot.yaml:6: target 0s"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("invalid record: got %v, want an error with %q", err, want)
		}
	}
	got, err = runCommand(t, "diff", "--nodes", fakeNode(t), valid)
	if err != nil || !strings.Contains(got, "rank") || !strings.Contains(got, "revision") {
		t.Errorf("diff: got %q, %v, want the fields that change", got, err)
	}
}

// TestDrainToken checks that drain sends the token of the file, and that it says
// why a node refused.
func TestDrainToken(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer 0123456789abcdef" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		_, _ = w.Write([]byte(`{"vm":"seal-1","leaving":true}`))
	}))
	t.Cleanup(node.Close)
	address := strings.TrimPrefix(node.URL, "http://")
	file := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(file, []byte("0123456789abcdef\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := runCommand(t, "drain", "--nodes", address, "--token-file", file)
	if err != nil || !strings.Contains(got, "leaving") {
		t.Errorf("with the token: got %q, %v", got, err)
	}
	if _, err := runCommand(t, "drain", "--nodes", address); err == nil || !strings.Contains(err.Error(), "--token-file") {
		t.Errorf("without a token: got %v, want a hint", err)
	}
	if _, err := runCommand(t, "drain", "--nodes", address, "--token-file", file+"x"); err == nil {
		t.Error("missing file: got no error, want one")
	}
}
