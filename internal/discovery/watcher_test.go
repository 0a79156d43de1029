package discovery

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/internal/seeds"
	"garnetline/internal/standin"
	"garnetline/internal/textconn"
	"garnetline/routing"
)

const now = 1.7e12

// encodeFrame writes a frame by the protocol's own words.
func encodeFrame(seq uint64, kind byte, payload ...byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, seq), kind), payload...)
}

func encodeRecord(id uint32, state byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, id)
	b = append(b, 127, 0, 0, 9, 0x13, 0xba, state, 1, 0, 0, 5)
	b = binary.BigEndian.AppendUint32(b, 2500)
	return binary.BigEndian.AppendUint64(b, 1_700_000_000_123)
}

func encodePurge(object uint64, at uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, object), at)
}

func newTestWatcher(addr netip.AddrPort, tell func(platformconfig.WatchEvent)) *Watcher {
	return NewWatcher(clock.NewManual(now), &platformconfig.Config{Discovery: addr, KnownSeq: 1, Zones: []string{"a", "b"}, Kinds: []string{"box"},
		Settings:    routing.Settings{PurgeRetention: 6 * time.Second},
		KnownEvents: []platformconfig.WatchEvent{{Seq: 1, ListUpdate: true, Snapshot: true}}}, tell, metrics.New())
}

// A connection that ends, or brings a broken frame, is made anew from the
// number of the last event; what comes twice is told once.
func TestReconnectResumesFromLastSeq(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	told := make(chan platformconfig.WatchEvent, 16)
	log := newTestWatcher(l.Addr().(*net.TCPAddr).AddrPort(), func(ev platformconfig.WatchEvent) { told <- ev })
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		log.Run(ctx)
		close(done)
	}()
	for _, c := range []struct {
		from  uint64
		bytes []byte
	}{
		{1, bytes.Join([][]byte{encodeFrame(2, 2, encodeRecord(7, 0)...), encodeFrame(2, 0)}, nil)},
		{2, bytes.Join([][]byte{encodeFrame(2, 2, encodeRecord(7, 2)...), encodeFrame(3, 3, encodePurge(9, now-50)...), encodeFrame(4, 9)}, nil)},
		{3, bytes.Join([][]byte{encodeFrame(4, 4, append([]byte{0, 17}, encodePurge(now, 0)[:8]...)...), {0, 0, 0, 1, 0}}, nil)},
		{4, encodeFrame(5, 2, encodeRecord(7, 1)...)},
	} {
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		var from [8]byte
		if _, err := io.ReadFull(conn, from[:]); err != nil || binary.BigEndian.Uint64(from[:]) != c.from {
			t.Fatalf("asked from %v, %v; want %d", from, err, c.from)
		}
		if _, err := conn.Write(c.bytes); err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
	for seq := uint64(1); seq <= 5; seq++ {
		ev := <-told
		if ev.Seq != seq {
			t.Fatalf("event %d told, want %d", ev.Seq, seq)
		}
		if seq == 2 {
			h := ev.Endpoints[0]
			if h.ID != 7 || h.Addr.String() != "127.0.0.9:5050" || h.Zone != 1 || h.Cell != 5 || h.Weight != 2.5 ||
				h.StartedAt != platformconfig.StartTime(1_700_000_000_123) || h.Phase != routing.Ready {
				t.Errorf("%+v", h)
			}
		}
	}
	stop()
	<-done
	// Seven seconds without a word there may be purges that were not heard of.
	if g := log.Guard(); !g.PurgesSeen || g.LastEventAt != clock.Duration(now) || !g.Excludes(7) || !g.MayBeStale(clock.Duration(now), 9, 0) || !g.MayBeStale(clock.Duration(now), 1, 17) ||
		g.MayBeStale(clock.Duration(now), 1, 16) || !g.MayBeStale(clock.Duration(now+7000), 1, 1) {
		t.Errorf("%+v", g)
	}
}

