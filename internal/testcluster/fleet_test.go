package testcluster

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"garnetline/internal/fakeserver"
	"garnetline/internal/faultproxy"
)

// The program, and the same with faults that tests set.
var program, faultProgram string

// TestMain builds both once.
func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer os.RemoveAll(dir)
	program, faultProgram = filepath.Join(dir, "garnetline"), filepath.Join(dir, "faulty")
	for to, tags := range map[string]string{program: "", faultProgram: "faults"} {
		if out, err := exec.Command("go", "build", "-tags", tags, "-o", to, "garnetline/cmd/garnetline").CombinedOutput(); err != nil {
			fmt.Printf("%v: %s\n", err, out)
			return 1
		}
	}
	return m.Run()
}

// must fails the test where a rig says that something is not so. It is called as
// must(t, what)(r.Until(...)).
func must(t *testing.T, what string) func(time.Duration, error) time.Duration {
	return func(took time.Duration, err error) time.Duration {
		t.Helper()
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		t.Logf("%s after %v", what, took.Round(time.Millisecond))
		return took
	}
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// within is the bound of what is waited for: wide, since the machine may be busy.
const waitTimeout = 30 * time.Second

// fleetOf is a fleet in which all see each other and are together.
func startFleet(t *testing.T, o Options) *Cluster {
	t.Helper()
	o.Dir, o.Fleet = t.TempDir(), true
	if o.Program == "" {
		o.Program = program
	}
	// Slower to accuse than by default: the machine may be busy with other tests, and a
	// process that gets no processor for a second is to be failed by none of them.
	o.FleetSettings += " more_room_after_ms = 1000\n probe_ms = 250\n timeout_ms = 120\n suspect_ms = 1500\n"
	r, err := Start(o)
	requireNoError(t, err)
	t.Cleanup(r.Close)
	must(t, "all joined")(r.WaitForConvergence(waitTimeout, r.Routers...))
	must(t, "all together")(r.WaitForConnectivity(waitTimeout, "together", r.Routers...))
	return r
}

// quiet fails the test where a router that lived was said to have failed by any.
func expectNoFalseFailures(t *testing.T, r *Cluster, but ...string) {
	t.Helper()
	for _, x := range r.Routers {
		for line := range strings.Lines(x.Output.String()) {
			if !strings.Contains(line, `"what":"failed"`) {
				continue
			}
			excused := false
			for _, b := range but {
				excused = excused || strings.Contains(line, `"member":"`+b+`"`)
			}
			if !excused {
				t.Errorf("%s says %s", x.Name, line)
			}
		}
	}
}

// Eight routers: one is killed, one leaves, both come back, while requests go on. Each
// request has one whole answer.
func TestKilledAndStoppedRoutersRejoin(t *testing.T) {
	r := startFleet(t, Options{Routers: 8, Servers: 3, Seed: 1})
	l := r.StartLoad(40*time.Millisecond, r.Routers...)
	x, y := r.Routers[5], r.Routers[6]
	l.SetExcused(x, true)
	x.Kill()
	must(t, "killed one failed")(r.WaitForState(waitTimeout, x, "failed", r.Running()...))
	l.SetExcused(y, true)
	requireNoError(t, y.Stop())
	must(t, "one that left has left")(r.WaitForState(waitTimeout, y, "left", r.Running()...))
	requireNoError(t, x.Start())
	requireNoError(t, y.Start())
	must(t, "both back")(r.WaitForConvergence(waitTimeout, r.Routers...))
	if n := r.Routers[0].CountLogLines(`"what":"failed"`, `"member":"`+y.Name+`"`); n != 0 {
		t.Errorf("one that left was said to have failed")
	}
	l.SetExcused(x, false)
	l.SetExcused(y, false)
	stopLoad(t, l)
	expectNoFalseFailures(t, r, x.Name)
}

// end ends a load and checks what it saw.
func stopLoad(t *testing.T, l *Load) {
	t.Helper()
	res := l.Stop()
	if err := res.Check(0.98); err != nil || res.Requests < 20 {
		t.Errorf("%d asked: %v", res.Requests, err)
	}
	t.Logf("%d requests, p50 %v, p99 %v, %v", res.Requests, res.P50, res.P99, res.Statuses)
}

// A cut into halves, and one in which two sides see each other through one router; all
// views are alike after each has healed. Requests go on through all of it.
func TestFleetConvergesAfterPartitions(t *testing.T) {
	r := startFleet(t, Options{Routers: 8, Servers: 3, Seed: 2})
	l := r.StartLoad(50*time.Millisecond, r.Routers...)
	ways := func(l []*Router) (w []string) {
		for _, x := range l {
			w = append(w, x.ProxyName())
		}
		return w
	}
	a, b := r.Routers[:4], r.Routers[4:]
	r.Proxy.Partition(ways(a), ways(b))
	must(t, "one half by itself")(r.WaitForConvergence(waitTimeout, a...))
	must(t, "the other half")(r.WaitForConvergence(waitTimeout, b...))
	must(t, "both partial")(r.WaitForConnectivity(waitTimeout, "partial", r.Routers...))
	r.Proxy.Heal()
	must(t, "healed: all views alike")(r.WaitForConvergence(waitTimeout, r.Routers...))
	must(t, "and together")(r.WaitForConnectivity(waitTimeout, "together", r.Routers...))
	r.Proxy.Partition(ways(r.Routers[1:4]), ways(b)) // the first is the bridge
	time.Sleep(4 * time.Second)                      // long enough to be failed in, were it not for the bridge
	must(t, "all there across a bridge")(r.WaitForConvergence(waitTimeout, r.Routers...))
	r.Proxy.Heal()
	stopLoad(t, l)
}

// One hears and is not heard by one other; a fifth of all packets is lost and some come
// late, twice or spoilt; one neighbour is stopped now and then and another has a tenth of
// a processor. Nobody that runs is failed.
func TestLossAndStallsFailNoHealthyRouter(t *testing.T) {
	r := startFleet(t, Options{Routers: 8, Servers: 3, Seed: 3})
	l := r.StartLoad(50*time.Millisecond, r.Routers[:6]...)
	for _, a := range r.Routers {
		for _, b := range r.Routers {
			r.Proxy.Set(a.ProxyName(), b.ProxyName(), faultproxy.Fault{Loss: 0.15, Duplicate: 0.1, Reorder: 0.1, Corrupt: 0.02, Delay: 1, Jitter: 10})
		}
	}
	r.Proxy.Set(r.Routers[1].ProxyName(), r.Routers[2].ProxyName(), faultproxy.Fault{Partitioned: true})
	stalls, slow := r.Routers[7], r.Routers[6].Throttle(0.1)
	for range 4 {
		requireNoError(t, stalls.Pause())
		time.Sleep(700 * time.Millisecond)
		requireNoError(t, stalls.Resume())
		time.Sleep(700 * time.Millisecond)
	}
	slow()
	r.Proxy.Heal()
	must(t, "all there")(r.WaitForConvergence(waitTimeout, r.Routers...))
	stopLoad(t, l)
	expectNoFalseFailures(t, r, stalls.Name, r.Routers[6].Name)
	for _, x := range []*Router{stalls, r.Routers[6]} {
		if n := x.CountLogLines(`"what":"failed"`); n != 0 {
			t.Errorf("%s, slow itself, said %d times that another had failed", x.Name, n)
		}
	}
}

// One that was stopped until all had failed it wakes: it fails nobody, and is back.
func TestStalledRouterRejoinsAndFailsNobody(t *testing.T) {
	r := startFleet(t, Options{Routers: 8, Servers: 1, Seed: 4})
	x := r.Routers[2]
	requireNoError(t, x.Pause())
	must(t, "stopped one failed")(r.WaitForState(waitTimeout, x, "failed", r.Running(x)...))
	time.Sleep(2 * time.Second)
	requireNoError(t, x.Resume())
	must(t, "awake, it is back")(r.WaitForConvergence(waitTimeout, r.Routers...))
	if n := x.CountLogLines(`"what":"failed"`); n != 0 || x.CountLogLines(`"what":"woken"`) == 0 {
		t.Errorf("it said %d times that another had failed, and %d times that it woke", n, x.CountLogLines(`"what":"woken"`))
	}
	expectNoFalseFailures(t, r, x.Name)
}

// All are restarted one after another within seconds; then all but one are killed, which
// is alone and goes on serving.
func TestRollingRestartAndLastRouterServesAlone(t *testing.T) {
	r := startFleet(t, Options{Routers: 6, Servers: 2, Seed: 5})
	for _, x := range r.Routers {
		x.Kill()
		requireNoError(t, x.Start())
		time.Sleep(150 * time.Millisecond)
	}
	must(t, "all in their second lives")(r.WaitUntil("life 2 of each in each view", waitTimeout, func() (bool, string) {
		for _, x := range r.Routers {
			s, err := x.Status()
			if err != nil || s.Present != 6 {
				return false, fmt.Sprint(x.Name, " ", err)
			}
			for _, m := range s.Members {
				if m.Incarnation != 2 || m.State != "alive" {
					return false, fmt.Sprintf("%s sees %s %s, life %d", x.Name, m.Name, m.State, m.Incarnation)
				}
			}
		}
		return true, ""
	}))
	must(t, "all together")(r.WaitForConnectivity(waitTimeout, "together", r.Routers...))
	for _, x := range r.Routers[1:] {
		x.Kill()
	}
	must(t, "alone")(r.WaitForConnectivity(waitTimeout, "alone", r.Routers[0]))
	s, err := r.Routers[0].Status()
	requireNoError(t, err)
	if code, _, err := r.Routers[0].CallAdmin("GET", "/ready"); s.Known != 6 || code != 200 || err != nil {
		t.Errorf("alone: %d known, /ready %d %v", s.Known, code, err)
	}
	l := r.StartLoad(20*time.Millisecond, r.Routers[0])
	time.Sleep(600 * time.Millisecond)
	stopLoad(t, l)
}

// While a router is upgraded, its two processes are one member; a ban set at the door of
// the new one meanwhile holds at all; requests go on.
func TestUpgradingRouterIsOneMember(t *testing.T) {
	r := startFleet(t, Options{Routers: 5, Servers: 3, Seed: 6})
	l := r.StartLoad(30*time.Millisecond, r.Routers...)
	x := r.Routers[1]
	requireNoError(t, x.Upgrade(func() error {
		if code, b, err := x.CallAdmin("POST", "/caches/disable/s-00000002"); code != 200 {
			return fmt.Errorf("ban: %d %s %v", code, b, err)
		}
		_, err := r.WaitForBan(waitTimeout, "s-00000002", true, r.Routers...)
		return err
	}))
	must(t, "one member, in its second life")(r.WaitUntil("life 2", waitTimeout, func() (bool, string) {
		s, err := r.Routers[0].Status()
		if err != nil {
			return false, err.Error()
		}
		for _, m := range s.Members {
			if m.Name == x.Name {
				return m.Incarnation == 2 && m.State == "alive" && len(s.Members) == 5, fmt.Sprintf("%+v of %d", m, len(s.Members))
			}
		}
		return false, "not there"
	}))
	expectNoFalseFailures(t, r)
	stopLoad(t, l)
}

// Two routers with one name by mistake: told loudly by all, and both have their places.
func TestNameConflictIsReportedAndBothStay(t *testing.T) {
	r := startFleet(t, Options{Routers: 4, Servers: 1, Seed: 7})
	y, err := r.AddRouter("r02", 4)
	requireNoError(t, err)
	must(t, "both there")(r.WaitForConvergence(waitTimeout, r.Routers...))
	must(t, "told")(r.WaitUntil("each tells of the name", waitTimeout, func() (bool, string) {
		for _, x := range r.Routers {
			if x.CountLogLines(`"level":"error"`, `"what":"conflict"`) != 1 {
				return false, x.ProxyName() + " has not"
			}
		}
		return true, ""
	}))
	y.Kill()
	must(t, "the mistaken one failed, the other not")(r.WaitForState(waitTimeout, y, "failed", r.Running()...))
	must(t, "the first kept its place")(r.WaitForState(waitTimeout, r.Routers[2], "alive", r.Running()...))
}

// The key is changed by SIGHUP, in three steps, without losing a member; one with
// another key, of another fleet, and bytes that are nothing are told apart and dropped.
func TestKeyRotationAndForeignPackets(t *testing.T) {
	r := startFleet(t, Options{Routers: 5, Servers: 1, Seed: 8})
	const next = "another key for routers on loopback"
	for _, keys := range [][]string{{FleetKey, next}, {next, FleetKey}, {next}} {
		for _, x := range r.Routers {
			was := x.CountLogLines(`"event":"configuration reloaded"`)
			requireNoError(t, x.WriteSettings(keys...))
			requireNoError(t, x.Signal(syscall.SIGHUP))
			must(t, x.Name+" reloaded")(r.WaitUntil("reloaded", waitTimeout, func() (bool, string) { return x.CountLogLines(`"event":"configuration reloaded"`) > was, "" }))
		}
	}
	for what, b := range map[string][]byte{
		"strangers":      []byte(strings.Repeat("x", 200)),
		"other_versions": append([]byte("gf\x09"), make([]byte, 200)...),
		"other_fleets":   append([]byte("gf\x01"), make([]byte, 200)...),
	} {
		c, err := net.Dial("udp", r.Routers[0].FleetAddr)
		requireNoError(t, err)
		for range 20 {
			c.Write(b)
		}
		c.Close()
		must(t, what)(r.WaitUntil("counted", waitTimeout, func() (bool, string) {
			_, m, err := r.Routers[0].CallAdmin("GET", "/metrics")
			return strings.Contains(string(m), "app_fleet_"+what+"_total 20\n"), fmt.Sprintf("%s %v", m, err)
		}))
	}
	must(t, "all there")(r.WaitForConvergence(waitTimeout, r.Routers...))
	expectNoFalseFailures(t, r)
}

// A router whose change log is cut off hears drains and purges from its neighbours, and
// drops them when its log is back; a ban set at one door holds at all.
func TestGossipReplacesUnreachableChangeLog(t *testing.T) {
	r := startFleet(t, Options{Routers: 8, Servers: 3, Seed: 9})
	deaf := r.Routers[3]
	r.Proxy.SetBoth(deaf.ProxyName(), "log", faultproxy.Fault{Partitioned: true})
	time.Sleep(2 * time.Second) // until it takes itself for cut off; later is as good
	b := r.Servers[1]
	draining := fakeserver.Endpoint{ID: uint32(b.ID), Addr: b.Address(), Phase: 1, Weight: 100}
	r.ChangeLog.UpdateEndpoints(draining)
	out := func(want string) func() (bool, string) {
		return func() (bool, string) {
			_, m, err := deaf.CallAdmin("GET", "/metrics")
			return strings.Contains(string(m), "app_out_of_rotation "+want+"\n"), fmt.Sprintf("%s %v", m, err)
		}
	}
	must(t, "drain followed without its log")(r.WaitUntil("one box out of rotation", waitTimeout, out("1")))
	was := b.RequestCount()
	l := r.StartLoad(20*time.Millisecond, deaf)
	time.Sleep(600 * time.Millisecond)
	stopLoad(t, l)
	if n := b.RequestCount() - was; n != 0 {
		t.Errorf("%d requests to a box that drains", n)
	}
	r.ChangeLog.Purge(7, uint64(time.Now().UnixMilli()))
	must(t, "purge heard")(r.WaitUntil("counted", waitTimeout, func() (bool, string) {
		requireNoError(t, deaf.Signal(syscall.SIGUSR1))
		return deaf.CountLogLines(`"fleet_purges_taken":1`) > 0, ""
	}))
	code, body, err := r.Routers[0].CallAdmin("POST", "/caches/disable/s-00000003")
	if code != 200 {
		t.Fatalf("%d %s %v", code, body, err)
	}
	must(t, "ban holds at all")(r.WaitForBan(waitTimeout, "s-00000003", true, r.Routers...))
	must(t, "and is followed")(r.WaitUntil("two boxes out of rotation", waitTimeout, out("2")))
	r.Proxy.Heal()
	draining.Phase = 0
	r.ChangeLog.UpdateEndpoints(draining)
	must(t, "its own log rules again")(r.WaitUntil("one box out of rotation", waitTimeout, out("1")))
}

// Across a cut one side bans and the other bans and enables the same box: when it heals
// all hold the ban, since the enable did not know it. An enable that all know ends it,
// also for one that was stopped meanwhile.
func TestBanOutlivesEnableThatDidNotKnowIt(t *testing.T) {
	r := startFleet(t, Options{Routers: 6, Servers: 2, Seed: 10})
	a, b := r.Routers[:3], r.Routers[3:]
	door := func(x *Router, what string) {
		t.Helper()
		if code, body, err := x.CallAdmin("POST", "/caches/"+what+"/s-00000001"); code != 200 {
			t.Fatalf("%s at %s: %d %s %v", what, x.Name, code, body, err)
		}
	}
	for _, x := range a {
		for _, y := range b {
			r.Proxy.SetBoth(x.ProxyName(), y.ProxyName(), faultproxy.Fault{Partitioned: true})
		}
	}
	door(a[0], "disable")
	door(b[0], "disable")
	door(b[0], "enable")
	must(t, "one side bans")(r.WaitForBan(waitTimeout, "s-00000001", true, a...))
	must(t, "the other does not")(r.WaitForBan(waitTimeout, "s-00000001", false, b...))
	r.Proxy.Heal()
	must(t, "healed, all ban")(r.WaitForBan(waitTimeout, "s-00000001", true, r.Routers...))
	must(t, "all together")(r.WaitForConnectivity(waitTimeout, "together", r.Routers...))
	x := r.Routers[5]
	requireNoError(t, x.Pause())
	must(t, "stopped one failed")(r.WaitForState(waitTimeout, x, "failed", r.Running(x)...))
	door(r.Routers[1], "enable")
	must(t, "enabled")(r.WaitForBan(waitTimeout, "s-00000001", false, r.Running(x)...))
	requireNoError(t, x.Resume())
	must(t, "and for the one that was stopped")(r.WaitForBan(waitTimeout, "s-00000001", false, r.Routers...))
}
