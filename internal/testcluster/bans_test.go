package testcluster

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"garnetline/internal/faultproxy"
	"garnetline/internal/fleet/bans"
)

// banStatus is what a router shows of the register's bans.
func banStatus(t *testing.T, x *Router) *bans.Status {
	t.Helper()
	code, b, err := x.CallAdmin("GET", "/fleet/bans")
	p := &bans.Status{}
	if err != nil || code != 200 || json.Unmarshal(b, p) != nil {
		t.Fatalf("%s: /fleet/bans: %d %s %v", x.Name, code, b, err)
	}
	return p
}

// filed waits until routers have read from the register that a box is out, or in.
func waitForRegisteredBan(t *testing.T, r *Cluster, box string, out bool, by string, at ...*Router) {
	t.Helper()
	must(t, fmt.Sprintf("%s filed as out %v by %q", box, out, by))(r.WaitUntil("filed", waitTimeout, func() (bool, string) {
		for _, x := range at {
			if l := banStatus(t, x).Bans; !slices.ContainsFunc(l, func(b bans.Ban) bool { return b.Server == box && b.Disabled == out && strings.Contains(b.SetBy, by) }) {
				return false, fmt.Sprintf("%s: %+v", x.Name, l)
			}
		}
		return true, ""
	}))
}

func postAdmin(t *testing.T, x *Router, call string, want int) {
	t.Helper()
	if code, b, err := x.CallAdmin("POST", call); err != nil || code != want {
		t.Fatalf("%s %s: %d %s %v", x.Name, call, code, b, err)
	}
}

// Eight routers, five of them electors, keep staff's bans. One is set; all processes are
// killed, and what they keep by themselves is lost: when one says that it is ready the box
// is out there. Two routers that are cut off take a box out and cannot let one in; healed, their
// ban is the register's. While a majority of electors is down a box can be taken out, and
// not let in; when it is back all is filed, and the boxes come back by one call each.
func TestBansSurviveRestartsAndPartitions(t *testing.T) {
	r := startFleet(t, Options{Routers: 8, Servers: 4, Voters: 5, LeaseSettings: " bans {\n  every_ms = 200\n }\n", Seed: 31})
	one, two, three := r.Servers[0].ID.String(), r.Servers[1].ID.String(), r.Servers[2].ID.String()
	all := r.Routers
	l := r.StartLoad(50*time.Millisecond, all...)
	postAdmin(t, all[6], "/fleet/bans/disable/"+one+"/0/ada/a%20bad%20disk", 200)
	waitForRegisteredBan(t, r, one, true, "ada", all...)
	must(t, "out at all")(r.WaitForBan(waitTimeout, one, true, all...))
	if p := banStatus(t, all[0]); p.Bans[0].Reason != "a bad disk" || p.Bans[0].SetAt == 0 {
		t.Errorf("%+v", p)
	}
	cli := func(args ...string) string {
		out, err := exec.Command(program, append([]string{"fleet", "bans"}, args...)...).CombinedOutput()
		return fmt.Sprint(string(out), err)
	}
	if text := cli("--mgmt", all[3].AdminAddr); !strings.Contains(text, one) || !strings.Contains(text, "ada") || !strings.Contains(text, "a bad disk") {
		t.Errorf("fleet bans: %s", text)
	}
	if text := cli("disable", "--mgmt", all[3].AdminAddr, "--who", "eve", "--why", "a/b c?", r.Servers[3].ID.String()); !strings.Contains(text, "done") {
		t.Errorf("fleet bans disable: %s", text)
	}
	waitForRegisteredBan(t, r, r.Servers[3].ID.String(), true, "eve", all...)
	if text := cli("enable", "--mgmt", all[2].AdminAddr, r.Servers[3].ID.String()); !strings.Contains(text, "done") {
		t.Errorf("fleet bans enable: %s", text)
	}
	waitForRegisteredBan(t, r, r.Servers[3].ID.String(), false, "", all...)
	postAdmin(t, all[0], "/fleet/bans/enable/"+one+"/1/bob/an%20older%20view", 503)

	for _, x := range all {
		l.SetExcused(x, true)
		x.Kill()
	}
	for _, x := range all { // all that routers keep by themselves is lost: the electors' logs alone know
		left, err := filepath.Glob(filepath.Join(x.StateDir(), "*"))
		requireNoError(t, err)
		for _, f := range left {
			if !strings.Contains(f, "elector") && !strings.HasSuffix(f, "seat") {
				requireNoError(t, os.RemoveAll(f))
			}
		}
		requireNoError(t, x.Start())
	}
	for _, x := range all {
		must(t, x.Name+" is ready")(r.WaitUntil("ready", waitTimeout, func() (bool, string) {
			code, _, err := x.CallAdmin("GET", "/ready")
			return code == 200, fmt.Sprint(code, err)
		}))
		if p := banStatus(t, x); !slices.Contains(p.DisabledHere, one) {
			t.Errorf("%s is ready, and has not taken out what the register has: %+v", x.Name, p)
		}
	}
	must(t, "all are back")(r.WaitForConvergence(waitTimeout, all...))
	for _, x := range all {
		l.SetExcused(x, false)
	}

	most, few := all[:6], all[6:]
	for _, a := range few {
		for _, b := range most {
			r.Proxy.SetBoth(a.ProxyName(), b.ProxyName(), faultproxy.Fault{Partitioned: true})
		}
	}
	postAdmin(t, few[0], "/caches/disable/"+two, 200)
	postAdmin(t, few[0], "/caches/enable/"+one, 503)
	if p := banStatus(t, few[0]); !slices.Contains(p.DisabledHere, one) || !slices.Contains(p.DisabledHere, two) {
		t.Errorf("in the minority: %+v", p)
	}
	postAdmin(t, most[0], "/caches/disable/"+three, 200)
	waitForRegisteredBan(t, r, three, true, "r00", most...)
	r.Proxy.Heal()
	waitForRegisteredBan(t, r, two, true, "r06", all...)
	must(t, "the minority's ban is all's")(r.WaitForBan(waitTimeout, two, true, all...))

	for _, x := range all[:3] {
		l.SetExcused(x, true)
		x.Kill()
	}
	postAdmin(t, all[5], "/caches/enable/"+two, 503)
	four := r.Servers[3].ID.String()
	postAdmin(t, all[5], "/caches/disable/"+four, 200)
	for _, x := range all[:3] {
		requireNoError(t, x.Start())
	}
	must(t, "electors are back")(r.WaitForConvergence(waitTimeout, all...))
	waitForRegisteredBan(t, r, four, true, "r05", all...)
	for i, box := range []string{one, two, three, four} {
		must(t, box+" is let in")(r.WaitUntil("enabled", waitTimeout, func() (bool, string) {
			code, b, err := all[i].CallAdmin("POST", "/caches/enable/"+box)
			return code == 200, fmt.Sprintf("%d %s %v", code, b, err)
		}))
		must(t, box+" is in at all")(r.WaitForBan(waitTimeout, box, false, all...))
		waitForRegisteredBan(t, r, box, false, all[i].Name, all...)
	}
	for _, x := range all {
		if p := banStatus(t, x); len(p.DisabledHere) != 0 {
			t.Errorf("%s: %+v", x.Name, p)
		}
		if _, err := os.Stat(filepath.Join(x.StateDir(), "garnetline-bans.json")); err != nil {
			t.Error(err)
		}
	}
	l.Stop()
}
