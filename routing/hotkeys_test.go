package routing

import "testing"

// Requests for popular objects join a fill, others do not; counts decay.
func TestPopularObjectsJoinFills(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	first := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 100}))
	second := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 100}))
	if first.JoinFill || !second.JoinFill {
		t.Errorf("first joins: %v, second joins: %v; want false, true", first.JoinFill, second.JoinFill)
	}
	if first.Server != second.Server || first.FillSource != second.FillSource {
		t.Errorf("homes differ: %v and %v", first, second)
	}
	f.now += 5 * popularityTimeConstant
	if g := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 100})); g.JoinFill {
		t.Error("still popular long after")
	}
}

// Popularity means the same however many routers serve a zone.
func TestPopularityScalesWithZoneFraction(t *testing.T) {
	s := settings()
	s.RoutersByZone = []int{0, 10, 1}
	f := newHarness(t, s, fleet())
	f.request(Request{Object: 5, SizeKB: 1})
	f.now += 40 * sec // one in ten of its requests comes here: it may well be asked for all the time
	if g := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 1})); !g.JoinFill {
		t.Error("not popular though its zone asks for it every four seconds")
	}
}
