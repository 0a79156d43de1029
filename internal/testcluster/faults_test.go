package testcluster

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// ordered fails the test where an act at a box came after one of a later token.
func expectOrderedTokens(t *testing.T, r *Cluster) {
	t.Helper()
	for _, b := range r.Servers {
		if _, err := b.Handovers(); err != nil {
			t.Error(err)
		}
	}
}

// The wall clock of the routers' machines is set an hour back, then two hours on, while they
// run and hold a duty: the duty stays where it is, can be moved, and goes on when its holder
// starts anew by the new clock; purges, whose times are the wall clock's, hold as before.
func TestWallClockStep(t *testing.T) {
	r := startFleet(t, Options{Program: faultProgram, Routers: 5, Servers: 2, Voters: 3, LeaseSettings: " lease_ms = 1500\n margin_ms = 150\n", Seed: 41})
	x, first, err := r.WaitForHolder(waitTimeout, loadReportLease, r.Routers...)
	requireNoError(t, err)
	l := r.StartLoad(50*time.Millisecond, r.Routers...)
	for n, by := range []int64{-3_600_000, 3_600_000} {
		for _, y := range r.Routers {
			requireNoError(t, y.SetFailpoint("fault-wall", by))
		}
		for i, y := range r.Routers {
			object := 900 + 10*n + i
			r.ChangeLog.Purge(uint64(object), uint64(time.Now().UnixMilli()+by-100))
			must(t, fmt.Sprintf("set by %d ms, the purge holds at %s", by, y.Name))(r.WaitUntil("no older copy is asked for", 5*time.Second, func() (bool, string) {
				l.request(y, object)
				for _, b := range r.Servers {
					for _, f := range b.Requests() {
						if strings.Contains(f, fmt.Sprintf("asset=%016x", object)) && strings.Contains(f, ",fresh=") {
							return true, ""
						}
					}
				}
				return false, "no request with a bound came"
			}))
		}
	}
	if y, token, err := r.WaitForHolder(waitTimeout, loadReportLease, r.Routers...); err != nil || y != x || token != first {
		t.Errorf("held under %d before, under %d after: %v", first, token, err)
	}
	if code, b, err := x.CallAdmin("POST", "/fleet/duty/move/"+loadReportLease); code != 200 {
		t.Fatalf("%d %s %v", code, b, err)
	}
	must(t, "moved")(r.WaitForProbes(waitTimeout, first))
	y, second, err := r.WaitForHolder(waitTimeout, loadReportLease, r.Routers...)
	requireNoError(t, err)
	l.SetExcused(y, true)
	requireNoError(t, y.Stop())
	must(t, "its holder ended")(r.WaitForProbes(waitTimeout, second))
	requireNoError(t, y.Start())
	must(t, "all see each other")(r.WaitForConvergence(waitTimeout, r.Routers...))
	l.SetExcused(y, false)
	expectOrderedTokens(t, r)
	stopLoad(t, l)
	expectNoFalseFailures(t, r)
}

// Each save of an elector takes two seconds, first at one that follows, then at the leader,
// while the duty is moved: no act comes after one of a later token, it is held again, and
// requests go on.
func TestSlowVoterDisk(t *testing.T) {
	r := startFleet(t, Options{Program: faultProgram, Routers: 5, Servers: 2, Voters: 3, LeaseSettings: " lease_ms = 1500\n margin_ms = 150\n", Seed: 42})
	l := r.StartLoad(50*time.Millisecond, r.Routers...)
	for _, leads := range []bool{false, true} {
		lead := waitForVoters(t, r, r.Routers[:3], "r00", "r01", "r02")
		slow := lead
		for _, x := range r.Routers[:3] {
			if !leads && x != lead {
				slow = x
			}
		}
		requireNoError(t, slow.SetFailpoint("fault-save", 2000))
		for range 2 {
			x, token, err := r.WaitForHolder(waitTimeout, loadReportLease, r.Routers...)
			requireNoError(t, err)
			x.CallAdmin("POST", "/fleet/duty/move/"+loadReportLease) // it may not be answered in time
			must(t, fmt.Sprintf("slow saves at %s, leader %v: moved", slow.Name, leads))(r.WaitForProbes(waitTimeout, token))
		}
		requireNoError(t, slow.SetFailpoint("fault-save", 0))
	}
	waitForVoters(t, r, r.Routers[:3], "r00", "r01", "r02")
	expectOrderedTokens(t, r)
	stopLoad(t, l)
}
