package logs

import (
	"bytes"
	"testing"

	"garnetline/internal/clock"
)

// TestThrottledLogger checks that a flood of events is cut to ten in each second, and that the next
// second has events again.
func TestThrottledLogger(t *testing.T) {
	var out bytes.Buffer
	manual := clock.NewManual(0)
	log := Throttled(*New(&out), manual)
	for second := 1; second <= 3; second++ {
		manual.Advance(throttleInterval)
		for range 100 {
			log.Info().Msg("rejected")
		}
		if got := bytes.Count(out.Bytes(), []byte("\n")); got != second*throttledEvents {
			t.Errorf("got %d events after %d s, want %d", got, second, second*throttledEvents)
		}
	}
}
