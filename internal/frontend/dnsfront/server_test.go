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

// Every kind of question and its reply, to the byte, over UDP and TCP. A line of the fixture is
// a name, the question and the reply. Only one cache is listed, so that the fixture does not
// depend on the selection.
func TestGoldenMessages(t *testing.T) {
	front := newHarness(t)
	front.listOneCache()
	const target = "s-00000001." + testZone
	question := func(name string, kind uint16) *dns.Msg { return new(dns.Msg).SetQuestion(name, kind) }
	other := func(change func(*dns.Msg)) *dns.Msg {
		message := question(queryName(1), dns.TypeA)
		change(message)
		return message
	}
	purged := fmt.Sprintf("0.%016x.part.%s", 0xaa, testZone)
	front.purge(0xaa, 0)
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
		reply := front.exchangeRaw(t, "udp", query)
		if tcp := front.exchangeRaw(t, "tcp", query); !bytes.Equal(tcp, reply) {
			t.Errorf("%s: % x over UDP, % x over TCP; want the same", test.name, reply, tcp)
		}
		fmt.Fprintf(&out, "%s\t%s\t%s\n", test.name, hex.EncodeToString(query), hex.EncodeToString(reply))
	}
	golden.Compare(t, "messages.golden", []byte(out.String()))
}

// The answer to an SRV query has the port and a target that resolves for as long as it may be
// used.
func TestSRVAnswerHasPortAndTarget(t *testing.T) {
	front := newHarness(t)
	front.listServers()
	reply := front.query(t, "udp", queryName(4), dns.TypeSRV)
	if len(reply.Answer) == 0 || len(reply.Extra) != 1 {
		t.Fatalf("%v, want an answer with one additional record", reply)
	}
	srv, ok := reply.Answer[0].(*dns.SRV)
	if !ok || srv.Port != 5050 || srv.Hdr.Ttl != 0 {
		t.Fatalf("%v, want an SRV record with port 5050 and TTL 0", reply)
	}
	address, ok := reply.Extra[0].(*dns.A)
	if !ok {
		t.Fatalf("%v, want an address as additional record", reply)
	}
	want := address.A.String()
	if got := answeredAddress(front.query(t, "udp", srv.Target, dns.TypeA)); got != want {
		t.Errorf("the target resolves to %q, want %q", got, want)
	}
	front.clock.Advance(1500)
	if reply := front.query(t, "udp", srv.Target, dns.TypeA); reply.Rcode != dns.RcodeNameError {
		t.Errorf("the target still resolves: %v, want %s", reply, dns.RcodeToString[dns.RcodeNameError])
	}
}

// Queries that are not for an object, or that cannot be answered.
func TestResponseCodes(t *testing.T) {
	front := newHarness(t)
	front.listServers()
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
			t.Run(network+" "+test.name+" "+dns.TypeToString[test.kind], func(t *testing.T) {
				if got := front.query(t, network, test.name, test.kind).Rcode; got != test.want {
					t.Errorf("%s, want %s", dns.RcodeToString[got], dns.RcodeToString[test.want])
				}
			})
		}
	}
}

func TestMalformedMessageIsAFormatError(t *testing.T) {
	front := newHarness(t)
	front.listServers()
	header := []byte{0x12, 0x34, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0}
	reply := front.exchangeRaw(t, "udp", append(header, 0x3f, 'x')) // a question cut short
	const rcodeByte, rcodeMask = 3, 0x0f
	if len(reply) <= rcodeByte || int(reply[rcodeByte]&rcodeMask) != dns.RcodeFormatError {
		t.Errorf("reply % x, want response code %d", reply, dns.RcodeFormatError)
	}
}

// While copies from before a purge may exist, no server is returned for what was purged, since
// an answer cannot limit the age of a copy.
func TestPurgedObjectsAreNotAnswered(t *testing.T) {
	front := newHarness(t)
	front.listServers()
	chunk := func(object, group string) string { return "0." + object + group + ".part." + testZone }
	const purged, other = "00000000000000aa", "00000000000000bb"
	check := func(when, name string, want int) {
		t.Helper()
		reply := front.query(t, "udp", name, dns.TypeA)
		if reply.Rcode != want {
			t.Errorf("%s, %s: %s, want %s", when, name, dns.RcodeToString[reply.Rcode], dns.RcodeToString[want])
		}
		answered := answeredAddress(reply) != ""
		if wantAnswer := want == dns.RcodeSuccess; answered != wantAnswer {
			t.Errorf("%s, %s: answer %v, want an address: %v", when, name, reply.Answer, wantAnswer)
		}
	}
	front.purge(0xaa, 0)
	check("purged object", chunk(purged, ".g3"), dns.RcodeServerFailure)
	check("another object", chunk(other, ".g3"), dns.RcodeSuccess)
	front.purge(0, 5)
	check("purged group", chunk(other, ".g5"), dns.RcodeServerFailure)
	check("another group", chunk(other, ".g4"), dns.RcodeSuccess)
	check("a name without a group", chunk(other, ""), dns.RcodeServerFailure)
	check("a write", "0."+other+".g5.form."+testZone, dns.RcodeSuccess)
	front.clock.Advance(clock.Millis(purgeRetention) + 1)
	check("after the retention", chunk(purged, ".g5"), dns.RcodeSuccess)
}

// cachingResolver caches answers for their TTL, by the clock of the test.
type cachingResolver struct {
	front *harness
	cache map[string]cachedAnswer
}

