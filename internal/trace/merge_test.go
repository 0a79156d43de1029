package trace

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"garnetline/routing"
)

// TestMergeReturnsOneRoot checks that the merged spans have one root and that each other span
// has a parent. This must also hold when a router was killed before it stored the first span of
// its partial trace.
func TestMergeReturnsOneRoot(t *testing.T) {
	id := ID{7}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		first := randomTrace(t, id, rng, 1000)
		second := randomTrace(t, id, rng, 1500)
		if seed%3 == 0 {
			second.Spans = second.Spans[1:]
		}
		other := randomTrace(t, ID{8}, rng, 1)
		merged := Merge(id, []*Trace{first, second, other, first})
		if want := 1 + len(first.Spans) + len(second.Spans); len(merged) != want {
			t.Fatalf("seed %d: got %d spans, want %d", seed, len(merged), want)
		}
		if err := checkTree(merged); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// checkTree returns an error unless the first span is the only root and each other span has a
// parent, occurs once and does not end before it starts.
func checkTree(spans []Span) error {
	ids := map[SpanID]bool{}
	for _, span := range spans {
		if ids[span.ID] {
			return fmt.Errorf("span %x occurs twice", span.ID)
		}
		ids[span.ID] = true
	}
	roots := 0
	for _, span := range spans {
		switch {
		case span.Kind == Client:
			roots++
		case !ids[span.Parent]:
			return fmt.Errorf("span %+v has no parent", span)
		}
		if span.End < span.Start {
			return fmt.Errorf("span %+v ends before it starts", span)
		}
	}
	if roots != 1 || spans[0].Kind != Client {
		return fmt.Errorf("got %d roots and a first span of kind %v, want one root as the first span", roots, spans[0].Kind)
	}
	return nil
}

// The IDs of the spans that servers recorded in TestMergeShiftsServerSpansIntoAttempt.
const (
	cacheWorkID SpanID = iota + 77
	cacheFillID
	parentWorkID
)

// cacheTrace returns the partial trace that a cache recorded for an attempt. It consists of 30 ms of
// work, which include a fill of 20 ms. The start is in Unix ms.
func cacheTrace(id ID, attempt SpanID, start float64) *Trace {
	return &Trace{ID: id, Router: "s-00000005", Start: start, End: start + 30, Spans: []Span{
		{ID: cacheWorkID, Parent: attempt, Kind: ServerWork, Start: start, End: start + 30},
		{ID: cacheFillID, Parent: cacheWorkID, Kind: Fill, Start: start + 5, End: start + 25},
	}}
}

// parentTrace returns the partial trace that a parent server recorded for the cache's fill. It
// consists of 10 ms of work. The start is in Unix ms.
func parentTrace(id ID, start float64) *Trace {
	return &Trace{ID: id, Router: "s-00000008", Start: start, End: start + 10, Spans: []Span{
		{ID: parentWorkID, Parent: cacheFillID, Kind: ServerWork, Start: start, End: start + 10},
	}}
}

// TestMergeShiftsServerSpansIntoAttempt checks that a server's spans lie within the attempt that
// caused them, even when the clocks of the server and the router differ by seconds.
func TestMergeShiftsServerSpansIntoAttempt(t *testing.T) {
	id := ID{3}
	active := Begin(Trace{ID: id, Router: "n1", Start: 1000}, 1)
	context := active.AttemptStarted(1002, routing.SendAttempt{Server: 5})
	active.AttemptEnded(1052, routing.Served, 10, routing.LoadReport{}, WireTimes{WrittenAt: 1003})
	active.Responded(1053, Served)
	for _, clockOffset := range []float64{-5000, 0, 3, 1e6} {
		t.Run(fmt.Sprintf("offset of %v ms", clockOffset), func(t *testing.T) {
			cacheStart := 1010 + clockOffset
			fromCache := cacheTrace(id, context.Span, cacheStart)
			fromParent := parentTrace(id, cacheStart-2*clockOffset)
			spans := map[SpanID]Span{}
			for _, span := range Merge(id, []*Trace{fromParent, fromCache, active.Finished()}) {
				spans[span.ID] = span
			}
			attempt := spans[context.Span]
			cacheWork := spans[cacheWorkID]
			fill := spans[cacheFillID]
			checkWithinParent(t, cacheWork, attempt, 30)
			checkWithinParent(t, fill, cacheWork, 20)
			checkWithinParent(t, spans[parentWorkID], fill, 10)
			if got := fill.Start - cacheWork.Start; got != 5 {
				t.Errorf("got the fill %v ms after the start of the work, want 5 ms", got)
			}
			if withinAttempt := clockOffset >= 0 && clockOffset <= 3; withinAttempt && cacheWork.Start != cacheStart {
				t.Errorf("got a work span that starts at %v, want %v without a shift, because it lies within the attempt", cacheWork.Start, cacheStart)
			}
		})
	}
}

// checkWithinParent checks that a span lies within its parent and has the given duration, in ms.
func checkWithinParent(t *testing.T, span, parent Span, duration float64) {
	t.Helper()
	if span.Parent != parent.ID {
		t.Errorf("parent of the %v span: got %x, want %x", span.Kind, span.Parent, parent.ID)
	}
	if span.Start < parent.Start || span.End > parent.End {
		t.Errorf("%v span: got times from %v to %v, want within %v to %v", span.Kind, span.Start, span.End, parent.Start, parent.End)
	}
	if got := span.End - span.Start; got != duration {
		t.Errorf("%v span: got a duration of %v ms, want %v ms", span.Kind, got, duration)
	}
}

// TestMergePlacesServerSpansBelowRoot checks that a server's spans become children of the root
// when the partial trace of the router that sent the attempt is lost.
func TestMergePlacesServerSpansBelowRoot(t *testing.T) {
	id := ID{3}
	active := Begin(Trace{ID: id, Router: "n1", Start: 1000}, 1)
	context := active.AttemptStarted(1002, routing.SendAttempt{Server: 5})
	for _, clockOffset := range []float64{-5000, 0, 3, 1e6} {
		t.Run(fmt.Sprintf("offset of %v ms", clockOffset), func(t *testing.T) {
			spans := Merge(id, []*Trace{cacheTrace(id, context.Span, 1010+clockOffset)})
			if len(spans) != 3 {
				t.Fatalf("got %d spans, want 3: %+v", len(spans), spans)
			}
			root, work := spans[0], spans[1]
			if root.Kind != Client || work.Parent != root.ID {
				t.Errorf("got a first span of kind %v and a second span with parent %x, want kind client and parent %x", root.Kind, work.Parent, root.ID)
			}
		})
	}
}
