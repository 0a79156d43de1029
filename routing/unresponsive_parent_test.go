package routing

import (
	"slices"
	"testing"
	"time"
)

// An unresponsive parent is probed with one request at a time whenever its ejection ends. Where few
// parents are left, what it would fill comes from the origin, unless that stops when it is
// overloaded; then from the other parents. Symptoms guarded against: many requests at once to an
// unresponsive parent, and a saturated link of the other.
func TestUnresponsiveParentIsReplaced(t *testing.T) {
	tests := []struct {
		name        string
		originStops bool
		failover    ServerID
	}{
		{name: "by the origin", originStops: false, failover: theOrigin},
		{name: "by the other parent where the origin stops", originStops: true, failover: secondParent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			config := settings()
			config.HitStatusOnly = true
			config.OriginStopsOnOverload = test.originStops
			harness := newUnresponsiveParent(t, config)
			harness.play(3000)
			if ejections := harness.parent.ejections; ejections < 3 {
				t.Errorf("%d ejections, want 3 or more", ejections)
			}
			if harness.mostInflight > 1 {
				t.Errorf("%d in flight at once to an unresponsive parent, want at most 1", harness.mostInflight)
			}
			if fills := harness.failovers[test.failover]; len(harness.failovers) != 1 || fills < 100 {
				t.Errorf("its part came from %v, want 100 or more, all from %d", harness.failovers, test.failover)
			}
		})
	}
}

// unresponsiveParent is a harness with a parent that answers nothing.
type unresponsiveParent struct {
	*harness
	parent       *server
	inflight     []inflightAttempt // to the parent
	mostInflight int               // at once, from its second ejection on
	homes        map[ObjectID]ServerID
	failovers    map[ServerID]int // fills in the place of the ejected parent
}

type inflightAttempt struct {
	SendAttempt
	checkedAt time.Duration
}

func newUnresponsiveParent(t *testing.T, config Settings) *unresponsiveParent {
	t.Helper()
	started := &unresponsiveParent{
		harness:   newHarness(t, config, fleet()),
		homes:     map[ObjectID]ServerID{},
		failovers: map[ServerID]int{},
	}
	started.parent = started.parents()[0]
	return started
}

// play sends requests for 200 objects in turn, one each 5 ms.
func (h *unresponsiveParent) play(requests int) {
	const objects = 200
	for i := range requests {
		h.now += 5 * millisecond
		object := ObjectID(i%objects + 1)
		actions := h.request(Request{Object: object, SizeKB: 100})
		noneEjected := i < objects
		if attempts := sendActions(actions); len(attempts) > 0 && noneEjected {
			h.homes[object] = attempts[0].FillSource
		}
		h.serve(actions, object)
		h.checkAttempts()
	}
}

// serve ends each attempt at once, but those that the unresponsive parent fills.
func (h *unresponsiveParent) serve(actions []Action, object ObjectID) {
	for _, sent := range sendActions(actions) {
		if sent.FillSource == h.parent.ID {
			h.inflight = append(h.inflight, inflightAttempt{SendAttempt: sent, checkedAt: h.now})
			continue
		}
		if h.parent.ejections > 0 && h.homes[object] == h.parent.ID {
			h.failovers[sent.FillSource]++
		}
		h.finish(sent, 0, Served, Filled)
	}
}

// checkAttempts fires the timers of what is in flight and ends what is canceled.
func (h *unresponsiveParent) checkAttempts() {
	for i := 0; i < len(h.inflight); i++ {
		attempt := &h.inflight[i]
		if h.now < attempt.checkedAt+500*millisecond {
			continue
		}
		attempt.checkedAt = h.now
		for _, action := range h.checkNewest(attempt.ID) {
			canceled, ok := action.(CancelAttempt)
			if !ok {
				continue
			}
			outcome := Outcome{ID: canceled.ID, Attempt: canceled.Attempt, Server: attempt.Server, Result: Canceled}
			for _, sent := range sendActions(h.handle(outcome)) {
				h.finish(sent, 1, Served, Filled)
			}
			h.inflight = slices.Delete(h.inflight, i, i+1)
			i--
		}
	}
	if h.parent.ejections > 1 {
		h.mostInflight = max(h.mostInflight, len(h.inflight))
	}
}
