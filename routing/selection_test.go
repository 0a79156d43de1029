package routing

import (
	"slices"
	"testing"
	"time"
)

// All routers agree on homes, and a lost server moves only its own objects.
func TestHomes(t *testing.T) {
	f, g := newHarness(t, settings(), fleet()), newHarness(t, settings(), fleet())
	less := slices.DeleteFunc(fleet(), func(s Server) bool { return s.ID == 12 || s.ID == 32 })
	h := newHarness(t, settings(), less)
	used := map[ServerID]int{}
	for i := range 300 {
		q := Request{Object: ObjectID(i + 1), SizeKB: 1}
		a, b, c := f.singleAttempt(f.request(q)), g.singleAttempt(g.request(q)), h.singleAttempt(h.request(q))
		if a.Server != b.Server || a.FillSource != b.FillSource {
			t.Fatalf("object %d: routers disagree: %v, %v", i, a, b)
		}
		if a.Server != 12 && a.Server != c.Server || a.FillSource != 32 && a.FillSource != c.FillSource {
			t.Fatalf("object %d moved though its home stayed: %v, %v", i, a, c)
		}
		used[a.Server]++
		used[a.FillSource]++
		for _, x := range []*harness{f, g, h} {
			x.finish(SendAttempt{ID: x.nextID - 1, Server: a.Server}, 0, Served, Hit)
		}
	}
	for _, id := range []ServerID{11, 12, 13, 31, 32} {
		if used[id] < 50 {
			t.Errorf("server %d is home of %d of 300", id, used[id])
		}
	}
}

// Rule 3: a server that drains or is gone gets nothing, nor fills anything.
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
				t.Fatalf("sent to a server that drains: %v", g)
			}
			f.finish(g, 0, Served, Hit)
		}
	}
}

// No cache can take a request: it goes straight to its home parent, which may
// ask the origin (the symptom: misses of parents named as their own source).
func TestBypassToTheParent(t *testing.T) {
	f := newHarness(t, settings(), fleet()[3:])
	if g := f.singleAttempt(f.request(Request{Object: 5, SizeKB: 1})); g.Server != 31 && g.Server != 32 || g.FillSource != 41 {
		t.Errorf("want a parent that may ask the origin, got %v", g)
	}
}

// A cache that does a tenth of its work for a while keeps few of its keys, and
// has them again when it is well. (The symptom: its keys waited for it as for a
// crowded home, and a third of all requests were refused.)
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
	well := play(300, 1)
	play(150, 10)
	sick := play(300, 10)
	play(300, 1)
	again := play(300, 1)
	if well < 60 || sick > well/3 || again < well*3/4 {
		t.Errorf("of 300 it had %d when well, %d when slow and %d when well again", well, sick, again)
	}
}

// Guards against a silent parent that is asked for many at once whenever its rest ends, and,
// where few parents are left, against the others' link: what the silent one would fill comes
// from the origin, unless that stops when it is asked for too much; then from the others.
func TestUnresponsiveParentsShare(t *testing.T) {
	for _, falls := range []bool{false, true} {
		set := settings()
		set.HitStatusOnly, set.OriginStopsOnOverload = true, falls
		f := newHarness(t, set, fleet())
		silent := f.router.readyByRole[parent][0]
		other, stand := f.router.readyByRole[parent][1].ID, f.router.readyByRole[origin][0].ID
		if falls {
			stand = other
		}
		type sent struct {
			SendAttempt
			at time.Duration
		}
		var out []sent
		most, stood, homes := 0, map[ServerID]int{}, map[ObjectID]ServerID{}
		take := func(acts []Action, q ObjectID) {
			for _, g := range sendActions(acts) {
				if g.FillSource == silent.ID {
					out = append(out, sent{g, f.now})
					continue
				}
				if silent.ejections > 0 && homes[q] == silent.ID {
					stood[g.FillSource]++
				}
				f.finish(g, 0, Served, Filled)
			}
		}
		for i := range 3000 {
			f.now += 5 * ms
			o := ObjectID(i%200 + 1)
			acts := f.request(Request{Object: o, SizeKB: 100, Timeout: 6 * sec})
			if g := sendActions(acts); len(g) > 0 && i < 200 {
				homes[o] = g[0].FillSource // nobody rests yet
			}
			take(acts, o)
			for j := 0; j < len(out); j++ { // looks, and what they give up
				s := &out[j]
				if f.now < s.at+500*ms {
					continue
				}
				s.at = f.now
				for _, a := range f.handle(TimerFired{uint64(s.ID)<<timerKindBits | timerCheckAttempt}) {
					if c, ok := a.(CancelAttempt); ok {
						for _, g := range sendActions(f.handle(Outcome{ID: c.ID, Attempt: c.Attempt, Server: s.Server, Result: Canceled})) {
							f.finish(g, 1, Served, Filled)
						}
						out = slices.Delete(out, j, j+1)
						j--
					}
				}
			}
			if silent.ejections > 1 {
				most = max(most, len(out))
			}
		}
		if silent.ejections < 3 || most > 1 {
			t.Errorf("falls %v: rests %d, then %d out at once at a silent parent", falls, silent.ejections, most)
		}
		if n := len(stood); n != 1 || stood[stand] < 100 {
			t.Errorf("falls %v: its part came from %v, want all from %d", falls, stood, stand)
		}
	}
}
