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
	// targetPrefix is the prefix of the target names in SRV answers. The server id follows the
	// prefix, as eight hexadecimal digits.
	targetPrefix = "s-"

	maxUDPSize = 1232 // bytes; the UDP message size that replies to EDNS0 queries advertise

	// soaIntervalSeconds is the value of the refresh, retry and expire fields of the zone's
	// SOA record.
	soaIntervalSeconds = 60
)

// ServeDNS answers one DNS message. It implements dns.Handler.
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

// supportedClass reports whether the server answers questions of a DNS class.
func supportedClass(class uint16) bool {
	return class == dns.ClassINET || class == dns.ClassANY
}

// answerWithinLimit answers a question. If the server is already answering MaxInflight questions,
// it replies with SERVFAIL instead.
func (s *Server) answerWithinLimit(reply *dns.Msg, question dns.Question) {
	select {
	case s.slots <- struct{}{}:
		s.answerQuestion(reply, question)
		<-s.slots
	default:
		reply.Rcode = dns.RcodeServerFailure
	}
}

// answerQuestion sets the records and the response code of the reply to a question.
func (s *Server) answerQuestion(reply *dns.Msg, question dns.Question) {
	name := dns.CanonicalName(question.Name)
	if !dns.IsSubDomain(s.Zone, name) {
		reply.Rcode = dns.RcodeRefused
		reply.Authoritative = false
		return
	}
	relativeName := strings.TrimSuffix(strings.TrimSuffix(name, s.Zone), ".")
	switch {
	case relativeName == "":
		s.answerZoneApex(reply, question)
	case strings.HasPrefix(relativeName, targetPrefix) && !strings.Contains(relativeName, "."):
		s.answerTarget(reply, question, strings.TrimPrefix(relativeName, targetPrefix))
	default:
		s.answerObject(reply, question, relativeName)
	}
}

// answerZoneApex answers a question whose name is the zone itself.
func (s *Server) answerZoneApex(reply *dns.Msg, question dns.Question) {
	if question.Qtype == dns.TypeSOA {
		reply.Answer = append(reply.Answer, s.startOfAuthority())
		return
	}
	s.addNegativeSOA(reply)
}

// answerObject answers a question about an object. The argument name is relative to the zone.
func (s *Server) answerObject(reply *dns.Msg, question dns.Question, name string) {
	parsed, rcode := s.parseName(name)
	if rcode != dns.RcodeSuccess {
		reply.Rcode = rcode
		if rcode == dns.RcodeNameError {
			s.addNegativeSOA(reply)
		}
		return
	}
	if question.Qtype != dns.TypeA && question.Qtype != dns.TypeSRV {
		s.addNegativeSOA(reply)
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

// answerTarget answers a question about the target name of an SRV answer. hexID is the server
// id in that name.
func (s *Server) answerTarget(reply *dns.Msg, question dns.Question, hexID string) {
	address, ok := s.targetAddress(hexID)
	switch {
	case !ok:
		reply.Rcode = dns.RcodeNameError
		s.addNegativeSOA(reply)
	case question.Qtype == dns.TypeA:
		reply.Answer = append(reply.Answer, addressRecord(question.Name, address))
	default:
		s.addNegativeSOA(reply)
	}
}

// targetAddress returns the address of the server with the given id, which is in hexadecimal. It
// returns true only if three conditions hold: the endpoint list has the server, an SRV answer has
// named the server within the last targetLifetimeMs, and the guard does not exclude the server.
func (s *Server) targetAddress(hexID string) (netip.AddrPort, bool) {
	number, err := strconv.ParseUint(hexID, 16, 32)
	id := routing.ServerID(number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireTargets(s.Clock.Now())
	address, listed := s.addresses[id]
	_, named := s.targetExpiry[id]
	usable := err == nil && listed && named && !s.Guard().Excludes(id)
	return address, usable
}

// expireTargets removes the SRV targets whose lifetime has ended. The caller holds s.mu.
func (s *Server) expireTargets(now float64) {
	for id, expiry := range s.targetExpiry {
		if expiry < now {
			delete(s.targetExpiry, id)
		}
	}
}

// addNegativeSOA adds the zone's SOA record to the authority section of a negative answer. The SOA
// record tells resolvers how long they may cache the negative answer (RFC 2308).
func (s *Server) addNegativeSOA(reply *dns.Msg) {
	reply.Ns = append(reply.Ns, s.startOfAuthority())
}

// startOfAuthority returns the SOA record of the zone.
func (s *Server) startOfAuthority() *dns.SOA {
	return &dns.SOA{
		Hdr:     recordHeader(s.Zone, dns.TypeSOA),
		Ns:      "ns." + s.Zone,
		Mbox:    "hostmaster." + s.Zone,
		Serial:  1,
		Refresh: soaIntervalSeconds,
		Retry:   soaIntervalSeconds,
		Expire:  soaIntervalSeconds,
	}
}

// addressRecord returns an A record that maps a name to the address of a server.
func addressRecord(name string, address netip.AddrPort) *dns.A {
	return &dns.A{Hdr: recordHeader(name, dns.TypeA), A: address.Addr().AsSlice()}
}

func recordHeader(name string, recordType uint16) dns.RR_Header {
	return dns.RR_Header{Name: name, Rrtype: recordType, Class: dns.ClassINET, Ttl: recordTTL}
}
