package main

import (
	"bytes"
	"net/netip"
	"testing"

	"garnetline/internal/clock"
	"garnetline/internal/door"
	"garnetline/internal/fleet"
	"garnetline/internal/fleet/link"
	"garnetline/internal/fleet/seal"
	"garnetline/internal/golden"
	"garnetline/internal/logs"
	"garnetline/internal/stats"
)

// Guards the page /metrics, which operators' monitoring reads, to the byte: names, types and
// labels. UPDATE_GOLDEN=1 writes it anew.
func TestMetricsPage(t *testing.T) {
	ring, err := seal.New("f", []string{"sixteen bytes or more"})
	if err != nil {
		t.Fatal(err)
	}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	count := stats.New()
	count.Add("fleet_packets_in", 17)
	l, err := link.New(link.Options{Settings: link.Settings{Fleet: "f", Listen: loopback, Advertise: loopback, Ring: ring, Node: fleet.Default(),
		Packets: 500, Bytes: 100_000}, Name: "r", Zone: "z", State: t.TempDir(), Clock: clock.NewManual(1.7e12), Log: logs.New(&bytes.Buffer{}), Stats: count})
	if err != nil {
		t.Fatal(err)
	}
	page := door.Figures{Classes: []door.Class{{Name: "part", Served: 1, Refused: 2, Failed: 3}, {Name: "form", Served: 4, Refused: 5, Failed: 6}},
		Relayed: 7, Open: 8, Listed: 9, Avoided: 10, Accepted: 11, Invalid: 12}.Append(nil)
	page = (&mates{Link: l, count: count}).Append(page)
	golden.Compare(t, "metrics.golden", page)
}