// Routers that lose their log at one moment come back to it one after another, ever
// more seldom, and soon again once it has spoken.
func TestReconnectDelaysAreSpread(t *testing.T) {
	const routers = 300
	crowd := map[int]int{}
	for seed := range uint64(routers) {
		p := reconnectBackoff{random: rand.New(rand.NewPCG(seed, 0))}
		at, last := 0.0, 0.0
		for range 6 {
			last = p.nextDelay(false)
			at += last
		}
		if at < 50 || last < maxBackoff/2 || last > maxBackoff {
			t.Fatalf("seed %d: back %.0f ms later, the last wait was %.0f ms", seed, at, last)
		}
		if w := p.nextDelay(true); w > initialBackoff {
			t.Fatalf("seed %d: waits %.0f ms for a log that spoke", seed, w)
		}
		crowd[int(at)/20]++
	}
	for slot, n := range crowd {
		if n > routers/8 {
			t.Errorf("%d of %d routers come back within 20 ms, at %d ms", n, routers, 20*slot)
		}
	}
}

// Another configuration's log is asked at once and from the last number held,
// though the old one is still open; what it knows beyond that is told first.
func TestReloadMovesToNewAddress(t *testing.T) {
	var ls [2]net.Listener
	for i := range ls {
		var err error
		if ls[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		defer ls[i].Close()
	}
	addr := func(i int) netip.AddrPort { return ls[i].Addr().(*net.TCPAddr).AddrPort() }
	told := make(chan platformconfig.WatchEvent, 16)
	log := newTestWatcher(addr(0), func(ev platformconfig.WatchEvent) { told <- ev })
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		log.Run(ctx)
		close(done)
	}()
	asked := func(i int) uint64 {
		conn, err := ls[i].Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		var from [8]byte
		if _, err := io.ReadFull(conn, from[:]); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(encodeFrame(2, 4, append([]byte{0, 17}, encodePurge(now, 0)[:8]...)...)); err != nil {
			t.Fatal(err)
		}
		return binary.BigEndian.Uint64(from[:])
	}
	if from := asked(0); from != 1 {
		t.Fatalf("asked from %d", from)
	}
	for seq := uint64(1); seq <= 2; seq++ {
		if ev := <-told; ev.Seq != seq {
			t.Fatalf("event %d told, want %d", ev.Seq, seq)
		}
	}
	next := *log.config
	next.Discovery, next.Settings.PurgeRetention = addr(1), 7*time.Second
	next.KnownEvents = []platformconfig.WatchEvent{{Seq: 2}, {Seq: 3, ListUpdate: true}}
	log.Reload(&platformconfig.Config{}) // taken over by the next, or left by it
	log.Reload(&next)
	if from := asked(1); from != 3 {
		t.Errorf("the new log was asked from %d, want 3", from)
	}
	if ev := <-told; ev.Seq != 3 || log.Guard().PurgeRetention != 7*time.Second {
		t.Errorf("event %d told, guard %+v", ev.Seq, log.Guard())
	}
	stop()
	<-done
}

// Guards against work for a cache that staff have taken out: the list, however often
// it says that the cache is ready, a second process of the same router, and one that
// starts later, do not let it back. One call undoes two. What is back is cold.
func TestSetDisabled(t *testing.T) {
	state := t.TempDir()
	start := func() (*Watcher, chan platformconfig.WatchEvent, func()) {
		told := make(chan platformconfig.WatchEvent, 64)
		log := NewWatcher(clock.NewManual(now), &platformconfig.Config{StateDir: state, Zones: []string{"a", "b"}, Kinds: []string{"box"}, KnownSeq: 1,
			KnownEvents: []platformconfig.WatchEvent{{Seq: 1, ListUpdate: true, Snapshot: true, Endpoints: []platformconfig.Endpoint{{Server: routing.Server{ID: 7, Phase: routing.Ready}}}}}},
			func(ev platformconfig.WatchEvent) { told <- ev }, metrics.New())
		here, there := net.Pipe()
		log.dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return here, nil }
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			log.Run(ctx)
			close(done)
		}()
		go io.ReadFull(there, make([]byte, 8))
		return log, told, func() {
			stop()
			there.Close()
			<-done
		}
	}
	phase := func(log *Watcher, told chan platformconfig.WatchEvent, want routing.Phase) routing.Server {
		t.Helper()
		ev := <-told
		if len(ev.Endpoints) != 1 || ev.Endpoints[0].Phase != want || log.Guard().Excludes(7) != (want != routing.Ready) {
			t.Fatalf("told %+v, barred %v; want phase %v", ev, log.Guard().Excludes(7), want)
		}
		return ev.Endpoints[0].Server
	}
	log, told, stop := start()
	defer stop()
	phase(log, told, routing.Ready)
	call := func(id routing.ServerID, out bool, want error) {
		t.Helper()
		if err := log.SetDisabled(t.Context(), id, out); !errors.Is(err, want) {
			t.Fatalf("%v out %v: %v, want %v", id, out, err, want)
		}
	}
	call(8, true, ErrUnknownServer)
	call(7, true, nil)
	phase(log, told, routing.Draining)
	call(7, true, nil)
	if all, barred := log.ServerCounts(); all != 1 || barred != 1 {
		t.Errorf("listed %d, barred %d", all, barred)
	}
	log2, told2, stop2 := start()
	defer stop2()
	phase(log2, told2, routing.Draining)
	call(7, false, nil)
	if s := phase(log, told, routing.Ready); s.StartedAt != clock.Duration(now) {
		t.Errorf("back with start %v", s.StartedAt)
	}
	phase(log2, told2, routing.Ready) // it sees that the mark has gone
	if err := log2.SetDisabled(t.Context(), 7, true); err != nil {
		t.Fatal(err)
	}
	phase(log, told, routing.Draining)
	for _, whole := range []bool{true, false} { // whatever the list says
		ev := platformconfig.WatchEvent{ListUpdate: true, Snapshot: whole, Endpoints: []platformconfig.Endpoint{{Server: routing.Server{ID: 7, Phase: routing.Ready}}}}
		if h := log.effectiveState(ev.Endpoints[0]); h.Phase != routing.Draining {
			t.Errorf("seen as %v", h.Phase)
		}
	}
}

