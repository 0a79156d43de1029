package consensus

import (
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"go.etcd.io/raft/v3/raftpb"

	"garnetline/internal/fleet/consensus/wal"
)

// randomFault starts a random fault, or starts all voters that are down.
func (c *cluster) randomFault() {
	members := len(c.nodes) + len(c.routers)
	switch c.rng.IntN(6) {
	case 0:
		c.stop(c.rng.IntN(len(c.nodes)))
	case 1:
		c.startAll()
	case 2: // a partition with voters and routers on both sides
		side := c.rng.IntN(1 << members)
		c.partitioned = func(from, to int) bool { return side>>from&1 != side>>to&1 }
	case 3: // a partition in one direction between two members
		lossyFrom, lossyTo := c.rng.IntN(members), c.rng.IntN(members)
		c.partitioned = func(from, to int) bool { return from == lossyFrom && to == lossyTo }
	case 4:
		r := c.routers[c.rng.IntN(len(c.routers))]
		r.stalledUntil = c.now + c.rng.Float64()*2500
	case 5:
		c.lossRate = c.rng.Float64() * 0.2
	}
}

// Voters are killed, restarted with their storages and partitioned. Routers stall for longer
// than a lease lasts, packets are lost, and clocks run at different rates. No two routers may
// hold a lease at the same time. The responses must be linearizable. All leases must be held
// again after the faults end.
func TestClusterUnderFaults(t *testing.T) {
	leases := []string{"a", "b", "c"}
	grants := 0
	for seed := range uint64(6) {
		voters := 3 + 2*int(seed%2)
		cluster := newCluster(t, seed+1, voters, 4, leases...)
		cluster.run(4000)
		if got := cluster.held(leases...); got != 3 {
			t.Fatalf("seed %d: %d leases are held after 4 s, want 3", seed, got)
		}
		for range 40 {
			cluster.randomFault()
			cluster.run(300 + cluster.rng.Float64()*1200)
		}
		cluster.heal()
		cluster.lossRate = 0
		cluster.startAll()
		cluster.run(15_000)
		if got := cluster.held(leases...); got != 3 || cluster.violation != "" {
			t.Errorf("seed %d: %d leases are held at the end, want 3; violation %q, want none", seed, got, cluster.violation)
		}
		grants += cluster.grants
		if !porcupine.CheckOperations(leaseModel, cluster.history) {
			t.Errorf("seed %d: the history of %d requests and their responses is not linearizable", seed, len(cluster.history))
		}
	}
	if grants < 30 {
		t.Errorf("got %d grants, want at least 30 for the test to be meaningful", grants)
	}
}

// A lease is transferred many times. It must never have two holders, and it must be without a
// holder only for a short time. A voter whose storage fails must stop while the other voters
// continue.
func TestTransfersAndDiskFailure(t *testing.T) {
	cluster := newCluster(t, 9, 5, 3, "a")
	cluster.run(4000)
	gaps, misdirected := []float64{}, 0
	for i := range 100 {
		from := cluster.holder("a")
		if from < 0 {
			t.Fatalf("nobody holds the lease after %d transfers", i)
		}
		to := (from + 1 + i%2) % 3
		cluster.transfer("a", from, to, []byte("work"))
		releasedAt := cluster.now
		for cluster.held("a") == 0 && cluster.now < releasedAt+5000 {
			cluster.run(2)
		}
		if !cluster.holds(to, "a") {
			misdirected++ // the target found no leader for a whole TTL, and another router may have got the lease
		}
		gaps = append(gaps, cluster.now-releasedAt)
		cluster.run(200)
		if i == 50 {
			cluster.storages[cluster.leader()].failing = true
			cluster.run(6000)
		}
	}
	slices.Sort(gaps)
	// The bounds allow for the time that the simulated routers need to find the leader: they try the
	// voters at random, whereas real routers get leader hints.
	if gaps[50] > 250 || gaps[90] > 700 || misdirected > 5 || cluster.violation != "" {
		t.Errorf("lease \"a\" had no holder for %.0f ms in the median and %.0f ms at most, want at most 250 ms in the median and 700 ms in 90%% of the transfers; %d transfers went to a router other than the target, want at most 5; violation %q, want none", gaps[50], gaps[99], misdirected, cluster.violation)
	}
	if !slices.Contains(cluster.down, true) {
		t.Error("the voter whose storage failed is still running, want it stopped")
	}
}

