package record

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write the expected problems of bad documents")

// TestParseBad compares all problems of each bad document, with their lines,
// with the expected list in the file of the same name.
func TestParseBad(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d files, error %v, want some", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			body, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			_, err = Parse("records/seal", body)
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("got error %v, want a *record.Error", err)
			}
			var b strings.Builder
			for _, p := range e.Problems {
				fmt.Fprintf(&b, "%d: %s\n", p.Line, p.Reason)
			}
			golden := strings.TrimSuffix(file, ".yaml") + ".txt"
			if *update {
				if err := os.WriteFile(golden, []byte(b.String()), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if got := b.String(); got != string(want) {
				t.Errorf("problems:\ngot\n%s\nwant\n%s", got, want)
			}
		})
	}
}

// TestSchemaVersions parses the same policy in both schema versions.
func TestSchemaVersions(t *testing.T) {
	for _, name := range []string{"seal-v1", "seal-v2"} {
		body, err := os.ReadFile("testdata/good/" + name + ".yaml")
		if err != nil {
			t.Fatal(err)
		}
		d, err := Parse("records/seal", body)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		p := d.Content().(*Policy)
		got := fmt.Sprint(p.Name(), p.Service(), p.Rank(), p.Target(), p.Tries(), p.Idempotent(), p.Protected())
		if want := fmt.Sprint("seal", "sealing", 1, 800*time.Millisecond, 3, false, true); got != want {
			t.Errorf("%s: got %s, want %s", name, got, want)
		}
	}
}

func TestParseSize(t *testing.T) {
	head := "schema: 1\nrevision: 1\nname: seal\nservice: sealing\ntarget_ms: 1\ntries: 1\n# "
	fill := func(size int) []byte { return []byte(head + strings.Repeat("x", size-len(head))) }
	if _, err := Parse("records/seal", fill(MaxBytes)); err != nil {
		t.Errorf("document of the limit: got %v, want no error", err)
	}
	_, err := Parse("records/seal", fill(MaxBytes+1))
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindSize {
		t.Errorf("document above the limit: got %v, want kind %s", err, KindSize)
	}
}

func TestParseRoster(t *testing.T) {
	tests := []struct {
		name, vm, want string
	}{
		{"good", `{name: a, region: r, zone: z, address: "127.0.0.1:1", state: live}`, ""},
		{"no zone", `{name: a, region: r, address: "127.0.0.1:1", state: live}`, "needs a name"},
		{"bad address", `{name: a, region: r, zone: z, address: here, state: live}`, "host:port"},
		{"bad state", `{name: a, region: r, zone: z, address: "127.0.0.1:1", state: gone}`, "state"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body := "schema: 1\nrevision: 1\nservice: sealing\nvms:\n  - " + tt.vm + "\n"
			_, err := Parse("vms/sealing", []byte(body))
			switch {
			case tt.want == "" && err != nil:
				t.Errorf("got %v, want no error", err)
			case tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)):
				t.Errorf("got %v, want one about %q", err, tt.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, pattern := range []string{"testdata/good/*.yaml", "testdata/bad/*.yaml"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			f.Fatal(err)
		}
		for _, file := range files {
			body, err := os.ReadFile(file)
			if err != nil {
				f.Fatal(err)
			}
			f.Add("records/seal", body)
			f.Add("vms/sealing", body)
		}
	}
	f.Fuzz(func(t *testing.T, key string, body []byte) {
		d, err := Parse(key, body)
		var e *Error
		switch {
		case err != nil && (!errors.As(err, &e) || len(e.Problems) == 0):
			t.Errorf("got error %#v, want a *record.Error with problems", err)
		case err == nil && (d.Revision() == 0 || d.Content() == nil):
			t.Errorf("got document %+v, want a revision and content", d)
		}
	})
}
