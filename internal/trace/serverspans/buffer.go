// Package serverspans buffers the spans of a cache server until the router decides to retain their
// trace. It does no I/O and has no clock. Callers pass times in ms, all from the same clock.
//
// A router sends a decision only for a trace that is retained, because decisions on discarded
// traces would cost a message for each ordinary request. If no decision arrives before the
// timeout, a partial trace is retained if the server's own part failed, since the router may have
// been killed, and is discarded otherwise. A fill that several requests joined is stored once, in
// the trace of the request that began it. A decision to retain the trace of any joined request
// retains the fill too, even if the client of the first request has disconnected.
package serverspans

import "garnetline/internal/trace"

// partialTrace holds the spans of a server in one trace while they wait for a decision.
type partialTrace struct {
	trace       *trace.Trace
	expiresAt   float64         // ms
	failed      bool            // whether the server's own part failed
	joinedFills []*partialTrace // partial traces with the fills that this one joined
	released    bool            // whether it was retained, discarded or evicted
}

// Counts holds the numbers of partial traces that a Buffer has released since it was created.
type Counts struct {
	Retained       int64 // retained by a decision
	RetainedFailed int64 // retained without a decision, because the server's own part failed
	Discarded      int64 // discarded at the timeout
	Evicted        int64 // evicted to meet the memory limit, including failed ones, which are retained
}

// Buffer holds partial traces until a decision or a timeout. It is not safe for concurrent use.
type Buffer struct {
	Counts Counts

	decisionTimeout float64 // ms
	maxBytes        int
	bytes           int
	byTrace         map[trace.ID][]*partialTrace
	byFill          map[trace.SpanID]*partialTrace
	byArrival       []*partialTrace // oldest first; may contain released ones, which are skipped
}

// New returns a Buffer that holds partial traces for up to decisionTimeout, in ms. maxBytes limits
// the total size of the partial traces.
func New(decisionTimeout float64, maxBytes int) *Buffer {
	return &Buffer{
		decisionTimeout: decisionTimeout,
		maxBytes:        maxBytes,
		byTrace:         map[trace.ID][]*partialTrace{},
		byFill:          map[trace.SpanID]*partialTrace{},
	}
}

// Add adds a partial trace at now, in ms. failed tells whether the server's own part failed. To
// meet the memory limit, Add evicts the oldest partial traces that did not fail, and then the
// oldest failed ones. It returns the evicted partial traces that failed; the caller retains them.
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

// evict releases partial traces until the memory limit is met, and returns the failed ones among
// them.
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

// evictionCandidate returns the oldest partial trace that did not fail or, if all failed, the
// oldest one.
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

// Retain handles the router's decision to retain a trace. It releases and returns the server's
// partial traces of this trace, and those with the fills that they joined.
//
// Known defect: release compacts the slice in byTrace that Retain iterates over. With three or more
// partial traces of one trace, Retain may miss some of them until a further decision on the trace.
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

// Tick releases the partial traces whose timeout is at or before now, in ms. It returns the failed
// ones, which are retained without a decision.
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

// release removes a partial trace from the maps and from the memory in use. Each partial trace must
// be released only once. The entry in byArrival stays until Tick reaches it.
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
