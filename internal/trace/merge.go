package trace

import (
	"cmp"
	"math"
	"slices"
)

// Merge combines the partial traces of the trace with the given ID into a list of spans. The
// first span is the root, which lasts from the earliest start to the latest end. The other
// spans follow in the order of their starts, each of them once. Merge ignores partial traces
// of other traces and returns nil if there is nothing to combine. A span whose parent is
// missing, for example because a router was killed, becomes a child of the root.
//
// A server's clock may differ from the router's. If a server's partial trace does not lie
// within the attempt or fill that caused it, Merge shifts the whole partial trace: to the
// middle of the causing span, which assumes equal network delays in both directions, or to the
// start of the causing span if the partial trace is the longer one.
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
	spans map[SpanID]Span // all but the root
}

// empty reports whether no partial trace was added.
func (m *merger) empty() bool { return math.IsInf(m.root.Start, 0) }

// extendRoot extends the root span to include the time from the start to the end of a partial
// trace.
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
// server is a child of a fill of a cache, and its shift depends on the shift of the cache's
// partial trace. Therefore addServerTraces repeats until no more partial traces have a known
// parent span. The remaining ones, whose router's partial trace is lost, are added without a
// shift.
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

// addBelowParent adds the partial trace of a server if the parent of its first span is known,
// and reports whether the parent is known.
func (m *merger) addBelowParent(partial *Trace) bool {
	parent, known := m.spans[partial.Spans[0].Parent]
	if known {
		m.addShifted(partial, shiftToFit(partial.Start, partial.End, parent.Start, parent.End))
	}
	return known
}

// addShifted adds the spans of a partial trace with shift, in ms, added to their times.
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
