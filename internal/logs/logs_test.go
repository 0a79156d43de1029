package logs

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"github.com/rs/zerolog"
)

// One event is one line of JSON, whatever stands in it, and a level that does not
// exist changes nothing.
func TestOneEventPerLine(t *testing.T) {
	defer zerolog.SetGlobalLevel(zerolog.GlobalLevel())
	var out bytes.Buffer
	l := New(&out)
	if err := SetLevel("warn"); err != nil {
		t.Fatal(err)
	}
	if SetLevel("loud") == nil {
		t.Error("a level that does not exist was taken")
	}
	l.Info().Msg("below the level")
	l.Error().Err(errors.New("two\nlines")).Msg("reload refused")
	if err := SetLevel("info"); err != nil {
		t.Fatal(err)
	}
	WriteCounters(l, map[string]int64{"b": 2, "a": 1})
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	if len(lines) != 2 {
		t.Fatalf("%q: want two lines", out.String())
	}
	for i, want := range []map[string]any{{"event": "reload refused", "error": "two\nlines"}, {"event": "counters", "a": 1.0, "b": 2.0}} {
		var got map[string]any
		if err := json.Unmarshal(lines[i], &got); err != nil {
			t.Fatal(err)
		}
		for k, v := range want {
			if got[k] != v {
				t.Errorf("%s: %v, want %v", k, got[k], v)
			}
		}
		if ms, ok := got["ms"].(float64); !ok || ms < 1.7e12 {
			t.Errorf("ms: %v, want Unix milliseconds", got["ms"])
		}
	}
}
