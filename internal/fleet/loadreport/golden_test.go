package loadreport

import (
	"math"
	"testing"

	"garnetline/internal/clock"
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/golden"
	"garnetline/internal/metrics"
	"garnetline/routing"
)

// Routers of several releases run side by side: the packet of load reports stays as it is.
// UPDATE_GOLDEN=1 rewrites testdata.
func TestReportFormat(t *testing.T) {
	const now = 5000.0
	nan := math.NaN()
	sent := map[routing.ServerID]report{
		0:       {0, routing.LoadReport{Inflight: 3, CPUUtilization: 0.25, HitRatio: 0.875, LinkUtilization: 0.5}, now - 20},
		7:       {7, routing.LoadReport{Inflight: nan, CPUUtilization: 0, HitRatio: nan, LinkUtilization: 1}, now},
		1 << 33: {1 << 33, routing.LoadReport{Inflight: nan, CPUUtilization: nan, HitRatio: nan, LinkUtilization: nan}, now - 300},
	}
	var packet []byte
	sender := New(Options{
		Zone: "z", Clock: clock.NewBoot(), Metrics: metrics.New(),
		ZonePeers: func() []membership.ID { return []membership.ID{2} },
		Send:      func(_ membership.ID, _ fragment.Channel, b []byte) { packet = b },
	})
	for id, r := range sent {
		sender.unsent[id] = r
	}
	sender.sendReports(now, 300)
	golden.Compare(t, "reports.bin", packet)

	same := func(a, b float64) bool { return a == b || math.IsNaN(a) && math.IsNaN(b) }
	read := 0
	receiver := New(Options{Zone: "z", Clock: clock.NewBoot(), Metrics: metrics.New(), ReportLoad: func(id routing.ServerID, got routing.LoadReport, age float64) {
		read++
		want := sent[id].Load
		if !same(got.Inflight, want.Inflight) || !same(got.CPUUtilization, want.CPUUtilization) || !same(got.HitRatio, want.HitRatio) || !same(got.LinkUtilization, want.LinkUtilization) || age != now-sent[id].MeasuredAt {
			t.Errorf("%v read back: %+v, %v ms old", id, got, age)
		}
	}})
	receiver.Receive(golden.Read(t, "reports.bin"))
	if read != len(sent) {
		t.Errorf("%d reports read back, want %d", read, len(sent))
	}
	if name := LeaseName("lyon"); name != "probe/lyon" {
		t.Errorf("the lease is called %q in the register", name)
	}
}
