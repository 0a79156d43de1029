package plugin

import (
	"errors"
	"fmt"
	"net/url"
	"testing"
	"time"

	"google.golang.org/grpc/resolver"

	"garnetline/internal/platformconfig"
)

// A server that is no longer in DNS gets no call once the list has been read again.
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
		t.Errorf("%d calls went to a server that is no longer listed, want none", after-before)
	}
}

// waitUntilUnlisted waits until the plugin does not list a server any more, for a thousand
// lookups at most.
func (c *testClient) waitUntilUnlisted(server *fakeServer) {
	c.t.Helper()
	for range 1000 {
		if _, listed := c.plugin.serverAddress(server.serverID()); !listed {
			return
		}
		<-c.dns.lookedUp
	}
	c.t.Fatal("the list was read a thousand times and still has the server")
}

// fakeClientConn is what a resolver reports to.
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

// newIdlePlugin returns a plugin without a client, which looks servers up once an hour.
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

func TestListStaysWhenALookupFails(t *testing.T) {
	plugin := newIdlePlugin(t)
	plugin.servers.Store(&serverAddresses{1: "192.0.2.1:80"})
	conn := &fakeClientConn{reported: make(chan error, 1)}
	noServer := resolver.Target{URL: url.URL{Scheme: plugin.Scheme(), Host: "127.0.0.1:1", Path: "/" + serviceName}}
	following, err := plugin.Build(noServer, conn, resolver.BuildOptions{})
	if err != nil {
		t.Fatal(err)
	}
	if err := <-conn.reported; err == nil {
		t.Error("no error is reported to gRPC")
	}
	following.Close()
	if got := plugin.metrics.Counter("lookups_failed").Load(); got != 1 {
		t.Errorf("lookups_failed is %d, want 1", got)
	}
	if address, listed := plugin.serverAddress(1); !listed || address != "192.0.2.1:80" {
		t.Errorf("server 1 is listed: %v, %q; want 192.0.2.1:80", listed, address)
	}
}

func TestListThatGRPCDoesNotTakeIsCounted(t *testing.T) {
	plugin := newIdlePlugin(t)
	following := &srvResolver{plugin: plugin, conn: &fakeClientConn{updateErr: errors.New("bad state")}}
	following.publish([]platformconfig.Endpoint{})
	if got := plugin.metrics.Counter("lists_not_taken").Load(); got != 1 {
		t.Errorf("lists_not_taken is %d, want 1", got)
	}
}
