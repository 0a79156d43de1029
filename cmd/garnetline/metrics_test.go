package main

import (
	"bytes"
	"net/netip"
	"testing"

	"garnetline/internal/admin"
	"garnetline/internal/clock"
	"garnetline/internal/discovery"
	"garnetline/internal/fleet"
	"garnetline/internal/fleet/packetcrypto"
	"garnetline/internal/fleet/transport"
	"garnetline/internal/golden"
	"garnetline/internal/logs"
	"garnetline/internal/metrics"
)

// TestMetricsPage compares the body of GET /metrics byte by byte with a golden file. Operators'
// monitoring depends on the names, types and labels in it. UPDATE_GOLDEN=1 rewrites the golden
// file.
func TestMetricsPage(t *testing.T) {
	ring, err := packetcrypto.NewKeyring("f", []string{"sixteen bytes or more"})
	if err != nil {
		t.Fatal(err)
	}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	registry := metrics.New()
	registry.Add("fleet_packets_in", 17)
	fleetTransport, err := transport.New(transport.Options{Settings: transport.Settings{FleetName: "f", ListenAddr: loopback, AdvertiseAddr: loopback, Keyring: ring, Node: fleet.DefaultSettings(),
		PacketsPerSecond: 500, BytesPerSecond: 100_000}, Name: "r", Zone: "z", StateDir: t.TempDir(), Clock: clock.NewManual(1.7e12), Log: logs.New(&bytes.Buffer{}), Metrics: registry})
	if err != nil {
		t.Fatal(err)
	}
	page := admin.Metrics{Classes: []admin.ClassMetrics{{Name: "part", Served: 1, Rejected: 2, Failed: 3}, {Name: "form", Served: 4, Rejected: 5, Failed: 6}},
		Relayed: 7, OpenRequests: 8, ListedServers: 9, UnavailableServers: 10, ReloadsAccepted: 11, ReloadsRejected: 12, PendingTimers: 13, HeapBytes: 14, WatchFrames: 15, WatchStale: 1, WatchStaleSince: 16, WatchStaleReason: discovery.ReasonSilent}.AppendPrometheus(nil)
	page = (&fleetServices{Transport: fleetTransport, metrics: registry}).AppendMetrics(page)
	golden.Compare(t, "metrics.golden", page)
}
