package consensus

import (
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"go.etcd.io/raft/v3/raftpb"

	"garnetline/internal/fleet/consensus/wal"
)

// randomFault has something fail, or come back.
func (c *cluster) randomFault() {
	members := len(c.nodes) + len(c.routers)
	switch c.rng.IntN(6) {
	case 0:
		c.stop(c.rng.IntN(len(c.nodes)))
	case 1:
		c.startAll()
	case 2: // two sides, with voters and routers on either
		side := c.rng.IntN(1 << members)
		c.partitioned = func(from, to int) bool { return side>>from&1 != side>>to&1 }
	case 3: // one way between two members
		lossyFrom, lossyTo := c.rng.IntN(members), c.rng.IntN(members)
		c.partitioned = func(from, to int) bool { return from == lossyFrom && to == lossyTo }
	case 4:
		r := c.routers[c.rng.IntN(len(c.routers))]
		r.stalledUntil = c.now + c.rng.Float64()*2500
	case 5:
		c.lossRate = c.rng.Float64() * 0.2
	}
}

// Voters are killed, restarted with their storages and partitioned in all ways, routers
// stalled for longer than a lease, packets lost, clocks differ in their rates: no two routers
// hold a lease at one time, the responses are linearizable, and all leases are held again.
func TestClusterUnderFaults(t *testing.T) {
	leases := []string{"a", "b", "c"}
	grants := 0
	for seed := range uint64(6) {
		voters := 3 + 2*int(seed%2)
		cluster := newCluster(t, seed+1, voters, 4, leases...)
		cluster.run(4000)
		if got := cluster.held(leases...); got != 3 {
			t.Fatalf("seed %d: %d leases of 3 are held after 4 s", seed, got)
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
			t.Errorf("seed %d: %d leases of 3 are held at the end; %s", seed, got, cluster.violation)
		}
		grants += cluster.grants
		if !porcupine.CheckOperations(leaseModel, cluster.history) {
			t.Errorf("seed %d: %d requests and responses are not linearizable", seed, len(cluster.history))
		}
	}
	if grants < 30 {
		t.Errorf("%d grants show nothing", grants)
	}
}

// A lease is transferred again and again, without two holders and with little time without
// one; a voter whose storage fails stops, and the others go on.
func TestTransfersAndDiskFailure(t *testing.T) {
	cluster := newCluster(t, 9, 5, 3, "a")
	cluster.run(4000)
	gaps, astray := []float64{}, 0
	for i := range 100 {
		from := cluster.holder("a")
		if from < 0 {
			t.Fatalf("nobody holds it after %d times", i)
		}
		to := (from + 1 + i%2) % 3
		cluster.transfer("a", from, to, []byte("work"))
		releasedAt := cluster.now
		for cluster.held("a") == 0 && cluster.now < releasedAt+5000 {
			cluster.run(2)
		}
		if !cluster.holds(to, "a") {
			astray++ // its requests met no leader for a whole lease: anybody may have it then
		}
		gaps = append(gaps, cluster.now-releasedAt)
		cluster.run(200)
		if i == 50 {
			cluster.storages[cluster.leader()].failing = true
			cluster.run(6000)
		}
	}
	slices.Sort(gaps)
	// These routers do not know who leads, and ask around: the daemon's get leader hints.
	if gaps[50] > 250 || gaps[90] > 700 || astray > 5 || cluster.violation != "" {
		t.Errorf("without a holder for %.0f ms, %.0f at the most, %d times another's; %s", gaps[50], gaps[99], astray, cluster.violation)
	}
	if !slices.Contains(cluster.down, true) {
		t.Error("the voter whose storage failed goes on")
	}
}

// The log stays short, and a voter that was down for longer than the log reaches back
// catches up by a snapshot.
func TestSnapshots(t *testing.T) {
	cluster := newCluster(t, 10, 3, 2, "a")
	cluster.settings.SnapshotEntries, cluster.settings.RetainedEntries = 40, 10
	for i := range cluster.nodes {
		cluster.start(i)
	}
	cluster.run(4000)
	away := (cluster.leader() + 1) % 3
	cluster.stop(away)
	for i := range 60 {
		from := cluster.holder("a")
		if from < 0 {
			cluster.run(500)
			continue
		}
		cluster.transfer("a", from, 1-from, nil)
		cluster.run(100 + float64(i%3))
	}
	cluster.start(away)
	cluster.run(3000)
	returned, leader, stored := cluster.nodes[away], cluster.nodes[cluster.leader()], cluster.storages[away].state
	if got, want := returned.Status().AppliedIndex, leader.Status().AppliedIndex; got != want {
		t.Errorf("applied %d of %d", got, want)
	}
	if len(stored.Entries) > 120 || stored.Snapshot.GetMetadata().GetIndex() < 20 {
		t.Errorf("it stores %d entries behind a snapshot of %d", len(stored.Entries), stored.Snapshot.GetMetadata().GetIndex())
	}
	if string(returned.State().Snapshot()) != string(leader.State().Snapshot()) {
		t.Error("its registry differs from the leader's")
	}
}

