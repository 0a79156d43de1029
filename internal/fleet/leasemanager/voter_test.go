package leasemanager

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/consensus/wal"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/membership"
)

func TestCodecRoundTrip(t *testing.T) {
	ask := lease.Request{ID: 1 << 62, Lease: "probe/x", FencingToken: 7, Release: true, TransferTo: 9, Handoff: []byte("w")}
	if got, ok := DecodeRequest(EncodeRequest(ask)); !ok || !reflect.DeepEqual(got, ask) {
		t.Errorf("%+v", got)
	}
	answer := lease.Response{RequestID: 3, Lease: "probe/x", Granted: true, FencingToken: 7, Holder: 9, Remaining: 1500, Losses: 2, Handoff: []byte("w")}
	if got, ok := DecodeResponse(EncodeResponse(answer)); !ok || !reflect.DeepEqual(got, answer) {
		t.Errorf("%+v", got)
	}
	h := hello{Name: "r1", RaftID: 5, Reply: true, HeardFromSender: true}
	if got, ok := decodeHello(h.encode()); !ok || got != h {
		t.Errorf("%+v", got)
	}
	o := voterMetadata{RaftID: 4, HeardFrom: []uint64{1, 2}}
	if got, ok := decodeVoterMetadata(o.encode()); !ok || !reflect.DeepEqual(got, o) {
		t.Errorf("%+v", got)
	}
	if got, ok := decodeLeaderHint(leaderHint{5, "r1"}.encode()); !ok || got != (leaderHint{5, "r1"}) {
		t.Errorf("%+v", got)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(EncodeResponse(lease.Response{Lease: "a", Granted: true}))
	f.Add(hello{Name: "r1", RaftID: 5}.encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if a, ok := DecodeRequest(b); ok && (len(a.Lease) > 64 || len(a.Handoff) > 512) {
			t.Fatalf("%+v", a)
		}
		DecodeResponse(b)
		decodeHello(b)
		decodeVoterMetadata(b)
		decodeLeaderHint(b)
	})
}

// voterGroup is electors that speak to each other by name, in one goroutine.
type voterGroup struct {
	t           *testing.T
	settings    Settings
	dir         string
	now         float64
	voters      map[string]*voter
	unreachable map[string]bool // names that nobody reaches
}

func newVoterGroup(t *testing.T, names ...string) *voterGroup {
	g := &voterGroup{t: t, settings: Settings{Fleet: "f", Voters: names, Consensus: consensus.DefaultSettings()}, dir: t.TempDir(), voters: map[string]*voter{}, unreachable: map[string]bool{}}
	for _, n := range names {
		g.start(n, n)
	}
	return g
}

// start starts an elector in a folder.
func (g *voterGroup) start(name, folder string) {
	e, err := newVoter(g.settings, "f", name, wal.Dir(g.dir+"/"+folder), g.now)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { e.log.Close() })
	g.voters[name] = e
}

func (g *voterGroup) run(ms float64) {
	for end := g.now + ms; g.now < end; g.now += 10 {
		type mail struct {
			from string
			p    outgoingMessage
		}
		var air []mail
		step := func(n string, in func(*voter) consensus.Input) {
			for _, p := range g.voters[n].step(g.now, in).messages {
				air = append(air, mail{n, p})
			}
		}
		for _, n := range slices.Sorted(func(yield func(string) bool) {
			for n := range g.voters {
				if !yield(n) {
					return
				}
			}
		}) {
			if !g.unreachable[n] {
				step(n, nil)
			}
		}
		for i := 0; i < len(air) && i < 500; i++ {
			m := air[i]
			if e := g.voters[m.p.voterName]; e != nil && !g.unreachable[m.p.voterName] && !g.unreachable[m.from] {
				step(m.p.voterName, func(e *voter) consensus.Input {
					return e.handleMessage(membership.ID(1), 1, m.p.channel, m.p.payload, m.from)
				})
			}
		}
	}
}

func (g *voterGroup) state(name string) string {
	e := g.voters[name]
	if e.node == nil {
		return "waits"
	}
	s := e.node.Status()
	return fmt.Sprintf("votes %v, leader known %v", slices.Contains(s.Voters, e.metadata.RaftID), s.LeaderID != 0)
}

// The first electors begin together, and not before each has heard of all. One whose disk
// is emptied does not vote under its number again, though the others are there, cut off,
// or emptied too; one that starts again with its disk goes on.
func TestBootstrapAndLostDisk(t *testing.T) {
	g := newVoterGroup(t, "a", "b", "c")
	g.unreachable["c"] = true
	g.run(3000)
	if g.state("a") != "waits" || g.state("b") != "waits" {
		t.Fatalf("begun without c: %s, %s", g.state("a"), g.state("b"))
	}
	if e := g.voters["a"]; e.wakeAt < g.now-20 {
		t.Errorf("one that waits wants to be woken at %.0f, and it is %.0f", e.wakeAt, g.now)
	}
	g.unreachable["c"] = false
	g.run(4000)
	for n := range g.voters {
		if got := g.state(n); got != "votes true, leader known true" {
			t.Errorf("%s: %s", n, got)
		}
	}
	first := g.voters["b"].metadata.RaftID
	g.unreachable["a"], g.unreachable["c"] = true, true
	g.start("b", "b-emptied")
	g.run(3000)
	if g.state("b") != "waits" {
		t.Errorf("emptied and cut off: %s", g.state("b"))
	}
	for _, n := range []string{"a", "c"} { // one that has heard it is enough to know that it voted
		if slices.Contains(g.voters[n].metadata.HeardFrom, first) {
			g.unreachable[n] = false
			break
		}
	}
	g.run(1000)
	if g.voters["b"].node == nil || g.voters["b"].metadata.RaftID == first || g.state("b")[:11] != "votes false" {
		t.Errorf("emptied: %s under %d, before %d", g.state("b"), g.voters["b"].metadata.RaftID, first)
	}
	g.unreachable["a"], g.unreachable["c"] = false, false
	g.run(6000)
	if got := g.state("b"); got != "votes true, leader known true" {
		t.Errorf("taken in again: %s", got)
	}
	second := g.voters["b"].metadata.RaftID
	g.start("b", "b-emptied")
	g.run(3000)
	if got := g.state("b"); got != "votes true, leader known true" || g.voters["b"].metadata.RaftID != second {
		t.Errorf("started again with its disk: %s", got)
	}
	if _, err := newVoter(g.settings, "f", "x", wal.Dir(g.dir+"/a"), g.now); err == nil {
		t.Error("another's folder is taken")
	}
}