// The log must stay short. While a voter is down, the other voters compact entries that it lacks.
// After its restart, that voter must catch up by a snapshot.
func TestSnapshots(t *testing.T) {
	cluster := newCluster(t, 10, 3, 2, "a")
	cluster.settings.SnapshotEntries, cluster.settings.RetainedEntries = 40, 10
	for i := range cluster.nodes {
		cluster.start(i)
	}
	cluster.run(4000)
	stopped := (cluster.leader() + 1) % 3
	cluster.stop(stopped)
	for i := range 60 {
		from := cluster.holder("a")
		if from < 0 {
			cluster.run(500)
			continue
		}
		cluster.transfer("a", from, 1-from, nil)
		cluster.run(100 + float64(i%3))
	}
	cluster.start(stopped)
	cluster.run(3000)
	restarted, leader, stored := cluster.nodes[stopped], cluster.nodes[cluster.leader()], cluster.storages[stopped].state
	if got, want := restarted.Status().AppliedIndex, leader.Status().AppliedIndex; got != want {
		t.Errorf("restarted voter applied index %d, want %d", got, want)
	}
	if len(stored.Entries) > 120 || stored.Snapshot.GetMetadata().GetIndex() < 20 {
		t.Errorf("restarted voter stores %d entries after a snapshot at index %d, want at most 120 entries and an index of at least 20", len(stored.Entries), stored.Snapshot.GetMetadata().GetIndex())
	}
	if string(restarted.State().Snapshot()) != string(leader.State().Snapshot()) {
		t.Error("registry of the restarted voter differs from the leader's")
	}
}

// A lease is transferred to a router that does not want it, and that router releases the lease to
// nobody. The leader must then notify other routers that nobody holds the lease, so that one of
// them gets it within 200 ms. In every other run, another voter becomes the leader just before
// the transfer. The new leader does not know when the lease was granted, but must not wait for
// the grant to expire.
func TestTransferToUnwillingRouter(t *testing.T) {
	for seed := range uint64(20) {
		cluster := newCluster(t, 100+seed, 3, 4, "a")
		cluster.leaderKnown = true
		cluster.run(4000)
		from := cluster.holder("a")
		if from < 0 {
			t.Fatalf("seed %d: nobody holds the lease after 4 s", seed)
		}
		to := (from + 1) % 4
		if seed%2 == 1 {
			cluster.nodes[cluster.leader()].TransferLeadership()
			cluster.run(60)
		}
		cluster.routers[to].SetRank(cluster.clock(cluster.routers[to]), "a", -1)
		cluster.transfer("a", from, to, nil)
		releasedAt := cluster.now
		for cluster.held("a") == 0 && cluster.now < releasedAt+5000 || cluster.now < releasedAt+20 {
			cluster.run(2)
		}
		if took := cluster.now - releasedAt; took > 200 || cluster.violation != "" {
			t.Errorf("seed %d: nobody held the lease for %.0f ms, want at most 200 ms; violation %q, want none", seed, took, cluster.violation)
		}
		if cluster.holds(from, "a") {
			t.Errorf("seed %d: the lease returned to the router that released it", seed)
		}
	}
}

// The leadership is transferred periodically, with periods from a few message round trips to
// more than a TTL, while holders renew and transfer their leases. No two routers may hold a
// lease at the same time. The leases must be held for at least half of the time. For periods
// below 150 ms, in which a leader can hardly complete a grant, a third of the time is enough.
func TestFlappingLeadership(t *testing.T) {
	for _, period := range []float64{40, 150, 400, 900, 1150, 1300} {
		cluster := newCluster(t, uint64(period), 5, 4, "a", "b")
		cluster.leaderKnown = true
		cluster.run(4000)
		held, samples := 0, 0
		for next := cluster.now; cluster.now < 34_000; {
			if cluster.now >= next {
				next = cluster.now + period
				if i := cluster.leader(); i >= 0 {
					cluster.nodes[i].TransferLeadership()
					cluster.wakeAt[i] = cluster.now
				}
			}
			if cluster.rng.IntN(8) == 0 {
				k := cluster.rng.IntN(4)
				if r := cluster.routers[k]; len(r.Held(cluster.clock(r))) > 0 {
					r.Release(cluster.clock(r), "a", cluster.routers[(k+1)%4].id, nil)
				}
			}
			cluster.run(10)
			held += cluster.held("a", "b")
			samples += 2
		}
		t.Logf("period %.0f ms: leases are held for %.0f%% of the time, %d grants", period, 100*float64(held)/float64(samples), cluster.grants)
		if cluster.violation != "" || held < samples/3 || period >= 150 && held < samples/2 {
			t.Errorf("period %.0f ms: leases are held in %d of %d samples, want at least half, or a third for periods below 150 ms; violation %q, want none", period, held, samples, cluster.violation)
		}
		cluster.run(6000)
		if n := cluster.held("a", "b"); n != 2 {
			t.Errorf("period %.0f ms: %d leases are held after the last leadership transfer, want 2", period, n)
		}
	}
}

// keepTransferring runs a cluster of two routers for duration, in ms. The routers transfer lease
// "a" to each other as often as they can.
func (c *cluster) keepTransferring(duration float64) {
	for end := c.now + duration; c.now < end; c.run(12) {
		for k := range c.routers {
			if c.holds(k, "a") {
				c.transfer("a", k, 1-k, nil)
			}
		}
	}
}

