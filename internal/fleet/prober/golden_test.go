package prober

import (
	"math"
	"testing"

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/fleet/carry"
	"garnetline/internal/fleet/member"
	"garnetline/internal/golden"
	"garnetline/internal/stats"
)

// Routers of several releases run side by side: the packet of load reports stays as it is.
// UPDATE_GOLDEN=1 rewrites testdata.
func TestReportFormat(t *testing.T) {
	const now = 5000.0
	nan := math.NaN()
	sent := map[decide.ServerID]report{
		0:       {0, decide.Load{Inflight: 3, Busy: 0.25, HitShare: 0.875, Link: 0.5}, now - 20},
		7:       {7, decide.Load{Inflight: nan, Busy: 0, HitShare: nan, Link: 1}, now},
		1 << 33: {1 << 33, decide.Load{Inflight: nan, Busy: nan, HitShare: nan, Link: nan}, now - 300},
	}
	var packet []byte
	sender := New(Options{
		Zone: "z", Clock: clock.NewBoot(), Stats: stats.New(),
		Mates: func() []member.ID { return []member.ID{2} },
		Carry: func(_ member.ID, _ carry.Channel, b []byte) { packet = b },
	})
	for id, r := range sent {
		sender.told[id] = r
	}
	sender.share(now, 300)
	golden.Compare(t, "reports.bin", packet)

	same := func(a, b float64) bool { return a == b || math.IsNaN(a) && math.IsNaN(b) }
	read := 0
	receiver := New(Options{Zone: "z", Clock: clock.NewBoot(), Stats: stats.New(), Told: func(id decide.ServerID, got decide.Load, age float64) {
		read++
		want := sent[id].Load
		if !same(got.Inflight, want.Inflight) || !same(got.Busy, want.Busy) || !same(got.HitShare, want.HitShare) || !same(got.Link, want.Link) || age != now-sent[id].At {
			t.Errorf("%v read back: %+v, %v ms old", id, got, age)
		}
	}})
	receiver.Heard(golden.Read(t, "reports.bin"))
	if read != len(sent) {
		t.Errorf("%d reports read back, want %d", read, len(sent))
	}
	if name := Duty("lyon"); name != "probe/lyon" {
		t.Errorf("the lease is called %q in the register", name)
	}
}
