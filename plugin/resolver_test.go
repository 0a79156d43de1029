package plugin

import (
	"fmt"
	"testing"
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
