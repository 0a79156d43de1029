package dnsfront

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/miekg/dns"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

const testZone = "garnet.test."

// harness is a front on loopback sockets over a real core, with a clock that the
// test sets and a list that the test tells.
type harness struct {
	t          *testing.T
	clock      *clock.Manual
	dispatcher *dispatch.Dispatcher
	addr       string
	guard      atomic.Pointer[routing.Guard]
	listed     chan platformconfig.WatchEvent
}

func (r *harness) UpdateEndpoints(ev platformconfig.WatchEvent) { r.listed <- ev }

// newHarness makes a rig; change, where it is given, changes the module's settings.
func newHarness(t *testing.T, change ...func(*routing.Settings)) *harness {
	r := &harness{t: t, clock: clock.NewManual(1.7e12), listed: make(chan platformconfig.WatchEvent, 1)}
	ramp := routing.SlowStart{InitialCapacity: 0.15, Duration: 16 * time.Second, OverloadFactor: 3, OverloadWindow: 1500 * time.Millisecond}
	set := routing.Settings{Zones: 1, Kinds: 3, ParentKind: 1, OriginKind: 2, RoutersByZone: []int{1}, Routers: 1, MaxAttempts: 6,
		MaxRetryAfter: time.Second, CanCancel: true, CanJoinFill: true, PurgeRetention: 6 * time.Second, CacheSlowStart: ramp, ParentSlowStart: ramp,
		Classes: []routing.Class{{Name: "part", Idempotency: routing.Idempotent, LatencyObjective: 400 * time.Millisecond, Deadline: 4 * time.Second, PriorityWeight: 2},
			{Name: "form", Idempotency: routing.IdempotentWithKey, LatencyObjective: 400 * time.Millisecond, Deadline: 4 * time.Second, PriorityWeight: 2, Write: true}}}
	for _, f := range change {
		f(&set)
	}
	var err error
	if r.dispatcher, err = dispatch.New(r.clock, set, 1, metrics.New()); err != nil {
		t.Fatal(err)
	}
	s := New(Options{Config: Config{Listen: "127.0.0.1:0", Zone: testZone, TimeoutMs: 1000, MaxInflight: 64, MaxConnections: 4}, Clock: r.clock,
		Dispatcher: r.dispatcher, Classes: func() []routing.Class { return set.Classes }, Guard: r.guard.Load, Metrics: metrics.New()})
	r.dispatcher.AddListeners(s, r)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		r.dispatcher.Run(ctx)
		close(done)
	}()
	at, err := s.Start()
	if err != nil {
		t.Fatal(err)
	}
	r.addr = at.String()
	t.Cleanup(func() {
		if err := s.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		stop()
		<-done
	})
	return r
}

// publish changes the list as the change log would: the guard first, then the core.
func (r *harness) publish(whole bool, hosts ...platformconfig.Endpoint) {
	g := routing.Guard{Ready: map[routing.ServerID]bool{}, PurgeRetention: 6 * time.Second}
	if old := r.guard.Load(); old != nil && !whole {
		g.Purges = old.Purges
		for id := range old.Ready {
			g.Ready[id] = true
		}
	}
	for _, h := range hosts {
		g.Ready[h.ID] = h.Phase == routing.Ready
	}
	r.guard.Store(&g)
	r.dispatcher.HandleWatchEvent(platformconfig.WatchEvent{ListUpdate: true, Snapshot: whole, Endpoints: hosts})
	<-r.listed
}

func (r *harness) purge(object routing.ObjectID, group int) {
	g := *r.guard.Load()
	g.Purges = append(g.Purges, routing.PurgeRecord{Object: object, Group: group, At: clock.Duration(r.clock.Now())})
	r.guard.Store(&g)
	r.dispatcher.HandleWatchEvent(platformconfig.WatchEvent{Purge: &platformconfig.Purge{Object: object, Group: group, At: r.clock.Now()}})
}

