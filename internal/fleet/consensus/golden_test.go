package consensus

import (
	"fmt"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"garnetline/internal/fleet/consensus/wal"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/golden"
	"garnetline/routing"
)

// recordingStorage records everything that is saved in it, one line for each record.
type recordingStorage struct {
	memoryStorage
	wantsRewrite bool
	lines        []string
}

func (s *recordingStorage) record(call string, state wal.State) {
	add := func(kind string, m proto.Message) {
		encoded, err := proto.Marshal(m)
		if err != nil {
			panic(err)
		}
		s.lines = append(s.lines, fmt.Sprintf("%s %s %x", call, kind, encoded))
	}
	if state.Snapshot != nil {
		add("snapshot", state.Snapshot)
	}
	for _, entry := range state.Entries {
		add("entry", entry)
	}
	if state.HardState != nil {
		add("hard", state.HardState)
	}
}

func (s *recordingStorage) Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	s.record("save", wal.State{HardState: hardState, Entries: entries, Snapshot: snapshot})
	return s.memoryStorage.Save(hardState, entries, snapshot)
}

func (s *recordingStorage) Rewrite(state wal.State) error {
	s.record("rewrite", state)
	s.wantsRewrite = false
	return s.memoryStorage.Rewrite(state)
}

func (s *recordingStorage) NeedsRewrite() bool { return s.wantsRewrite }

// The bytes that the only voter of a registry stores must not change: its first snapshot, its
// election, a command of each kind, a change of members and a rewritten log. A node that starts
// from these bytes must continue with the same state.
func TestGoldenEntries(t *testing.T) {
	settings := DefaultSettings()
	storage := &recordingStorage{}
	node, err := NewNode(settings, 5, storage, wal.State{}, map[uint64]string{5: "r05"}, 0)
	if err != nil {
		t.Fatal(err)
	}
	now := 0.0
	step := func(in Input) Output {
		t.Helper()
		out, err := node.Step(now, in)
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	serve := func(request lease.Request, ban *BanRequest) Output {
		t.Helper()
		return step(Input{Request: &ClientRequest{From: 9, Incarnation: 77, Request: request, Ban: ban}})
	}
	for leading := false; !leading; now += settings.TickInterval {
		if leading = step(Input{}).Leading; now > 10_000 {
			t.Fatal("the only voter is not elected within 10 s")
		}
	}
	out := serve(lease.Request{ID: 1, Lease: "probe/edge"}, nil)
	if len(out.Responses) != 1 || !out.Responses[0].Granted {
		t.Fatalf("got responses %+v, want one grant", out.Responses)
	}
	serve(lease.Request{
		ID: 2, Lease: "probe/edge", FencingToken: out.Responses[0].FencingToken, Release: true, TransferTo: 10, Handoff: []byte("work"),
	}, nil)
	serve(lease.Request{ID: 3}, &BanRequest{Set: &leaseregistry.Command{
		Op: leaseregistry.OpSetBan, Server: routing.ServerID(7), Disabled: true, Text: "ann", Reason: "broken", SetAt: 1000, RequestID: 3,
	}})
	step(Input{Proposal: &leaseregistry.Command{Op: leaseregistry.OpNameVoter, VoterID: 6, Text: "r06"}})
	learner, id := raftpb.ConfChangeAddLearnerNode, uint64(6)
	step(Input{ConfChange: &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{{Type: &learner, NodeId: &id}}}})
	storage.wantsRewrite = true
	step(Input{Proposal: &leaseregistry.Command{Op: leaseregistry.OpNameVoter, VoterID: 7, Text: "r07"}})
	golden.Compare(t, "entries.golden", []byte(strings.Join(storage.lines, "\n")+"\n"))

	restarted, err := NewNode(settings, 5, &memoryStorage{}, storage.state, nil, now)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := restarted.Step(now, Input{}); err != nil { // this step applies the entries after the snapshot
		t.Fatal(err)
	}
	if got, want := string(restarted.State().Snapshot()), string(node.State().Snapshot()); got != want {
		t.Errorf("restarted node has registry %x, want %x", got, want)
	}
	if s := restarted.Status(); len(s.Voters) != 1 || s.Voters[0] != 5 || len(s.Learners) != 1 || s.Learners[0] != 6 {
		t.Errorf("got status %+v, want voter 5 and learner 6", s)
	}
}
