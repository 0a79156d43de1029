package testcluster

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// ordered fails the test where an act at a box came after one of a later token.
func ordered(t *testing.T, r *Rig) {
	t.Helper()
	for _, b := range r.Boxes {
		if _, err := b.Handovers(); err != nil {
			t.Error(err)
		}
	}
}

// The wall clock of the routers' machines is set an hour back, then two hours on, while they
// run and hold a duty: the duty stays where it is, can be moved, and goes on when its holder
// starts anew by the new clock; purges, whose times are the wall clock's, hold as before.
func TestWallClockIsSet(t *testing.T) {
	r := fleetOf(t, Options{Program: faulty, Routers: 5, Boxes: 2, Electors: 3, Duties: " lease_ms = 1500\n margin_ms = 150\n", Seed: 41})
	x, first, err := r.Holder(within, probing, r.Routers...)
	no(t, err)
	l := r.Load(50*time.Millisecond, r.Routers...)
	for n, by := range []int64{-3_600_000, 3_600_000} {
		for _, y := range r.Routers {
			no(t, y.Fault("fault-wall", by))
		}
		for i, y := range r.Routers {
			object := 900 + 10*n + i
			r.Log.Purge(uint64(object), uint64(time.Now().UnixMilli()+by-100))
			must(t, fmt.Sprintf("set by %d ms, the purge holds at %s", by, y.Name))(r.Until("no older copy is asked for", 5*time.Second, func() (bool, string) {
				l.ask(y, object)
				for _, b := range r.Boxes {
					for _, f := range b.Seen() {
						if strings.Contains(f, fmt.Sprintf("asset=%016x", object)) && strings.Contains(f, ",fresh=") {
							return true, ""
						}
					}
				}
				return false, "no request with a bound came"
			}))
		}
	}
	if y, token, err := r.Holder(within, probing, r.Routers...); err != nil || y != x || token != first {
		t.Errorf("held under %d before, under %d after: %v", first, token, err)
	}
	if code, b, err := x.Door("POST", "/fleet/duty/move/"+probing); code != 200 {
		t.Fatalf("%d %s %v", code, b, err)
	}
	must(t, "moved")(r.Acting(within, first))
	y, second, err := r.Holder(within, probing, r.Routers...)
	no(t, err)
	l.Excuse(y, true)
	no(t, y.Stop())
	must(t, "its holder ended")(r.Acting(within, second))
	no(t, y.Start())
	must(t, "all see each other")(r.Alike(within, r.Routers...))
	l.Excuse(y, false)
	ordered(t, r)
	end(t, l)
	quiet(t, r)
}

// Each save of an elector takes two seconds, first at one that follows, then at the leader,
// while the duty is moved: no act comes after one of a later token, it is held again, and
// requests go on.
func TestSlowSaves(t *testing.T) {
	r := fleetOf(t, Options{Program: faulty, Routers: 5, Boxes: 2, Electors: 3, Duties: " lease_ms = 1500\n margin_ms = 150\n", Seed: 42})
	l := r.Load(50*time.Millisecond, r.Routers...)
	for _, leads := range []bool{false, true} {
		lead := voters(t, r, r.Routers[:3], "r00", "r01", "r02")
		slow := lead
		for _, x := range r.Routers[:3] {
			if !leads && x != lead {
				slow = x
			}
		}
		no(t, slow.Fault("fault-save", 2000))
		for range 2 {
			x, token, err := r.Holder(within, probing, r.Routers...)
			no(t, err)
			x.Door("POST", "/fleet/duty/move/"+probing) // it may not be answered in time
			must(t, fmt.Sprintf("slow saves at %s, leader %v: moved", slow.Name, leads))(r.Acting(within, token))
		}
		no(t, slow.Fault("fault-save", 0))
	}
	voters(t, r, r.Routers[:3], "r00", "r01", "r02")
	ordered(t, r)
	end(t, l)
}
