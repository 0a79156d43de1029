package logs

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"garnetline/internal/golden"
)

// TestGoldenEvents checks the format of the log, which operators' tools parse: the keys of time,
// level, message and error. All counters must be in one event, in the order of their names.
func TestGoldenEvents(t *testing.T) {
	defer zerolog.SetGlobalLevel(zerolog.GlobalLevel())
	defer func(previous func() time.Time) { zerolog.TimestampFunc = previous }(zerolog.TimestampFunc)
	zerolog.TimestampFunc = func() time.Time { return time.UnixMilli(1_700_000_000_123) }
	var out bytes.Buffer
	log := New(&out)
	for _, level := range Levels {
		if err := SetLevel(level); err != nil {
			t.Fatal(err)
		}
		log.Debug().Int("n", 1).Msg("at " + level)
		log.Info().Str("server", "s-00000001").Float64("took_ms", 1.5).Msg("at " + level)
		log.Warn().Bool("ready", true).Msg("at " + level)
		log.Error().Err(errors.New("two\nlines")).Msg("at " + level)
		WriteCounters(log, map[string]int64{"b": 2, "a": 1, "c_3": -3})
	}
	if _, err := ParseLevel("loud"); err == nil {
		t.Error("got no error for an unknown level")
	} else {
		out.WriteString(err.Error() + "\n")
	}
	golden.Compare(t, "events.golden", out.Bytes())
}
