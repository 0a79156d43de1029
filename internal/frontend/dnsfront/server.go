// Package dns is the front that answers name lookups: a name carries class,
// object and part, and the answer is the box that the core chose for them. It
// is off unless an operator's file switches it on.
//
// Names have the form
//
//	PART.OBJECT[.gGROUP].CLASS.ZONE
//
// as in 3.7f3a9c21e0b4d655.g17.video-part.garnetline.local. An A lookup gives
// the address; SRV gives the port too, and a target that resolves for a second.
package dnsfront

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"
	"golang.org/x/net/netutil"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

const (
	recordTTL        = 0      // seconds; with 1 an answer could outlive a drain
	targetLifetimeMs = 1000.0 // ms for which the target of an SRV answer resolves
	ioTimeout        = 2 * time.Second
	idleTimeout      = 4 * time.Second
)

// Dispatcher is what the front needs of the core.
type Dispatcher interface {
	Submit(*dispatch.Request) bool
	Disconnect(*dispatch.Request)
}

// Options are what a Server needs.
type Options struct {
	Config
	Clock      clock.Clock
	Dispatcher Dispatcher
	Classes    func() []routing.Class // as of now; their names and places do not change
	Guard      func() *routing.Guard
	Metrics    *metrics.Registry
}

// Server answers lookups over UDP and TCP. It is a carrier too: the attempt of
// a lookup is over once its box is named.
type Server struct {
	Options
	slots chan struct{}
	udp   *dns.Server
	tcp   *dns.Server

	mu           sync.Mutex
	addresses    map[routing.ServerID]netip.AddrPort
	targetExpiry map[routing.ServerID]float64 // until when an SRV target resolves
}

// New returns a server that has not been started.
func New(o Options) *Server {
	return &Server{Options: o, slots: make(chan struct{}, max(o.MaxInflight, 1)),
		addresses: map[routing.ServerID]netip.AddrPort{}, targetExpiry: map[routing.ServerID]float64{}}
}

// Start listens on UDP and TCP and serves until Stop. It returns the address
// taken, which tells the port where the configuration has 0.
func (s *Server) Start() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("dns: listen: %w", err)
	}
	at := l.Addr().(*net.TCPAddr).AddrPort()
	pc, err := net.ListenPacket("udp", at.String())
	if err != nil {
		l.Close()
		return at, fmt.Errorf("dns: listen: %w", err)
	}
	idle := func() time.Duration { return idleTimeout }
	s.udp = &dns.Server{PacketConn: pc, Handler: s, ReadTimeout: ioTimeout, WriteTimeout: ioTimeout}
	s.tcp = &dns.Server{Listener: netutil.LimitListener(l, max(s.MaxConnections, 1)), Handler: s, ReadTimeout: ioTimeout,
		WriteTimeout: ioTimeout, IdleTimeout: idle}
	var up sync.WaitGroup
	for _, d := range []*dns.Server{s.udp, s.tcp} {
		up.Add(1)
		d.NotifyStartedFunc = up.Done
		go d.ActivateAndServe()
	}
	up.Wait()
	return at, nil
}

// Shutdown ends both listeners once what is open is answered, or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Join(s.udp.ShutdownContext(ctx), s.tcp.ShutdownContext(ctx))
}

// UpdateEndpoints keeps the boxes' addresses.
func (s *Server) UpdateEndpoints(ev platformconfig.WatchEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ev.Snapshot {
		clear(s.addresses)
	}
	for _, h := range ev.Endpoints {
		if s.addresses[h.ID] = h.Addr; h.Phase == routing.Removed {
			delete(s.addresses, h.ID)
		}
	}
}

// Send names the box of an attempt.
func (s *Server) Send(a *dispatch.Attempt) *dispatch.Completion {
	if g := s.Guard(); g.Excludes(a.Decision.Server) || g.Excludes(a.Decision.FillSource) {
		return dispatch.Unsent(a, routing.NotSent)
	}
	return dispatch.Resolved(a)
}

