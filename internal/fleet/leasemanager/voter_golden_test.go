package leasemanager

import (
	"fmt"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/consensus/wal"
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/golden"
)

// clockedVoter is the only voter of a recordedGroup whose clock advances.
const clockedVoter = "r01"

// recordedGroup is a group of voters that exchange messages in a deterministic order. Only the clock
// of clockedVoter advances, so that no other voter becomes a candidate. The group records the first
// message of each kind.
type recordedGroup struct {
	t        *testing.T
	settings Settings
	now      float64 // clock of clockedVoter, in ms
	voters   map[string]*voter
	seen     map[string]bool
	recorded strings.Builder
}

// recordedMessage is a message with the name of its sender.
type recordedMessage struct {
	from string
	outgoingMessage
}

func newRecordedGroup(t *testing.T, names ...string) *recordedGroup {
	t.Helper()
	g := &recordedGroup{
		t:        t,
		settings: Settings{Fleet: "fleet", Voters: names, Consensus: consensus.DefaultSettings()},
		voters:   map[string]*voter{},
		seen:     map[string]bool{},
	}
	for _, name := range names {
		g.start(name, nil)
	}
	return g
}

// start starts a voter. The voter's log holds only the given metadata, or is empty if metadata
// is nil.
func (g *recordedGroup) start(name string, metadata []byte) {
	g.t.Helper()
	dir := wal.Dir(g.t.TempDir())
	if metadata != nil {
		log, _, _, err := wal.Open(dir, g.settings.Fleet+"/"+name)
		if err != nil {
			g.t.Fatal(err)
		}
		if err := log.SaveMetadata(metadata); err != nil {
			g.t.Fatal(err)
		}
		if err := log.Close(); err != nil {
			g.t.Fatal(err)
		}
	}
	v, err := newVoter(g.settings, name, dir, 0)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { _ = v.log.Close() })
	g.voters[name] = v
}

// record records a message if it is the first of its kind.
func (g *recordedGroup) record(message recordedMessage) {
	g.t.Helper()
	kind := fmt.Sprintf("channel %d", message.channel)
	if message.channel == fragment.Raft {
		raftMessage := &raftpb.Message{}
		if err := proto.Unmarshal(message.payload, raftMessage); err != nil {
			g.t.Fatal(err)
		}
		kind = fmt.Sprintf("raft %v, %d entries, context of %d bytes", raftMessage.GetType(), len(raftMessage.GetEntries()), len(raftMessage.GetContext()))
	}
	if g.seen[kind] {
		return
	}
	g.seen[kind] = true
	fmt.Fprintf(&g.recorded, "%s, %s to %s: %x\n", kind, message.from, message.voterName, message.payload)
}

// deliver delivers a message, and all messages that are sent as a consequence.
func (g *recordedGroup) deliver(first recordedMessage) {
	g.t.Helper()
	for queue := []recordedMessage{first}; len(queue) > 0; {
		message := queue[0]
		queue = queue[1:]
		g.record(message)
		receiver := g.voters[message.voterName]
		if receiver == nil {
			continue // the message is for a router
		}
		now := 0.0
		if message.voterName == clockedVoter {
			now = g.now
		}
		out := receiver.step(now, func(v *voter) consensus.Input {
			return v.handleMessage(incomingMessage{from: 1, voterName: message.from, incarnation: 1, channel: message.channel, payload: message.payload})
		})
		for _, sent := range out.messages {
			queue = append(queue, recordedMessage{message.voterName, sent})
		}
	}
}

func (g *recordedGroup) step(name string, now float64) {
	g.t.Helper()
	for _, sent := range g.voters[name].step(now, nil).messages {
		g.deliver(recordedMessage{name, sent})
	}
}

// runUntil advances the clock of clockedVoter until the function done returns true. At each step
// it also makes the voters in helloSenders send hellos.
func (g *recordedGroup) runUntil(condition string, done func() bool, helloSenders ...string) {
	g.t.Helper()
	for deadline := g.now + 10_000; !done(); g.now += 10 {
		if g.now > deadline {
			g.t.Fatalf("%s: not reached within 10 s", condition)
		}
		g.step(clockedVoter, g.now)
		for _, name := range helloSenders {
			g.voters[name].nextHelloAt = 0
			g.step(name, 0)
		}
	}
}

// The bytes that voters send to each other must not change. The voters start for the first time,
// elect a leader, grant a lease and add a voter that lost its disk.
func TestGoldenVoterExchange(t *testing.T) {
	g := newRecordedGroup(t, clockedVoter, "r02", "r03")
	g.runUntil("all voters have started", func() bool {
		return g.voters[clockedVoter].node != nil && g.voters["r02"].node != nil && g.voters["r03"].node != nil
	}, "r02", "r03")
	g.runUntil("a leader is elected", func() bool { return g.voters[clockedVoter].leading })
	payload := EncodeRequest(lease.Request{ID: 1, Lease: "probe/edge"})
	g.deliver(recordedMessage{"a router", outgoingMessage{voterName: clockedVoter, channel: fragment.LeaseRequest, payload: payload}})
	g.runUntil("the lease is granted", func() bool { return len(g.voters["r02"].node.State().Leases) > 0 })
	g.deliver(recordedMessage{"a router", outgoingMessage{voterName: "r02", channel: fragment.LeaseRequest, payload: payload}})

	g.start("r03", voterMetadata{RaftID: 99}.encode())
	g.runUntil("the voter without a disk has a snapshot", func() bool { return g.voters["r03"].node.Status().AppliedIndex > 0 }, "r03")
	golden.Compare(t, "electors.golden", []byte(g.recorded.String()))
}
