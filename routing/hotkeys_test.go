package routing

import "testing"

// Hot objects join, cold ones do not; counts decay.
func TestPopularObjectsJoinFills(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	cold := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 100}))
	hot := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 100}))
	if cold.JoinFill || !hot.JoinFill {
		t.Errorf("first joins: %v, second joins: %v; want false, true", cold.JoinFill, hot.JoinFill)
	}
	if cold.Server != hot.Server || cold.FillSource != hot.FillSource {
		t.Errorf("homes differ: %v and %v", cold, hot)
	}
	f.now += 5 * popularityTimeConstant
	if g := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 100})); g.JoinFill {
		t.Error("still hot long after")
	}
}

// Marks mean the same however many routers share a location.
func TestPopularityScalesWithZoneFraction(t *testing.T) {
	s := settings()
	s.RoutersByZone = []int{0, 10, 1}
	f := newHarness(t, s, fleet())
	f.request(Request{Object: 5, SizeKB: 1})
	f.now += 40 * sec // one in ten of its requests comes here: it may well be asked for all the time
	if g := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 1})); !g.JoinFill {
		t.Error("not hot though its location asks for it every four seconds")
	}
}
