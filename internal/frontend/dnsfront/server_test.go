package dnsfront

import (
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"

	"garnetline/internal/clock"
	"garnetline/internal/golden"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// Every kind of question and its reply, to the byte, over UDP and TCP. A line of the fixture is
// a name, the question and the reply. Only one cache is listed, so that the fixture does not
// depend on the selection.
func TestGoldenMessages(t *testing.T) {
	h := newHarness(t)
	h.publish(true, endpoint(1, 0, routing.Ready), endpoint(8, 1, routing.Ready), endpoint(9, 2, routing.Ready))
	const target = "s-00000001." + testZone
	question := func(name string, kind uint16) *dns.Msg { return new(dns.Msg).SetQuestion(name, kind) }
	other := func(change func(*dns.Msg)) *dns.Msg {
		m := question(queryName(1), dns.TypeA)
		change(m)
		return m
	}
	purged := fmt.Sprintf("0.%016x.part.%s", 0xaa, testZone)
	h.purge(0xaa, 0)
	var out strings.Builder
	for _, test := range []struct {
		name     string
		question *dns.Msg
	}{
		{"target of no answer yet", question(target, dns.TypeA)},
		{"address", question(queryName(1), dns.TypeA)},
		{"address, group not told", question("3.7f3a9c21e0b4d655.form."+testZone, dns.TypeA)},
		{"address, capitals", question(strings.ToUpper(queryName(1)), dns.TypeA)},
		{"address, EDNS0", other(func(m *dns.Msg) { m.SetEdns0(4096, true) })},
		{"address, any class", other(func(m *dns.Msg) { m.Question[0].Qclass = dns.ClassANY })},
		{"service", question(queryName(1), dns.TypeSRV)},
		{"target", question(target, dns.TypeA)},
		{"target, another type", question(target, dns.TypeAAAA)},
		{"another type", question(queryName(1), dns.TypeAAAA)},
		{"zone", question(testZone, dns.TypeSOA)},
		{"zone, another type", question(testZone, dns.TypeNS)},
		{"purged", question(purged, dns.TypeA)},
		{"unknown class of objects", question("1.00000000000000aa.nothing."+testZone, dns.TypeA)},
		{"malformed name", question("x.00000000000000aa.part."+testZone, dns.TypeA)},
		{"another zone", question("example.org.", dns.TypeA)},
		{"another class", other(func(m *dns.Msg) { m.Question[0].Qclass = dns.ClassCHAOS })},
		{"another operation", other(func(m *dns.Msg) { m.Opcode = dns.OpcodeNotify })},
		{"unknown operation", other(func(m *dns.Msg) { m.Opcode = dns.OpcodeStatus })},
		{"two questions", other(func(m *dns.Msg) { m.Question = append(m.Question, m.Question[0]) })},
		{"no question", other(func(m *dns.Msg) { m.Question = nil })},
	} {
		test.question.Id = 0x1234
		query, err := test.question.Pack()
		if err != nil {
			t.Fatal(err)
		}
		answer := h.exchangeRaw("udp", query)
		if tcp := h.exchangeRaw("tcp", query); string(tcp) != string(answer) {
			t.Errorf("%s: % x over UDP, % x over TCP", test.name, answer, tcp)
		}
		fmt.Fprintf(&out, "%s\t%s\t%s\n", test.name, hex.EncodeToString(query), hex.EncodeToString(answer))
	}
	golden.Compare(t, "messages.golden", []byte(out.String()))
}

// The answer to an SRV query has the port and a target that resolves for as long as it may be
// used.
func TestSRV(t *testing.T) {
	h := newHarness(t)
	h.listServers()
	m := h.query("udp", queryName(4), dns.TypeSRV)
	srv, ok := m.Answer[0].(*dns.SRV)
	if !ok || srv.Port != 5050 || srv.Hdr.Ttl != 0 || len(m.Extra) != 1 {
		t.Fatalf("%v", m)
	}
	want := m.Extra[0].(*dns.A).A.String()
	if got := answeredAddress(h.query("udp", srv.Target, dns.TypeA)); got != want {
		t.Errorf("the target resolves to %q, want %q", got, want)
	}
	h.clock.Advance(1500)
	if m := h.query("udp", srv.Target, dns.TypeA); m.Rcode != dns.RcodeNameError {
		t.Errorf("the target still resolves: %v", m)
	}
}

// Queries that are not for an object, or that cannot be answered.
func TestOtherQueries(t *testing.T) {
	h := newHarness(t)
	h.listServers()
	for _, test := range []struct {
		name string
		kind uint16
		want int
	}{
		{"example.org.", dns.TypeA, dns.RcodeRefused},
		{"notgarnet.test.", dns.TypeA, dns.RcodeRefused},
		{testZone, dns.TypeSOA, dns.RcodeSuccess},
		{strings.ToUpper(queryName(1)), dns.TypeA, dns.RcodeSuccess},
		{queryName(1), dns.TypeAAAA, dns.RcodeSuccess},
		{"1.00000000000000aa.nothing." + testZone, dns.TypeA, dns.RcodeNameError},
		{"s-00000001." + testZone, dns.TypeA, dns.RcodeNameError},
		{"x.00000000000000aa.part." + testZone, dns.TypeA, dns.RcodeFormatError},
		{"1.aa.part." + testZone, dns.TypeA, dns.RcodeFormatError},
		{"1.00000000000000aa.g999.part." + testZone, dns.TypeA, dns.RcodeFormatError},
		{"part." + testZone, dns.TypeA, dns.RcodeFormatError},
	} {
		for _, network := range []string{"udp", "tcp"} {
			if m := h.query(network, test.name, test.kind); m.Rcode != test.want {
				t.Errorf("%s %s: %s, want %s", network, test.name, dns.RcodeToString[m.Rcode], dns.RcodeToString[test.want])
			}
		}
	}
	conn, err := net.Dial("udp", h.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	broken := append([]byte{0x12, 0x34, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0}, 0x3f, 'x') // a question cut short
	if _, err := conn.Write(broken); err != nil {
		t.Fatal(err)
	}
	reply := make([]byte, 512)
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := conn.Read(reply); err != nil || n < 4 || int(reply[3]&15) != dns.RcodeFormatError {
		t.Errorf("a broken message: % x, %v", reply[:n], err)
	}
}

// While copies from before a purge may exist, no server is returned for what was purged, since
// an answer cannot limit the age of a copy.
func TestPurge(t *testing.T) {
	h := newHarness(t)
	h.listServers()
	chunk := func(object, group string) string { return "0." + object + group + ".part." + testZone }
	const hit, other = "00000000000000aa", "00000000000000bb"
	check := func(when, name string, want int) {
		t.Helper()
		if m := h.query("udp", name, dns.TypeA); m.Rcode != want || (want == dns.RcodeSuccess) != (answeredAddress(m) != "") {
			t.Errorf("%s, %s: %v %v", when, name, dns.RcodeToString[m.Rcode], m.Answer)
		}
	}
	h.purge(0xaa, 0)
	check("purged object", chunk(hit, ".g3"), dns.RcodeServerFailure)
	check("another object", chunk(other, ".g3"), dns.RcodeSuccess)
	h.purge(0, 5)
	check("purged group", chunk(other, ".g5"), dns.RcodeServerFailure)
	check("another group", chunk(other, ".g4"), dns.RcodeSuccess)
	check("a name without a group", chunk(other, ""), dns.RcodeServerFailure)
	check("a write", "0."+other+".g5.form."+testZone, dns.RcodeSuccess)
	h.clock.Advance(6001)
	check("after the retention", chunk(hit, ".g5"), dns.RcodeSuccess)
}

// resolver caches answers for their TTL, by the clock of the test.
type resolver struct {
	harness *harness
	cache   map[string]cachedAnswer
}

type cachedAnswer struct {
	addr      string
	expiresAt float64
}

func (s *resolver) resolve(name string) string {
	if k, ok := s.cache[name]; ok && s.harness.clock.Now() < k.expiresAt {
		return k.addr
	}
	m := s.harness.query("udp", name, dns.TypeA)
	addr := answeredAddress(m)
	if addr != "" {
		s.cache[name] = cachedAnswer{addr, s.harness.clock.Now() + 1000*float64(m.Answer[0].Header().Ttl)}
	}
	return addr
}

// A resolver that caches answers for their TTL does not return a draining server, from 300 ms
// after the drain on.
func TestDrainingServersAreNotAnswered(t *testing.T) {
	h := newHarness(t)
	h.listServers()
	caching := &resolver{harness: h, cache: map[string]cachedAnswer{}}
	named := map[string]bool{}
	for i := range 60 {
		named[caching.resolve(queryName(i))] = true
	}
	if !named["127.0.9.1"] || !named["127.0.9.2"] || !named["127.0.9.3"] || len(named) != 3 {
		t.Fatalf("named %v, want all three caches", named)
	}
	h.publish(false, endpoint(2, 0, routing.Draining))
	for range 4 {
		h.clock.Advance(300)
		for i := range 60 {
			if got := caching.resolve(queryName(i)); got == "127.0.9.2" || got == "" {
				t.Fatalf("%.0f ms after the drain: %q", h.clock.Now()-startTime, got)
			}
		}
	}
	h.publish(false, endpoint(1, 0, routing.Removed), endpoint(3, 0, routing.Draining))
	if m := h.query("tcp", queryName(1), dns.TypeA); m.Rcode != dns.RcodeServerFailure {
		t.Errorf("without a ready cache: %v", dns.RcodeToString[m.Rcode])
	}
}

// A server that is warming up is selected no more often than slow start allows, where lookups
// are all that is known of its load.
func TestLookupsCountAgainstWarmingServers(t *testing.T) {
	h := newHarness(t)
	h.publish(true, endpoint(1, 0, routing.Ready), endpoint(8, 1, routing.Ready), endpoint(9, 2, routing.Ready))
	cold := endpoint(2, 0, routing.Ready)
	cold.StartedAt = clock.Duration(h.clock.Now())
	h.publish(false, cold)
	for i := range 200 { // no capacity has been observed: there is none to spare
		h.clock.Advance(5)
		if got := answeredAddress(h.query("udp", queryName(i), dns.TypeA)); got != "127.0.9.1" {
			t.Fatalf("lookup %d returns %q while the other server is warming up", i, got)
		}
	}
	h.clock.Advance(20_000)
	warm := 0
	for i := range 60 {
		if answeredAddress(h.query("udp", queryName(i), dns.TypeA)) == "127.0.9.2" {
			warm++
		}
	}
	if warm == 0 {
		t.Error("the server is never selected after it has warmed up")
	}
}

// Where weights are capacities, a server that is warming up is selected for its quota of the
// lookups, within the budget of each window.
func TestWarmingServersStayWithinTheirBudget(t *testing.T) {
	h := newHarness(t, func(s *routing.Settings) { s.WeightIsCapacity, s.TransferKBPerSecond = true, 1000 })
	heavy := func(id, kind int, started float64) platformconfig.Endpoint {
		server := endpoint(id, kind, routing.Ready)
		server.Weight = 10
		server.StartedAt = clock.Duration(started)
		return server
	}
	h.publish(true, heavy(1, 0, 0), heavy(8, 1, 0), heavy(9, 2, 0))
	h.publish(false, heavy(2, 0, h.clock.Now()))
	cold := 0
	for i := range 150 {
		h.clock.Advance(10)
		if answeredAddress(h.query("udp", queryName(i), dns.TypeA)) == "127.0.9.2" {
			cold++
		}
	}
	// In 1.5 s it may get 3 times its capacity: 0.15 to 0.23 of 10 transfers at a time, each
	// of 0.4 s, the latency objective of the class. That is 3 * 0.23 * 10 * 1.5 / 0.4 at most.
	if most := 25; cold == 0 || cold > most {
		t.Errorf("the server was selected %d times in its first window, want 1 to %d", cold, most)
	}
}
