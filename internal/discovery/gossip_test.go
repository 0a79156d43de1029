package discovery

import (
	"net/netip"
	"slices"
	"testing"

	"garnetline/internal/clock"
	"garnetline/internal/fleet/gossip"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// staleAfter is the age of the latest frame, in ms, above which the watch counts as stale.
const staleAfter = 1500.0

// fakeGossip records the reports of the watcher to its peers. TakeChanges returns the changes that
// a test has set.
type fakeGossip struct {
	disabled  []routing.ServerID
	broadcast []gossip.Item
	changes   []gossip.Change
}

func (g *fakeGossip) SetDisabled(server routing.ServerID, _ bool) {
	g.disabled = append(g.disabled, server)
}

func (g *fakeGossip) Broadcast(item gossip.Item) { g.broadcast = append(g.broadcast, item) }

func (g *fakeGossip) ChangesReady() <-chan struct{} { return nil }

func (g *fakeGossip) TakeChanges() []gossip.Change {
	changes := g.changes
	g.changes = nil
	return changes
}

// gossipFixture is a watcher without a running Run: the test calls its methods. The watcher has
// applied event 2, in which servers 7 and 8 are ready.
type gossipFixture struct {
	*Watcher
	t     *testing.T
	clock *clock.Manual
	peers *fakeGossip
}

func newGossipFixture(t *testing.T) gossipFixture {
	t.Helper()
	watcher, _ := newTestWatcher(netip.AddrPort{})
	watcher.notify = func(platformconfig.WatchEvent) {}
	fixture := gossipFixture{watcher, t, watcher.clock.(*clock.Manual), &fakeGossip{}}
	watcher.SetGossip(fixture.peers)
	fixture.receive(kindSnapshot, platformconfig.WatchEvent{Seq: 2, ListUpdate: true, Snapshot: true, Endpoints: []platformconfig.Endpoint{
		{Server: routing.Server{ID: 7, Phase: routing.Ready}}, {Server: routing.Server{ID: 8, Phase: routing.Ready}}}})
	return fixture
}

// receive passes a frame to the watcher, as if the router's own watch had received it.
func (f gossipFixture) receive(kind frameKind, event platformconfig.WatchEvent) {
	f.t.Helper()
	receiveFrame(f.t, f.Watcher, kind, event)
}

// receiveChanges passes changes to the watcher, as if peers had reported them.
func (f gossipFixture) receiveChanges(changes ...gossip.Change) {
	f.peers.changes = changes
	f.applyGossip()
}

// expectReady checks that exactly the given servers are ready.
func (f gossipFixture) expectReady(when string, want ...routing.ServerID) {
	f.t.Helper()
	var ready []routing.ServerID
	for _, endpoint := range f.ReadyServers(0, 0) {
		ready = append(ready, endpoint.ID)
	}
	slices.Sort(ready)
	if !slices.Equal(ready, want) {
		f.t.Errorf("%s: got ready servers %v, want %v", when, ready, want)
	}
}

// TestGossipedDrain checks that a drain that a peer reported applies while the router's own watch
// is stale. The router therefore learns of drains while discovery is down. When the watch works
// again, peers must not override it: the watcher drops the drain after catchUpPeriod.
func TestGossipedDrain(t *testing.T) {
	fixture := newGossipFixture(t)
	drain := gossip.Change{Item: gossip.Item{Kind: gossip.Drain, Server: 7}}
	fixture.receiveChanges(drain)
	fixture.expectReady("with a watch that is not stale", 7, 8)
	fixture.clock.Advance(staleAfter)
	fixture.updateReportedDrains()
	fixture.expectReady("at the limit, not stale yet", 7, 8)
	fixture.clock.Advance(1)
	if !fixture.Stale(fixture.clock.Now()) {
		t.Error("the watch is not stale, want stale")
	}
	fixture.updateReportedDrains()
	fixture.expectReady("stale", 8)
	fixture.receive(kindHeartbeat, platformconfig.WatchEvent{Seq: 2})
	fixture.clock.Advance(catchUpPeriod - 1)
	fixture.updateReportedDrains()
	fixture.expectReady("back, not caught up", 8)
	fixture.clock.Advance(1)
	fixture.updateReportedDrains()
	fixture.expectReady("caught up", 7, 8)
}

// TestGossipedDrainOfEarlierStart checks that a drain from before a restart of a server does not
// exclude the restarted server.
func TestGossipedDrainOfEarlierStart(t *testing.T) {
	fixture := newGossipFixture(t)
	restarted := platformconfig.Endpoint{Server: routing.Server{ID: 8, Phase: routing.Ready, StartedAt: clock.Duration(startTime)}}
	fixture.receive(kindChanges, platformconfig.WatchEvent{Seq: 3, ListUpdate: true, Endpoints: []platformconfig.Endpoint{restarted}})
	fixture.receiveChanges(gossip.Change{Item: gossip.Item{Kind: gossip.Drain, Server: 8, StartedAt: startTime - 1}})
	fixture.clock.Advance(staleAfter + 1)
	fixture.updateReportedDrains()
	fixture.expectReady("stale", 7, 8)
	if n := fixture.counters.Counter("fleet_drains_taken").Load(); n != 0 {
		t.Errorf("got %d followed drains, want 0", n)
	}
}

// TestGossipedDrainBeforeLatestFrame checks that the watcher does not follow a drain that is much
// older than the latest frame, even when its own watch becomes stale. Because frames arrived after
// the drain, the watch has received both the drain and its end.
func TestGossipedDrainBeforeLatestFrame(t *testing.T) {
	fixture := newGossipFixture(t)
	fixture.receiveChanges(gossip.Change{Item: gossip.Item{Kind: gossip.Drain, Server: 7}})
	for range 3 {
		fixture.clock.Advance(gossipSlack / 2)
		fixture.receive(kindHeartbeat, platformconfig.WatchEvent{Seq: 2})
	}
	fixture.clock.Advance(staleAfter + 1)
	fixture.updateReportedDrains()
	fixture.expectReady("stale", 7, 8)
}

// TestGossipedBanAndPurge checks that a ban that a peer reports applies immediately. A purge that a
// peer reports applies too, unless it is older than the retention or too far in the future.
func TestGossipedBanAndPurge(t *testing.T) {
	fixture := newGossipFixture(t)
	fixture.receiveChanges(gossip.Change{Item: gossip.Item{Kind: gossip.Ban, Server: 7}, Disabled: true})
	fixture.expectReady("disabled by a peer", 8)
	if got := fixture.Disabled(); !slices.Equal(got, []routing.ServerID{7}) {
		t.Errorf("got disabled servers %v, want 7", got)
	}
	fixture.receiveChanges(gossip.Change{Item: gossip.Item{Kind: gossip.Ban, Server: 7}})
	fixture.expectReady("enabled by a peer", 7, 8)
	for object, purgedAt := range map[routing.ObjectID]float64{1: startTime - 50, 2: startTime - 6000, 3: startTime + maxFuturePurge} {
		fixture.receiveChanges(gossip.Change{Item: gossip.Item{Kind: gossip.Purge, Object: object, PurgedAt: purgedAt}})
		published := slices.ContainsFunc(fixture.Guard().Purges, func(purge routing.PurgeRecord) bool { return purge.Object == object })
		if published != (object == 1) {
			t.Errorf("purge at %+.0f ms: got published %v, want the opposite", purgedAt-startTime, published)
		}
	}
	if len(fixture.peers.disabled) != 0 || len(fixture.peers.broadcast) != 0 {
		t.Errorf("got reports of peers sent to the peers again: disabled servers %v, items %v; want none", fixture.peers.disabled, fixture.peers.broadcast)
	}
}

// TestBroadcast checks that the watcher reports drains, removals and purges to the peers. It must
// not report snapshots and ready servers.
func TestBroadcast(t *testing.T) {
	fixture := newGossipFixture(t)
	endpoints := func(phases ...routing.Phase) (list []platformconfig.Endpoint) {
		for i, phase := range phases {
			list = append(list, platformconfig.Endpoint{Server: routing.Server{ID: routing.ServerID(7 + i), Phase: phase, StartedAt: clock.Duration(startTime)}})
		}
		return list
	}
	phases := endpoints(routing.Draining, routing.Ready, routing.Removed)
	fixture.receive(kindSnapshot, platformconfig.WatchEvent{Seq: 3, ListUpdate: true, Snapshot: true, Endpoints: phases})
	fixture.receive(kindChanges, platformconfig.WatchEvent{Seq: 4, ListUpdate: true, Endpoints: phases})
	fixture.receive(kindObjectPurge, platformconfig.WatchEvent{Seq: 5, Purge: &platformconfig.Purge{Object: 3, Group: 4, At: startTime}})
	want := []gossip.Item{
		{Kind: gossip.Drain, Server: 7, StartedAt: startTime},
		{Kind: gossip.Drain, Server: 9, StartedAt: startTime},
		{Kind: gossip.Purge, Object: 3, Group: 4, PurgedAt: startTime},
	}
	if !slices.Equal(fixture.peers.broadcast, want) {
		t.Errorf("got broadcast items %+v, want %+v", fixture.peers.broadcast, want)
	}
}
