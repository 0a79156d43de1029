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

// disabledServer is the server that the tests disable.
const disabledServer = routing.ServerID(7)

// routerProcess is one process of a router. The endpoint list of the router has one ready server.
type routerProcess struct {
	*Watcher
	t      *testing.T
	events chan platformconfig.WatchEvent
}

// startProcess starts a process of the router that owns stateDir. All processes of a router share
// this directory.
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
	watcher := NewWatcher(clock.NewManual(startTime), config, notify, metrics.New())
	clientConn, serverConn := net.Pipe()
	watcher.dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return clientConn, nil }
	t.Cleanup(func() { _ = serverConn.Close() }) // this cleanup runs after the cleanup that stops the watcher
	go func() { _, _ = io.ReadFull(serverConn, make([]byte, 8)) }()
	startWatcher(t, watcher)
	return routerProcess{watcher, t, events}
}

// expectPhase waits for a notification that the server has the given phase. It checks that the
// guard excludes the server unless the phase is Ready. It returns the server of the notification.
func (p routerProcess) expectPhase(want routing.Phase) routing.Server {
	p.t.Helper()
	event := nextEvent(p.t, p.events)
	excluded := p.Guard().Excludes(disabledServer)
	if len(event.Endpoints) != 1 || event.Endpoints[0].Phase != want || excluded != (want != routing.Ready) {
		p.t.Fatalf("event %+v, excluded %v; want phase %v", event, excluded, want)
	}
	return event.Endpoints[0].Server
}

// call calls SetDisabled and checks that it returns the error want.
func (p routerProcess) call(id routing.ServerID, disabled bool, want error) {
	p.t.Helper()
	if err := p.SetDisabled(p.t.Context(), id, disabled); !errors.Is(err, want) {
		p.t.Fatalf("set server %v disabled to %v: got error %v, want %v", id, disabled, err, want)
	}
}

// TestSetDisabled checks that only an operator's call enables a disabled server. The endpoint list
// does not enable the server, even if it reports the server as ready again. A second process of the
// same router that starts later does not enable the server either. One call enables a server that
// was disabled twice. An enabled server counts as just started.
func TestSetDisabled(t *testing.T) {
	stateDir := t.TempDir()
	first := startProcess(t, stateDir)
	first.expectPhase(routing.Ready)
	first.call(8, true, ErrUnknownServer)
	first.call(disabledServer, true, nil)
	first.expectPhase(routing.Draining)
	first.call(disabledServer, true, nil)
	if listed, unavailable := first.ServerCounts(); listed != 1 || unavailable != 1 {
		t.Errorf("got %d listed and %d unavailable servers, want 1 and 1", listed, unavailable)
	}
	second := startProcess(t, stateDir)
	second.expectPhase(routing.Draining)
	first.call(disabledServer, false, nil)
	if server := first.expectPhase(routing.Ready); server.StartedAt != clock.Duration(startTime) {
		t.Errorf("got start %v of the enabled server, want the current time", server.StartedAt)
	}
	second.expectPhase(routing.Ready) // the second process reads the change from the store
	second.call(disabledServer, true, nil)
	first.expectPhase(routing.Draining)
	for _, snapshot := range []bool{true, false} { // the endpoint list must not enable the server
		endpoint := platformconfig.Endpoint{Server: routing.Server{ID: disabledServer, Phase: routing.Ready}}
		event := platformconfig.WatchEvent{ListUpdate: true, Snapshot: snapshot, Endpoints: []platformconfig.Endpoint{endpoint}}
		if got := first.effectiveState(event.Endpoints[0]); got.Phase != routing.Draining {
			t.Errorf("got phase %v of the disabled server, want Draining", got.Phase)
		}
	}
}
