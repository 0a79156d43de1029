// Package serverspans is what a server that speaks the field trace does with its spans: it
// holds them until the router's verdict comes, or a limit has passed. It does no I/O and
// has no clock.
//
// A verdict says that a trace is kept; there is none that one is not, which would be a
// word for each ordinary request. What has no verdict at the limit is kept if the
// server's own part failed, since its router may have been killed, and else forgotten.
// A fill that several requests ride is held once, in the trace of the first; a verdict
// on any rider's trace keeps it, also when the first asker has left.
package serverspans

import "garnetline/internal/trace"

// piece is the spans of one trace that wait.
type partialTrace struct {
	trace       *trace.Trace
	expiresAt   float64
	failed      bool
	joinedFills []*partialTrace // fills of other traces that it rode
	released    bool            // kept or forgotten
}

// Counts tells what a Holder did.
type Counts struct{ Retained, RetainedFailed, Discarded, Evicted int64 }

// Holder holds pieces. It is not safe for concurrent use.
type Buffer struct {
	decisionTimeout float64 // ms
	maxBytes        int     // bytes
	bytes           int
	byTrace         map[trace.ID][]*partialTrace
	byFill          map[trace.SpanID]*partialTrace
	byArrival       []*partialTrace // by the time they came
	Counts          Counts
}

// New returns a Holder that holds pieces for limit ms, and at most so many bytes.
func New(limit float64, most int) *Buffer {
	return &Buffer{decisionTimeout: limit, maxBytes: most, byTrace: map[trace.ID][]*partialTrace{}, byFill: map[trace.SpanID]*partialTrace{}}
}

// Add holds a piece; failed says that the server's own part did. It returns what the
// bound on memory pushes out and had failed: the oldest go first, those that did not
// fail before all others.
func (h *Buffer) Add(now float64, t *trace.Trace, failed bool) (kept []*trace.Trace) {
	p := &partialTrace{trace: t, expiresAt: now + h.decisionTimeout, failed: failed}
	for _, l := range t.Links {
		if f := h.byFill[l.To]; f != nil {
			p.joinedFills = append(p.joinedFills, f)
		}
	}
	for _, s := range t.Spans {
		if s.Kind == trace.Fill {
			h.byFill[s.ID] = p
		}
	}
	h.byTrace[t.ID] = append(h.byTrace[t.ID], p)
	h.byArrival = append(h.byArrival, p)
	h.bytes += t.Size()
	for h.bytes > h.maxBytes {
		out := h.evictionCandidate()
		h.Counts.Evicted++
		if out.failed {
			h.Counts.RetainedFailed++
			kept = append(kept, out.trace)
		}
		h.release(out)
	}
	return kept
}

// oldest is the oldest that did not fail, or the oldest.
func (h *Buffer) evictionCandidate() (first *partialTrace) {
	for _, p := range h.byArrival {
		if !p.released && !p.failed {
			return p
		}
		if !p.released && first == nil {
			first = p
		}
	}
	return first
}

// Kept takes a verdict and returns what is to be kept for it.
func (h *Buffer) Retain(id trace.ID) (kept []*trace.Trace) {
	for _, p := range h.byTrace[id] {
		for _, q := range append(p.joinedFills, p) {
			if !q.released {
				h.Counts.Retained++
				kept = append(kept, q.trace)
				h.release(q)
			}
		}
	}
	return kept
}

// Tick returns what is kept at its limit without a verdict.
func (h *Buffer) Tick(now float64) (kept []*trace.Trace) {
	for len(h.byArrival) > 0 && (h.byArrival[0].released || h.byArrival[0].expiresAt <= now) {
		p := h.byArrival[0]
		h.byArrival[0] = nil
		h.byArrival = h.byArrival[1:]
		if p.released {
			continue
		}
		if p.failed {
			h.Counts.RetainedFailed++
			kept = append(kept, p.trace)
		} else {
			h.Counts.Discarded++
		}
		h.release(p)
	}
	return kept
}

// forget gives back what a piece holds. It is the one place for that.
func (h *Buffer) release(p *partialTrace) {
	p.released = true
	h.bytes -= p.trace.Size()
	for _, s := range p.trace.Spans {
		if h.byFill[s.ID] == p {
			delete(h.byFill, s.ID)
		}
	}
	left := h.byTrace[p.trace.ID][:0]
	for _, q := range h.byTrace[p.trace.ID] {
		if q != p {
			left = append(left, q)
		}
	}
	if len(left) == 0 {
		delete(h.byTrace, p.trace.ID)
	} else {
		h.byTrace[p.trace.ID] = left
	}
}

// Bytes returns what is held.
func (h *Buffer) Bytes() int { return h.bytes }
