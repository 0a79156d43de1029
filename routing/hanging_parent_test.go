package routing

import (
	"testing"
	"time"
)

// hangingParent is a harness with a parent whose fills hang, while hits that name it go on.
type hangingParent struct {
	*harness
	parent ServerID
	hung   int // fills sent to it
	checks []dueCheck
}

// dueCheck is the timer of an attempt's next check.
type dueCheck struct {
	id RequestID
	at time.Duration
}

// fireChecks fires the timers that are due and ends what is canceled.
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

// serve ends attempts in time, but fills by the hanging parent.
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

// A parent whose fills hang is ejected though hits that name it go on. Symptom guarded against: one
// attempt in three to it ended late or not at all for 5 s.
func TestHitsKeepNoHangingParentAlive(t *testing.T) {
	const mostHung = 65 // of some 100
	harness := &hangingParent{harness: newHarness(t, settings(), fleet())}
	harness.parent = harness.parents()[0].ID
	for i := range 600 {
		harness.now += 20 * millisecond
		harness.fireChecks()
		fill := i%3 == 0
		harness.serve(harness.request(Request{Object: ObjectID(1 + i)}), fill)
	}
	if harness.hung > mostHung {
		t.Errorf("%d fills went to a parent that completes none, want at most %d", harness.hung, mostHung)
	}
}
