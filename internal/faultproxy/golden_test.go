package faultproxy

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"garnetline/internal/golden"
)

// goldenFaults are the faults whose random draws the golden files record. No fault in the list
// limits the throughput, since the delay under a throughput limit depends on the real clock.
var goldenFaults = []Fault{
	{},
	{Loss: 0.3},
	{Duplicate: 0.3},
	{Reorder: 0.3},
	{Corrupt: 0.5},
	{Delay: 12.5, Jitter: 7},
	{Partitioned: true, Loss: 0.5},
	{Loss: 0.2, Duplicate: 0.2, Reorder: 0.2, Corrupt: 0.2, Delay: 1, Jitter: 10},
}

// TestGoldenPackets checks that a seed always has the same effects on datagrams. A failure found in
// an experiment can therefore be reproduced from its seed.
func TestGoldenPackets(t *testing.T) {
	sender := netip.MustParseAddrPort("127.0.0.1:7001")
	proxy := New(5)
	proxy.senders[sender] = "a"
	var text bytes.Buffer
	for _, fault := range goldenFaults {
		proxy.Set("a", "b", fault)
		fmt.Fprintf(&text, "%v\n", fault)
		for i := range 20 {
			packet := fmt.Appendf(nil, "%03d", i)
			delays := proxy.datagramDelays(sender, "b", packet)
			fmt.Fprintf(&text, "  %x %v\n", packet, delays)
		}
	}
	empty := proxy.datagramDelays(sender, "b", nil)
	fmt.Fprintf(&text, "empty %v\n%+v\n", empty, proxy.Counters("a", "b"))
	golden.Compare(t, "packets.txt", text.Bytes())
}

// TestGoldenStreamPieces checks that a seed always has the same effects on the pieces of a stream.
func TestGoldenStreamPieces(t *testing.T) {
	proxy := New(6)
	dir := direction{from: "a", to: "b"}
	var text bytes.Buffer
	for _, fault := range []Fault{{}, {Corrupt: 0.5}, {Loss: 0.1, Corrupt: 0.3, Jitter: 0.1}, {HalfClosed: true, Loss: 0.2}} {
		proxy.Set("a", "b", fault)
		fmt.Fprintf(&text, "%v\n", fault)
		for i := range 20 {
			piece := fmt.Appendf(nil, "%03d", i)
			passed := proxy.waitToForward(dir, len(piece))
			if passed {
				proxy.corruptPiece(dir, piece)
			}
			fmt.Fprintf(&text, "  %x %t lost=%d\n", piece, passed, proxy.Counters("a", "b").Lost)
		}
	}
	fmt.Fprintf(&text, "%+v\n", proxy.Counters("a", "b"))
	golden.Compare(t, "pieces.txt", text.Bytes())
}

// TestGoldenSchedule checks that the random schedules of two seeds stay the same.
func TestGoldenSchedule(t *testing.T) {
	var text bytes.Buffer
	for _, seed := range []uint64{1, 7} {
		fmt.Fprintf(&text, "seed %d\n", seed)
		for _, step := range RandomSchedule(seed, []string{"x", "y", "z"}, goldenFaults[1:], 15, 10*time.Second) {
			fmt.Fprintf(&text, "  %d %s %s %v\n", int64(step.At), step.From, step.To, step.Fault)
		}
	}
	golden.Compare(t, "schedule.txt", text.Bytes())
}

// TestGoldenFaultText checks that the text form of faults stays the same. The logs of experiments
// contain this text.
func TestGoldenFaultText(t *testing.T) {
	var text bytes.Buffer
	for _, fault := range append(goldenFaults, Fault{HalfClosed: true, BytesPerSecond: 300}) {
		fmt.Fprintln(&text, fault)
	}
	golden.Compare(t, "faults.txt", text.Bytes())
}