// Cancel has nothing to give up: no attempt is out after Send.
func (s *Server) Cancel(*dispatch.Attempt) {}

// Release has nothing to book either.
func (s *Server) Release(*dispatch.Attempt) {}

// ServeDNS answers one message.
func (s *Server) ServeDNS(w dns.ResponseWriter, q *dns.Msg) {
	m := new(dns.Msg)
	m.SetReply(q)
	m.Authoritative = true
	if o := q.IsEdns0(); o != nil {
		m.SetEdns0(1232, false)
	}
	s.Metrics.Add("dns_queries", 1)
	switch {
	case q.Opcode != dns.OpcodeQuery:
		m.Rcode = dns.RcodeNotImplemented
	case len(q.Question) != 1:
		m.Rcode = dns.RcodeFormatError
	case q.Question[0].Qclass != dns.ClassINET && q.Question[0].Qclass != dns.ClassANY:
		m.Rcode = dns.RcodeRefused
	default:
		select {
		case s.slots <- struct{}{}:
			s.answerQuestion(m, q.Question[0])
			<-s.slots
		default:
			m.Rcode = dns.RcodeServerFailure
		}
	}
	s.Metrics.Add("dns_"+strings.ToLower(dns.RcodeToString[m.Rcode]), 1)
	if err := w.WriteMsg(m); err != nil {
		s.Metrics.Add("dns_write_errors", 1)
	}
}

// answerQuestion fills in the answer to a question.
func (s *Server) answerQuestion(m *dns.Msg, q dns.Question) {
	name := dns.CanonicalName(q.Name)
	if !dns.IsSubDomain(s.Zone, name) {
		m.Rcode, m.Authoritative = dns.RcodeRefused, false
		return
	}
	soa := &dns.SOA{Hdr: recordHeader(s.Zone, dns.TypeSOA), Ns: "ns." + s.Zone, Mbox: "hostmaster." + s.Zone, Serial: 1,
		Refresh: 60, Retry: 60, Expire: 60}
	rest := strings.TrimSuffix(strings.TrimSuffix(name, s.Zone), ".")
	switch {
	case rest == "":
		if q.Qtype == dns.TypeSOA {
			m.Answer = append(m.Answer, soa)
		} else {
			m.Ns = append(m.Ns, soa)
		}
		return
	case strings.HasPrefix(rest, "s-") && !strings.Contains(rest, "."):
		s.answerTarget(m, q, rest, soa)
		return
	}
	req, rcode := s.parseName(rest)
	if rcode != dns.RcodeSuccess {
		if m.Rcode = rcode; rcode == dns.RcodeNameError {
			m.Ns = append(m.Ns, soa)
		}
		return
	}
	if q.Qtype != dns.TypeA && q.Qtype != dns.TypeSRV {
		m.Ns = append(m.Ns, soa) // the name is there, with nothing of that type
		return
	}
	at, id, ok := s.selectServer(req)
	if !ok {
		m.Rcode = dns.RcodeServerFailure
		return
	}
	a := &dns.A{Hdr: recordHeader(q.Name, dns.TypeA), A: at.Addr().AsSlice()}
	if q.Qtype == dns.TypeA {
		m.Answer = append(m.Answer, a)
		return
	}
	a.Hdr.Name = fmt.Sprintf("s-%08x.%s", uint64(id), s.Zone)
	m.Answer = append(m.Answer, &dns.SRV{Hdr: recordHeader(q.Name, dns.TypeSRV), Port: at.Port(), Target: a.Hdr.Name})
	m.Extra = append(m.Extra, a)
}

func recordHeader(name string, kind uint16) dns.RR_Header {
	return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: recordTTL}
}

// query is a parsed name.
type query struct {
	class  int
	object routing.ObjectID
	chunk  int
	group  int // -1: the name does not tell it
}