func endpoint(id, kind int, p routing.Phase) platformconfig.Endpoint {
	return platformconfig.Endpoint{Server: routing.Server{ID: routing.ServerID(id), Kind: kind, Phase: p, Weight: 1},
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, byte(id)}), 5050)}
}

func (r *harness) listServers() {
	r.publish(true, endpoint(1, 0, routing.Ready), endpoint(2, 0, routing.Ready), endpoint(3, 0, routing.Ready), endpoint(8, 1, routing.Ready), endpoint(9, 2, routing.Ready))
}

func queryName(i int) string { return fmt.Sprintf("%d.%016x.g%d.part.%s", i%3, 1+i, i%7, testZone) }

// query is a stand-in client: one question over UDP or TCP.
func (r *harness) query(network, name string, kind uint16) *dns.Msg {
	r.t.Helper()
	m, _, err := (&dns.Client{Net: network, Timeout: 5 * time.Second}).Exchange(new(dns.Msg).SetQuestion(name, kind), r.addr)
	if err != nil {
		r.t.Fatalf("%s %s: %v", network, name, err)
	}
	return m
}

func answeredAddress(m *dns.Msg) string {
	for _, rr := range m.Answer {
		if a, ok := rr.(*dns.A); ok {
			return a.A.String()
		}
	}
	return ""
}

// resolver is a stand-in for a school's resolver: it keeps an answer for its
// TTL, by the test's clock, and serves it from there.
type resolver struct {
	harness *harness
	cache   map[string]cachedAnswer
}

type cachedAnswer struct {
	addr      string
	expiresAt float64
}

func (s *resolver) resolve(name string) string {
	if k, ok := s.cache[name]; ok && s.harness.clock.Now() < k.expiresAt {
		return k.addr
	}
	m := s.harness.query("udp", name, dns.TypeA)
	addr := answeredAddress(m)
	if addr != "" {
		s.cache[name] = cachedAnswer{addr, s.harness.clock.Now() + 1000*float64(m.Answer[0].Header().Ttl)}
	}
	return addr
}

// A resolver that caches for the TTL names no drained box, a second after it
// was told or any time later.
func TestDrainingServersAreNotAnswered(t *testing.T) {
	r := newHarness(t)
	r.listServers()
	res := &resolver{harness: r, cache: map[string]cachedAnswer{}}
	named := map[string]bool{}
	for i := range 60 {
		named[res.resolve(queryName(i))] = true
	}
	if !named["127.0.9.1"] || !named["127.0.9.2"] || !named["127.0.9.3"] || len(named) != 3 {
		t.Fatalf("named %v, want all three boxes", named)
	}
	r.publish(false, endpoint(2, 0, routing.Draining))
	for range 4 {
		r.clock.Advance(300)
		for i := range 60 {
			if got := res.resolve(queryName(i)); got == "127.0.9.2" || got == "" {
				t.Fatalf("%.0f ms after the drain: %q", r.clock.Now()-1.7e12, got)
			}
		}
	}
	r.publish(false, endpoint(1, 0, routing.Removed), endpoint(3, 0, routing.Draining))
	if m := r.query("tcp", queryName(1), dns.TypeA); m.Rcode != dns.RcodeServerFailure {
		t.Errorf("with no box left: %v", dns.RcodeToString[m.Rcode])
	}
}

