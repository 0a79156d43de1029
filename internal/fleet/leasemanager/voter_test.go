package leasemanager

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/consensus/wal"
)

// maxDeliveries bounds the messages that are delivered in one step of a voterGroup.
const maxDeliveries = 500

// voterGroup is a group of voters that exchange messages in one goroutine.
type voterGroup struct {
	t           *testing.T
	settings    Settings
	dir         string
	now         float64
	voters      map[string]*voter
	unreachable map[string]bool // names of the voters that no message reaches or leaves
}

func newVoterGroup(t *testing.T, names ...string) *voterGroup {
	t.Helper()
	g := &voterGroup{
		t:           t,
		settings:    Settings{Fleet: "f", Voters: names, Consensus: consensus.DefaultSettings()},
		dir:         t.TempDir(),
		voters:      map[string]*voter{},
		unreachable: map[string]bool{},
	}
	for _, name := range names {
		g.start(name, name)
	}
	return g
}

// start starts a voter with the log in a directory.
func (g *voterGroup) start(name, dir string) {
	g.t.Helper()
	v, err := newVoter(g.settings, name, wal.Dir(g.dir+"/"+dir), g.now)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { _ = v.log.Close() })
	g.voters[name] = v
}

// run advances the group's clock by duration, in ms, and delivers all messages.
func (g *voterGroup) run(duration float64) {
	type delivery struct {
		from string
		outgoingMessage
	}
	for end := g.now + duration; g.now < end; g.now += 10 {
		var inFlight []delivery
		step := func(name string, handle func(*voter) consensus.Input) {
			for _, message := range g.voters[name].step(g.now, handle).messages {
				inFlight = append(inFlight, delivery{name, message})
			}
		}
		for _, name := range slices.Sorted(maps.Keys(g.voters)) {
			if !g.unreachable[name] {
				step(name, nil)
			}
		}
		for i := 0; i < len(inFlight) && i < maxDeliveries; i++ {
			message := inFlight[i]
			if g.voters[message.voterName] == nil || g.unreachable[message.voterName] || g.unreachable[message.from] {
				continue
			}
			step(message.voterName, func(v *voter) consensus.Input {
				return v.handleMessage(incomingMessage{from: 1, voterName: message.from, incarnation: 1, channel: message.channel, payload: message.payload})
			})
		}
	}
}

// Results of voterGroup.state.
const (
	stateWaits = "waits"
	stateVoter = "votes true, leader known true"
)

func (g *voterGroup) state(name string) string {
	v := g.voters[name]
	if v.node == nil {
		return stateWaits
	}
	status := v.node.Status()
	return fmt.Sprintf("votes %v, leader known %v", slices.Contains(status.Voters, v.metadata.RaftID), status.LeaderID != 0)
}

// The first voters must not start before each of them has heard from all others. A voter whose
// disk is emptied must not vote again under its old raft ID, whether it is partitioned or hears
// from the others. That voter must be added again. A voter that restarts with its disk must
// continue to vote under the same raft ID.
func TestBootstrapAndLostDisk(t *testing.T) {
	group := newVoterGroup(t, "a", "b", "c")
	group.unreachable["c"] = true
	group.run(3000)
	if group.state("a") != stateWaits || group.state("b") != stateWaits {
		t.Fatalf("voters a and b without c: got states %s and %s, want both to wait", group.state("a"), group.state("b"))
	}
	if v := group.voters["a"]; v.wakeAt < group.now-20 {
		t.Errorf("waiting voter has wake time %.0f at time %.0f, want none in the past", v.wakeAt, group.now)
	}
	group.unreachable["c"] = false
	group.run(4000)
	for name := range group.voters {
		if got := group.state(name); got != stateVoter {
			t.Errorf("voter %s: got state %q, want a voter that knows the leader", name, got)
		}
	}
	firstID := group.voters["b"].metadata.RaftID
	group.unreachable["a"], group.unreachable["c"] = true, true
	group.start("b", "b-emptied")
	group.run(3000)
	if group.state("b") != stateWaits {
		t.Errorf("voter with an emptied disk, partitioned: got state %q, want it to wait", group.state("b"))
	}
	for _, name := range []string{"a", "c"} { // one reachable voter that has heard from b must be enough to keep b from voting
		if slices.Contains(group.voters[name].metadata.HeardFrom, firstID) {
			group.unreachable[name] = false
			break
		}
	}
	group.run(1000)
	if group.voters["b"].node == nil || group.voters["b"].metadata.RaftID == firstID || group.state("b")[:11] != "votes false" {
		t.Errorf("voter with an emptied disk: got state %q under raft ID %d, want no vote and a raft ID other than %d", group.state("b"), group.voters["b"].metadata.RaftID, firstID)
	}
	group.unreachable["a"], group.unreachable["c"] = false, false
	group.run(6000)
	if got := group.state("b"); got != stateVoter {
		t.Errorf("voter that was added again: got state %q, want a voter that knows the leader", got)
	}
	secondID := group.voters["b"].metadata.RaftID
	group.start("b", "b-emptied")
	group.run(3000)
	if got := group.state("b"); got != stateVoter || group.voters["b"].metadata.RaftID != secondID {
		t.Errorf("voter restarted with its disk: got state %q, want a voter under its previous raft ID", got)
	}
	var ownerErr *wal.OwnerError
	if _, err := newVoter(group.settings, "x", wal.Dir(group.dir+"/a"), group.now); !errors.As(err, &ownerErr) {
		t.Errorf("directory of another voter: got error %v, want an OwnerError", err)
	}
}
