package routing

import (
	"slices"
	"testing"
	"time"
)

// A rest is prolonged by another router's word, within a bound, and never begun nor ended
// by it; one that others set aside is tried with one request, unless it served lately.
func TestPeersReportsOfEjections(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	for _, s := range f.router.servers {
		s.lastResponseAt = f.now
	}
	well := func(id ServerID) bool {
		f.handle(ClientDisconnected{}) // of nobody: the router sees the time
		return f.router.available(f.router.readyServer(id))
	}
	if f.handle(ExtendEjection{Server: 11, Until: f.now + sec}); !well(11) || len(f.router.AppendEjected(nil)) != 0 {
		t.Error("a word set a server aside")
	}
	if f.handle(RequireProbe{Server: 11}); len(f.router.AppendEjected(nil)) != 0 {
		t.Error("one that served just now is suspected")
	}
	f.router.readyServer(12).consecutiveFailures = 1
	if f.handle(RequireProbe{Server: 12}); !slices.Equal(f.router.AppendEjected(nil), []ServerID{12}) {
		t.Error("one that failed just now is not suspected")
	}
	f.router.recordSuccess(f.router.readyServer(12))
	f.now += 600 * ms
	f.handle(RequireProbe{Server: 11})
	if !slices.Equal(f.router.AppendEjected(nil), []ServerID{11}) || !well(11) {
		t.Fatalf("%v is aside", f.router.AppendEjected(nil))
	}
	f.router.readyServer(11).inflight = 1
	if well(11) {
		t.Error("a suspect is sent a second request beside the first")
	}
	f.router.readyServer(11).inflight = 0
	f.handle(ExtendEjection{Server: 11, Until: f.now + time.Hour})
	if f.now += maxEjectionExtension - ms; well(11) {
		t.Error("not held")
	}
	if f.now += 2 * ms; !well(11) {
		t.Error("held for longer than may be")
	}
	f.handle(ExtendEjection{Server: 11, Until: f.now + sec})
	f.handle(ExtendEjection{Server: 11, Until: f.now})
	if well(11) {
		t.Error("a word ended a rest")
	}
	f.handle(ExtendEjection{Server: 99, Until: f.now + sec}) // not listed
	f.handle(RequireProbe{Server: 99})
	f.router.recordSuccess(f.router.readyServer(11))
	if f.now += 2 * sec; len(f.router.AppendEjected(nil)) != 0 || !well(11) {
		t.Error("aside after it served")
	}
}
