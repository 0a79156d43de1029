package trace

import (
	"cmp"
	"math"
	"slices"
)

// Merge combines the partial traces with the given trace ID into a list of spans. The first span
// is the root. It lasts from the earliest start to the latest end of the partial traces. The
// other spans follow in the order of their starts, without duplicates. Merge ignores partial
// traces with another ID. It returns nil if no partial trace has the given ID. A span becomes a
// child of the root if its own parent is missing, for example because a router was killed.
//
// The clocks of a server and a router may differ. Therefore a server's partial trace may seem to
// lie outside the attempt or fill that caused it. In that case Merge shifts all spans of the
// partial trace by the same time. It moves the partial trace to the middle of the attempt or
// fill, which assumes equal network delays in both directions. If the partial trace is longer
// than the attempt or fill, Merge moves it to the start of the attempt or fill.
func Merge(id ID, partials []*Trace) []Span {
	merged := merger{
		root:  Span{ID: id.Root(), Kind: Client, Start: math.Inf(1), End: math.Inf(-1)},
		spans: map[SpanID]Span{},
	}
	var serverTraces []*Trace
	for _, partial := range partials {
		switch {
		case partial.ID != id:
		case partial.FromServer():
			serverTraces = append(serverTraces, partial)
		default:
			merged.addRouterTrace(partial)
		}
	}
	merged.addServerTraces(serverTraces)
	if merged.empty() {
		return nil
	}
	return merged.sortedSpans()
}

// merger holds the state of one call of Merge.
type merger struct {
	root  Span
	spans map[SpanID]Span // all spans except the root
}

// empty reports whether no partial trace was added.
func (m *merger) empty() bool { return math.IsInf(m.root.Start, 0) }

// extendRoot extends the root span so that it covers a partial trace from start to end.
func (m *merger) extendRoot(partial *Trace) {
	m.root.Start = min(m.root.Start, partial.Start)
	m.root.End = max(m.root.End, partial.End)
}

// addRouterTrace adds the partial trace that a router recorded.
func (m *merger) addRouterTrace(partial *Trace) {
	m.extendRoot(partial)
	if partial.ClientSpan != 0 {
		m.root.Parent = partial.ClientSpan
	}
	for _, span := range partial.Spans {
		if span.ID != m.root.ID {
			m.spans[span.ID] = span
		}
	}
}

// addServerTraces adds the partial traces that servers recorded. The partial trace of a parent
// server is the child of a cache's fill. Its shift depends on the shift of the cache's partial
// trace, which must therefore be added first. For this reason addServerTraces goes through the
// partial traces repeatedly, until no remaining partial trace has a known parent span. The
// remaining partial traces have no known parent span because the partial trace of their router
// is lost. addServerTraces adds them without a shift.
func (m *merger) addServerTraces(partials []*Trace) {
	for {
		remaining := slices.DeleteFunc(partials, m.addBelowParent)
		if len(remaining) == len(partials) {
			break
		}
		partials = remaining
	}
	for _, partial := range partials {
		m.addShifted(partial, 0)
		m.extendRoot(partial)
	}
}

// addBelowParent adds the partial trace of a server if m already contains the parent of the first
// span of this partial trace. It reports whether it added the partial trace.
func (m *merger) addBelowParent(partial *Trace) bool {
	parent, known := m.spans[partial.Spans[0].Parent]
	if known {
		m.addShifted(partial, shiftToFit(partial.Start, partial.End, parent.Start, parent.End))
	}
	return known
}

// addShifted adds the spans of a partial trace after it has moved their times by shift, in ms.
func (m *merger) addShifted(partial *Trace, shift float64) {
	for _, span := range partial.Spans {
		span.Start += shift
		span.End += shift
		m.spans[span.ID] = span
	}
}

// sortedSpans returns the root span, followed by all other spans in the order of their starts.
// A span whose parent is unknown gets the root as its parent.
func (m *merger) sortedSpans() []Span {
	sorted := make([]Span, 1, len(m.spans)+1)
	sorted[0] = m.root
	for _, span := range m.spans {
		if _, known := m.spans[span.Parent]; !known || span.Parent == span.ID {
			span.Parent = m.root.ID
		}
		sorted = append(sorted, span)
	}
	slices.SortFunc(sorted[1:], compareSpans)
	return sorted
}

// compareSpans orders spans by start, kind and ID. The kind and the ID make the order
// independent of the iteration order of the map of spans.
func compareSpans(a, b Span) int {
	return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
}

// shiftToFit returns the number of milliseconds by which to shift the interval from start to end
// so that it lies within its parent. An interval that is longer than its parent is shifted to
// the parent's start.
func shiftToFit(start, end, parentStart, parentEnd float64) float64 {
	switch {
	case start >= parentStart && end <= parentEnd:
		return 0
	case end-start > parentEnd-parentStart:
		return parentStart - start
	}
	return (parentStart+parentEnd)/2 - (start+end)/2
}
