package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
)

// faultKind is what a fault of a schedule does.
type faultKind string

const (
	kill      faultKind = "kill"
	restart   faultKind = "start"
	partition faultKind = "cut"
	heal      faultKind = "heal"
)

// fault is one fault of a schedule.
type fault struct {
	kind faultKind
	node int
}

// playSchedule plays a schedule over three voters, with or without synced storages, and
// returns what broke.
func playSchedule(t *testing.T, seed uint64, unsynced bool, schedule []fault) (broke string) {
	t.Helper()
	defer func() {
		if p := recover(); p != nil { // raft, of a log that has lost what was acknowledged
			broke = fmt.Sprint("a voter cannot go on: ", p)
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

// shrink leaves out of a schedule that breaks what it breaks without, too. Elections differ
// from run to run, so each shorter schedule is played three times.
func shrink(t *testing.T, seed uint64, schedule []fault, broke string) ([]fault, string) {
	t.Helper()
	for i := 0; i < len(schedule); {
		shorter := slices.Delete(slices.Clone(schedule), i, i+1)
		still := ""
		for range 3 {
			if still == "" {
				still = playSchedule(t, seed, true, shorter)
			}
		}
		if still == "" {
			i++
			continue
		}
		schedule, broke = shorter, still
	}
	return schedule, broke
}

// Without syncs a voter votes and acknowledges what a crash takes back: found at random, and
// shrunk. With them nothing is found on the same schedules.
func TestWithoutSyncs(t *testing.T) {
	found := 0
	for seed := range uint64(40) {
		schedule := randomSchedule(seed)
		if broke := playSchedule(t, seed, false, schedule); broke != "" {
			t.Errorf("seed %d, synced: %s after %v", seed, broke, schedule)
		}
		broke := playSchedule(t, seed, true, schedule)
		if broke == "" {
			continue
		}
		found++
		if found > 1 {
			continue
		}
		schedule, broke = shrink(t, seed, schedule, broke)
		t.Logf("seed %d, smallest schedule: %v: %s", seed, schedule, broke)
		if len(schedule) == 0 || !strings.Contains(fmt.Sprint(schedule), string(kill)) {
			t.Errorf("broken without a crash: %v", schedule)
		}
	}
	t.Logf("found by %d of 40 seeds", found)
	if found < 3 {
		t.Errorf("without syncs only %d of 40 seeds find anything", found)
	}
}

// Without pre-vote a voter that was isolated comes back with a later term, and the leader,
// which a majority follows, has to step down. With it the leader stays.
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
	t.Logf("schedule: a follower is isolated, healed. The leader changes in %d of 10, without pre-vote in %d", lost[true], lost[false])
	if lost[true] > 0 || lost[false] < 8 {
		t.Error("want none, and nearly all without it")
	}
}
