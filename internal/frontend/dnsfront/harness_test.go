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

// purgeRetention is how long the DNS server names no cache for an object after a purge of that
// object.
const purgeRetention = 6 * time.Second

// exchangeTimeout bounds how long a test waits for a reply.
const exchangeTimeout = 5 * time.Second

// startTime is the initial time of the clock of newHarness, in ms.
const startTime = 1.7e12

// harness runs a Server on loopback sockets and its dispatcher on a manual clock. The test
// publishes the endpoint list.
type harness struct {
	t          *testing.T
	clock      *clock.Manual
	dispatcher *dispatch.Dispatcher
	addr       string
	guard      atomic.Pointer[routing.Guard]
	updates    chan platformconfig.WatchEvent // receives each change that the dispatcher has applied
}

// UpdateEndpoints records a change of the endpoint list. The dispatcher calls it for each change.
func (h *harness) UpdateEndpoints(event platformconfig.WatchEvent) { h.updates <- event }

// Kinds of servers in testSettings.
const (
	cacheKind = iota
	parentKind
	originKind
	kindCount
)

// testSettings returns settings with one zone and two classes: "part" for reads and "form" for
// writes.
func testSettings() routing.Settings {
	slowStart := routing.SlowStart{
		InitialCapacity: 0.15,
		Duration:        16 * time.Second,
		OverloadFactor:  3,
		OverloadWindow:  1500 * time.Millisecond,
	}
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
		Kinds:           kindCount,
		ParentKind:      parentKind,
		OriginKind:      originKind,
		RoutersByZone:   []int{1},
		Routers:         1,
		MaxAttempts:     6,
		MaxRetryAfter:   time.Second,
		CanCancel:       true,
		CanJoinFill:     true,
		PurgeRetention:  purgeRetention,
		CacheSlowStart:  slowStart,
		ParentSlowStart: slowStart,
		Classes:         []routing.Class{read, write},
	}
}

// newHarness starts a server and a dispatcher with testSettings. Before the start, the functions in
// modify may change the settings.
func newHarness(t *testing.T, modify ...func(*routing.Settings)) *harness {
	t.Helper()
	harness := &harness{t: t, clock: clock.NewManual(startTime), updates: make(chan platformconfig.WatchEvent, 1)}
	settings := testSettings()
	for _, apply := range modify {
		apply(&settings)
	}
	var err error
	if harness.dispatcher, err = dispatch.New(harness.clock, settings, 1, metrics.New()); err != nil {
		t.Fatal(err)
	}
	server := New(Options{
		Config:     Config{Listen: "127.0.0.1:0", Zone: testZone, TimeoutMs: 1000, MaxInflight: 64, MaxConnections: 4},
		Clock:      harness.clock,
		Dispatcher: harness.dispatcher,
		Classes:    func() []routing.Class { return settings.Classes },
		Guard:      harness.guard.Load,
		Metrics:    metrics.New(),
	})
	harness.dispatcher.AddListeners(server, harness)
	harness.runDispatcher()
	addr, err := server.Start(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	harness.addr = addr.String()
	t.Cleanup(func() {
		if err := server.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return harness
}

// runDispatcher starts the dispatcher and stops it at the end of the test. newHarness calls it
// before it registers the cleanup of the server. Cleanups run in reverse order, so the server stops
// before the dispatcher.
func (h *harness) runDispatcher() {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		h.dispatcher.Run(ctx)
	}()
	h.t.Cleanup(func() {
		cancel()
		<-stopped
	})
}

// publish changes the endpoint list in the order that the watcher uses. It first replaces the
// guard, and then passes the watch event to the dispatcher.
func (h *harness) publish(snapshot bool, endpoints ...platformconfig.Endpoint) {
	guard := routing.Guard{Ready: map[routing.ServerID]bool{}, PurgeRetention: purgeRetention}
	if old := h.guard.Load(); old != nil && !snapshot {
		guard.Purges = old.Purges
		for id := range old.Ready {
			guard.Ready[id] = true
		}
	}
	for _, changed := range endpoints {
		guard.Ready[changed.ID] = changed.Phase == routing.Ready
	}
	h.guard.Store(&guard)
	h.dispatcher.HandleWatchEvent(platformconfig.WatchEvent{ListUpdate: true, Snapshot: snapshot, Endpoints: endpoints})
	<-h.updates
}

// purge publishes a purge of an object, or of a group if the object is 0.
func (h *harness) purge(object routing.ObjectID, group int) {
	guard := *h.guard.Load()
	guard.Purges = append(guard.Purges, routing.PurgeRecord{Object: object, Group: group, At: clock.Duration(h.clock.Now())})
	h.guard.Store(&guard)
	purge := &platformconfig.Purge{Object: object, Group: group, At: h.clock.Now()}
	h.dispatcher.HandleWatchEvent(platformconfig.WatchEvent{Purge: purge})
}

// endpoint returns the entry of a server in the endpoint list. Its address is 127.0.9.ID.
func endpoint(id, kind int, phase routing.Phase) platformconfig.Endpoint {
	return platformconfig.Endpoint{
		Server: routing.Server{ID: routing.ServerID(id), Kind: kind, Phase: phase, Weight: 1},
		Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, byte(id)}), 5050),
	}
}

// listServers publishes an endpoint list of three caches, a parent and an origin.
func (h *harness) listServers() {
	h.publish(true,
		endpoint(1, cacheKind, routing.Ready),
		endpoint(2, cacheKind, routing.Ready),
		endpoint(3, cacheKind, routing.Ready),
		endpoint(8, parentKind, routing.Ready),
		endpoint(9, originKind, routing.Ready),
	)
}

// listOneCache publishes an endpoint list of one cache, a parent and an origin.
func (h *harness) listOneCache() {
	h.publish(true,
		endpoint(1, cacheKind, routing.Ready),
		endpoint(8, parentKind, routing.Ready),
		endpoint(9, originKind, routing.Ready),
	)
}

// queryName returns a valid name that is different for each number.
func queryName(i int) string { return fmt.Sprintf("%d.%016x.g%d.part.%s", i%3, 1+i, i%7, testZone) }

// query sends a question over UDP or TCP and returns the reply.
func (h *harness) query(t *testing.T, network, name string, recordType uint16) *dns.Msg {
	t.Helper()
	client := &dns.Client{Net: network, Timeout: exchangeTimeout}
	reply, _, err := client.ExchangeContext(t.Context(), new(dns.Msg).SetQuestion(name, recordType), h.addr)
	if err != nil {
		t.Fatalf("%s %s: %v", network, name, err)
	}
	return reply
}

// answeredAddress returns the first address in the answer section of a reply, or "" if that section
// has no address.
func answeredAddress(reply *dns.Msg) string {
	for _, record := range reply.Answer {
		if address, ok := record.(*dns.A); ok {
			return address.A.String()
		}
	}
	return ""
}

// exchangeRaw sends the bytes of a query and returns the bytes of the reply.
func (h *harness) exchangeRaw(t *testing.T, network string, query []byte) []byte {
	t.Helper()
	netConn, err := new(net.Dialer).DialContext(t.Context(), network, h.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := netConn.Close(); err != nil {
			t.Error(err)
		}
	}()
	if err := netConn.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		t.Fatal(err)
	}
	conn := &dns.Conn{Conn: netConn}
	if _, err := conn.Write(query); err != nil {
		t.Fatal(err)
	}
	reply := make([]byte, 4096)
	n, err := conn.Read(reply)
	if err != nil {
		t.Fatal(err)
	}
	return reply[:n]
}
