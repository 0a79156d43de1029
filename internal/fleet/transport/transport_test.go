package transport

import (
	"context"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"

	"garnetline/internal/clock"
	"garnetline/internal/fleet"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/packetcrypto"
	"garnetline/internal/logs"
	"garnetline/internal/metrics"
	"garnetline/routing"
)

func options(t testing.TB, state string) Options {
	ring, err := packetcrypto.NewKeyring("f", []string{"sixteen bytes or more"})
	if err != nil {
		t.Fatal(err)
	}
	any := netip.MustParseAddrPort("127.0.0.1:0")
	return Options{Settings: Settings{FleetName: "f", ListenAddr: any, AdvertiseAddr: any, Keyring: ring, Node: fleet.DefaultSettings(), PacketsPerSecond: 500, BytesPerSecond: 100_000},
		Name: "r", Zone: "z", StateDir: state, Clock: clock.NewSystem(), Log: logs.New(io.Discard), Stats: metrics.New()}
}

func newTransport(t testing.TB, o Options) *Transport {
	l, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// The seat and the bans outlive the process; a file that cannot be read is a new seat.
func TestIdentityAndBansSurviveRestart(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir := t.TempDir()
	life := func(o Options, do func(*Transport)) *fleet.Status {
		l := newTransport(t, o)
		ctx, stop := context.WithCancel(context.Background())
		go l.Run(ctx)
		do(l)
		stop()
		<-l.Stopped()
		return l.Status()
	}
	until := func(l *Transport, ok func(s *fleet.Status) bool) {
		for range 5000 {
			if ok(l.Status()) {
				return
			}
			time.Sleep(time.Millisecond)
		}
		t.Errorf("never so: %+v", l.Status())
	}
	first := life(options(t, dir), func(l *Transport) {
		l.SetDisabled(5, true)
		until(l, func(s *fleet.Status) bool { return len(s.Bans) == 1 })
	})
	o := options(t, dir)
	o.InitialBans = []routing.ServerID{5, 6} // 6 was set while no fleet knew
	second := life(o, func(l *Transport) { until(l, func(s *fleet.Status) bool { return len(s.Bans) == 2 }) })
	if second.RouterID != first.RouterID || second.Incarnation != 2 {
		t.Errorf("seat %s life %d, then seat %s life %d", first.RouterID, first.Incarnation, second.RouterID, second.Incarnation)
	}
	if err := os.WriteFile(filepath.Join(dir, "garnetline-fleet-r"), []byte("none"), 0o600); err != nil {
		t.Fatal(err)
	}
	if third := life(options(t, dir), func(*Transport) {}); third.RouterID == first.RouterID || third.Incarnation != 1 {
		t.Errorf("%+v", third)
	}
	if _, err := New(options(t, filepath.Join(dir, "nowhere"))); err == nil {
		t.Error("a state folder that is not there is taken")
	}
}

func TestRateLimiter(t *testing.T) {
	b := rateLimiter{packetsPerSecond: 10, bytesPerSecond: 1000}
	sent := 0
	for now := 1.0; now < 5001; now++ {
		if b.allow(now, 150, 0) {
			sent++
		}
	}
	if sent < 33 || sent > 40 { // 6.7 a second by bytes, and a second's worth at once
		t.Errorf("%d packets of 150 bytes in 5 s", sent)
	}
	b = rateLimiter{packetsPerSecond: 10, bytesPerSecond: 1e6}
	sent = 0
	for now := 1.0; now < 5001; now++ {
		if b.allow(now, 150, 0) {
			sent++
		}
	}
	if sent < 50 || sent > 60 {
		t.Errorf("%d packets in 5 s", sent)
	}
	b = rateLimiter{packetsPerSecond: 100, bytesPerSecond: 1e6}
	for now := 1.0; now < 5001; now++ { // more than may be sent, of what may wait; and what may not
		b.allow(now, 150, loadReportReserve)
		if int(now)%50 == 0 && !b.allow(now, 150, 0) {
			t.Fatalf("at %.0f there is no room beside reports", now)
		}
	}
}

// BenchmarkStatus is what a reader of the snapshot pays.
func BenchmarkStatus(b *testing.B) {
	l := newTransport(b, options(b, ""))
	b.ReportAllocs()
	for b.Loop() {
		if l.Status() == nil {
			b.Fatal("none")
		}
	}
}

// BenchmarkPublish is what a change of the view costs, of 300 routers.
func BenchmarkPublish(b *testing.B) {
	l := newTransport(b, options(b, ""))
	for i := range 300 {
		l.node.InjectUpdate(membership.Update{ID: membership.ID(i + 2), Name: "r", Addr: netip.MustParseAddrPort("127.0.0.1:1")})
	}
	for b.Loop() {
		l.publishStatus(1)
	}
}

// BenchmarkSeal is the sealing and opening of a packet of the usual size.
func BenchmarkSeal(b *testing.B) {
	r := options(b, "").Keyring
	packet := make([]byte, 120)
	var sealed, open []byte
	for b.Loop() {
		var err error
		sealed = r.Seal(sealed[:0], packet)
		if open, err = r.Open(open[:0], sealed); err != nil {
			b.Fatal(err)
		}
	}
}
