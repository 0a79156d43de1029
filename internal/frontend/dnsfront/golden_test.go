package dnsfront

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"

	"garnetline/internal/golden"
	"garnetline/routing"
)

// Every kind of question and its answer, to the byte, over UDP and TCP. A line of the
// fixture is a name, the question and the answer; one cache is listed, so that no choice of
// the module's shows here.
func TestGoldenMessages(t *testing.T) {
	r := newHarness(t)
	r.publish(true, endpoint(1, 0, routing.Ready), endpoint(8, 1, routing.Ready), endpoint(9, 2, routing.Ready))
	const target = "s-00000001." + testZone
	question := func(name string, kind uint16) *dns.Msg { return new(dns.Msg).SetQuestion(name, kind) }
	other := func(change func(*dns.Msg)) *dns.Msg {
		m := question(queryName(1), dns.TypeA)
		change(m)
		return m
	}
	purged := fmt.Sprintf("0.%016x.part.%s", 0xaa, testZone)
	r.purge(0xaa, 0)
	var out strings.Builder
	for _, c := range []struct {
		name string
		m    *dns.Msg
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
		c.m.Id = 0x1234
		query, err := c.m.Pack()
		if err != nil {
			t.Fatal(err)
		}
		answer := r.exchangeRaw("udp", query)
		if tcp := r.exchangeRaw("tcp", query); string(tcp) != string(answer) {
			t.Errorf("%s: % x over UDP, % x over TCP", c.name, answer, tcp)
		}
		fmt.Fprintf(&out, "%s\t%s\t%s\n", c.name, hex.EncodeToString(query), hex.EncodeToString(answer))
	}
	golden.Compare(t, "messages.golden", []byte(out.String()))
}

// exchangeRaw sends a packed question and returns the packed answer.
func (r *harness) exchangeRaw(network string, query []byte) []byte {
	r.t.Helper()
	nc, err := net.Dial(network, r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(5 * time.Second))
	conn := &dns.Conn{Conn: nc}
	if _, err := conn.Write(query); err != nil {
		r.t.Fatal(err)
	}
	answer := make([]byte, 4096)
	n, err := conn.Read(answer)
	if err != nil {
		r.t.Fatal(err)
	}
	return answer[:n]
}

// Every key of the older file of the front alone, and of the block in the operators' file.
func TestConfigKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "dns.toml")
	text := "enabled = true\nlisten = \"127.0.0.1:53\"\nzone = \"A.test\"\npatience_ms = 2.5\nmax_inflight = 3\nmax_connections = 4\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := LoadConfig(path)
	if want := (Config{true, "127.0.0.1:53", "a.test.", 2.5, 3, 4}); err != nil || c != want {
		t.Errorf("%+v %v, want %+v", c, err, want)
	}
	if c, want := DefaultConfig(), (Config{false, "127.0.0.1:5353", "garnetline.local.", 1000, 256, 32}); c != want {
		t.Errorf("without keys %+v, want %+v", c, want)
	}
}
