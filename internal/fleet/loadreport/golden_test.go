package loadreport

import (
	"maps"
	"math"
	"testing"

	"garnetline/internal/clock"
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/zonelease"
	"garnetline/internal/golden"
	"garnetline/internal/metrics"
	"garnetline/routing"
)

// The encoding of load reports does not change, since routers of several releases run side by
// side. UPDATE_GOLDEN=1 rewrites testdata.
func TestReportFormat(t *testing.T) {
	const now = 5000.0
	nan := math.NaN()
	sent := map[routing.ServerID]measurement{
		0: {
			load:       routing.LoadReport{Inflight: 3, CPUUtilization: 0.25, HitRatio: 0.875, LinkUtilization: 0.5},
			measuredAt: now - 20,
		},
		7: {
			load:       routing.LoadReport{Inflight: nan, CPUUtilization: 0, HitRatio: nan, LinkUtilization: 1},
			measuredAt: now,
		},
		1 << 33: {
			load:       routing.LoadReport{Inflight: nan, CPUUtilization: nan, HitRatio: nan, LinkUtilization: nan},
			measuredAt: now - 300,
		},
	}
	var packet []byte
	sender := New(Options{Options: zonelease.Options{
		Zone:      "z",
		Clock:     clock.NewBoot(),
		Metrics:   metrics.New(),
		ZonePeers: func() []membership.ID { return []membership.ID{2} },
		Send:      func(_ membership.ID, _ fragment.Channel, b []byte) { packet = b },
	}})
	maps.Copy(sender.unsent, sent)
	sender.sendReports(now, 300)
	golden.Compare(t, "reports.bin", packet)

	equalOrBothNaN := func(a, b float64) bool { return a == b || math.IsNaN(a) && math.IsNaN(b) }
	received := 0
	receiver := New(Options{
		Options: zonelease.Options{Zone: "z", Clock: clock.NewBoot(), Metrics: metrics.New()},
		ReportLoad: func(server routing.ServerID, got routing.LoadReport, age float64) {
			received++
			want := sent[server].load
			if !equalOrBothNaN(got.Inflight, want.Inflight) || !equalOrBothNaN(got.CPUUtilization, want.CPUUtilization) ||
				!equalOrBothNaN(got.HitRatio, want.HitRatio) || !equalOrBothNaN(got.LinkUtilization, want.LinkUtilization) ||
				age != now-sent[server].measuredAt {
				t.Errorf("server %v read back: got load %+v of age %v ms, want the report that was encoded", server, got, age)
			}
		},
	})
	receiver.Receive(golden.Read(t, "reports.bin"))
	if received != len(sent) {
		t.Errorf("got %d reports read back, want %d", received, len(sent))
	}
	if name := LeaseName("lyon"); name != "probe/lyon" {
		t.Errorf("got lease name %q, want probe/lyon", name)
	}
}
