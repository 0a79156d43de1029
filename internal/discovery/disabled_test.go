package discovery

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"

	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// disabledServer is the one that tests of disabled servers are about.
const disabledServer = routing.ServerID(7)

// routerProcess is one process of a router whose list has one ready server.
type routerProcess struct {
	*Watcher
	t      *testing.T
	events chan platformconfig.WatchEvent
}

// startProcess starts a process that shares a state folder with others.
func startProcess(t *testing.T, stateDir string) routerProcess {
	t.Helper()
	events := make(chan platformconfig.WatchEvent, 64)
	config := &platformconfig.Config{
		StateDir: stateDir,
		Zones:    []string{"a", "b"},
		Kinds:    []string{"box"},
		KnownSeq: 1,
		KnownEvents: []platformconfig.WatchEvent{{Seq: 1, ListUpdate: true, Snapshot: true,
			Endpoints: []platformconfig.Endpoint{{Server: routing.Server{ID: disabledServer, Phase: routing.Ready}}}}},
	}
	notify := func(event platformconfig.WatchEvent) { events <- event }
	watcher := NewWatcher(clock.NewManual(now), config, notify, metrics.New())
	here, there := net.Pipe()
	watcher.dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return here, nil }
	t.Cleanup(func() { _ = there.Close() }) // after the watcher's end
	go func() { _, _ = io.ReadFull(there, make([]byte, 8)) }()
	startWatcher(t, watcher)
	return routerProcess{watcher, t, events}
}

// expectPhase awaits the notification of the server's phase, and finds the guard in accord.
func (p routerProcess) expectPhase(want routing.Phase) routing.Server {
	p.t.Helper()
	event := nextEvent(p.t, p.events)
	excluded := p.Guard().Excludes(disabledServer)
	if len(event.Endpoints) != 1 || event.Endpoints[0].Phase != want || excluded != (want != routing.Ready) {
		p.t.Fatalf("event %+v, excluded %v; want phase %v", event, excluded, want)
	}
	return event.Endpoints[0].Server
}

// call disables or enables a server.
func (p routerProcess) call(id routing.ServerID, disabled bool, want error) {
	p.t.Helper()
	if err := p.SetDisabled(p.t.Context(), id, disabled); !errors.Is(err, want) {
		p.t.Fatalf("%v disabled %v: %v, want %v", id, disabled, err, want)
	}
}

// Guards against work for a disabled server: the list, however often it says that the server
// is ready, a second process of the same router, and one that starts later, do not enable it.
// One call undoes two. What is enabled counts as just started.
func TestSetDisabled(t *testing.T) {
	stateDir := t.TempDir()
	first := startProcess(t, stateDir)
	first.expectPhase(routing.Ready)
	first.call(8, true, ErrUnknownServer)
	first.call(disabledServer, true, nil)
	first.expectPhase(routing.Draining)
	first.call(disabledServer, true, nil)
	if listed, unavailable := first.ServerCounts(); listed != 1 || unavailable != 1 {
		t.Errorf("%d listed, %d unavailable", listed, unavailable)
	}
	second := startProcess(t, stateDir)
	second.expectPhase(routing.Draining)
	first.call(disabledServer, false, nil)
	if server := first.expectPhase(routing.Ready); server.StartedAt != clock.Duration(now) {
		t.Errorf("enabled with start %v", server.StartedAt)
	}
	second.expectPhase(routing.Ready) // it sees that the file has gone
	second.call(disabledServer, true, nil)
	first.expectPhase(routing.Draining)
	for _, snapshot := range []bool{true, false} { // whatever the list says
		endpoint := platformconfig.Endpoint{Server: routing.Server{ID: disabledServer, Phase: routing.Ready}}
		event := platformconfig.WatchEvent{ListUpdate: true, Snapshot: snapshot, Endpoints: []platformconfig.Endpoint{endpoint}}
		if got := first.effectiveState(event.Endpoints[0]); got.Phase != routing.Draining {
			t.Errorf("seen as %v", got.Phase)
		}
	}
}
