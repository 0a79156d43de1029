package dnsfront

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/miekg/dns"

	"garnetline/routing"
)

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
