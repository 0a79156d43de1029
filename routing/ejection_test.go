package routing

import (
	"slices"
	"testing"
	"time"
)

// newEjectionHarness creates a router whose servers have all just responded.
func newEjectionHarness(t *testing.T) *harness {
	t.Helper()
	started := newHarness(t, settings(), fleet())
	for _, server := range started.router.servers {
		server.lastResponseAt = started.now
	}
	return started
}

// available reports whether the router may choose a server at the harness time.
func (h *harness) available(id ServerID) bool {
	h.handle(ClientDisconnected{}) // sets the router's time; the request is unknown, so nothing else happens
	return h.router.available(h.router.readyServer(id))
}

// wantEjected fails the test unless exactly the expected servers are ejected.
func (h *harness) wantEjected(expected ...ServerID) {
	h.Helper()
	if got := h.router.AppendEjected(nil); !slices.Equal(got, expected) {
		h.Errorf("got ejected servers %v, want %v", got, expected)
	}
}

// wantAvailable fails the test unless the availability of a server is as expected.
func (h *harness) wantAvailable(id ServerID, expected bool) {
	h.Helper()
	if got := h.available(id); got != expected {
		h.Errorf("got server %d available %v, want %v", id, got, expected)
	}
}

// TestExtendEjectionNeverStartsEjection checks that an ExtendEjection event never ejects a server.
func TestExtendEjectionNeverStartsEjection(t *testing.T) {
	harness := newEjectionHarness(t)
	harness.handle(ExtendEjection{Server: firstCache, Until: harness.now + second})
	harness.wantAvailable(firstCache, true)
	harness.wantEjected()
	harness.handle(ExtendEjection{Server: 99, Until: harness.now + second}) // not listed
	harness.wantEjected()
}

// TestRequireProbe checks that a RequireProbe event makes the router probe the server with one request,
// unless the server served this router recently.
func TestRequireProbe(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*harness)
		probed  bool
	}{
		{name: "served just now", prepare: func(*harness) {}},
		{name: "failed just now", probed: true, prepare: func(h *harness) {
			h.router.readyServer(secondCache).consecutiveFailures = 1
		}},
		{name: "served a while ago", probed: true, prepare: func(h *harness) { h.now += 600 * millisecond }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			harness := newEjectionHarness(t)
			test.prepare(harness)
			harness.handle(RequireProbe{Server: secondCache})
			harness.handle(RequireProbe{Server: 99}) // not listed
			if !test.probed {
				harness.wantEjected()
				return
			}
			harness.wantEjected(secondCache)
			harness.wantAvailable(secondCache, true)
			server := harness.router.readyServer(secondCache)
			server.inflight = 1
			harness.wantAvailable(secondCache, false) // the probe is in flight
			server.inflight = 0
			harness.router.recordSuccess(server)
			harness.wantEjected()
		})
	}
}

// TestExtendEjectionIsBounded checks that an ExtendEjection event prolongs an ejection by at most
// maxEjectionExtension, and never ends an ejection.
func TestExtendEjectionIsBounded(t *testing.T) {
	harness := newEjectionHarness(t)
	harness.now += 600 * millisecond
	harness.handle(RequireProbe{Server: firstCache})
	harness.handle(ExtendEjection{Server: firstCache, Until: harness.now + time.Hour})
	harness.now += maxEjectionExtension - millisecond
	harness.wantAvailable(firstCache, false)
	harness.now += 2 * millisecond
	harness.wantAvailable(firstCache, true)

	harness.handle(ExtendEjection{Server: firstCache, Until: harness.now + second})
	harness.handle(ExtendEjection{Server: firstCache, Until: harness.now})
	harness.wantAvailable(firstCache, false)

	harness.router.recordSuccess(harness.router.readyServer(firstCache))
	harness.now += 2 * second
	harness.wantEjected()
	harness.wantAvailable(firstCache, true)
}
