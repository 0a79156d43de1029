package dnsfront

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/miekg/dns"

	"garnetline/internal/clock"
	"garnetline/internal/golden"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// TestGoldenMessages compares the bytes of the reply to each kind of question, over UDP and TCP,
// with a golden file. A line of the file holds the name of a case, the query and the reply. The
// endpoint list has only one cache, so that the dispatcher always selects the same cache.
func TestGoldenMessages(t *testing.T) {
	harness := newHarness(t)
	harness.listOneCache()
	const target = "s-00000001." + testZone
	question := func(name string, recordType uint16) *dns.Msg { return new(dns.Msg).SetQuestion(name, recordType) }
	modified := func(modify func(*dns.Msg)) *dns.Msg {
		message := question(queryName(1), dns.TypeA)
		modify(message)
		return message
	}
	purged := fmt.Sprintf("0.%016x.part.%s", 0xaa, testZone)
	harness.purge(0xaa, 0)
	var out strings.Builder
	for _, test := range []struct {
		name     string
		question *dns.Msg
	}{
		{"target of no answer yet", question(target, dns.TypeA)},
		{"address", question(queryName(1), dns.TypeA)},
		{"address, group not told", question("3.7f3a9c21e0b4d655.form."+testZone, dns.TypeA)},
		{"address, capitals", question(strings.ToUpper(queryName(1)), dns.TypeA)},
		{"address, EDNS0", modified(func(m *dns.Msg) { m.SetEdns0(4096, true) })},
		{"address, any class", modified(func(m *dns.Msg) { m.Question[0].Qclass = dns.ClassANY })},
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
		{"another class", modified(func(m *dns.Msg) { m.Question[0].Qclass = dns.ClassCHAOS })},
		{"another operation", modified(func(m *dns.Msg) { m.Opcode = dns.OpcodeNotify })},
		{"unknown operation", modified(func(m *dns.Msg) { m.Opcode = dns.OpcodeStatus })},
		{"two questions", modified(func(m *dns.Msg) { m.Question = append(m.Question, m.Question[0]) })},
		{"no question", modified(func(m *dns.Msg) { m.Question = nil })},
	} {
		test.question.Id = 0x1234
		query, err := test.question.Pack()
		if err != nil {
			t.Fatal(err)
		}
		reply := harness.exchangeRaw(t, "udp", query)
		if tcp := harness.exchangeRaw(t, "tcp", query); !bytes.Equal(tcp, reply) {
			t.Errorf("%s: got reply % x over UDP and % x over TCP, want the same reply", test.name, reply, tcp)
		}
		fmt.Fprintf(&out, "%s\t%s\t%s\n", test.name, hex.EncodeToString(query), hex.EncodeToString(reply))
	}
	golden.Compare(t, "messages.golden", []byte(out.String()))
}

// TestSRVAnswerHasPortAndTarget checks that the answer to an SRV query has the selected server's
// port and a target name. For one second, the target name resolves to the address of that server.
func TestSRVAnswerHasPortAndTarget(t *testing.T) {
	harness := newHarness(t)
	harness.listServers()
	reply := harness.query(t, "udp", queryName(4), dns.TypeSRV)
	if len(reply.Answer) == 0 || len(reply.Extra) != 1 {
		t.Fatalf("got reply %v, want an answer and one additional record", reply)
	}
	srv, ok := reply.Answer[0].(*dns.SRV)
	if !ok || srv.Port != 5050 || srv.Hdr.Ttl != 0 {
		t.Fatalf("got reply %v, want an SRV record with port 5050 and TTL 0", reply)
	}
	address, ok := reply.Extra[0].(*dns.A)
	if !ok {
		t.Fatalf("got reply %v, want an A record as the additional record", reply)
	}
	want := address.A.String()
	if got := answeredAddress(harness.query(t, "udp", srv.Target, dns.TypeA)); got != want {
		t.Errorf("target resolves to %q, want %q", got, want)
	}
	harness.clock.Advance(1500)
	if reply := harness.query(t, "udp", srv.Target, dns.TypeA); reply.Rcode != dns.RcodeNameError {
		t.Errorf("reply after the target's lifetime: %v, want response code %s", reply, dns.RcodeToString[dns.RcodeNameError])
	}
}

