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

// maxDeliveries bounds the messages of one step of a voterGroup.
const maxDeliveries = 500

// voterGroup is voters that send each other messages by name, in one goroutine.
type voterGroup struct {
	t           *testing.T
	settings    Settings
	dir         string
	now         float64
	voters      map[string]*voter
	unreachable map[string]bool // by name
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

// start starts a voter with the log of a directory.
func (g *voterGroup) start(name, dir string) {
	g.t.Helper()
	v, err := newVoter(g.settings, name, wal.Dir(g.dir+"/"+dir), g.now)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { _ = v.log.Close() })
	g.voters[name] = v
}

// run plays for some ms.
func (g *voterGroup) run(ms float64) {
	type delivery struct {
		from string
		outgoingMessage
	}
	for end := g.now + ms; g.now < end; g.now += 10 {
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

// The states that state returns.
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

// The first voters start together, and not before each has heard from all. One whose disk is
// emptied does not vote under its raft ID again, though the others are there, partitioned, or
// emptied too; one that restarts with its disk goes on.
func TestBootstrapAndLostDisk(t *testing.T) {
	group := newVoterGroup(t, "a", "b", "c")
	group.unreachable["c"] = true
	group.run(3000)
	if group.state("a") != stateWaits || group.state("b") != stateWaits {
		t.Fatalf("started without c: %s, %s", group.state("a"), group.state("b"))
	}
	if v := group.voters["a"]; v.wakeAt < group.now-20 {
		t.Errorf("one that waits wants to be woken at %.0f, and it is %.0f", v.wakeAt, group.now)
	}
	group.unreachable["c"] = false
	group.run(4000)
	for name := range group.voters {
		if got := group.state(name); got != stateVoter {
			t.Errorf("%s: %s", name, got)
		}
	}
	firstID := group.voters["b"].metadata.RaftID
	group.unreachable["a"], group.unreachable["c"] = true, true
	group.start("b", "b-emptied")
	group.run(3000)
	if group.state("b") != stateWaits {
		t.Errorf("emptied and partitioned: %s", group.state("b"))
	}
	for _, name := range []string{"a", "c"} { // one that has heard from it is enough to know that it voted
		if slices.Contains(group.voters[name].metadata.HeardFrom, firstID) {
			group.unreachable[name] = false
			break
		}
	}
	group.run(1000)
	if group.voters["b"].node == nil || group.voters["b"].metadata.RaftID == firstID || group.state("b")[:11] != "votes false" {
		t.Errorf("emptied: %s under %d, before %d", group.state("b"), group.voters["b"].metadata.RaftID, firstID)
	}
	group.unreachable["a"], group.unreachable["c"] = false, false
	group.run(6000)
	if got := group.state("b"); got != stateVoter {
		t.Errorf("added again: %s", got)
	}
	secondID := group.voters["b"].metadata.RaftID
	group.start("b", "b-emptied")
	group.run(3000)
	if got := group.state("b"); got != stateVoter || group.voters["b"].metadata.RaftID != secondID {
		t.Errorf("restarted with its disk: %s", got)
	}
	var ownerErr *wal.OwnerError
	if _, err := newVoter(group.settings, "x", wal.Dir(group.dir+"/a"), group.now); !errors.As(err, &ownerErr) {
		t.Errorf("another's directory: %v", err)
	}
}
