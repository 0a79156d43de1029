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
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/metrics"
	"garnetline/internal/standin"
	"garnetline/routing"
)

// A holder asks the boxes and tells its mates of several in one packet; a mate takes that
// with its age, and nothing under an older token; without the duty nothing is asked.
func TestReportsAreBatched(t *testing.T) {
	var boxes []Server
	for i := range 5 {
		b, err := standin.NewBox(nil)
		if err != nil {
			t.Fatal(err)
		}
		defer b.Close()
		b.SetGauges(func(string) string { return "l=util:0.5" })
		boxes = append(boxes, Server{routing.ServerID(i), netip.MustParseAddrPort(b.Addr().String())})
	}
	var token atomic.Uint64
	var mu sync.Mutex
	var packets [][]byte
	p := New(Options{Zone: "z", MinInterval: 20, MaxInterval: 20, Clock: clock.NewBoot(), Metrics: metrics.New(),
		Valid:   func(string) (uint64, bool) { n := token.Load(); return n, n != 0 },
		Servers: func() []Server { return boxes }, ZonePeers: func() []membership.ID { return []membership.ID{2} },
		Send: func(_ membership.ID, _ fragment.Channel, b []byte) {
			mu.Lock()
			defer mu.Unlock()
			packets = append(packets, b)
		},
		ReportLoad: func(routing.ServerID, routing.LoadReport, float64) {}})
	ctx, stop := context.WithCancel(context.Background())
	go p.Run(ctx)
	sent := func() (n int) {
		mu.Lock()
		defer mu.Unlock()
		return len(packets)
	}
	if time.Sleep(100 * time.Millisecond); sent() != 0 || p.options.Metrics.Counter("probes_sent").Load() != 0 {
		t.Error("asked without the duty")
	}
	token.Store(7)
	for end := time.Now().Add(20 * time.Second); sent() < 20 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
	}
	stop()
	<-p.Stopped()
	took := map[routing.ServerID]int{}
	mate := New(Options{Zone: "z", Clock: clock.NewBoot(), Metrics: metrics.New(), ReportLoad: func(id routing.ServerID, l routing.LoadReport, age float64) {
		if took[id]++; l.CPUUtilization != 0.5 || !math.IsNaN(l.HitRatio) || age < 0 || age > 10_000 {
			t.Errorf("box %v: %+v, %v ms old", id, l, age)
		}
	}})
	for _, b := range packets {
		mate.Receive(b)
	}
	reports := 0
	for _, n := range took {
		reports += n
	}
	if len(took) != 5 || reports < 2*len(packets) {
		t.Errorf("%d packets told %d boxes %d times", len(packets), len(took), reports)
	}
	late := append([]byte{8, 6}, packets[0][2:]...) // the same under token 6
	if mate.Receive(late); mate.options.Metrics.Counter("reports_refused").Load() == 0 {
		t.Error("an older holder's report is taken")
	}
	mate.Receive([]byte{1, 2, 3})
}
