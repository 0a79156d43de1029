package store

import (
	"slices"

	"garnetline/internal/trace"
	"garnetline/routing"
)

// Filter selects the traces that match all fields of the filter. A field with its zero value
// matches every trace.
type Filter struct {
	ID            trace.ID
	Class         string
	TransactionID string
	Outcomes      uint8            // set of bits: 1<<outcome for each trace.Outcome that matches
	Server        routing.ServerID // target or fill source of at least one attempt
	MinDuration   float64          // ms, inclusive
	MinAttempts   int
	Reasons       trace.Reason // a trace matches if it has at least one of these reasons
	From, To      float64      // Unix ms, inclusive bounds of the trace's start
}

// durationTolerance is the allowed relative error of a header's maximum duration, which the header
// stores rounded to a float32.
const durationTolerance = 1e-6

// mayMatch reports whether a block with the given header can contain a matching trace.
func (f *Filter) mayMatch(header *blockHeader) bool {
	switch {
	case f.Outcomes != 0 && f.Outcomes&header.outcomes == 0:
		return false
	case f.Reasons != 0 && f.Reasons&header.reasons == 0:
		return false
	case f.MinDuration > 0 && float64(header.maxDuration) < f.MinDuration*(1-durationTolerance):
		return false
	case f.MinAttempts > int(header.maxAttempts):
		return false
	case header.lastStart < f.From:
		return false
	case f.To > 0 && header.firstStart > f.To:
		return false
	case f.Class != "" && !slices.Contains(header.classes, f.Class):
		return false
	}
	return f.mayMatchServer(header) && f.mayMatchID(header)
}

func (f *Filter) mayMatchServer(h *blockHeader) bool {
	if f.Server == 0 || h.serversOmitted {
		return true
	}
	_, found := slices.BinarySearch(h.servers, uint64(f.Server))
	return found
}

func (f *Filter) mayMatchID(h *blockHeader) bool {
	if f.ID == (trace.ID{}) {
		return true
	}
	_, found := slices.BinarySearch(h.fingerprints, fingerprint(f.ID))
	return found
}

// Matches reports whether the filter selects a trace.
func (f *Filter) Matches(t *trace.Trace) bool {
	return f.matchesRequest(t) && f.matchesResult(t) && f.matchesStart(t) && f.matchesServer(t)
}

func (f *Filter) matchesRequest(t *trace.Trace) bool {
	switch {
	case f.ID != trace.ID{} && f.ID != t.ID:
		return false
	case f.Class != "" && f.Class != t.Class:
		return false
	case f.TransactionID != "" && f.TransactionID != t.TransactionID:
		return false
	}
	return true
}

func (f *Filter) matchesResult(t *trace.Trace) bool {
	switch {
	case f.Outcomes != 0 && f.Outcomes&(1<<t.Outcome) == 0:
		return false
	case f.Reasons != 0 && f.Reasons&t.Reasons == 0:
		return false
	case int(t.Attempts) < f.MinAttempts:
		return false
	}
	return f.MinDuration == 0 || t.Duration() >= f.MinDuration
}

func (f *Filter) matchesStart(t *trace.Trace) bool {
	return t.Start >= f.From && (f.To == 0 || t.Start <= f.To)
}

func (f *Filter) matchesServer(t *trace.Trace) bool {
	return f.Server == 0 || t.Involves(f.Server)
}
