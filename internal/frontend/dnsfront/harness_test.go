package dnsfront

import (
	"context"
	"fmt"
	"net"
	"net/netip"
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

// testZone is the zone of the server under test.
const testZone = "garnet.test."

// startTime is what the clock of newHarness shows first.
const startTime = 1.7e12

// harness is a Server on loopback sockets with a dispatcher, on a manual clock. The test
// publishes the endpoint list.
type harness struct {
	t          *testing.T
	clock      *clock.Manual
	dispatcher *dispatch.Dispatcher
	addr       string
	guard      atomic.Pointer[routing.Guard]
	listed     chan platformconfig.WatchEvent
}

func (h *harness) UpdateEndpoints(ev platformconfig.WatchEvent) { h.listed <- ev }

// testSettings returns settings with one zone and two classes: part is read, form is written.
func testSettings() routing.Settings {
	slowStart := routing.SlowStart{InitialCapacity: 0.15, Duration: 16 * time.Second, OverloadFactor: 3, OverloadWindow: 1500 * time.Millisecond}
	read := routing.Class{
		Name:             "part",
		Idempotency:      routing.Idempotent,
		LatencyObjective: 400 * time.Millisecond,
		Deadline:         4 * time.Second,
		PriorityWeight:   2,
	}
	write := read
	write.Name = "form"
	write.Idempotency = routing.IdempotentWithKey
	write.Write = true
	return routing.Settings{
		Zones:           1,
		Kinds:           3,
		ParentKind:      1,
		OriginKind:      2,
		RoutersByZone:   []int{1},
		Routers:         1,
		MaxAttempts:     6,
		MaxRetryAfter:   time.Second,
		CanCancel:       true,
		CanJoinFill:     true,
		PurgeRetention:  6 * time.Second,
		CacheSlowStart:  slowStart,
		ParentSlowStart: slowStart,
		Classes:         []routing.Class{read, write},
	}
}

// newHarness starts a server and a dispatcher, whose settings change may alter.
func newHarness(t *testing.T, change ...func(*routing.Settings)) *harness {
	h := &harness{t: t, clock: clock.NewManual(startTime), listed: make(chan platformconfig.WatchEvent, 1)}
	settings := testSettings()
	for _, f := range change {
		f(&settings)
	}
	var err error
	if h.dispatcher, err = dispatch.New(h.clock, settings, 1, metrics.New()); err != nil {
		t.Fatal(err)
	}
	server := New(Options{
		Config:     Config{Listen: "127.0.0.1:0", Zone: testZone, TimeoutMs: 1000, MaxInflight: 64, MaxConnections: 4},
		Clock:      h.clock,
		Dispatcher: h.dispatcher,
		Classes:    func() []routing.Class { return settings.Classes },
		Guard:      h.guard.Load,
		Metrics:    metrics.New(),
	})
	h.dispatcher.AddListeners(server, h)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		h.dispatcher.Run(ctx)
		close(done)
	}()
	addr, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	h.addr = addr.String()
	t.Cleanup(func() {
		if err := server.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		stop()
		<-done
	})
	return h
}

// publish changes the endpoint list as the watcher does: the guard first, then the dispatcher.
func (h *harness) publish(snapshot bool, endpoints ...platformconfig.Endpoint) {
	g := routing.Guard{Ready: map[routing.ServerID]bool{}, PurgeRetention: 6 * time.Second}
	if old := h.guard.Load(); old != nil && !snapshot {
		g.Purges = old.Purges
		for id := range old.Ready {
			g.Ready[id] = true
		}
	}
	for _, changed := range endpoints {
		g.Ready[changed.ID] = changed.Phase == routing.Ready
	}
	h.guard.Store(&g)
	h.dispatcher.HandleWatchEvent(platformconfig.WatchEvent{ListUpdate: true, Snapshot: snapshot, Endpoints: endpoints})
	<-h.listed
}

// purge publishes the purge of an object, or of a group if the object is 0.
func (h *harness) purge(object routing.ObjectID, group int) {
	g := *h.guard.Load()
	g.Purges = append(g.Purges, routing.PurgeRecord{Object: object, Group: group, At: clock.Duration(h.clock.Now())})
	h.guard.Store(&g)
	h.dispatcher.HandleWatchEvent(platformconfig.WatchEvent{Purge: &platformconfig.Purge{Object: object, Group: group, At: h.clock.Now()}})
}

// endpoint returns a server whose address is 127.0.9.ID.
func endpoint(id, kind int, phase routing.Phase) platformconfig.Endpoint {
	return platformconfig.Endpoint{
		Server: routing.Server{ID: routing.ServerID(id), Kind: kind, Phase: phase, Weight: 1},
		Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, byte(id)}), 5050),
	}
}

// listServers publishes three caches, a parent and an origin.
func (h *harness) listServers() {
	h.publish(true, endpoint(1, 0, routing.Ready), endpoint(2, 0, routing.Ready), endpoint(3, 0, routing.Ready),
		endpoint(8, 1, routing.Ready), endpoint(9, 2, routing.Ready))
}

// queryName returns a name for each number.
func queryName(i int) string { return fmt.Sprintf("%d.%016x.g%d.part.%s", i%3, 1+i, i%7, testZone) }

// query sends a question over UDP or TCP and returns the reply.
func (h *harness) query(network, name string, kind uint16) *dns.Msg {
	h.t.Helper()
	m, _, err := (&dns.Client{Net: network, Timeout: 5 * time.Second}).Exchange(new(dns.Msg).SetQuestion(name, kind), h.addr)
	if err != nil {
		h.t.Fatalf("%s %s: %v", network, name, err)
	}
	return m
}

// answeredAddress returns the first address in a reply, or nothing.
func answeredAddress(m *dns.Msg) string {
	for _, rr := range m.Answer {
		if a, ok := rr.(*dns.A); ok {
			return a.A.String()
		}
	}
	return ""
}

// exchangeRaw sends a packed question and returns the packed reply.
func (h *harness) exchangeRaw(network string, query []byte) []byte {
	h.t.Helper()
	nc, err := net.Dial(network, h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(5 * time.Second))
	conn := &dns.Conn{Conn: nc}
	if _, err := conn.Write(query); err != nil {
		h.t.Fatal(err)
	}
	answer := make([]byte, 4096)
	n, err := conn.Read(answer)
	if err != nil {
		h.t.Fatal(err)
	}
	return answer[:n]
}