type stubConn struct {
	net.Conn
	reader io.Reader
}

func (s stubConn) Read(p []byte) (int, error) { return s.reader.Read(p) }

// FuzzFrame: any bytes are events or an error, never a panic nor a buffer
// larger than a frame may be, and zones and kinds are those of the settings.
func FuzzFrame(f *testing.F) {
	f.Add(encodeFrame(2, 1, append(encodeRecord(1, 0), encodeRecord(2, 1)...)...))
	f.Add(encodeFrame(3, 3, encodePurge(0, 5)...))
	f.Add(encodeFrame(4, 4, 0, 1, 2))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		k := textconn.New(stubConn{reader: bytes.NewReader(b)})
		for {
			decoded, err := readFrame(k, 2, 1)
			if err != nil {
				if !errors.Is(err, ErrMalformedFrame) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatal(err)
				}
				return
			}
			for _, h := range decoded.event.Endpoints {
				if h.Zone >= 2 || h.Kind >= 1 || h.Phase > routing.Draining || h.StartedAt < 0 {
					t.Fatalf("%+v", h)
				}
			}
		}
	})
}

// FuzzGuard checks the published guard against a plain replay of the events.
func FuzzGuard(f *testing.F) {
	seeds.Add(f, 16, 90)
	f.Fuzz(func(t *testing.T, steps []byte) {
		g, ready := &routing.Guard{PurgeRetention: 6 * time.Second}, map[routing.ServerID]bool{}
		at, last := map[int]float64{}, now
		for i := 0; i+2 < len(steps); i += 3 {
			id, x := routing.ServerID(steps[i+1]%5), int(steps[i+2])
			last += float64(x * 10)
			switch op := steps[i] % 4; op {
			case 0, 1:
				if op == 1 {
					clear(ready)
				}
				p := routing.Phase(x % 3)
				ready[id] = p == routing.Ready
				g = nextGuard(g, platformconfig.WatchEvent{ListUpdate: true, Snapshot: op == 1,
					Endpoints: []platformconfig.Endpoint{{Server: routing.Server{ID: id, Phase: p}}}}, clock.Duration(last), 0)
			default:
				at[x%4] = last
				g = nextGuard(g, platformconfig.WatchEvent{Purge: &platformconfig.Purge{Group: x % 4, At: last}}, clock.Duration(last), 0)
			}
			for id := range routing.ServerID(5) {
				if g.Excludes(id) == ready[id] {
					t.Fatalf("server %d: barred %v, ready %v", id, g.Excludes(id), ready[id])
				}
			}
			for group := range 4 {
				told, was := at[group]
				want := was && told+6000 > last
				if g.MayBeStale(clock.Duration(last), 99, group) != want {
					t.Fatalf("group %d purged at %.0f: now %.0f, want %v", group, told, last, want)
				}
				age := g.MaxAge(clock.Duration(last), 8*time.Second, 99, group)
				if bound := clock.Duration(last - told); want && age > max(bound, time.Microsecond)+time.Millisecond || !want && age != 8*time.Second {
					t.Fatalf("group %d: age %v", group, age)
				}
			}
		}
	})
}

