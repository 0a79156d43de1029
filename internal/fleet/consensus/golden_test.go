package consensus

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"garnetline/internal/fleet/consensus/wal"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/routing"
)

// Only a wanted change of a stored form calls for `go test ./PACKAGE -run Golden -update`,
// which writes the file of testdata anew.
var update = flag.Bool("update", false, "write the golden files of testdata")

// recordingStorage is a disk that notes each record which it is given.
type recordingStorage struct {
	memoryStorage
	wantsRewrite bool // it wants to be rewritten
	lines        []string
}

func (r *recordingStorage) record(call string, hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) {
	add := func(kind string, m proto.Message) {
		b, err := proto.Marshal(m)
		if err != nil {
			panic(err)
		}
		r.lines = append(r.lines, fmt.Sprintf("%s %s %x", call, kind, b))
	}
	if snap != nil {
		add("snapshot", snap)
	}
	for _, e := range entries {
		add("entry", e)
	}
	if hard != nil {
		add("hard", hard)
	}
}

func (r *recordingStorage) Save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	r.record("save", hard, entries, snap)
	return r.memoryStorage.Save(hard, entries, snap)
}

func (r *recordingStorage) Rewrite(s wal.State) error {
	r.record("rewrite", s.HardState, s.Entries, s.Snapshot)
	r.wantsRewrite = false
	return r.memoryStorage.Rewrite(s)
}

func (r *recordingStorage) NeedsRewrite() bool { return r.wantsRewrite }

// What an elector that is alone has its disk keep: the first snapshot, its election, a
// command of each kind, a change of the electors and a rewritten log are what they were,
// and an elector that finds them goes on.
func TestGoldenEntries(t *testing.T) {
	set := DefaultSettings()
	d := &recordingStorage{}
	m, err := NewNode(set, 5, d, wal.State{}, map[uint64]string{5: "r05"}, 0)
	if err != nil {
		t.Fatal(err)
	}
	now := 0.0
	step := func(in Input) Output {
		t.Helper()
		out, err := m.Step(now, in)
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	for leads := false; !leads; now += set.TickInterval {
		if leads = step(Input{}).Leading; now > 10_000 {
			t.Fatal("it is not elected")
		}
	}
	ask := lease.Request{ID: 1, Lease: "probe/edge"}
	out := step(Input{Request: &ClientRequest{From: 9, Incarnation: 77, Request: ask}})
	if len(out.Responses) != 1 || !out.Responses[0].Granted {
		t.Fatalf("%+v", out.Responses)
	}
	give := lease.Request{ID: 2, Lease: "probe/edge", FencingToken: out.Responses[0].FencingToken, Release: true, TransferTo: 10, Handoff: []byte("work")}
	step(Input{Request: &ClientRequest{From: 9, Incarnation: 77, Request: give}})
	ban := &leaseregistry.Command{Op: leaseregistry.OpSetBan, Server: routing.ServerID(7), Disabled: true, Text: "ann", Reason: "broken", SetAt: 1000, RequestID: 3}
	step(Input{Request: &ClientRequest{From: 9, Incarnation: 77, Request: lease.Request{ID: 3}, Ban: &BanRequest{Set: ban}}})
	step(Input{Proposal: &leaseregistry.Command{Op: leaseregistry.OpNameVoter, VoterID: 6, Text: "r06"}})
	learner, id := raftpb.ConfChangeAddLearnerNode, uint64(6)
	step(Input{ConfChange: &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{{Type: &learner, NodeId: &id}}}})
	d.wantsRewrite = true
	step(Input{Proposal: &leaseregistry.Command{Op: leaseregistry.OpNameVoter, VoterID: 7, Text: "r07"}})

	got := strings.Join(d.lines, "\n") + "\n"
	if *update {
		if err := os.WriteFile("testdata/entries.golden", []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile("testdata/entries.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("kept as\n%s\nstored as\n%s", got, want)
	}

	again, err := NewNode(set, 5, &memoryStorage{}, d.state, nil, now)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := again.Step(now, Input{}); err != nil { // it applies what is behind the snapshot
		t.Fatal(err)
	}
	if a, b := string(again.State().Snapshot()), string(m.State().Snapshot()); a != b {
		t.Errorf("goes on from %x, was %x", a, b)
	}
	if s := again.Status(); len(s.Voters) != 1 || s.Voters[0] != 5 || len(s.Learners) != 1 || s.Learners[0] != 6 {
		t.Errorf("%+v", s)
	}
}