// parseName reads the part of a name before the zone.
func (s *Server) parseName(rest string) (query, int) {
	l := query{class: -1, group: -1}
	words := strings.Split(rest, ".")
	if len(words) == 4 && strings.HasPrefix(words[2], "g") {
		n, err := strconv.ParseUint(words[2][1:], 10, 8)
		if err != nil {
			return l, dns.RcodeFormatError
		}
		l.group = int(n)
		words = append(words[:2], words[3])
	}
	if len(words) != 3 {
		return l, dns.RcodeFormatError
	}
	part, err := strconv.ParseUint(words[0], 10, 31)
	object, err2 := strconv.ParseUint(words[1], 16, 64)
	if err != nil || err2 != nil || len(words[1]) != 16 || object == 0 {
		return l, dns.RcodeFormatError
	}
	l.chunk, l.object = int(part), routing.ObjectID(object)
	for i, k := range s.Classes() {
		if strings.EqualFold(k.Name, words[2]) {
			l.class = i
		}
	}
	if l.class < 0 {
		return l, dns.RcodeNameError
	}
	return l, dns.RcodeSuccess
}

// selectServer has the core choose a box.
func (s *Server) selectServer(l query) (netip.AddrPort, routing.ServerID, bool) {
	if s.mayBeStale(l) {
		return netip.AddrPort{}, 0, false
	}
	answers := make(chan dispatch.Response, 1)
	r := &dispatch.Request{Class: l.class, Object: l.object, Chunk: l.chunk, Group: max(l.group, 0), Transport: s,
		Deadline: s.Clock.Now() + s.TimeoutMs, Respond: func(a dispatch.Response) { answers <- a }}
	if !s.Dispatcher.Submit(r) {
		return netip.AddrPort{}, 0, false
	}
	// The core answers by the deadline; the wait here is bounded for the case
	// that it stops meanwhile.
	wait := time.NewTimer(clock.Duration(s.TimeoutMs) + ioTimeout)
	defer wait.Stop()
	var a dispatch.Response
	select {
	case a = <-answers:
	case <-wait.C:
		s.Dispatcher.Disconnect(r)
	}
	// Held against the change log once more: the answer leaves now.
	if a.Kind != dispatch.Served || s.Guard().Excludes(a.Server) || s.mayBeStale(l) {
		return netip.AddrPort{}, 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.addresses[a.Server]
	if ok && at.Addr().Is4() {
		s.targetExpiry[a.Server] = s.Clock.Now() + targetLifetimeMs
		return at, a.Server, true
	}
	return at, 0, false
}

// mayBeStale tells whether old copies of the object may lie about. A DNS answer
// cannot say how old a copy may be, so no box may be named meanwhile.
func (s *Server) mayBeStale(l query) bool {
	return !s.Classes()[l.class].Write && s.Guard().MayBeStale(clock.Duration(s.Clock.Now()), l.object, l.group)
}

// answerTarget answers for the target of a recent SRV answer.
func (s *Server) answerTarget(m *dns.Msg, q dns.Question, rest string, soa *dns.SOA) {
	n, err := strconv.ParseUint(rest[len("s-"):], 16, 32)
	id := routing.ServerID(n)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for k, until := range s.targetExpiry {
		if until < now {
			delete(s.targetExpiry, k)
		}
	}
	at, ok := s.addresses[id]
	switch _, fresh := s.targetExpiry[id]; {
	case err != nil || !ok || !fresh || s.Guard().Excludes(id):
		m.Rcode = dns.RcodeNameError
		m.Ns = append(m.Ns, soa)
	case q.Qtype == dns.TypeA:
		m.Answer = append(m.Answer, &dns.A{Hdr: recordHeader(q.Name, dns.TypeA), A: at.Addr().AsSlice()})
	default:
		m.Ns = append(m.Ns, soa)
	}
}
