package dnsfront

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/miekg/dns"
)

// TestPipelinedQueriesAreAnswered guards against queries that are read and thrown away: a client that sends many at once
// on one TCP connection gets a reply to each.
func TestPipelinedQueriesAreAnswered(t *testing.T) {
	const queries = 200
	harness := newHarness(t)
	harness.listServers()
	netConn, err := new(net.Dialer).DialContext(t.Context(), "tcp", harness.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = netConn.Close() }()
	if err := netConn.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		t.Fatal(err)
	}
	conn := &dns.Conn{Conn: netConn}
	var sent, answered []uint16
	for i := range queries {
		query := new(dns.Msg).SetQuestion(queryName(i), dns.TypeSRV)
		query.Id = uint16(i)
		sent = append(sent, query.Id)
		if err := conn.WriteMsg(query); err != nil {
			t.Fatal(err)
		}
	}
	for range queries {
		reply, err := conn.ReadMsg()
		if err != nil {
			t.Fatalf("after %d replies: %v", len(answered), err)
		}
		answered = append(answered, reply.Id)
	}
	slices.Sort(answered)
	if !slices.Equal(answered, sent) {
		t.Errorf("got replies to the queries %v, want one to each of %d", answered, queries)
	}
}
