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
type piece struct {
	t      *trace.Trace
	until  float64
	failed bool
	rides  []*piece // fills of other traces that it rode
	done   bool     // kept or forgotten
}

// Counts tells what a Holder did.
type Counts struct{ Retained, RetainedFailed, Discarded, Evicted int64 }

// Holder holds pieces. It is not safe for concurrent use.
type Buffer struct {
	limit  float64 // ms
	most   int     // bytes
	bytes  int
	by     map[trace.ID][]*piece
	fills  map[trace.SpanID]*piece
	order  []*piece // by the time they came
	Counts Counts
}

// New returns a Holder that holds pieces for limit ms, and at most so many bytes.
func New(limit float64, most int) *Buffer {
	return &Buffer{limit: limit, most: most, by: map[trace.ID][]*piece{}, fills: map[trace.SpanID]*piece{}}
}

// Add holds a piece; failed says that the server's own part did. It returns what the
// bound on memory pushes out and had failed: the oldest go first, those that did not
// fail before all others.
func (h *Buffer) Add(now float64, t *trace.Trace, failed bool) (kept []*trace.Trace) {
	p := &piece{t: t, until: now + h.limit, failed: failed}
	for _, l := range t.Links {
		if f := h.fills[l.To]; f != nil {
			p.rides = append(p.rides, f)
		}
	}
	for _, s := range t.Spans {
		if s.Kind == trace.Fill {
			h.fills[s.ID] = p
		}
	}
	h.by[t.ID] = append(h.by[t.ID], p)
	h.order = append(h.order, p)
	h.bytes += t.Size()
	for h.bytes > h.most {
		out := h.oldest()
		h.Counts.Evicted++
		if out.failed {
			h.Counts.RetainedFailed++
			kept = append(kept, out.t)
		}
		h.forget(out)
	}
	return kept
}

// oldest is the oldest that did not fail, or the oldest.
func (h *Buffer) oldest() (first *piece) {
	for _, p := range h.order {
		if !p.done && !p.failed {
			return p
		}
		if !p.done && first == nil {
			first = p
		}
	}
	return first
}

// Kept takes a verdict and returns what is to be kept for it.
func (h *Buffer) Retain(id trace.ID) (kept []*trace.Trace) {
	for _, p := range h.by[id] {
		for _, q := range append(p.rides, p) {
			if !q.done {
				h.Counts.Retained++
				kept = append(kept, q.t)
				h.forget(q)
			}
		}
	}
	return kept
}

// Tick returns what is kept at its limit without a verdict.
func (h *Buffer) Tick(now float64) (kept []*trace.Trace) {
	for len(h.order) > 0 && (h.order[0].done || h.order[0].until <= now) {
		p := h.order[0]
		h.order[0] = nil
		h.order = h.order[1:]
		if p.done {
			continue
		}
		if p.failed {
			h.Counts.RetainedFailed++
			kept = append(kept, p.t)
		} else {
			h.Counts.Discarded++
		}
		h.forget(p)
	}
	return kept
}

// forget gives back what a piece holds. It is the one place for that.
func (h *Buffer) forget(p *piece) {
	p.done = true
	h.bytes -= p.t.Size()
	for _, s := range p.t.Spans {
		if h.fills[s.ID] == p {
			delete(h.fills, s.ID)
		}
	}
	left := h.by[p.t.ID][:0]
	for _, q := range h.by[p.t.ID] {
		if q != p {
			left = append(left, q)
		}
	}
	if len(left) == 0 {
		delete(h.by, p.t.ID)
	} else {
		h.by[p.t.ID] = left
	}
}

// Bytes returns what is held.
func (h *Buffer) Bytes() int { return h.bytes }
