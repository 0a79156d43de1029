package testcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"garnetline/internal/faultproxy"
)

const loadReportLease = "probe/edge"

// Five electors among eight routers. The holder of a duty is stopped past its lease's end
// and woken, killed, cut off from the electors though not from the boxes, told to go, and
// asked to hand on: at the boxes no act ever comes after one of a later token, and each
// time there is a holder again. Requests go on.
func TestLeaseHasOneHolderAcrossFaults(t *testing.T) {
	r := startFleet(t, Options{Routers: 8, Servers: 2, Voters: 5, LeaseSettings: " lease_ms = 1500\n margin_ms = 150\n", Seed: 21})
	holder := func(what string, but ...*Router) (*Router, uint64) {
		t.Helper()
		x, token, err := r.WaitForHolder(waitTimeout, loadReportLease, r.Running(but...)...)
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		t.Logf("%s: %s holds it under %d", what, x.Name, token)
		return x, token
	}
	x, first := holder("at the start")
	l := r.StartLoad(50*time.Millisecond, r.Routers...)
	acting := func(after uint64) {
		t.Helper()
		must(t, "a later token acts")(r.WaitForProbes(waitTimeout, after))
	}
	acting(first - 1)
	l.SetExcused(x, true)
	requireNoError(t, x.Pause())
	y, second := holder("the holder stopped", x)
	acting(first)
	requireNoError(t, x.Resume())
	must(t, "woken one is back")(r.WaitForConvergence(waitTimeout, r.Routers...))
	l.SetExcused(x, false)

	if code, b, err := y.CallAdmin("POST", "/fleet/duty/move/"+loadReportLease); code != 200 {
		t.Fatalf("%d %s %v", code, b, err)
	}
	acting(second)
	z, third := holder("moved")
	if z == y {
		t.Error("moved to itself")
	}
	for _, e := range r.Routers { // from all others, and not from the boxes
		if e != z {
			r.Proxy.SetBoth(z.ProxyName(), e.ProxyName(), faultproxy.Fault{Partitioned: true})
		}
	}
	_, fourth := holder("the holder cut off from the electors", z)
	acting(third)
	r.Proxy.Heal()
	must(t, "healed")(r.WaitForConvergence(waitTimeout, r.Routers...))

	v, _ := holder("after the cut")
	l.SetExcused(v, true)
	v.Kill()
	_, fifth := holder("the holder killed", v)
	acting(fourth)
	requireNoError(t, v.Start())
	must(t, "killed one is back")(r.WaitForConvergence(waitTimeout, r.Routers...))
	l.SetExcused(v, false)

	w, _ := holder("before one goes in order")
	l.SetExcused(w, true)
	requireNoError(t, w.Stop())
	acting(fifth)
	for _, b := range r.Servers {
		h, err := b.Handovers()
		if err != nil || len(h) < 5 {
			t.Errorf("%d handovers: %v", len(h), err)
		}
		for _, x := range h {
			t.Logf("%s: from %d to %d, %v without an act", b.Name, x.From, x.To, x.Gap.Round(time.Millisecond))
		}
	}
	stopLoad(t, l)
}

// A majority of the electors is down: the duty lapses, requests go on; when they are back
// so is the duty, under a later token.
func TestLeaseLapsesWithoutVoterMajority(t *testing.T) {
	r := startFleet(t, Options{Routers: 5, Servers: 1, Voters: 3, LeaseSettings: " lease_ms = 1500\n margin_ms = 150\n", Seed: 22})
	_, first, err := r.WaitForHolder(waitTimeout, loadReportLease, r.Routers...)
	requireNoError(t, err)
	l := r.StartLoad(50*time.Millisecond, r.Routers[3:]...)
	for _, x := range r.Routers[:2] {
		x.Kill()
	}
	must(t, "nobody holds it")(r.WaitUntil("nobody holds", waitTimeout, func() (bool, string) {
		for _, x := range r.Running() {
			if p, err := x.Leases(); err != nil || len(p.Held) > 0 {
				return false, x.Name
			}
		}
		return true, ""
	}))
	for _, x := range r.Routers[:2] {
		requireNoError(t, x.Start())
	}
	_, later, err := r.WaitForHolder(waitTimeout, loadReportLease, r.Routers...)
	requireNoError(t, err)
	if later < first { // the same, where its holder was none of those killed
		t.Errorf("token %d after %d", later, first)
	}
	if _, err := r.Servers[0].Handovers(); err != nil {
		t.Error(err)
	}
	stopLoad(t, l)
}