// A box that has just started is named no more often than it may be sent to,
// counted with the lookups alone.
func TestLookupsCountAgainstWarmingServers(t *testing.T) {
	r := newHarness(t)
	r.publish(true, endpoint(1, 0, routing.Ready), endpoint(8, 1, routing.Ready), endpoint(9, 2, routing.Ready))
	cold := endpoint(2, 0, routing.Ready)
	cold.StartedAt = clock.Duration(r.clock.Now())
	r.publish(false, cold)
	for i := range 200 { // nothing was seen carried: nothing can be afforded
		r.clock.Advance(5)
		if got := answeredAddress(r.query("udp", queryName(i), dns.TypeA)); got != "127.0.9.1" {
			t.Fatalf("lookup %d names %q while the box is cold", i, got)
		}
	}
	r.clock.Advance(20_000)
	warm := 0
	for i := range 60 {
		if answeredAddress(r.query("udp", queryName(i), dns.TypeA)) == "127.0.9.2" {
			warm++
		}
	}
	if warm == 0 {
		t.Error("the box is never named once it is warm")
	}
}

// Where weights tell what a box can carry, a cold one is named for its part of
// the lookups, within the budget of each window.
func TestWarmingServersStayWithinTheirBudget(t *testing.T) {
	r := newHarness(t, func(s *routing.Settings) { s.WeightIsCapacity, s.TransferKBPerSecond = true, 1000 })
	heavy := func(id, kind int, started float64) platformconfig.Endpoint {
		h := endpoint(id, kind, routing.Ready)
		h.Weight, h.StartedAt = 10, clock.Duration(started)
		return h
	}
	r.publish(true, heavy(1, 0, 0), heavy(8, 1, 0), heavy(9, 2, 0))
	r.publish(false, heavy(2, 0, r.clock.Now()))
	cold := 0
	for i := range 150 {
		r.clock.Advance(10)
		if answeredAddress(r.query("udp", queryName(i), dns.TypeA)) == "127.0.9.2" {
			cold++
		}
	}
	// In 1.5 s it may be sent 3 times what it can do: 0.15 to 0.23 of 10
	// transfers at a time, each of 0.4 s as the class's aim says: 3 * 0.23 * 10 *
	// 1.5 / 0.4 at the most.
	if most := 25; cold == 0 || cold > most {
		t.Errorf("the cold box was named %d times in its first window, want 1 to %d", cold, most)
	}
}

// While a purge may leave old copies no box is named for what it covers: an
// answer can't say how old a copy may be.
func TestPurge(t *testing.T) {
	r := newHarness(t)
	r.listServers()
	part := func(object, group string) string { return "0." + object + group + ".part." + testZone }
	const hit, other = "00000000000000aa", "00000000000000bb"
	check := func(when, name string, want int) {
		t.Helper()
		if m := r.query("udp", name, dns.TypeA); m.Rcode != want || (want == dns.RcodeSuccess) != (answeredAddress(m) != "") {
			t.Errorf("%s, %s: %v %v", when, name, dns.RcodeToString[m.Rcode], m.Answer)
		}
	}
	r.purge(0xaa, 0)
	check("purged object", part(hit, ".g3"), dns.RcodeServerFailure)
	check("another object", part(other, ".g3"), dns.RcodeSuccess)
	r.purge(0, 5)
	check("purged group", part(other, ".g5"), dns.RcodeServerFailure)
	check("another group", part(other, ".g4"), dns.RcodeSuccess)
	check("a group that is not told", part(other, ""), dns.RcodeServerFailure)
	check("a write", "0."+other+".g5.form."+testZone, dns.RcodeSuccess)
	r.clock.Advance(6001)
	check("when no old copy is left", part(hit, ".g5"), dns.RcodeSuccess)
}

// SRV names the port and a target that resolves for as long as it may be used.
func TestSRV(t *testing.T) {
	r := newHarness(t)
	r.listServers()
	m := r.query("udp", queryName(4), dns.TypeSRV)
	srv, ok := m.Answer[0].(*dns.SRV)
	if !ok || srv.Port != 5050 || srv.Hdr.Ttl != 0 || len(m.Extra) != 1 {
		t.Fatalf("%v", m)
	}
	want := m.Extra[0].(*dns.A).A.String()
	if got := answeredAddress(r.query("udp", srv.Target, dns.TypeA)); got != want {
		t.Errorf("the target resolves to %q, want %q", got, want)
	}
	r.clock.Advance(1500)
	if m := r.query("udp", srv.Target, dns.TypeA); m.Rcode != dns.RcodeNameError {
		t.Errorf("the target still resolves: %v", m)
	}
}