// TestResponseCodes checks the response codes of queries that are not for an object, that are
// rejected, or that have no records.
func TestResponseCodes(t *testing.T) {
	harness := newHarness(t)
	harness.listServers()
	for _, test := range []struct {
		name       string
		recordType uint16
		want       int
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
			t.Run(network+" "+test.name+" "+dns.TypeToString[test.recordType], func(t *testing.T) {
				if got := harness.query(t, network, test.name, test.recordType).Rcode; got != test.want {
					t.Errorf("got response code %s, want %s", dns.RcodeToString[got], dns.RcodeToString[test.want])
				}
			})
		}
	}
}

func TestMalformedMessageIsAFormatError(t *testing.T) {
	harness := newHarness(t)
	harness.listServers()
	header := []byte{0x12, 0x34, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0}
	reply := harness.exchangeRaw(t, "udp", append(header, 0x3f, 'x')) // the question is truncated
	const rcodeByte, rcodeMask = 3, 0x0f
	if len(reply) <= rcodeByte || int(reply[rcodeByte]&rcodeMask) != dns.RcodeFormatError {
		t.Errorf("got reply % x, want response code %d", reply, dns.RcodeFormatError)
	}
}

// TestPurgedObjectsAreNotAnswered checks that the DNS server names no server for a purged object
// until purgeRetention after the purge. During that time, caches may hold copies that are too old,
// and a DNS answer cannot tell a cache which copies are too old.
func TestPurgedObjectsAreNotAnswered(t *testing.T) {
	harness := newHarness(t)
	harness.listServers()
	chunk := func(object, group string) string { return "0." + object + group + ".part." + testZone }
	const purged, other = "00000000000000aa", "00000000000000bb"
	check := func(when, name string, want int) {
		t.Helper()
		reply := harness.query(t, "udp", name, dns.TypeA)
		if reply.Rcode != want {
			t.Errorf("%s, %s: got response code %s, want %s", when, name, dns.RcodeToString[reply.Rcode], dns.RcodeToString[want])
		}
		answered := answeredAddress(reply) != ""
		if wantAnswer := want == dns.RcodeSuccess; answered != wantAnswer {
			t.Errorf("%s, %s: got answer %v, want an answer with an address: %v", when, name, reply.Answer, wantAnswer)
		}
	}
	harness.purge(0xaa, 0)
	check("purged object", chunk(purged, ".g3"), dns.RcodeServerFailure)
	check("another object", chunk(other, ".g3"), dns.RcodeSuccess)
	harness.purge(0, 5)
	check("purged group", chunk(other, ".g5"), dns.RcodeServerFailure)
	check("another group", chunk(other, ".g4"), dns.RcodeSuccess)
	check("a name without a group", chunk(other, ""), dns.RcodeServerFailure)
	check("a write", "0."+other+".g5.form."+testZone, dns.RcodeSuccess)
	harness.clock.Advance(clock.Millis(purgeRetention) + 1)
	check("after the retention", chunk(purged, ".g5"), dns.RcodeSuccess)
}

// cachingResolver caches answers for their TTL, measured on the clock of the harness.
type cachingResolver struct {
	harness *harness
	cache   map[string]cachedAnswer
}

type cachedAnswer struct {
	address   string
	expiresAt float64 // ms
}

// resolve returns the address of a name, or "" if the answer has none.
func (r *cachingResolver) resolve(name string) string {
	if cached, ok := r.cache[name]; ok && r.harness.clock.Now() < cached.expiresAt {
		return cached.address
	}
	reply := r.harness.query(r.harness.t, "udp", name, dns.TypeA)
	address := answeredAddress(reply)
	if address != "" {
		ttlMs := 1000 * float64(reply.Answer[0].Header().Ttl)
		r.cache[name] = cachedAnswer{address, r.harness.clock.Now() + ttlMs}
	}
	return address
}

// TestDrainingServersAreNotAnswered checks that a resolver that caches answers for their TTL no
// longer returns a draining server 300 ms after the drain began.
func TestDrainingServersAreNotAnswered(t *testing.T) {
	harness := newHarness(t)
	harness.listServers()
	resolver := &cachingResolver{harness: harness, cache: map[string]cachedAnswer{}}
	answered := map[string]bool{}
	for i := range 60 {
		answered[resolver.resolve(queryName(i))] = true
	}
	if want := map[string]bool{"127.0.9.1": true, "127.0.9.2": true, "127.0.9.3": true}; !maps.Equal(answered, want) {
		t.Fatalf("got answers %v, want all three caches", answered)
	}
	harness.publish(false, endpoint(2, cacheKind, routing.Draining))
	for range 4 {
		harness.clock.Advance(300)
		for i := range 60 {
			if got := resolver.resolve(queryName(i)); got == "127.0.9.2" || got == "" {
				t.Fatalf("%.0f ms after the drain began: got address %q, want the address of a cache that is not draining", harness.clock.Now()-startTime, got)
			}
		}
	}
	harness.publish(false, endpoint(1, cacheKind, routing.Removed), endpoint(3, cacheKind, routing.Draining))
	if got := harness.query(t, "tcp", queryName(1), dns.TypeA).Rcode; got != dns.RcodeServerFailure {
		t.Errorf("without a ready cache: got response code %s, want %s", dns.RcodeToString[got], dns.RcodeToString[dns.RcodeServerFailure])
	}
}