// voters waits until the electors agree that these vote and nobody learns, and returns the
// leader.
func waitForVoters(t *testing.T, r *Cluster, of []*Router, want ...string) (leader *Router) {
	t.Helper()
	must(t, fmt.Sprint("voters ", want))(r.WaitUntil("voters", waitTimeout, func() (bool, string) {
		leader = nil
		for _, x := range of {
			p, err := x.Leases()
			if err != nil {
				return false, err.Error()
			}
			names := slices.Sorted(slices.Values(p.Register.Voters))
			if !slices.Equal(names, want) || len(p.Register.Learners) > 0 {
				return false, fmt.Sprintf("%s: voters %v, learners %v, leader %s %s", x.Name, p.Register.Voters, p.Register.Learners, p.Register.Leader, p.Register.Fault)
			}
			if p.Register.Leading {
				leader = x
			}
		}
		return leader != nil, "no leader"
	}))
	return leader
}

// An elector that lost its disk comes back as a learner, and is a voter again; one that
// staff add is taken in, one that they remove is out; who is named by a file alone is not.
func TestVotersAreReplaced(t *testing.T) {
	r := startFleet(t, Options{Routers: 4, Servers: 1, Voters: 3, Seed: 23})
	waitForVoters(t, r, r.Routers[:3], "r00", "r01", "r02")
	_, first, err := r.WaitForHolder(waitTimeout, loadReportLease, r.Routers...)
	requireNoError(t, err)
	x := r.Routers[1]
	x.Kill()
	requireNoError(t, os.RemoveAll(filepath.Join(x.StateDir(), "garnetline-elector-r01")))
	requireNoError(t, x.Start())
	leader := waitForVoters(t, r, r.Routers[:3], "r00", "r01", "r02")

	y := r.Routers[3]
	y.Kill()
	y.Voters = []string{"r00", "r01", "r03"}
	requireNoError(t, y.WriteSettings(FleetKey))
	requireNoError(t, y.Start())
	must(t, "all there")(r.WaitForConvergence(waitTimeout, r.Routers...))
	time.Sleep(time.Second) // it asks several times
	leader = waitForVoters(t, r, r.Routers[:3], "r00", "r01", "r02")
	call := func(what string) {
		t.Helper()
		if code, b, err := leader.CallAdmin("POST", "/fleet/elector/"+what); code != 200 {
			t.Fatalf("%s at %s: %d %s %v", what, leader.Name, code, b, err)
		}
	}
	call("add/r03")
	leader = waitForVoters(t, r, r.Routers, "r00", "r01", "r02", "r03")
	out := "r02"
	if leader.Name == out {
		out = "r00"
	}
	call("remove/" + out)
	var rest []*Router
	var names []string
	for _, x := range r.Routers {
		if x.Name != out {
			rest, names = append(rest, x), append(names, x.Name)
		}
	}
	waitForVoters(t, r, rest, names...)
	_, last, err := r.WaitForHolder(waitTimeout, loadReportLease, r.Routers...)
	if err != nil || last < first {
		t.Errorf("token %d after %d, %v", last, first, err)
	}
}

// A box that failed for a while and is well again is tried by one router first; the others
// come in one after another, at the pace that the file gives, and in the end all do.
func TestOneRouterProbesRecoveredServer(t *testing.T) {
	r := startFleet(t, Options{Routers: 8, Servers: 3, Voters: 5, LeaseSettings: " lease_ms = 1500\n margin_ms = 150\n first_try {\n  routers_per_s = 1\n }\n", Seed: 24})
	if _, _, err := r.WaitForHolder(waitTimeout, "first/edge", r.Routers...); err != nil {
		t.Fatal(err)
	}
	l := r.StartLoad(50*time.Millisecond, r.Routers...)
	b := r.Servers[0]
	rate := func() int { now := time.Now(); return b.RequestsBetween(now.Add(-time.Second), now) }
	must(t, "the box has its part")(r.WaitUntil("its part", waitTimeout, func() (bool, string) { return rate() >= 30, fmt.Sprint(rate()) }))
	b.SetFailing(true)
	must(t, "set aside at all")(r.WaitUntil("set aside", waitTimeout, func() (bool, string) { return rate() <= 12, fmt.Sprint(rate()) }))
	up := time.Now()
	b.SetFailing(false)
	var first time.Time
	must(t, "tried")(r.WaitUntil("tried", waitTimeout, func() (bool, string) {
		for at := up; at.Before(time.Now()); at = at.Add(10 * time.Millisecond) {
			if b.RequestsBetween(up, at) > 0 {
				first = at
				return true, ""
			}
		}
		return false, ""
	}))
	must(t, "all are in again")(r.WaitUntil("in", waitTimeout, func() (bool, string) { return rate() >= 30, fmt.Sprint(rate()) }))
	n := b.RequestsBetween(first, first.Add(time.Second))
	t.Logf("%d requests in the second from the first try on, all in after %v", n, time.Since(up))
	if n > 25 || time.Since(up) < 2*time.Second {
		t.Errorf("%d requests in the first second, all in after %v", n, time.Since(up))
	}
	stopLoad(t, l)
}
