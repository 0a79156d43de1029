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

func testOptions(tb testing.TB, stateDir string) Options {
	tb.Helper()
	keyring, err := packetcrypto.NewKeyring("f", []string{"sixteen bytes or more"})
	if err != nil {
		tb.Fatal(err)
	}
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	return Options{
		Settings: Settings{
			FleetName:        "f",
			ListenAddr:       anyPort,
			AdvertiseAddr:    anyPort,
			Keyring:          keyring,
			Node:             fleet.DefaultSettings(),
			PacketsPerSecond: 500,
			BytesPerSecond:   100_000,
		},
		Name:     "r",
		Zone:     "z",
		StateDir: stateDir,
		Clock:    clock.NewSystem(),
		Log:      logs.New(io.Discard),
		Metrics:  metrics.New(),
	}
}

func newTransport(tb testing.TB, options Options) *Transport {
	tb.Helper()
	transport, err := New(options)
	if err != nil {
		tb.Fatal(err)
	}
	return transport
}

// runProcess runs a transport until action returns, and returns its last status.
func runProcess(t *testing.T, options Options, action func(*Transport)) *fleet.Status {
	t.Helper()
	transport := newTransport(t, options)
	ctx, cancel := context.WithCancel(context.Background())
	go transport.Run(ctx)
	action(transport)
	cancel()
	<-transport.Stopped()
	return transport.Status()
}

// waitForBans waits until the number of banned servers is equal to the argument count.
func waitForBans(t *testing.T, transport *Transport, count int) {
	t.Helper()
	for range 5000 {
		if len(transport.Status().Bans) == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("timed out waiting for %d bans, status %+v", count, transport.Status())
}

// The identity and the bans outlive the process. A router whose identity file cannot be parsed
// starts with a new identity.
func TestIdentityAndBansSurviveRestart(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir := t.TempDir()
	first := runProcess(t, testOptions(t, dir), func(transport *Transport) {
		transport.SetDisabled(5, true)
		waitForBans(t, transport, 1)
	})
	options := testOptions(t, dir)
	options.InitialBans = []routing.ServerID{5, 6} // server 6 was banned while the router was in no fleet
	second := runProcess(t, options, func(transport *Transport) { waitForBans(t, transport, 2) })
	if second.RouterID != first.RouterID || second.Incarnation != 2 {
		t.Errorf("first process is router %s incarnation %d, second is router %s incarnation %d, want the same router with incarnation 2", first.RouterID, first.Incarnation, second.RouterID, second.Incarnation)
	}
	if err := os.WriteFile(filepath.Join(dir, "garnetline-fleet-r"), []byte("none"), 0o600); err != nil {
		t.Fatal(err)
	}
	third := runProcess(t, testOptions(t, dir), func(*Transport) {})
	if third.RouterID == first.RouterID || third.Incarnation != 1 {
		t.Errorf("after a malformed identity file: got status %+v, want a new router ID with incarnation 1", third)
	}
	if _, err := New(testOptions(t, filepath.Join(dir, "nowhere"))); err == nil {
		t.Error("New returned no error for a state directory that does not exist")
	}
}

// allowedIn5s returns how many packets a limiter allows in 5 s if a packet of 150 bytes is
// offered each millisecond.
func allowedIn5s(l rateLimiter) int {
	allowed := 0
	for now := 1.0; now < 5001; now++ {
		if l.allow(now, 150, 0) {
			allowed++
		}
	}
	return allowed
}

func TestRateLimiter(t *testing.T) {
	// The byte limit allows 6.7 packets per second, plus a burst of one second's tokens.
	if n := allowedIn5s(rateLimiter{packetsPerSecond: 10, bytesPerSecond: 1000}); n < 33 || n > 40 {
		t.Errorf("byte limit: got %d packets of 150 bytes in 5 s, want 33 to 40", n)
	}
	if n := allowedIn5s(rateLimiter{packetsPerSecond: 10, bytesPerSecond: 1e6}); n < 50 || n > 60 {
		t.Errorf("packet limit: got %d packets in 5 s, want 50 to 60", n)
	}
	limiter := rateLimiter{packetsPerSecond: 100, bytesPerSecond: 1e6}
	for now := 1.0; now < 5001; now++ { // offer more load reports than the limit allows, and some other packets
		limiter.allow(now, 150, loadReportReserve)
		if int(now)%50 == 0 && !limiter.allow(now, 150, 0) {
			t.Fatalf("at %.0f ms: packet without a reserve was rejected, want tokens left for the packet by the load reports", now)
		}
	}
}

// BenchmarkStatus measures reading the latest status.
func BenchmarkStatus(b *testing.B) {
	transport := newTransport(b, testOptions(b, ""))
	b.ReportAllocs()
	for b.Loop() {
		if transport.Status() == nil {
			b.Fatal("got no status")
		}
	}
}

// BenchmarkPublish measures publishing a view of 300 routers.
func BenchmarkPublish(b *testing.B) {
	transport := newTransport(b, testOptions(b, ""))
	for i := range 300 {
		transport.node.InjectUpdate(membership.Update{ID: membership.ID(i + 2), Name: "r", Addr: netip.MustParseAddrPort("127.0.0.1:1")})
	}
	for b.Loop() {
		transport.publishStatus(1)
	}
}

// BenchmarkSeal measures the encryption and decryption of a packet of typical size.
func BenchmarkSeal(b *testing.B) {
	keyring := testOptions(b, "").Keyring
	packet := make([]byte, 120)
	var sealed, opened []byte
	for b.Loop() {
		var err error
		sealed = keyring.Seal(sealed[:0], packet)
		if opened, err = keyring.Open(opened[:0], sealed); err != nil {
			b.Fatal(err)
		}
	}
}
