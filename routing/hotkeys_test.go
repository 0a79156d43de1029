package routing

import "testing"

// TestPopularObjectsJoinFills checks that only requests for popular objects join a fill, and that request
// counts decay.
func TestPopularObjectsJoinFills(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	request := Request{Object: 5, SizeKB: 100}
	first := harness.requestOne(request)
	second := harness.requestOne(request)
	if first.JoinFill || !second.JoinFill {
		t.Errorf("got JoinFill %v for the first attempt and %v for the second, want false and true", first.JoinFill, second.JoinFill)
	}
	if first.Server != second.Server || first.FillSource != second.FillSource {
		t.Errorf("got second attempt %v, want the home servers of the first attempt, %v", second, first)
	}
	harness.now += 5 * popularityTimeConstant
	if later := harness.requestOne(request); later.JoinFill {
		t.Errorf("got attempt %v that joins a fill after the request count has decayed, want one that joins no fill", later)
	}
}

// TestPopularityScalesWithZoneFraction checks that an object is popular if it is requested often in the
// zone, even if each router of the zone receives only a small fraction of the requests.
func TestPopularityScalesWithZoneFraction(t *testing.T) {
	config := settings()
	config.RoutersByZone = []int{0, 10, 1}
	harness := newHarness(t, config, fleet())
	request := Request{Object: 5, SizeKB: 1}
	harness.request(request)
	harness.now += 40 * second // this router receives a tenth of the requests for the object
	if sent := harness.requestOne(request); !sent.JoinFill {
		t.Errorf("got attempt %v that joins no fill, want one that does: the zone requests the object every 4 s", sent)
	}
}
