package dnsfront

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/miekg/dns"

	"garnetline/routing"
)

const (
	// targetPrefix begins the target names of SRV answers; the server's id follows.
	targetPrefix = "s-"

	maxUDPSize = 1232 // bytes of a message, offered where the client uses EDNS0

	// soaInterval stands in every field of the zone's SOA record that is a time, in seconds.
	soaInterval = 60
)

// ServeDNS answers one message. The DNS library calls it.
func (s *Server) ServeDNS(w dns.ResponseWriter, request *dns.Msg) {
	reply := new(dns.Msg)
	reply.SetReply(request)
	reply.Authoritative = true
	if request.IsEdns0() != nil {
		reply.SetEdns0(maxUDPSize, false)
	}
	s.Metrics.Add("dns_queries", 1)
	switch {
	case request.Opcode != dns.OpcodeQuery:
		reply.Rcode = dns.RcodeNotImplemented
	case len(request.Question) != 1:
		reply.Rcode = dns.RcodeFormatError
	case !supportedClass(request.Question[0].Qclass):
		reply.Rcode = dns.RcodeRefused
	default:
		s.answerWithinLimit(reply, request.Question[0])
	}
	s.Metrics.Add("dns_"+strings.ToLower(dns.RcodeToString[reply.Rcode]), 1)
	if err := w.WriteMsg(reply); err != nil {
		s.Metrics.Add("dns_write_errors", 1)
	}
}

// supportedClass reports whether questions of a DNS class are answered.
func supportedClass(class uint16) bool {
	return class == dns.ClassINET || class == dns.ClassANY
}

// answerWithinLimit answers a question, unless as many as may be are being answered.
func (s *Server) answerWithinLimit(reply *dns.Msg, question dns.Question) {
	select {
	case s.slots <- struct{}{}:
		s.answerQuestion(reply, question)
		<-s.slots
	default:
		reply.Rcode = dns.RcodeServerFailure
	}
}

// answerQuestion fills in the reply to a question.
func (s *Server) answerQuestion(reply *dns.Msg, question dns.Question) {
	name := dns.CanonicalName(question.Name)
	if !dns.IsSubDomain(s.Zone, name) {
		reply.Rcode = dns.RcodeRefused
		reply.Authoritative = false
		return
	}
	rest := strings.TrimSuffix(strings.TrimSuffix(name, s.Zone), ".")
	switch {
	case rest == "":
		s.answerZone(reply, question)
	case strings.HasPrefix(rest, targetPrefix) && !strings.Contains(rest, "."):
		s.answerTarget(reply, question, strings.TrimPrefix(rest, targetPrefix))
	default:
		s.answerObject(reply, question, rest)
	}
}

// answerZone answers for the zone itself.
func (s *Server) answerZone(reply *dns.Msg, question dns.Question) {
	if question.Qtype == dns.TypeSOA {
		reply.Answer = append(reply.Answer, s.startOfAuthority())
		return
	}
	s.answerNoData(reply)
}

// answerObject answers for a name that carries an object.
func (s *Server) answerObject(reply *dns.Msg, question dns.Question, name string) {
	parsed, rcode := s.parseName(name)
	if rcode != dns.RcodeSuccess {
		reply.Rcode = rcode
		if rcode == dns.RcodeNameError {
			s.answerNoData(reply)
		}
		return
	}
	if question.Qtype != dns.TypeA && question.Qtype != dns.TypeSRV {
		s.answerNoData(reply)
		return
	}
	selected, ok := s.selectServer(parsed)
	if !ok {
		reply.Rcode = dns.RcodeServerFailure
		return
	}
	if question.Qtype == dns.TypeA {
		reply.Answer = append(reply.Answer, addressRecord(question.Name, selected.address))
		return
	}
	target := fmt.Sprintf("%s%08x.%s", targetPrefix, uint64(selected.server), s.Zone)
	service := &dns.SRV{
		Hdr:    recordHeader(question.Name, dns.TypeSRV),
		Port:   selected.address.Port(),
		Target: target,
	}
	reply.Answer = append(reply.Answer, service)
	reply.Extra = append(reply.Extra, addressRecord(target, selected.address))
}

// answerTarget answers for the target of a recent SRV answer: the server whose id is given.
func (s *Server) answerTarget(reply *dns.Msg, question dns.Question, id string) {
	address, ok := s.targetAddress(id)
	switch {
	case !ok:
		reply.Rcode = dns.RcodeNameError
		s.answerNoData(reply)
	case question.Qtype == dns.TypeA:
		reply.Answer = append(reply.Answer, addressRecord(question.Name, address))
	default:
		s.answerNoData(reply)
	}
}

// targetAddress returns the address of a server that an SRV answer named less than
// targetLifetimeMs ago and that may still be used.
func (s *Server) targetAddress(text string) (netip.AddrPort, bool) {
	number, err := strconv.ParseUint(text, 16, 32)
	id := routing.ServerID(number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireTargets(s.Clock.Now())
	address, listed := s.addresses[id]
	_, named := s.targetExpiry[id]
	usable := err == nil && listed && named && !s.Guard().Excludes(id)
	return address, usable
}

// expireTargets forgets targets that resolve no longer. s.mu is held.
func (s *Server) expireTargets(now float64) {
	for id, expiry := range s.targetExpiry {
		if expiry < now {
			delete(s.targetExpiry, id)
		}
	}
}

// answerNoData adds the zone's SOA record, which tells how long the absence of an answer may
// be cached.
func (s *Server) answerNoData(reply *dns.Msg) {
	reply.Ns = append(reply.Ns, s.startOfAuthority())
}

// startOfAuthority returns the SOA record of the zone.
func (s *Server) startOfAuthority() *dns.SOA {
	return &dns.SOA{
		Hdr:     recordHeader(s.Zone, dns.TypeSOA),
		Ns:      "ns." + s.Zone,
		Mbox:    "hostmaster." + s.Zone,
		Serial:  1,
		Refresh: soaInterval,
		Retry:   soaInterval,
		Expire:  soaInterval,
	}
}

// addressRecord returns the A record of a server.
func addressRecord(name string, address netip.AddrPort) *dns.A {
	return &dns.A{Hdr: recordHeader(name, dns.TypeA), A: address.Addr().AsSlice()}
}

func recordHeader(name string, recordType uint16) dns.RR_Header {
	return dns.RR_Header{Name: name, Rrtype: recordType, Class: dns.ClassINET, Ttl: recordTTL}
}