// scriptedSession is what a connection has to ask from and what it is brought; cut ends it then.
type scriptedSession struct {
	from  uint64
	bytes []byte
	cut   bool
}

// runScript runs a log through sessions, one connection each, and returns what it tells.
func runScript(t *testing.T, sessions ...scriptedSession) (*Watcher, chan platformconfig.WatchEvent) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	told := make(chan platformconfig.WatchEvent, 16)
	log := newTestWatcher(l.Addr().(*net.TCPAddr).AddrPort(), func(ev platformconfig.WatchEvent) { told <- ev })
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { log.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done; l.Close() })
	for i, s := range sessions {
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		var from [8]byte
		if _, err := io.ReadFull(conn, from[:]); err != nil || binary.BigEndian.Uint64(from[:]) != s.from {
			t.Fatalf("connection %d asked from %v, %v; want %d", i, from, err, s.from)
		}
		if _, err := conn.Write(s.bytes); err != nil {
			t.Fatal(err)
		}
		if s.cut {
			conn.Close()
		}
	}
	return log, told
}

// Guards against events that are lost on the way: an empty frame with a later number, or an
// event that does not follow the last one, has the log asked again from what is held. A log
// that goes on like that is followed as it is.
func TestMissedEvents(t *testing.T) {
	event := func(seq uint64) []byte { return encodeFrame(seq, 2, encodeRecord(7, 0)...) }
	_, told := runScript(t, scriptedSession{1, append(event(2), encodeFrame(3, 0)...), false}, // 3 never came
		scriptedSession{2, append(event(3), event(5)...), false}, // nor did 4
		scriptedSession{3, append(event(4), event(5)...), true},  // here they are
		scriptedSession{5, event(7), false},                      // 6 is not there
		scriptedSession{5, bytes.Join([][]byte{event(7), encodeFrame(7, 0), event(8)}, nil), false})
	for _, seq := range []uint64{1, 2, 3, 4, 5, 7, 8} {
		if ev := <-told; ev.Seq != seq {
			t.Fatalf("event %d told, want %d", ev.Seq, seq)
		}
	}
}

// Guards against a log that connects and then says nothing, and one that dies right after it
// is back: a drain that begins in that gap is heard of on the next connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	log, told := runScript(t, scriptedSession{1, nil, false}, scriptedSession{1, encodeFrame(2, 2, encodeRecord(7, 0)...), true}, scriptedSession{2, encodeFrame(3, 2, encodeRecord(7, 1)...), false})
	for _, seq := range []uint64{1, 2, 3} {
		if ev := <-told; ev.Seq != seq {
			t.Fatalf("event %d told, want %d", ev.Seq, seq)
		}
	}
	if !log.Guard().Excludes(7) {
		t.Error("the cache that drains is not barred")
	}
}

// Guards against a wall clock that is set while the router runs: a purge's time is the wall
// clock's, and set back by more than a purge binds it looked long past when it was told.
func TestWallClockStep(t *testing.T) {
	for _, by := range []float64{-3_600_000, -7_000, 0, 7_000, 3_600_000} {
		teller, err := standin.NewTeller(1)
		if err != nil {
			t.Fatal(err)
		}
		defer teller.Close()
		told := make(chan platformconfig.WatchEvent, 16)
		log := newTestWatcher(teller.Addr().(*net.TCPAddr).AddrPort(), func(ev platformconfig.WatchEvent) { told <- ev })
		log.clock.(*clock.Manual).StepWallClock(by)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { log.Run(ctx); close(done) }()
		teller.Purge(9, uint64(now+by-50))
		for ev := range told {
			if ev.Purge != nil {
				break
			}
		}
		at := clock.Duration(now)
		if g := log.Guard(); !g.MayBeStale(at, 9, 0) || g.MaxAge(at, 0, 9, 0).Round(time.Millisecond) != 50*time.Millisecond {
			t.Errorf("set by %v ms: purged %v, copies of %v will do", by, g.MayBeStale(at, 9, 0), g.MaxAge(at, 0, 9, 0))
		}
		stop()
		<-done
	}
}
