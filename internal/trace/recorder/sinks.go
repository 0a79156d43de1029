package recorder

import (
	"errors"

	"garnetline/internal/trace"
)

// Sink stores or exports retained traces. A Recorder calls it from one goroutine only, the one
// that runs Run, and logs its errors; it may block.
type Sink interface {
	Add(t *trace.Trace) error
	// Flush writes what has been added; now is in Unix ms.
	Flush(now float64) error
	// Close writes what has been added and releases the sink; now is in Unix ms.
	Close(now float64) error
}

// Sinks is a Sink that passes every call on to each of several sinks, whatever the others
// return. Its errors are those of all of them, joined.
type Sinks []Sink

// Add adds a trace to all sinks.
func (s Sinks) Add(t *trace.Trace) error {
	return s.forEach(func(sink Sink) error { return sink.Add(t) })
}

// Flush flushes all sinks; now is in Unix ms.
func (s Sinks) Flush(now float64) error {
	return s.forEach(func(sink Sink) error { return sink.Flush(now) })
}

// Close closes all sinks; now is in Unix ms.
func (s Sinks) Close(now float64) error {
	return s.forEach(func(sink Sink) error { return sink.Close(now) })
}

func (s Sinks) forEach(call func(Sink) error) error {
	var err error
	for _, sink := range s {
		err = errors.Join(err, call(sink))
	}
	return err
}