type cachedAnswer struct {
	address   string
	expiresAt float64 // ms
}

// resolve returns the address of a name, or nothing.
func (r *cachingResolver) resolve(name string) string {
	if cached, ok := r.cache[name]; ok && r.front.clock.Now() < cached.expiresAt {
		return cached.address
	}
	reply := r.front.query(r.front.t, "udp", name, dns.TypeA)
	address := answeredAddress(reply)
	if address != "" {
		ttlMs := 1000 * float64(reply.Answer[0].Header().Ttl)
		r.cache[name] = cachedAnswer{address, r.front.clock.Now() + ttlMs}
	}
	return address
}

// A resolver that caches answers for their TTL does not return a draining server, from 300 ms
// after the drain on.
func TestDrainingServersAreNotAnswered(t *testing.T) {
	front := newHarness(t)
	front.listServers()
	resolver := &cachingResolver{front: front, cache: map[string]cachedAnswer{}}
	answered := map[string]bool{}
	for i := range 60 {
		answered[resolver.resolve(queryName(i))] = true
	}
	if want := map[string]bool{"127.0.9.1": true, "127.0.9.2": true, "127.0.9.3": true}; !maps.Equal(answered, want) {
		t.Fatalf("answers %v, want all three caches", answered)
	}
	front.publish(false, endpoint(2, cacheKind, routing.Draining))
	for range 4 {
		front.clock.Advance(300)
		for i := range 60 {
			if got := resolver.resolve(queryName(i)); got == "127.0.9.2" || got == "" {
				t.Fatalf("%.0f ms after the drain: %q", front.clock.Now()-startTime, got)
			}
		}
	}
	front.publish(false, endpoint(1, cacheKind, routing.Removed), endpoint(3, cacheKind, routing.Draining))
	if got := front.query(t, "tcp", queryName(1), dns.TypeA).Rcode; got != dns.RcodeServerFailure {
		t.Errorf("without a ready cache: %s, want %s", dns.RcodeToString[got], dns.RcodeToString[dns.RcodeServerFailure])
	}
}

// A server that is warming up is selected no more often than slow start allows, where lookups
// are all that is known of its load.
func TestLookupsCountAgainstWarmingServers(t *testing.T) {
	front := newHarness(t)
	front.listOneCache()
	warmingUp := endpoint(2, cacheKind, routing.Ready)
	warmingUp.StartedAt = clock.Duration(front.clock.Now())
	front.publish(false, warmingUp)
	for i := range 200 { // no capacity has been observed: there is none to spare
		front.clock.Advance(5)
		if got := answeredAddress(front.query(t, "udp", queryName(i), dns.TypeA)); got != "127.0.9.1" {
			t.Fatalf("lookup %d returns %q while the other server is warming up", i, got)
		}
	}
	front.clock.Advance(20_000)
	if selected := front.countAnswers(t, "127.0.9.2", 60, 0); selected == 0 {
		t.Error("the server is never selected after it has warmed up")
	}
}

// Where weights are capacities, a server that is warming up is selected for its quota of the
// lookups, within the budget of each window.
func TestWarmingServersStayWithinTheirBudget(t *testing.T) {
	front := newHarness(t, func(settings *routing.Settings) {
		settings.WeightIsCapacity = true
		settings.TransferKBPerSecond = 1000
	})
	weighted := func(id, kind int, startedAt float64) platformconfig.Endpoint {
		server := endpoint(id, kind, routing.Ready)
		server.Weight = 10
		server.StartedAt = clock.Duration(startedAt)
		return server
	}
	front.publish(true, weighted(1, cacheKind, 0), weighted(8, parentKind, 0), weighted(9, originKind, 0))
	front.publish(false, weighted(2, cacheKind, front.clock.Now()))
	selected := front.countAnswers(t, "127.0.9.2", 150, 10)
	// In 1.5 s it may get 3 times its capacity: 0.15 to 0.23 of 10 transfers at a time, each
	// of 0.4 s, the latency objective of the class. That is 3 * 0.23 * 10 * 1.5 / 0.4 at most.
	const maxSelected = 25
	if selected == 0 || selected > maxSelected {
		t.Errorf("the server was selected %d times in its first window, want 1 to %d", selected, maxSelected)
	}
}

// countAnswers resolves names, one each intervalMs, and returns how many were answered with
// an address.
func (h *harness) countAnswers(t *testing.T, address string, names int, intervalMs float64) int {
	t.Helper()
	count := 0
	for i := range names {
		h.clock.Advance(intervalMs)
		if answeredAddress(h.query(t, "udp", queryName(i), dns.TypeA)) == address {
			count++
		}
	}
	return count
}

// A query beyond MaxInflight is answered at once, so that its resolver asks elsewhere.
func TestQueriesBeyondTheLimitFail(t *testing.T) {
	server := New(Options{Config: Config{Zone: testZone, MaxInflight: 1}})
	server.slots <- struct{}{} // a query is being answered
	query := new(dns.Msg).SetQuestion(queryName(1), dns.TypeA)
	reply := new(dns.Msg).SetReply(query)
	server.answerWithinLimit(reply, query.Question[0])
	if reply.Rcode != dns.RcodeServerFailure || len(reply.Answer) != 0 {
		t.Errorf("%s %v, want %s without an answer", dns.RcodeToString[reply.Rcode], reply.Answer, dns.RcodeToString[dns.RcodeServerFailure])
	}
}
