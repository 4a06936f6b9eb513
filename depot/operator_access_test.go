package depot

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
)

// TestDrainAccess checks who may drain a node: clients on the same machine while no
// token is set, and otherwise only those with the token.
func TestDrainAccess(t *testing.T) {
	const token = "0123456789abcdef"
	dir := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	settings, err := os.ReadFile(filepath.Join("testdata", "good.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	file, short := write("token", token+"\n"), write("short", "0123")
	const local, remote = "127.0.0.1:4000", "10.0.0.7:4000"
	tests := []struct {
		name, file, from, authorization string
		want                            int
	}{
		{"same machine", "", local, "", http.StatusOK},
		{"same machine, IPv6", "", "[::1]:4000", "", http.StatusOK},
		{"other machine", "", remote, "", http.StatusForbidden},
		{"other machine with any token", "", remote, "Bearer " + token, http.StatusForbidden},
		{"unknown address", "", "", "", http.StatusForbidden},
		{"token", file, remote, "Bearer " + token, http.StatusOK},
		{"same machine without the token", file, local, "", http.StatusUnauthorized},
		{"wrong token", file, remote, "Bearer 0123456789abcdeF", http.StatusUnauthorized},
		{"longer token", file, remote, "Bearer " + token + "0", http.StatusUnauthorized},
		{"other scheme", file, remote, "Basic " + token, http.StatusUnauthorized},
		{"file missing", filepath.Join(dir, "none"), remote, "Bearer " + token, http.StatusServiceUnavailable},
		{"short token", short, remote, "Bearer 0123", http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := ParseSettings("test", fmt.Appendf(nil, "%s\noperators: {token_file: %q}\n", settings, tt.file))
			if err != nil {
				t.Fatal(err)
			}
			n, err := New(s)
			if err != nil {
				t.Fatal(err)
			}
			q := httptest.NewRequest(http.MethodPost, "/v1/drain", nil)
			q.RemoteAddr = tt.from
			if tt.authorization != "" {
				q.Header.Set("Authorization", tt.authorization)
			}
			w := httptest.NewRecorder()
			n.operatorHandler().ServeHTTP(w, q)
			if w.Code != tt.want {
				t.Errorf("status: got %d, want %d", w.Code, tt.want)
			}
			if left, want := n.owner.leaving.Load(), tt.want == http.StatusOK; left != want {
				t.Errorf("leaving: got %t, want %t", left, want)
			}
		})
	}
}
