package routing

import "testing"

// Requests for popular objects join a fill, others do not; counts decay.
func TestPopularObjectsJoinFills(t *testing.T) {
	harness := newHarness(t, settings(), fleet())
	request := Request{Object: 5, SizeKB: 100}
	first := harness.requestOne(request)
	second := harness.requestOne(request)
	if first.JoinFill || !second.JoinFill {
		t.Errorf("first joins: %v, second joins: %v; want false, true", first.JoinFill, second.JoinFill)
	}
	if first.Server != second.Server || first.FillSource != second.FillSource {
		t.Errorf("second attempt %v, want the homes of the first, %v", second, first)
	}
	harness.now += 5 * popularityTimeConstant
	if later := harness.requestOne(request); later.JoinFill {
		t.Errorf("attempt %v long after joins a fill, want none", later)
	}
}

// Popularity means the same however many routers serve a zone.
func TestPopularityScalesWithZoneFraction(t *testing.T) {
	config := settings()
	config.RoutersByZone = []int{0, 10, 1}
	harness := newHarness(t, config, fleet())
	request := Request{Object: 5, SizeKB: 1}
	harness.request(request)
	harness.now += 40 * second // one in ten of its requests comes here: it may well be asked for all the time
	if sent := harness.requestOne(request); !sent.JoinFill {
		t.Errorf("attempt %v joins no fill though its zone asks for it every four seconds", sent)
	}
}
