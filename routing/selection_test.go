package routing

import (
	"slices"
	"testing"
	"time"
)

// All routers agree on homes, and a lost server moves only its own objects.
func TestHomes(t *testing.T) {
	f, peer := newHarness(t, settings(), fleet()), newHarness(t, settings(), fleet())
	less := slices.DeleteFunc(fleet(), func(s Server) bool { return s.ID == 12 || s.ID == 32 })
	smaller := newHarness(t, settings(), less)
	used := map[ServerID]int{}
	for i := range 300 {
		q := Request{Object: ObjectID(i + 1), SizeKB: 1}
		a, b, c := f.singleAttempt(f.request(q)), peer.singleAttempt(peer.request(q)), smaller.singleAttempt(smaller.request(q))
		if a.Server != b.Server || a.FillSource != b.FillSource {
			t.Fatalf("object %d: routers disagree: %v, %v", i, a, b)
		}
		if a.Server != 12 && a.Server != c.Server || a.FillSource != 32 && a.FillSource != c.FillSource {
			t.Fatalf("object %d moved though its home stayed: %v, %v", i, a, c)
		}
		used[a.Server]++
		used[a.FillSource]++
		for _, x := range []*harness{f, peer, smaller} {
			x.finish(SendAttempt{ID: x.nextID - 1, Server: a.Server}, 0, Served, Hit)
		}
	}
	for _, id := range []ServerID{11, 12, 13, 31, 32} {
		if used[id] < 50 {
			t.Errorf("server %d is home of %d of 300", id, used[id])
		}
	}
}

// A draining or removed server gets nothing, nor fills anything.
func TestDrainingServersGetNothing(t *testing.T) {
	for _, m := range []EndpointUpdate{
		{Servers: []Server{{ID: 12, Zone: 1, Kind: cacheKind, Phase: Draining}, {ID: 32, Kind: parentKind, Phase: Removed}}},
		{Snapshot: true, Servers: slices.DeleteFunc(fleet(), func(s Server) bool { return s.ID == 12 || s.ID == 32 })},
	} {
		f := newHarness(t, settings(), fleet())
		f.handle(m)
		for i := range 100 {
			g := f.singleAttempt(f.request(Request{Object: ObjectID(i + 1), SizeKB: 1}))
			if g.Server == 12 || g.FillSource == 32 {
				t.Fatalf("sent to a draining server: %v", g)
			}
			f.finish(g, 0, Served, Hit)
		}
	}
}

// If no cache can take a request it goes straight to its home parent, which may ask the origin.
// Symptom guarded against: misses of parents that were named as their own source.
func TestBypassToTheParent(t *testing.T) {
	f := newHarness(t, settings(), fleet()[3:])
	if g := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 1})); g.Server != 31 && g.Server != 32 || g.FillSource != 41 {
		t.Errorf("want a parent that may ask the origin, got %v", g)
	}
}

// A cache that does a tenth of its work for a while keeps few of its keys, and has them again when
// it has recovered. Symptom guarded against: requests for its keys queued for it as for a saturated
// home, and a third of all requests were rejected.
func TestSlowCacheKeepsFewKeys(t *testing.T) {
	set := settings()
	set.BodyBytesPerSecond = 100_000
	f := newHarness(t, set, fleet())
	slow := f.router.readyByRole[cache][0].ID
	type out struct {
		g   SendAttempt
		at  time.Duration
		due time.Duration
	}
	var open []out
	play := func(n int, times time.Duration) (there int) {
		for i := range n {
			f.now += 20 * ms
			for _, g := range sendActions(f.request(Request{Object: ObjectID(1 + i), Timeout: 6 * sec})) {
				o := out{g, f.now, f.now + 150*ms}
				if g.Server == slow {
					there++
					o.due = f.now + 150*ms*times
				}
				open = append(open, o)
			}
			open = slices.DeleteFunc(open, func(o out) bool {
				if o.due <= f.now {
					f.handle(Outcome{ID: o.g.ID, Server: o.g.Server, Result: Served, Duration: f.now - o.at, BodyBytes: 15_000, RequestDone: true})
				}
				return o.due <= f.now
			})
		}
		return there
	}
	before := play(300, 1)
	play(150, 10)
	during := play(300, 10)
	play(300, 1)
	after := play(300, 1)
	if before < 60 || during > before/3 || after < before*3/4 {
		t.Errorf("of 300 requests it had %d before, %d while slow and %d after", before, during, after)
	}
}

// An unresponsive parent is probed with one request at a time whenever its ejection ends. Where few
// parents are left, what it would fill comes from the origin, unless that stops when it is
// overloaded; then from the other parents. Symptoms guarded against: many requests at once to an
// unresponsive parent, and a saturated link of the other.
func TestUnresponsiveParentsShare(t *testing.T) {
	for _, stops := range []bool{false, true} {
		set := settings()
		set.HitStatusOnly, set.OriginStopsOnOverload = true, stops
		f := &unresponsiveParent{harness: newHarness(t, set, fleet()),
			homes: map[ObjectID]ServerID{}, failovers: map[ServerID]int{}}
		f.parent = f.router.readyByRole[parent][0]
		target := f.router.readyByRole[origin][0].ID
		if stops {
			target = f.router.readyByRole[parent][1].ID
		}
		for i := range 3000 {
			f.now += 5 * ms
			object := ObjectID(i%200 + 1)
			actions := f.request(Request{Object: object, SizeKB: 100, Timeout: 6 * sec})
			if sent := sendActions(actions); len(sent) > 0 && i < 200 {
				f.homes[object] = sent[0].FillSource // no parent is ejected yet
			}
			f.serve(actions, object)
			f.checkAttempts()
		}
		if f.parent.ejections < 3 || f.mostInflight > 1 {
			t.Errorf("origin stops %v: %d ejections, then %d in flight at once to an unresponsive parent",
				stops, f.parent.ejections, f.mostInflight)
		}
		if n := len(f.failovers); n != 1 || f.failovers[target] < 100 {
			t.Errorf("origin stops %v: its share came from %v, want all from %d", stops, f.failovers, target)
		}
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

// serve ends each attempt at once, but those that the unresponsive parent fills.
func (f *unresponsiveParent) serve(actions []Action, object ObjectID) {
	for _, sent := range sendActions(actions) {
		if sent.FillSource == f.parent.ID {
			f.inflight = append(f.inflight, inflightAttempt{sent, f.now})
			continue
		}
		if f.parent.ejections > 0 && f.homes[object] == f.parent.ID {
			f.failovers[sent.FillSource]++
		}
		f.finish(sent, 0, Served, Filled)
	}
}

// checkAttempts fires the timers of what is in flight and ends what is canceled.
func (f *unresponsiveParent) checkAttempts() {
	for i := 0; i < len(f.inflight); i++ {
		attempt := &f.inflight[i]
		if f.now < attempt.checkedAt+500*ms {
			continue
		}
		attempt.checkedAt = f.now
		for _, action := range f.handle(TimerFired{uint64(attempt.ID)<<timerKindBits | timerCheckAttempt}) {
			canceled, ok := action.(CancelAttempt)
			if !ok {
				continue
			}
			outcome := Outcome{ID: canceled.ID, Attempt: canceled.Attempt, Server: attempt.Server, Result: Canceled}
			for _, sent := range sendActions(f.handle(outcome)) {
				f.finish(sent, 1, Served, Filled)
			}
			f.inflight = slices.Delete(f.inflight, i, i+1)
			i--
		}
	}
	if f.parent.ejections > 1 {
		f.mostInflight = max(f.mostInflight, len(f.inflight))
	}
}
