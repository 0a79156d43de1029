package plugin

import (
	"errors"
	"fmt"
	"net/url"
	"testing"
	"time"

	"google.golang.org/grpc/resolver"

	"garnetline/internal/adaptivetimeout"
	"garnetline/internal/platformconfig"
)

// A server that was removed from DNS gets no calls after the next lookup.
func TestServerNoLongerInDNSGetsNoCalls(t *testing.T) {
	client := newTestClient(t, "get", 3)
	removed := client.servers[0]
	client.dns.list(client.servers[1:])
	client.waitUntilUnlisted(removed)
	before := removed.totalCalls()
	for i := range 60 {
		client.mustCheck(fmt.Sprintf("late-%d", i))
	}
	if after := removed.totalCalls(); after != before {
		t.Errorf("got %d calls to a server that is no longer listed, want none", after-before)
	}
}

// waitUntilUnlisted waits until the plugin's endpoint list no longer has a server. The test fails
// if the list still has the server after 1000 lookups.
func (c *testClient) waitUntilUnlisted(server *fakeServer) {
	c.t.Helper()
	for range 1000 {
		if _, listed := c.plugin.serverAddress(server.serverID()); !listed {
			return
		}
		<-c.dns.lookedUp
	}
	c.t.Fatal("the endpoint list still has the server after 1000 lookups")
}

// fakeClientConn is the ClientConn to which a resolver reports its endpoint lists and errors.
type fakeClientConn struct {
	resolver.ClientConn
	updateErr error
	reported  chan error
}

// UpdateState implements resolver.ClientConn.
func (c *fakeClientConn) UpdateState(resolver.State) error { return c.updateErr }

// ReportError implements resolver.ClientConn.
func (c *fakeClientConn) ReportError(err error) {
	select {
	case c.reported <- err:
	default:
	}
}

// newIdlePlugin returns a plugin without a ClientConn. Its refresh interval is an hour, so that a
// resolver makes only its first lookup during a test.
func newIdlePlugin(t *testing.T) *Plugin {
	t.Helper()
	plugin, err := New(Options{
		Classes:         []Class{{Name: "part", LatencyObjective: time.Second, Deadline: time.Second}},
		RefreshInterval: time.Hour,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(plugin.Close)
	return plugin
}

func TestEndpointListIsKeptWhenLookupFails(t *testing.T) {
	plugin := newIdlePlugin(t)
	plugin.servers.Store(&serverAddresses{1: "192.0.2.1:80"})
	conn := &fakeClientConn{reported: make(chan error, 1)}
	noServer := resolver.Target{URL: url.URL{Scheme: plugin.Scheme(), Host: "127.0.0.1:1", Path: "/" + serviceName}}
	listResolver, err := plugin.Build(noServer, conn, resolver.BuildOptions{})
	if err != nil {
		t.Fatal(err)
	}
	if err := <-conn.reported; err == nil {
		t.Error("got a nil error reported to gRPC, want an error")
	}
	listResolver.Close()
	if got := plugin.metrics.Counter("lookups_failed").Load(); got != 1 {
		t.Errorf("lookups_failed: got %d, want 1", got)
	}
	if address, listed := plugin.serverAddress(1); !listed || address != "192.0.2.1:80" {
		t.Errorf("server 1: got listed %v, address %q; want it listed with address 192.0.2.1:80", listed, address)
	}
}

// TestSlowDNSServerIsHeard guards against an endpoint list that is never known because the DNS server always
// needs longer than the timeout.
func TestSlowDNSServerIsHeard(t *testing.T) {
	client := newTestClient(t, "get", 1)
	client.dns.slowDown(150 * time.Millisecond)
	idle := newIdlePlugin(t)
	slow := &srvResolver{
		plugin:  idle,
		conn:    &fakeClientConn{},
		dns:     dnsResolver(client.dns.address),
		name:    serviceName,
		timeout: adaptivetimeout.New(100, 6400),
	}
	for range 7 {
		slow.refresh(t.Context())
	}
	if _, listed := idle.serverAddress(client.servers[0].serverID()); !listed {
		t.Errorf("the server is not listed after 7 lookups, of which %d failed", idle.metrics.Counter(lookupsFailedCounter).Load())
	}
	if failed := idle.metrics.Counter(lookupsFailedCounter).Load(); failed > 4 {
		t.Errorf("got %d failed lookups, want at most 4", failed)
	}
}

func TestEndpointListRejectedByGRPCIsCounted(t *testing.T) {
	plugin := newIdlePlugin(t)
	listResolver := &srvResolver{plugin: plugin, conn: &fakeClientConn{updateErr: errors.New("bad state")}}
	listResolver.publish([]platformconfig.Endpoint{})
	if got := plugin.metrics.Counter("lists_not_taken").Load(); got != 1 {
		t.Errorf("lists_not_taken: got %d, want 1", got)
	}
}
