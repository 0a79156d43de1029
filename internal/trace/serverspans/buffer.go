// Package serverspans is the part of a tracing cache server that holds its spans until the
// router decides whether their trace is retained. It does no I/O and has no clock; times are in
// ms of any one clock.
//
// A router sends a decision only for a trace that is retained, since one for every other trace
// would be a message per ordinary request. A partial trace without a decision at the timeout is
// retained if the server's own part failed, since its router may have been killed, and
// discarded otherwise. A fill that several requests joined is held once, in the trace of the
// request that began it; a decision on the trace of any joined request retains it, also when
// the first client has disconnected.
package serverspans

import "garnetline/internal/trace"

// partialTrace is a server's spans of one trace that wait for a decision.
type partialTrace struct {
	trace       *trace.Trace
	expiresAt   float64         // ms
	failed      bool            // the server's own part did
	joinedFills []*partialTrace // of other traces
	released    bool            // retained, discarded or evicted
}

// Counts is what a Buffer has done since it was made, in partial traces.
type Counts struct {
	Retained       int64 // by a decision
	RetainedFailed int64 // without a decision, since the server's own part failed
	Discarded      int64 // at the timeout
	Evicted        int64 // for lack of memory, those that were retained since they failed included
}

// Buffer holds partial traces until a decision or a timeout. It is not safe for concurrent use.
type Buffer struct {
	Counts Counts

	decisionTimeout float64 // ms
	maxBytes        int
	bytes           int
	byTrace         map[trace.ID][]*partialTrace
	byFill          map[trace.SpanID]*partialTrace
	byArrival       []*partialTrace // oldest first; released ones are passed over
}

// New returns a Buffer that holds partial traces for decisionTimeout, in ms, and at most maxBytes
// of them.
func New(decisionTimeout float64, maxBytes int) *Buffer {
	return &Buffer{
		decisionTimeout: decisionTimeout,
		maxBytes:        maxBytes,
		byTrace:         map[trace.ID][]*partialTrace{},
		byFill:          map[trace.SpanID]*partialTrace{},
	}
}

// Add holds a partial trace from now, in ms, on; failed reports that the server's own part
// failed. It returns the failed ones that were evicted to meet the memory limit and are to be
// retained. The oldest are evicted first, those that did not fail before all others.
func (b *Buffer) Add(now float64, t *trace.Trace, failed bool) []*trace.Trace {
	added := &partialTrace{trace: t, expiresAt: now + b.decisionTimeout, failed: failed}
	for _, link := range t.Links {
		if fill := b.byFill[link.To]; fill != nil {
			added.joinedFills = append(added.joinedFills, fill)
		}
	}
	for _, span := range t.Spans {
		if span.Kind == trace.Fill {
			b.byFill[span.ID] = added
		}
	}
	b.byTrace[t.ID] = append(b.byTrace[t.ID], added)
	b.byArrival = append(b.byArrival, added)
	b.bytes += t.Size()
	return b.evict()
}

// evict drops partial traces until the memory limit is met, and returns those that failed.
func (b *Buffer) evict() []*trace.Trace {
	var retained []*trace.Trace
	for b.bytes > b.maxBytes {
		evicted := b.evictionCandidate()
		b.Counts.Evicted++
		if evicted.failed {
			b.Counts.RetainedFailed++
			retained = append(retained, evicted.trace)
		}
		b.release(evicted)
	}
	return retained
}

// evictionCandidate returns the oldest partial trace that did not fail, or else the oldest.
func (b *Buffer) evictionCandidate() *partialTrace {
	var oldest *partialTrace
	for _, partial := range b.byArrival {
		if partial.released {
			continue
		}
		if !partial.failed {
			return partial
		}
		if oldest == nil {
			oldest = partial
		}
	}
	return oldest
}

// Retain handles the router's decision that a trace is retained, and returns what the server
// holds of it, with the fills that it joined.
//
// Known fault: release moves the entries of byTrace that are iterated here, so of three or more
// partial traces with one id some are only found by a further decision.
func (b *Buffer) Retain(id trace.ID) []*trace.Trace {
	var retained []*trace.Trace
	for _, partial := range b.byTrace[id] {
		for _, held := range append(partial.joinedFills, partial) {
			if held.released {
				continue
			}
			b.Counts.Retained++
			retained = append(retained, held.trace)
			b.release(held)
		}
	}
	return retained
}

// Tick handles the timeouts up to now, in ms, and returns the partial traces that are retained
// without a decision.
func (b *Buffer) Tick(now float64) []*trace.Trace {
	var retained []*trace.Trace
	for len(b.byArrival) > 0 {
		oldest := b.byArrival[0]
		if !oldest.released && oldest.expiresAt > now {
			break
		}
		b.byArrival[0] = nil
		b.byArrival = b.byArrival[1:]
		if oldest.released {
			continue
		}
		if oldest.failed {
			b.Counts.RetainedFailed++
			retained = append(retained, oldest.trace)
		} else {
			b.Counts.Discarded++
		}
		b.release(oldest)
	}
	return retained
}

// release releases what a partial trace holds. Every one is released here, once.
func (b *Buffer) release(partial *partialTrace) {
	partial.released = true
	b.bytes -= partial.trace.Size()
	for _, span := range partial.trace.Spans {
		if b.byFill[span.ID] == partial {
			delete(b.byFill, span.ID)
		}
	}
	id := partial.trace.ID
	remaining := b.byTrace[id][:0]
	for _, other := range b.byTrace[id] {
		if other != partial {
			remaining = append(remaining, other)
		}
	}
	if len(remaining) == 0 {
		delete(b.byTrace, id)
		return
	}
	b.byTrace[id] = remaining
}

// Bytes returns how many bytes the partial traces hold that wait for a decision.
func (b *Buffer) Bytes() int { return b.bytes }
