package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
)

// fault is one fault of a schedule.
type fault struct {
	kind string // kill, start, cut, heal
	node int
}

// playSchedule plays a schedule over three electors, with or without synced disks, and returns
// what broke.
func playSchedule(t *testing.T, seed uint64, lazy bool, moves []fault) (broke string) {
	defer func() {
		if p := recover(); p != nil { // raft, of a log that has lost what was acknowledged
			broke = fmt.Sprint("an elector cannot go on: ", p)
		}
	}()
	c := newCluster(t, seed, 3, 4, "a", "b", "c")
	c.leaderKnown = true
	for _, d := range c.storages {
		d.unsynced = lazy
	}
	c.run(3000)
	for _, m := range moves {
		switch m.kind {
		case "kill":
			if !c.down[m.node] {
				c.down[m.node], c.leading[m.node] = true, false
				c.storages[m.node].crash()
			}
		case "start":
			if c.down[m.node] {
				c.start(m.node)
			}
		case "cut":
			c.partitioned = func(a, b int) bool { return (a == m.node) != (b == m.node) }
		case "heal":
			c.partitioned = func(int, int) bool { return false }
		}
		c.run(400)
	}
	c.partitioned = func(int, int) bool { return false }
	for i := range c.nodes {
		if c.down[i] {
			c.start(i)
		}
	}
	c.run(4000)
	switch {
	case c.violation != "":
		return c.violation
	case !porcupine.CheckOperations(leaseModel, c.history):
		return "questions and answers are no one history"
	}
	return ""
}

// Without syncs an elector votes and acknowledges what a crash takes back: found at random,
// and made as small as it goes. With them nothing is found on the same schedules.
func TestWithoutSyncs(t *testing.T) {
	found := 0
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 11))
		var moves []fault
		for range 10 {
			moves = append(moves, fault{[]string{"kill", "kill", "start", "cut", "heal"}[rng.IntN(5)], rng.IntN(3)})
		}
		if broke := playSchedule(t, seed, false, moves); broke != "" {
			t.Errorf("seed %d, synced: %s after %v", seed, broke, moves)
		}
		broke := playSchedule(t, seed, true, moves)
		if broke == "" {
			continue
		}
		if found++; found > 1 {
			continue
		}
		for i := 0; i < len(moves); { // elections differ from run to run: three tries each
			less := slices.Delete(slices.Clone(moves), i, i+1)
			still := ""
			for range 3 {
				if still == "" {
					still = playSchedule(t, seed, true, less)
				}
			}
			if still == "" {
				i++
				continue
			}
			moves, broke = less, still
		}
		t.Logf("seed %d, smallest schedule: %v: %s", seed, moves, broke)
		if len(moves) == 0 || !strings.Contains(fmt.Sprint(moves), "kill") {
			t.Errorf("broken without a crash: %v", moves)
		}
	}
	t.Logf("found by %d of 40 seeds", found)
	if found < 3 {
		t.Errorf("without syncs only %d of 40 seeds find anything", found)
	}
}

// Without pre-vote an elector that was cut off comes back with a later term, and the leader,
// which a majority follows, has to give up its lead. With it the lead stays.
func TestWithoutPreVote(t *testing.T) {
	defer func() { preVoteEnabled = true }()
	lost := map[bool]int{}
	for _, preVoteEnabled = range []bool{true, false} {
		for seed := range uint64(10) {
			c := newCluster(t, 200+seed, 3, 2, "a")
			c.leaderKnown = true
			c.run(4000)
			lead := slices.Index(c.leading, true)
			term, away := c.nodes[lead].Status().Term, (lead+1)%3
			c.partitioned = func(a, b int) bool { return a == away || b == away }
			c.run(5000)
			c.partitioned = func(int, int) bool { return false }
			c.run(3000)
			if c.violation != "" {
				t.Errorf("seed %d, pre-vote %v: %s", seed, preVoteEnabled, c.violation)
			}
			if !c.leading[lead] || c.nodes[lead].Status().Term != term {
				lost[preVoteEnabled]++
			}
		}
	}
	t.Logf("schedule: one that follows is cut off, healed. The lead is lost in %d of 10, without pre-vote in %d", lost[true], lost[false])
	if lost[true] > 0 || lost[false] < 8 {
		t.Error("want none, and nearly all without it")
	}
}
