package recorder

import (
	"errors"
	"testing"

	"garnetline/internal/trace"
)

// TestSinksCallAll checks that each call reaches all sinks, even if an earlier sink fails. Each
// call must return the errors of all sinks.
func TestSinksCallAll(t *testing.T) {
	errFirst, errLast := errors.New("first"), errors.New("last")
	first := &fakeSink{err: errFirst, added: make(chan struct{}, 1)}
	middle := &fakeSink{added: make(chan struct{}, 1)}
	last := &fakeSink{err: errLast, added: make(chan struct{}, 1)}
	sinks := Sinks{first, middle, last}
	calls := map[string]func() error{
		"add":   func() error { return sinks.Add(&trace.Trace{}) },
		"flush": func() error { return sinks.Flush(startTime) },
		"close": func() error { return sinks.Close(startTime) },
	}
	for name, call := range calls {
		if err := call(); !errors.Is(err, errFirst) || !errors.Is(err, errLast) {
			t.Errorf("%s: got error %v, want the errors %v and %v joined", name, err, errFirst, errLast)
		}
	}
	for i, sink := range []*fakeSink{first, middle, last} {
		if len(sink.traces) != 1 || !sink.closed {
			t.Errorf("sink %d: got %d traces and closed: %t, want 1 trace and closed: true", i, len(sink.traces), sink.closed)
		}
	}
}
