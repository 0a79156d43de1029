package routing

import (
	"slices"
	"testing"
	"time"
)

// TestUnresponsiveParentIsReplaced checks that an unresponsive parent is probed with one request at a time
// after its ejection has ended. Without the limit of one request, the parent would get many requests at the
// same time. The test also checks which server fills the objects of the unresponsive parent while only one
// other parent is left. Where an overload does not stop the origin, the origin fills them, since they would
// saturate the link of the other parent. Where an overload stops the origin, the other parent fills them.
func TestUnresponsiveParentIsReplaced(t *testing.T) {
	tests := []struct {
		name        string
		originStops bool
		failover    ServerID
	}{
		{name: "by the origin", originStops: false, failover: originServer},
		{name: "by the other parent where the origin stops", originStops: true, failover: secondParent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			config := settings()
			config.HitStatusOnly = true
			config.OriginStopsOnOverload = test.originStops
			harness := newUnresponsiveParent(t, config)
			harness.run(3000)
			if ejections := harness.parent.ejections; ejections < 3 {
				t.Errorf("got %d ejections of the unresponsive parent, want at least 3", ejections)
			}
			if harness.mostInflight > 1 {
				t.Errorf("got %d attempts in flight at an unresponsive parent, want at most 1", harness.mostInflight)
			}
			if fills := harness.failovers[test.failover]; len(harness.failovers) != 1 || fills < 100 {
				t.Errorf("got fills by failover sources %v, want at least 100, all from server %d", harness.failovers, test.failover)
			}
		})
	}
}

// unresponsiveParent is a harness with a parent that answers nothing.
type unresponsiveParent struct {
	*harness
	parent       *server
	inflight     []inflightAttempt // attempts whose fill source is the parent
	mostInflight int               // largest number of attempts in flight after the second ejection
	homes        map[ObjectID]ServerID
	failovers    map[ServerID]int // number of fills in place of the ejected parent, by source
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

// run sends one request every 5 ms, for each of 200 objects in rotation.
func (h *unresponsiveParent) run(requests int) {
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

// serve ends each attempt immediately, except attempts whose fill source is the unresponsive parent.
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

// checkAttempts fires the check timers of attempts in flight, and ends the attempts that the router
// cancels.
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
