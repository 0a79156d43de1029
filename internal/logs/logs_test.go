package logs

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"github.com/rs/zerolog"
)

// TestOneEventPerLine checks that each event is one line of JSON, even if a value contains a line
// break. SetLevel with an unknown name must change nothing.
func TestOneEventPerLine(t *testing.T) {
	defer zerolog.SetGlobalLevel(zerolog.GlobalLevel())
	var out bytes.Buffer
	logger := New(&out)
	if err := SetLevel("warn"); err != nil {
		t.Fatal(err)
	}
	if SetLevel("loud") == nil {
		t.Error("got no error for an unknown level")
	}
	logger.Info().Msg("below the level")
	logger.Error().Err(errors.New("two\nlines")).Msg("reload refused")
	if err := SetLevel("info"); err != nil {
		t.Fatal(err)
	}
	WriteCounters(logger, map[string]int64{"b": 2, "a": 1})
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	if len(lines) != 2 {
		t.Fatalf("got log %q, want two lines", out.String())
	}
	for i, want := range []map[string]any{{"event": "reload refused", "error": "two\nlines"}, {"event": "counters", "a": 1.0, "b": 2.0}} {
		var got map[string]any
		if err := json.Unmarshal(lines[i], &got); err != nil {
			t.Fatal(err)
		}
		for key, value := range want {
			if got[key] != value {
				t.Errorf("%s: got %v, want %v", key, got[key], value)
			}
		}
		if ms, ok := got["ms"].(float64); !ok || ms < 1.7e12 {
			t.Errorf("ms: got %v, want Unix milliseconds", got["ms"])
		}
	}
}
