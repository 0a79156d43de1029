package recorder

import (
	"errors"

	"garnetline/internal/trace"
)

// Sink stores or exports retained traces. A Recorder calls all methods on the goroutine of
// Recorder.Run and logs their errors. The methods may block.
type Sink interface {
	// Add adds a trace. The sink may delay writing the trace until Flush or Close.
	Add(t *trace.Trace) error
	// Flush writes the added traces. now is in Unix ms.
	Flush(now float64) error
	// Close writes the added traces and releases the resources of the sink. now is in Unix ms.
	Close(now float64) error
}

// Sinks is a Sink that passes each call to all of its sinks, even if some of them return errors. It
// returns the joined errors of all sinks.
type Sinks []Sink

// Add adds a trace to all sinks.
func (s Sinks) Add(t *trace.Trace) error {
	return s.forEach(func(sink Sink) error { return sink.Add(t) })
}

// Flush flushes all sinks. now is in Unix ms.
func (s Sinks) Flush(now float64) error {
	return s.forEach(func(sink Sink) error { return sink.Flush(now) })
}

// Close closes all sinks. now is in Unix ms.
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