// TestLookupsCountAgainstWarmingServers checks that each DNS lookup counts against the capacity that
// slow start gives to a cache that is warming up. The DNS server does not see the transfers of a
// cache, so the lookups are all that it knows about the load of the cache.
func TestLookupsCountAgainstWarmingServers(t *testing.T) {
	harness := newHarness(t)
	harness.listOneCache()
	warmingUp := endpoint(2, cacheKind, routing.Ready)
	warmingUp.StartedAt = clock.Duration(harness.clock.Now())
	harness.publish(false, warmingUp)
	for i := range 200 { // no capacity has been observed, so slow start gives none to the new server
		harness.clock.Advance(5)
		if got := answeredAddress(harness.query(t, "udp", queryName(i), dns.TypeA)); got != "127.0.9.1" {
			t.Fatalf("lookup %d returns %q, want 127.0.9.1 while the other server is warming up", i, got)
		}
	}
	harness.clock.Advance(20_000)
	if selected := harness.countAnswers(t, "127.0.9.2", 60, 0); selected == 0 {
		t.Error("the server was not selected after its slow start, want at least one lookup")
	}
}

// TestWarmingServersStayWithinTheirBudget checks how many DNS lookups select a server that is
// warming up, if the weights of servers are their capacities. At least one lookup selects the
// server, and no more lookups do than slow start allows in the time of the test.
func TestWarmingServersStayWithinTheirBudget(t *testing.T) {
	harness := newHarness(t, func(settings *routing.Settings) {
		settings.WeightIsCapacity = true
		settings.TransferKBPerSecond = 1000
	})
	weighted := func(id, kind int, startedAt float64) platformconfig.Endpoint {
		server := endpoint(id, kind, routing.Ready)
		server.Weight = 10
		server.StartedAt = clock.Duration(startedAt)
		return server
	}
	harness.publish(true, weighted(1, cacheKind, 0), weighted(8, parentKind, 0), weighted(9, originKind, 0))
	harness.publish(false, weighted(2, cacheKind, harness.clock.Now()))
	selected := harness.countAnswers(t, "127.0.9.2", 150, 10)
	// For 1.5 s, slow start lets the server get up to 3 times its present capacity. In this time,
	// its capacity grows from 0.15 to 0.23 of its full capacity, which is 10 concurrent transfers.
	// A transfer takes 0.4 s, the latency objective of the class. The upper bound is therefore
	// 3 * (0.23 * 10 transfers) * 1.5 s / 0.4 s, which is 25.9 transfers.
	const maxSelected = 25
	if selected == 0 || selected > maxSelected {
		t.Errorf("the server was selected %d times in its first window, want 1 to %d", selected, maxSelected)
	}
}

// countAnswers sends queries for different names at an interval of intervalMs. It returns how many
// answers hold the given address.
func (h *harness) countAnswers(t *testing.T, address string, queries int, intervalMs float64) int {
	t.Helper()
	count := 0
	for i := range queries {
		h.clock.Advance(intervalMs)
		if answeredAddress(h.query(t, "udp", queryName(i), dns.TypeA)) == address {
			count++
		}
	}
	return count
}

// TestQueriesBeyondTheLimitFail checks that the DNS server replies to a query with SERVFAIL
// immediately while it is answering MaxInflight other queries, so that the resolver can ask another
// DNS server.
func TestQueriesBeyondTheLimitFail(t *testing.T) {
	server := New(Options{Config: Config{Zone: testZone, MaxInflight: 1}})
	server.slots <- struct{}{} // a query is being answered
	query := new(dns.Msg).SetQuestion(queryName(1), dns.TypeA)
	reply := new(dns.Msg).SetReply(query)
	server.answerWithinLimit(reply, query.Question[0])
	if reply.Rcode != dns.RcodeServerFailure || len(reply.Answer) != 0 {
		t.Errorf("got response code %s and answer %v, want %s without an answer", dns.RcodeToString[reply.Rcode], reply.Answer, dns.RcodeToString[dns.RcodeServerFailure])
	}
}
