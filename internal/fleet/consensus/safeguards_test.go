package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
)

// faultKind is the kind of a step in a schedule: a fault (kill, partition) or a repair (restart,
// heal).
type faultKind string

const (
	kill      faultKind = "kill"
	restart   faultKind = "restart"
	partition faultKind = "partition"
	heal      faultKind = "heal"
)

// fault is one step of a schedule. The field node is the number of a voter. It is not used if the
// kind is "heal".
type fault struct {
	kind faultKind
	node int
}

// runSchedule runs a schedule on three voters. If the argument unsynced is set, their storages do
// not sync. It returns a description of the violated guarantee, or an empty string if there was
// no violation.
func runSchedule(t *testing.T, seed uint64, unsynced bool, schedule []fault) (violation string) {
	t.Helper()
	defer func() {
		if p := recover(); p != nil { // raft panics if a log has lost acknowledged entries
			violation = fmt.Sprint("a voter panicked: ", p)
		}
	}()
	cluster := newCluster(t, seed, 3, 4, "a", "b", "c")
	cluster.leaderKnown = true
	for _, storage := range cluster.storages {
		storage.unsynced = unsynced
	}
	cluster.run(3000)
	for _, next := range schedule {
		cluster.inject(next)
		cluster.run(400)
	}
	cluster.heal()
	cluster.startAll()
	cluster.run(4000)
	switch {
	case cluster.violation != "":
		return cluster.violation
	case !porcupine.CheckOperations(leaseModel, cluster.history):
		return "requests and responses are not linearizable"
	}
	return ""
}

func (c *cluster) inject(next fault) {
	switch next.kind {
	case kill:
		if !c.down[next.node] {
			c.stop(next.node)
			c.storages[next.node].crash()
		}
	case restart:
		if c.down[next.node] {
			c.start(next.node)
		}
	case partition:
		c.isolate(next.node)
	case heal:
		c.heal()
	}
}

func randomSchedule(seed uint64) (schedule []fault) {
	rng := rand.New(rand.NewPCG(seed, 11))
	for range 10 {
		schedule = append(schedule, fault{[]faultKind{kill, kill, restart, partition, heal}[rng.IntN(5)], rng.IntN(3)})
	}
	return schedule
}

// shrink removes every fault that the schedule does not need to cause a violation. Elections
// differ from run to run, so each shorter schedule is run up to three times.
func shrink(t *testing.T, seed uint64, schedule []fault, violation string) ([]fault, string) {
	t.Helper()
	for i := 0; i < len(schedule); {
		shorter := slices.Delete(slices.Clone(schedule), i, i+1)
		shorterViolation := ""
		for range 3 {
			if shorterViolation == "" {
				shorterViolation = runSchedule(t, seed, true, shorter)
			}
		}
		if shorterViolation == "" {
			i++
			continue
		}
		schedule, violation = shorter, shorterViolation
	}
	return schedule, violation
}

// Without syncs, a crash undoes votes and acknowledgements that a voter has already sent. Some
// random schedules must therefore violate a guarantee. The first of these schedules is shrunk.
// With syncs, none of the random schedules may cause a violation.
func TestWithoutSyncs(t *testing.T) {
	found := 0
	for seed := range uint64(40) {
		schedule := randomSchedule(seed)
		if violation := runSchedule(t, seed, false, schedule); violation != "" {
			t.Errorf("seed %d, synced: got violation %q after %v, want none", seed, violation, schedule)
		}
		violation := runSchedule(t, seed, true, schedule)
		if violation == "" {
			continue
		}
		found++
		if found > 1 {
			continue
		}
		schedule, violation = shrink(t, seed, schedule, violation)
		t.Logf("seed %d, smallest schedule: %v: %s", seed, schedule, violation)
		if len(schedule) == 0 || !strings.Contains(fmt.Sprint(schedule), string(kill)) {
			t.Errorf("unsynced: violation after %v, want a schedule with a crash", schedule)
		}
	}
	t.Logf("unsynced: %d of 40 seeds cause a violation", found)
	if found < 3 {
		t.Errorf("unsynced: %d of 40 seeds cause a violation, want at least 3", found)
	}
}

// Without pre-vote, a voter that was isolated returns with a later term. This term forces the
// leader to step down although a majority follows it. With pre-vote, the leader must keep its
// leadership.
func TestWithoutPreVote(t *testing.T) {
	defer func() { preVoteEnabled = true }()
	lost := map[bool]int{}
	for _, preVoteEnabled = range []bool{true, false} {
		for seed := range uint64(10) {
			cluster := newCluster(t, 200+seed, 3, 2, "a")
			cluster.leaderKnown = true
			cluster.run(4000)
			leader := cluster.leader()
			term := cluster.nodes[leader].Status().Term
			cluster.isolate((leader + 1) % 3)
			cluster.run(5000)
			cluster.heal()
			cluster.run(3000)
			if cluster.violation != "" {
				t.Errorf("seed %d, pre-vote %v: %s", seed, preVoteEnabled, cluster.violation)
			}
			if !cluster.leading[leader] || cluster.nodes[leader].Status().Term != term {
				lost[preVoteEnabled]++
			}
		}
	}
	t.Logf("a follower is isolated and healed: the leader changes in %d of 10 runs with pre-vote and in %d of 10 runs without it", lost[true], lost[false])
	if lost[true] > 0 || lost[false] < 8 {
		t.Error("want no change of leader with pre-vote, and a change in at least 8 of 10 runs without it")
	}
}
