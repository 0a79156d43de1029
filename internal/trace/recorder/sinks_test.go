package recorder

import (
	"errors"
	"testing"

	"garnetline/internal/trace"
)

// Every call reaches all sinks, also after one that fails, and returns the errors of all.
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
			t.Errorf("%s: got error %v, want both %v and %v", name, err, errFirst, errLast)
		}
	}
	for i, sink := range []*fakeSink{first, middle, last} {
		if len(sink.traces) != 1 || !sink.closed {
			t.Errorf("sink %d has %d traces, closed: %t; want one, and closed", i, len(sink.traces), sink.closed)
		}
	}
}
