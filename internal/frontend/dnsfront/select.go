package dnsfront

import (
	"net/netip"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/routing"
)

// selection is the server that the answer to a query names.
type selection struct {
	server  routing.ServerID
	address netip.AddrPort
}

// selectServer asks the dispatcher to select a server for a query. It returns false if no server
// may be used now, or if the selected server has no IPv4 address.
func (s *Server) selectServer(q query) (selection, bool) {
	if s.mayBeStale(q) {
		return selection{}, false
	}
	response, ok := s.dispatch(q)
	if !ok || response.Kind != dispatch.Served {
		return selection{}, false
	}
	// The guard is checked again, because the endpoint list may have changed or a purge may have
	// arrived while the dispatcher selected the server.
	if s.Guard().Excludes(response.Server) || s.mayBeStale(q) {
		return selection{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	address, ok := s.addresses[response.Server]
	if !ok || !address.Addr().Is4() {
		return selection{}, false
	}
	s.targetExpiry[response.Server] = s.Clock.Now() + targetLifetimeMs
	return selection{server: response.Server, address: address}, true
}

// dispatch submits a query to the dispatcher as a request and waits for the response. It returns
// false if there is no response. Normally the dispatcher responds by the request's deadline, but a
// dispatcher that stops does not respond. The wait therefore ends at the latest ioTimeout after the
// deadline.
func (s *Server) dispatch(q query) (dispatch.Response, bool) {
	responses := make(chan dispatch.Response, 1)
	request := &dispatch.Request{
		Class:      q.class,
		Object:     q.object,
		Chunk:      q.chunk,
		PurgeGroup: max(q.group, 0),
		Transport:  s,
		Deadline:   s.Clock.Now() + s.TimeoutMs,
		Respond:    func(response dispatch.Response) { responses <- response },
	}
	if !s.Dispatcher.Submit(request) {
		return dispatch.Response{}, false
	}
	timer := time.NewTimer(clock.Duration(s.TimeoutMs) + ioTimeout)
	defer timer.Stop()
	select {
	case response := <-responses:
		return response, true
	case <-timer.C:
		s.Dispatcher.Disconnect(request)
		return dispatch.Response{}, false
	}
}

// mayBeStale reports whether caches may hold copies of the object that are older than its latest
// purge. A DNS answer cannot tell a cache which copies are too old, so the answer must not name a
// server while such copies may exist.
func (s *Server) mayBeStale(q query) bool {
	if s.Classes()[q.class].Write {
		return false
	}
	return s.Guard().MayBeStale(clock.Duration(s.Clock.Now()), q.object, q.group)
}
