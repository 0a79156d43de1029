// Package serverspans buffers the spans of a cache server until the router decides to retain their
// trace. It does no I/O and has no clock. Callers pass times in ms, all from the same clock.
//
// A router sends a decision only if it retains a trace. A decision for each discarded trace would
// cost a message for each ordinary request. If no decision arrives before the timeout, the router
// has discarded the trace or was killed. Therefore a partial trace is retained at the timeout if the
// server's own part of the request failed, and is discarded otherwise.
//
// Several requests can join one fill. The fill is stored once, in the partial trace of the request
// that began the fill. A decision to retain the trace of any request that joined the fill also
// retains the fill, even if the client of the first request has disconnected.
package serverspans

import "garnetline/internal/trace"

// partialTrace holds the spans that a server recorded for one request, while the server waits
// for the router's decision.
type partialTrace struct {
	trace       *trace.Trace
	expiresAt   float64         // ms
	failed      bool            // whether the server's own part of the request failed
	joinedFills []*partialTrace // partial traces whose fills this partial trace joined
	released    bool            // whether the partial trace was retained, discarded or evicted
}

// Counts holds the numbers of partial traces that a Buffer has released since it was created.
type Counts struct {
	Retained       int64 // retained by a decision of the router
	RetainedFailed int64 // retained without a decision, because the server's own part of the request failed
	Discarded      int64 // discarded at the timeout
	Evicted        int64 // evicted to meet the memory limit; includes failed partial traces, which are retained
}

// Buffer holds partial traces until the router's decision to retain their trace arrives, or until
// a timeout. It is not safe for concurrent use.
type Buffer struct {
	Counts Counts

	decisionTimeout float64 // ms
	maxBytes        int
	bytes           int
	byTrace         map[trace.ID][]*partialTrace
	byFill          map[trace.SpanID]*partialTrace
	byArrival       []*partialTrace // oldest first; may contain released partial traces, which are skipped
}

// New returns a Buffer that holds each partial trace for at most decisionTimeout, in ms.
// maxBytes limits the total size of the partial traces.
func New(decisionTimeout float64, maxBytes int) *Buffer {
	return &Buffer{
		decisionTimeout: decisionTimeout,
		maxBytes:        maxBytes,
		byTrace:         map[trace.ID][]*partialTrace{},
		byFill:          map[trace.SpanID]*partialTrace{},
	}
}

// Add adds a partial trace at the time now, in ms. The argument failed reports whether the server's
// own part of the request failed. If the memory limit is exceeded, Add first evicts the oldest
// partial traces that did not fail, and then the oldest partial traces that failed. It returns the
// evicted partial traces that failed. The caller must retain them.
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

// evict releases partial traces until the memory limit is met. It returns the released partial
// traces that failed.
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

// evictionCandidate returns the oldest partial trace that did not fail. If all partial traces
// failed, it returns the oldest partial trace.
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

// Retain handles the router's decision to retain a trace. It releases and returns the partial
// traces with the given trace ID, and also the partial traces whose fills they joined.
//
// Known defect: release compacts the slice in byTrace that Retain iterates over. With three or
// more partial traces of one trace, Retain may miss some of them. A missed partial trace
// stays in the buffer until another decision on the same trace or until the timeout.
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

// Tick releases the partial traces whose timeout is at or before the time now, in ms. It returns
// the released partial traces that failed. The caller must retain them without a decision.
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

// release removes a partial trace from the maps and subtracts its size from the memory in use.
// Each partial trace must be released only once. The entry in byArrival stays until Tick reaches
// it.
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

// Bytes returns the total size, in bytes, of the partial traces that wait for a decision.
func (b *Buffer) Bytes() int { return b.bytes }
