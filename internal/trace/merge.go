package trace

import (
	"cmp"
	"math"
	"slices"
)

// Merge combines the partial traces of one trace. The result has each span once, in the
// order of their starts, below one root span that lasts from the first start to the last
// end; it is nil if there is nothing to combine. Partial traces of other traces are ignored.
// A span whose parent is missing, since its router was killed, becomes a child of the root.
//
// The clock of a server is not the router's. If a server's partial trace does not lie within
// the attempt that caused it, it is shifted as a whole: to the middle of the attempt, which
// assumes that the network took as long in both directions, or to the attempt's start if it
// is longer than the attempt.
func Merge(id ID, partials []*Trace) []Span {
	merged := merger{
		root:  Span{ID: id.Root(), Kind: Client, Start: math.Inf(1), End: math.Inf(-1)},
		spans: map[SpanID]Span{},
	}
	var fromServers []*Trace
	for _, partial := range partials {
		switch {
		case partial.ID != id:
		case partial.FromServer():
			fromServers = append(fromServers, partial)
		default:
			merged.addFromRouter(partial)
		}
	}
	merged.addFromServers(fromServers)
	if merged.empty() {
		return nil
	}
	return merged.sortedSpans()
}

// merger holds the state of one Merge.
type merger struct {
	root  Span
	spans map[SpanID]Span // all but the root
}

// empty reports whether nothing was added that the root span lasts for.
func (m *merger) empty() bool { return math.IsInf(m.root.Start, 0) }

// extendRoot makes the root span last at least from the start to the end of a partial trace.
func (m *merger) extendRoot(partial *Trace) {
	m.root.Start = min(m.root.Start, partial.Start)
	m.root.End = max(m.root.End, partial.End)
}

func (m *merger) addFromRouter(partial *Trace) {
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

// addFromServers adds what servers recorded. A parent server's partial trace belongs below a
// cache's, and its shift depends on the cache's. So it repeats until no further parent span
// becomes known. What remains is of a router whose partial trace is lost.
func (m *merger) addFromServers(partials []*Trace) {
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

// addBelowParent adds what a server recorded and reports true, if the parent is known.
func (m *merger) addBelowParent(partial *Trace) bool {
	parent, known := m.spans[partial.Spans[0].Parent]
	if known {
		m.addShifted(partial, shiftInto(partial.Start, partial.End, parent.Start, parent.End))
	}
	return known
}

// addShifted adds the spans of a partial trace, shift milliseconds later.
func (m *merger) addShifted(partial *Trace, shift float64) {
	for _, span := range partial.Spans {
		span.Start += shift
		span.End += shift
		m.spans[span.ID] = span
	}
}

// sortedSpans returns the root and then all others in the order of their starts.
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

// compareSpans orders spans by start, kind and ID, so that the result does not depend on the
// order of a map.
func compareSpans(a, b Span) int {
	return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
}

// shiftInto returns by how many milliseconds the interval from start to end must be shifted
// to lie within its parent.
func shiftInto(start, end, parentStart, parentEnd float64) float64 {
	switch {
	case start >= parentStart && end <= parentEnd:
		return 0
	case end-start > parentEnd-parentStart:
		return parentStart - start
	}
	return (parentStart+parentEnd)/2 - (start+end)/2
}
