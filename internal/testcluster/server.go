package testcluster

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"garnetline/internal/fakeserver"
	"garnetline/routing"
)

// Server is a fake server that the routers' endpoint lists contain.
type Server struct {
	*fakeserver.Server
	ID   routing.ServerID
	Name string // at the fault proxy

	mu           sync.Mutex
	failing      bool
	attempts     map[string]int // number of attempts by request ID
	requestTimes []time.Time
	probes       []Probe
}

// Probe is a health check that a server received.
type Probe struct {
	FencingToken uint64    // fencing token of the sender's lease
	ReceivedAt   time.Time // by the machine's clock, which all processes share
}

// startServer starts a server that answers every request successfully.
func startServer(id routing.ServerID, name string) (*Server, error) {
	server := &Server{ID: id, Name: name, attempts: map[string]int{}}
	fake, err := fakeserver.NewServer(server.answerRequest)
	if err != nil {
		return nil, err
	}
	fake.SetLoadReport(server.answerHealthCheck)
	server.Server = fake
	return server, nil
}

// answerRequest is the fakeserver.Reply of the server. It records the request and answers with an
// object, or with an error if the server is failing.
func (s *Server) answerRequest(id, _ string) string {
	s.mu.Lock()
	failing := s.failing
	s.attempts[id]++
	s.requestTimes = append(s.requestTimes, time.Now())
	s.mu.Unlock()
	if failing {
		return fakeserver.Answer(id, "BROKE", "-", "")
	}
	return fakeserver.Answer(id, "DONE", "tag=t1,minted=1", "bytes of an object")
}

// answerHealthCheck records a health check and reports a load of one half. The argument tag is
// the health check's ID, which begins with "p" and the fencing token of the sender's lease. A tag
// without a fencing token is recorded with token 0, which is less than any valid token.
func (s *Server) answerHealthCheck(tag string) string {
	var probe Probe
	_, _ = fmt.Sscanf(tag, "p%d.", &probe.FencingToken)
	s.mu.Lock()
	defer s.mu.Unlock()
	probe.ReceivedAt = time.Now()
	s.probes = append(s.probes, probe)
	return "l=util:0.5;link:0.5"
}

// Address returns the address on which the server itself listens. A router's configuration has an
// address of the fault proxy instead, which differs from router to router. The change log sends the
// same events to all routers, so it can announce only the server's own address.
func (s *Server) Address() netip.AddrPort { return netip.MustParseAddrPort(s.Addr().String()) }

// SetFailing sets whether the server answers every request with an error.
func (s *Server) SetFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = failing
}

// Probes returns the health checks that the server received, in the order of their arrival.
func (s *Server) Probes() []Probe {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.probes)
}

// Attempts returns how many times the server received each request, by request ID.
func (s *Server) Attempts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.attempts)
}

// RequestCount returns the number of requests that the server received. Each attempt counts as a
// request.
func (s *Server) RequestCount() (count int) {
	for _, attempts := range s.Attempts() {
		count += attempts
	}
	return count
}

// RequestsBetween returns the number of requests that the server received at or after the time
// start and before the time end.
func (s *Server) RequestsBetween(start, end time.Time) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, received := range s.requestTimes {
		if !received.Before(start) && received.Before(end) {
			count++
		}
	}
	return count
}

// Handover is a change of the lease holder, as observed by a server.
type Handover struct {
	From, To uint64        // fencing tokens
	Gap      time.Duration // from the last health check with token From to the first with token To
}

// TokenOrderError reports that a server received a health check after a health check with a later
// fencing token. This means that two routers acted as the lease holder.
type TokenOrderError struct {
	Server         string
	Later, Earlier Probe // Later has the later fencing token but arrived first
}

func (e *TokenOrderError) Error() string {
	return fmt.Sprintf("server %s received a health check with fencing token %d, %v after a health check with the later token %d",
		e.Server, e.Earlier.FencingToken, e.Earlier.ReceivedAt.Sub(e.Later.ReceivedAt), e.Later.FencingToken)
}

// Handovers returns the changes of the lease holder that the server observed. If health checks
// arrived out of the order of their fencing tokens, the result violation is a *TokenOrderError
// that describes the last such health check.
func (s *Server) Handovers() (handovers []Handover, violation error) {
	probes := s.Probes()
	for i := 1; i < len(probes); i++ {
		previous, probe := probes[i-1], probes[i]
		switch {
		case probe.FencingToken < previous.FencingToken:
			violation = &TokenOrderError{Server: s.Name, Later: previous, Earlier: probe}
		case probe.FencingToken > previous.FencingToken:
			gap := probe.ReceivedAt.Sub(previous.ReceivedAt)
			handovers = append(handovers, Handover{From: previous.FencingToken, To: probe.FencingToken, Gap: gap})
		}
	}
	return handovers, violation
}
