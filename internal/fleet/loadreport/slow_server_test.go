package loadreport

import (
	"context"
	"net/netip"
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

// TestLoadOfSlowServerIsKnown guards against a server whose load is never known because it always answers
// polls later than the timeout.
func TestLoadOfSlowServerIsKnown(t *testing.T) {
	const needed = 700 * time.Millisecond
	fake, err := fakeserver.NewServer(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = fake.Close() }()
	fake.SetLoadReport(func(string) string {
		time.Sleep(needed)
		return "l=util:0.5"
	})
	reported := make(chan float64, 100)
	collector := New(Options{
		Options: zonelease.Options{
			Zone:      "z",
			Clock:     clock.NewBoot(),
			Metrics:   metrics.New(),
			Valid:     func(string) (uint64, bool) { return 7, true },
			ZonePeers: func() []membership.ID { return nil },
			Send:      func(membership.ID, fragment.Channel, []byte) {},
		},
		MinInterval: 20,
		MaxInterval: 20,
		Servers: func() []Server {
			return []Server{{ID: 1, Address: netip.MustParseAddrPort(fake.Addr().String())}}
		},
		ReportLoad: func(_ routing.ServerID, load routing.LoadReport, _ float64) { reported <- load.CPUUtilization },
	})
	ctx, stop := context.WithCancel(context.Background())
	go collector.Run(ctx)
	for range 2 {
		select {
		case load := <-reported:
			if load != 0.5 {
				t.Errorf("got CPU utilization %v, want 0.5", load)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("got no load of the slow server before the test timeout")
		}
	}
	if failed := collector.options.Metrics.Counter("probes_failed").Load(); failed > 3 {
		t.Errorf("got %d failed polls, want at most 3", failed)
	}
	stop()
	select {
	case <-collector.Stopped():
	case <-time.After(20 * time.Second):
		t.Error("the collector did not stop while a poll was under way")
	}
}
