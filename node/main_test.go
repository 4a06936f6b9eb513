package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// TestLogLine checks that an event is written as one line and that values with
// spaces and line breaks are quoted.
func TestLogLine(t *testing.T) {
	var out bytes.Buffer
	log := zerolog.New(newLineWriter(&out))
	log.Info().Str("reason", "two words\nand a line").Str("event", "record-change").Int("to", 3).Send()
	got := out.String()
	if strings.Count(got, "\n") != 1 {
		t.Errorf("got %q, want one line", got)
	}
	for _, want := range []string{"level=info", "event=record-change", "to=3", `reason="two words\nand a line"`} {
		if !strings.Contains(got, want) {
			t.Errorf("got %q, want %q in it", got, want)
		}
	}
}

func TestCollectorPercent(t *testing.T) {
	tests := []struct {
		name       string
		heap, next uint64
		want       int
	}{
		{"small heap", 2 << 20, 4 << 20, maxGCPercent},
		{"heap near the target", 32 << 20, 64 << 20, 100},
		{"large heap", 200 << 20, 300 << 20, minGCPercent},
		{"empty", 0, 0, maxGCPercent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := collectorPercent(tt.heap, tt.next); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

// TestCheckSettings runs check-settings on valid, invalid and missing files.
func TestCheckSettings(t *testing.T) {
	for file, wantErr := range map[string]bool{
		"../depot/testdata/good.yaml": false,
		"../depot/testdata/bad.yaml":  true,
		"missing.yaml":                true,
	} {
		err := command().Run(t.Context(), []string{"node", "check-settings", "--settings", file})
		if got := err != nil; got != wantErr {
			t.Errorf("%s: got error %v, want an error %t", file, err, wantErr)
		}
	}
}
