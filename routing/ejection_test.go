package routing

import (
	"slices"
	"testing"
	"time"
)

// An ejection is prolonged by another router's report, within a bound, and never begun nor ended by
// it; a server that others ejected is probed with one request, unless it served lately.
func TestPeersReportsOfEjections(t *testing.T) {
	f := newHarness(t, settings(), fleet())
	for _, s := range f.router.servers {
		s.lastResponseAt = f.now
	}
	available := func(id ServerID) bool {
		f.handle(ClientDisconnected{}) // of nobody: the router sees the time
		return f.router.available(f.router.readyServer(id))
	}
	if f.handle(ExtendEjection{Server: 11, Until: f.now + sec}); !available(11) || len(f.router.AppendEjected(nil)) != 0 {
		t.Error("a report ejected a server")
	}
	if f.handle(RequireProbe{Server: 11}); len(f.router.AppendEjected(nil)) != 0 {
		t.Error("one that served just now must be probed")
	}
	f.router.readyServer(12).consecutiveFailures = 1
	if f.handle(RequireProbe{Server: 12}); !slices.Equal(f.router.AppendEjected(nil), []ServerID{12}) {
		t.Error("one that failed just now need not be probed")
	}
	f.router.recordSuccess(f.router.readyServer(12))
	f.now += 600 * ms
	f.handle(RequireProbe{Server: 11})
	if !slices.Equal(f.router.AppendEjected(nil), []ServerID{11}) || !available(11) {
		t.Fatalf("%v is ejected", f.router.AppendEjected(nil))
	}
	f.router.readyServer(11).inflight = 1
	if available(11) {
		t.Error("a probed server is sent a second request beside the first")
	}
	f.router.readyServer(11).inflight = 0
	f.handle(ExtendEjection{Server: 11, Until: f.now + time.Hour})
	if f.now += maxEjectionExtension - ms; available(11) {
		t.Error("the ejection was not prolonged")
	}
	if f.now += 2 * ms; !available(11) {
		t.Error("ejected for longer than may be")
	}
	f.handle(ExtendEjection{Server: 11, Until: f.now + sec})
	f.handle(ExtendEjection{Server: 11, Until: f.now})
	if available(11) {
		t.Error("a report ended an ejection")
	}
	f.handle(ExtendEjection{Server: 99, Until: f.now + sec}) // not listed
	f.handle(RequireProbe{Server: 99})
	f.router.recordSuccess(f.router.readyServer(11))
	if f.now += 2 * sec; len(f.router.AppendEjected(nil)) != 0 || !available(11) {
		t.Error("ejected after it served")
	}
}
