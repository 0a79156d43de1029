package routing

import (
	"testing"
	"time"
)

// hangingParent is a harness with a parent whose fills never end. Hits are still served, also those of
// attempts that name this parent as source.
type hangingParent struct {
	*harness
	parent ServerID
	hung   int // number of fills sent to the parent, none of which ends
	checks []dueCheck
}

// dueCheck is the timer of an attempt's next check.
type dueCheck struct {
	id RequestID
	at time.Duration
}

// fireChecks fires the check timers that are due, and ends the attempts that the router cancels.
func (h *hangingParent) fireChecks() {
	for len(h.checks) > 0 && h.checks[0].at <= h.now {
		check := h.checks[0]
		h.checks = h.checks[1:]
		for _, action := range h.checkNewest(check.id) {
			switch action := action.(type) {
			case SetTimer:
				h.checks = append(h.checks, dueCheck{id: check.id, at: h.now + action.Delay})
			case CancelAttempt:
				h.handle(Outcome{ID: action.ID, Attempt: action.Attempt, Result: Canceled})
			}
		}
	}
}

// serve ends attempts in time, except fills by the hanging parent. fill tells whether the attempts cause
// fills.
func (h *hangingParent) serve(actions []Action, fill bool) {
	for _, sent := range sendActions(actions) {
		if fill && sent.FillSource == h.parent {
			h.hung++
			h.checks = append(h.checks, dueCheck{id: sent.ID, at: h.now + 400*millisecond})
			continue
		}
		h.finishWithoutStatus(sent, 0, Served, 50*millisecond)
	}
}

// TestHangingParentIsEjectedDespiteHits checks that a parent whose fills never end is ejected, although
// hits that name the parent as source succeed. Without the ejection, one in three attempts that name the
// parent as source would end late or not at all.
func TestHangingParentIsEjectedDespiteHits(t *testing.T) {
	const mostHung = 65 // of about 100 fills: a third of 600 requests, shared by two parents
	harness := &hangingParent{harness: newHarness(t, settings(), fleet())}
	harness.parent = harness.parents()[0].ID
	for i := range 600 {
		harness.now += 20 * millisecond
		harness.fireChecks()
		fill := i%3 == 0
		harness.serve(harness.request(Request{Object: ObjectID(1 + i)}), fill)
	}
	if harness.hung > mostHung {
		t.Errorf("got %d fills sent to a parent that completes none, want at most %d", harness.hung, mostHung)
	}
}