// A lease is transferred to a router that does not want it: the first candidates are
// notified that it is free, also by a leader that was elected a moment ago.
func TestTransferToUnwillingRouter(t *testing.T) {
	for seed := range uint64(20) {
		cluster := newCluster(t, 100+seed, 3, 4, "a")
		cluster.leaderKnown = true
		cluster.run(4000)
		from := cluster.holder("a")
		if from < 0 {
			t.Fatalf("seed %d: nobody holds it", seed)
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
			t.Errorf("seed %d: nobody held it for %.0f ms; %s", seed, took, cluster.violation)
		}
		if cluster.holds(from, "a") {
			t.Errorf("seed %d: it came back to the one that released it", seed)
		}
	}
}

// The leadership is transferred at periods from a few rounds of messages to more than a
// lease, while holders renew and transfer: no two hold a lease, and leases are held for most
// of the time, less where a leader lasts hardly longer than a request and its grant.
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
		t.Logf("each %.0f ms: leases are held for %.0f%% of the time, %d grants", period, 100*float64(held)/float64(samples), cluster.grants)
		if cluster.violation != "" || held < samples/3 || period >= 150 && held < samples/2 {
			t.Errorf("each %.0f ms: held in %d samples of %d; %s", period, held, samples, cluster.violation)
		}
		cluster.run(6000)
		if n := cluster.held("a", "b"); n != 2 {
			t.Errorf("each %.0f ms: %d of 2 are held once it is over", period, n)
		}
	}
}

// keepTransferring runs a cluster of two routers that transfer lease "a" to each other as
// often as they can.
func (c *cluster) keepTransferring(ms float64) {
	for end := c.now + ms; c.now < end; c.run(12) {
		for k := range c.routers {
			if c.holds(k, "a") {
				c.transfer("a", k, 1-k, nil)
			}
		}
	}
}

// addNode adds a node that knows of nothing, and returns its storage.
func (c *cluster) addNode() *memoryStorage {
	storage := &memoryStorage{}
	node, err := NewNode(c.settings, uint64(len(c.nodes)+1), storage, wal.State{}, nil, c.now)
	if err != nil {
		c.t.Fatal(err)
	}
	c.inFlight = nil // routers are numbered behind the voters
	c.nodes, c.wakeAt = append(c.nodes, node), append(c.wakeAt, c.now)
	c.down, c.leading = append(c.down, false), append(c.leading, false)
	c.storages = append(c.storages, storage)
	return storage
}

// A node joins while commands come so fast that the log is compacted again and again: it
// catches up by snapshots, becomes a voter, and the registry survives with its vote.
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
			t.Fatalf("%v: %+v", kind, joiner.Status())
		}
	}
	change(raftpb.ConfChangeAddLearnerNode, func() bool { return joiner.Status().AppliedIndex > appliedBefore })
	cluster.isolate(joinerID - 1) // until the log is far beyond it
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
		t.Errorf("%d commands while it joined, by a snapshot of %d", applied-appliedBefore, snapshotIndex)
	}
	cluster.stop(0)
	before := leader().Status().AppliedIndex
	cluster.run(8000)
	cluster.keepTransferring(2000)
	if cluster.violation != "" || leader().Status().AppliedIndex < before+20 || joiner.Status().AppliedIndex+10 < leader().Status().AppliedIndex {
		t.Errorf("%s; %+v, the new one %+v", cluster.violation, leader().Status(), joiner.Status())
	}
}

// A storage takes two seconds for one save, at the leader or at another, again and again:
// what depends on it is sent only then, no two hold a lease, and leases are held again.
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
			for k, r := range cluster.routers { // something is to be saved
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
			t.Errorf("seed %d: %d of 2 are held; %s", 40+seed, n, cluster.violation)
		}
		if cluster.blockedUntil[0]+cluster.blockedUntil[1]+cluster.blockedUntil[2] == 0 {
			t.Error("no save was slow")
		}
	}
}
