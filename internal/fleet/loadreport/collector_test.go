package loadreport

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fakeserver"
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/zonelease"
	"garnetline/internal/metrics"
	"garnetline/routing"
)

// The lease holder polls the servers and sends its peers several reports in one packet. A peer
// accepts the reports with their age, and rejects reports with an older fencing token. A router
// without the lease does not poll.
func TestReportsAreBatched(t *testing.T) {
	packets := holderPackets(t, startServers(t, 5), 20)
	received := map[routing.ServerID]int{}
	peer := New(Options{
		Options: zonelease.Options{Zone: "z", Clock: clock.NewBoot(), Metrics: metrics.New()},
		ReportLoad: func(server routing.ServerID, load routing.LoadReport, age float64) {
			received[server]++
			if load.CPUUtilization != 0.5 || !math.IsNaN(load.HitRatio) || age < 0 || age > 10_000 {
				t.Errorf("server %v: got load %+v of age %v ms, want CPU utilization 0.5, no hit ratio, an age of 0 to 10000 ms", server, load, age)
			}
		},
	})
	for _, packet := range packets {
		peer.Receive(packet)
	}
	reports := 0
	for _, count := range received {
		reports += count
	}
	if len(received) != 5 || reports < 2*len(packets) {
		t.Errorf("%d packets: got reports of %d servers and %d reports in all, want 5 servers and at least two reports per packet", len(packets), len(received), reports)
	}
	withOlderToken := append([]byte{8, 6}, packets[0][2:]...)
	peer.Receive(withOlderToken)
	if peer.options.Metrics.Counter("reports_refused").Load() == 0 {
		t.Error("reports with an older fencing token accepted")
	}
	peer.Receive([]byte{1, 2, 3})
}

// holderPackets runs a router that first has no lease and then gets it with fencing token 7. It
// returns the packets that the router sends to its peers. It waits until there are at least
// minPackets packets, for up to 20 s.
func holderPackets(t *testing.T, servers []Server, minPackets int) [][]byte {
	t.Helper()
	var fencingToken atomic.Uint64
	var packetsMu sync.Mutex
	var packets [][]byte
	holder := New(Options{
		Options: zonelease.Options{
			Zone:    "z",
			Clock:   clock.NewBoot(),
			Metrics: metrics.New(),
			Valid: func(string) (uint64, bool) {
				current := fencingToken.Load()
				return current, current != 0
			},
			ZonePeers: func() []membership.ID { return []membership.ID{2} },
			Send: func(_ membership.ID, _ fragment.Channel, packet []byte) {
				packetsMu.Lock()
				defer packetsMu.Unlock()
				packets = append(packets, packet)
			},
		},
		MinInterval: 20,
		MaxInterval: 20,
		Servers:     func() []Server { return servers },
		ReportLoad:  func(routing.ServerID, routing.LoadReport, float64) {},
	})
	ctx, stop := context.WithCancel(context.Background())
	go holder.Run(ctx)
	sentPackets := func() int {
		packetsMu.Lock()
		defer packetsMu.Unlock()
		return len(packets)
	}
	time.Sleep(100 * time.Millisecond)
	if sentPackets() != 0 || holder.options.Metrics.Counter("probes_sent").Load() != 0 {
		t.Error("polled the servers without the lease")
	}
	fencingToken.Store(7)
	for end := time.Now().Add(20 * time.Second); sentPackets() < minPackets && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	stop()
	<-holder.Stopped()
	return packets
}

// startServers starts fake servers that report a CPU utilization of 0.5.
func startServers(t *testing.T, count int) []Server {
	t.Helper()
	var servers []Server
	for i := range count {
		fake, err := fakeserver.NewServer(nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = fake.Close() })
		fake.SetLoadReport(func(string) string { return "l=util:0.5" })
		servers = append(servers, Server{ID: routing.ServerID(i), Address: netip.MustParseAddrPort(fake.Addr().String())})
	}
	return servers
}