func TestOtherQueries(t *testing.T) {
	r := newHarness(t)
	r.listServers()
	for _, c := range []struct {
		name string
		kind uint16
		want int
	}{
		{"example.org.", dns.TypeA, dns.RcodeRefused},
		{"notgarnet.test.", dns.TypeA, dns.RcodeRefused},
		{testZone, dns.TypeSOA, dns.RcodeSuccess},
		{strings.ToUpper(queryName(1)), dns.TypeA, dns.RcodeSuccess},
		{queryName(1), dns.TypeAAAA, dns.RcodeSuccess},
		{"1.00000000000000aa.nothing." + testZone, dns.TypeA, dns.RcodeNameError},
		{"s-00000001." + testZone, dns.TypeA, dns.RcodeNameError},
		{"x.00000000000000aa.part." + testZone, dns.TypeA, dns.RcodeFormatError},
		{"1.aa.part." + testZone, dns.TypeA, dns.RcodeFormatError},
		{"1.00000000000000aa.g999.part." + testZone, dns.TypeA, dns.RcodeFormatError},
		{"part." + testZone, dns.TypeA, dns.RcodeFormatError},
	} {
		for _, network := range []string{"udp", "tcp"} {
			if m := r.query(network, c.name, c.kind); m.Rcode != c.want {
				t.Errorf("%s %s: %s, want %s", network, c.name, dns.RcodeToString[m.Rcode], dns.RcodeToString[c.want])
			}
		}
	}
	conn, err := net.Dial("udp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	broken := append([]byte{0x12, 0x34, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0}, 0x3f, 'x') // a question cut short
	if _, err := conn.Write(broken); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 512)
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := conn.Read(b); err != nil || n < 4 || int(b[3]&15) != dns.RcodeFormatError {
		t.Errorf("a broken message: % x, %v", b[:n], err)
	}
}

// FuzzName: any name is parsed or refused, and what is parsed names the same
// again.
func FuzzName(f *testing.F) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 16 {
		f.Add(fmt.Sprintf("%d.%016x.g%d.part", rng.IntN(100), rng.Uint64(), rng.IntN(300)))
	}
	f.Add("..part")
	s := New(Options{Classes: func() []routing.Class { return []routing.Class{{Name: "part"}} }})
	f.Fuzz(func(t *testing.T, rest string) {
		l, rcode := s.parseName(rest)
		if rcode != dns.RcodeSuccess {
			return
		}
		again := fmt.Sprintf("%d.%016x.part", l.chunk, uint64(l.object))
		if l.group >= 0 {
			again = fmt.Sprintf("%d.%016x.g%d.part", l.chunk, uint64(l.object), l.group)
		}
		if l2, _ := s.parseName(again); l2 != l {
			t.Errorf("%q: %+v, then %+v", rest, l, l2)
		}
	})
}

// A key that cannot be used is named; the example in deploy can be used.
func TestLoadConfig(t *testing.T) {
	if c, err := LoadConfig(""); err != nil || c.Enabled {
		t.Errorf("without a file: %+v %v", c, err)
	}
	if c, err := LoadConfig("../../../deploy/dns.toml"); err != nil || c.Enabled || c.Zone != "garnetline.local." {
		t.Errorf("deploy/dns.toml: %+v %v", c, err)
	}
	for text, want := range map[string]string{`listen = "x"`: "listen", `zone = "."`: "zone", `patience_ms = 0`: "patience_ms",
		`max_inflight = 0`: "max_inflight", `max_connections = 0`: "max_connections", `ttl = 5`: "ttl"} {
		path := filepath.Join(t.TempDir(), "dns.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadConfig(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}