// addNode adds a node without any state, and returns its storage.
func (c *cluster) addNode() *memoryStorage {
	storage := &memoryStorage{}
	node, err := NewNode(c.settings, uint64(len(c.nodes)+1), storage, wal.State{}, nil, c.now)
	if err != nil {
		c.t.Fatal(err)
	}
	c.inFlight = nil // the new voter changes the routers' numbers, so messages in flight would go astray
	c.nodes, c.wakeAt = append(c.nodes, node), append(c.wakeAt, c.now)
	c.down, c.leading = append(c.down, false), append(c.leading, false)
	c.storages = append(c.storages, storage)
	return storage
}

// A node joins while commands arrive so fast that the log is compacted repeatedly. The node must
// catch up by snapshots and become a voter. When another voter stops, the registry must continue
// with the vote of the new voter.
func TestJoinDuringLogCompaction(t *testing.T) {
	const joinerID = 4
	cluster := newCluster(t, 12, 3, 2, "a")
	cluster.leaderKnown = true
	cluster.settings.SnapshotEntries, cluster.settings.RetainedEntries = 10, 2
	for i := range cluster.nodes {
		cluster.start(i)
	}
	cluster.run(4000)
	cluster.keepTransferring(1500)
	appliedBefore := cluster.nodes[0].Status().AppliedIndex
	storage := cluster.addNode()
	joiner := cluster.nodes[joinerID-1]
	cluster.lossRate = 0.1
	leader := func() *Node { return cluster.nodes[max(0, cluster.leader())] }
	change := func(kind raftpb.ConfChangeType, done func() bool) {
		t.Helper()
		for end := cluster.now + 20_000; !done() && cluster.now < end; {
			if i := cluster.leader(); i >= 0 {
				id := uint64(joinerID)
				cluster.step(i, Input{ConfChange: &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{{Type: &kind, NodeId: &id}}}})
			}
			cluster.keepTransferring(300)
		}
		if !done() {
			t.Fatalf("%v is not done after 20 s: status of the joining node %+v", kind, joiner.Status())
		}
	}
	change(raftpb.ConfChangeAddLearnerNode, func() bool { return joiner.Status().AppliedIndex > appliedBefore })
	cluster.isolate(joinerID - 1) // until the leader has compacted entries that the joiner lacks
	for end := cluster.now + 20_000; leader().Status().AppliedIndex < appliedBefore+60 && cluster.now < end; {
		cluster.keepTransferring(100)
	}
	cluster.heal()
	change(raftpb.ConfChangeAddNode, func() bool {
		return slices.Contains(leader().Status().Voters, joinerID) && slices.Contains(joiner.Status().Voters, joinerID)
	})
	cluster.lossRate = 0
	applied, snapshotIndex := leader().Status().AppliedIndex, storage.state.Snapshot.GetMetadata().GetIndex()
	if applied < appliedBefore+60 || snapshotIndex <= appliedBefore+40 {
		t.Errorf("%d commands were applied while the node joined, want at least 60; its snapshot has index %d, want an index more than 40 above the index at the start", applied-appliedBefore, snapshotIndex)
	}
	cluster.stop(0)
	before := leader().Status().AppliedIndex
	cluster.run(8000)
	cluster.keepTransferring(2000)
	if cluster.violation != "" || leader().Status().AppliedIndex < before+20 || joiner.Status().AppliedIndex+10 < leader().Status().AppliedIndex {
		t.Errorf("violation %q, want none; got status %+v of the leader and %+v of the new voter, want at least 20 new entries at the leader and a lag of at most 10 entries", cluster.violation, leader().Status(), joiner.Status())
	}
}

// In each round, one save of the leader's or another voter's storage takes two seconds. The
// messages that depend on the save are sent only after it. No two routers may hold a lease at
// the same time, and all leases must be held again at the end.
func TestSlowDisk(t *testing.T) {
	for seed := range uint64(6) {
		cluster := newCluster(t, 40+seed, 3, 4, "a", "b")
		cluster.run(4000)
		for i := range 8 {
			slow := cluster.rng.IntN(3)
			if leader := cluster.leader(); i%2 == 0 && leader >= 0 {
				slow = leader
			}
			cluster.storages[slow].saveDelay = 2000
			if cluster.blockedUntil[slow] > cluster.now {
				cluster.storages[slow].saveDelay = 0
			}
			for k, r := range cluster.routers { // a transfer causes a save
				if held := r.Held(cluster.clock(r)); len(held) > 0 {
					cluster.transfer(held[0], k, (k+1)%4, nil)
					break
				}
			}
			cluster.run(3500)
		}
		for _, storage := range cluster.storages {
			storage.saveDelay = 0
		}
		cluster.run(8000)
		if n := cluster.held("a", "b"); n != 2 || cluster.violation != "" {
			t.Errorf("seed %d: %d leases are held at the end, want 2; violation %q, want none", 40+seed, n, cluster.violation)
		}
		if cluster.blockedUntil[0]+cluster.blockedUntil[1]+cluster.blockedUntil[2] == 0 {
			t.Error("no save was slow, want at least one")
		}
	}
}
