package adaptivetimeout

import (
	"context"
	"testing"
)

// TestSlowPeerIsAnsweredAtLast checks that a peer that always needs the same time is answered after few
// calls, that the next calls do not time out again, and that the timeout is short again for a peer that has
// become fast.
func TestSlowPeerIsAnsweredAtLast(t *testing.T) {
	for needed := 10.0; needed < 6400; needed += 10 {
		timeout := New(100, 6400)
		expired := 0
		for range 20 {
			if needed > timeout.Current() {
				timeout.Record(0, context.DeadlineExceeded)
				expired++
			} else {
				timeout.Record(needed, nil)
			}
		}
		if expired > 6 {
			t.Errorf("a peer that needs %.0f ms: %d calls expired, want at most 6", needed, expired)
		}
		timeout.Record(1, nil)
		if got := timeout.Current(); got != 100 {
			t.Errorf("after a fast answer: got a timeout of %v ms, want 100", got)
		}
	}
}

// TestTimeoutIsBounded checks the bounds of the timeout.
func TestTimeoutIsBounded(t *testing.T) {
	timeout := New(300, 1000)
	for range 10 {
		timeout.Record(0, context.DeadlineExceeded)
	}
	if got := timeout.Current(); got != 1000 {
		t.Errorf("after many expired calls: got %v ms, want 1000", got)
	}
	fixed := New(300, 100)
	fixed.Record(0, context.DeadlineExceeded)
	if got := fixed.Current(); got != 300 {
		t.Errorf("longest below shortest: got %v ms, want 300", got)
	}
}
