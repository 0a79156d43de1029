package agree

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"garnetline/decide"
	"garnetline/internal/fleet/agree/disk"
	"garnetline/internal/fleet/duty"
	"garnetline/internal/fleet/register"
)

// Only a wanted change of a stored form calls for `go test ./PACKAGE -run Golden -update`,
// which writes the file of testdata anew.
var update = flag.Bool("update", false, "write the golden files of testdata")

// recorder is a disk that notes each record which it is given.
type recorder struct {
	kept
	grown bool // it wants to be rewritten
	lines []string
}

func (r *recorder) note(call string, hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) {
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

func (r *recorder) Save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	r.note("save", hard, entries, snap)
	return r.kept.Save(hard, entries, snap)
}

func (r *recorder) Rewrite(s disk.State) error {
	r.note("rewrite", s.Hard, s.Entries, s.Snap)
	r.grown = false
	return r.kept.Rewrite(s)
}

func (r *recorder) Grown() bool { return r.grown }

// What an elector that is alone has its disk keep: the first snapshot, its election, a
// command of each kind, a change of the electors and a rewritten log are what they were,
// and an elector that finds them goes on.
func TestGoldenEntries(t *testing.T) {
	set := Default()
	d := &recorder{}
	m, err := New(set, 5, d, disk.State{}, map[uint64]string{5: "r05"}, 0)
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
	for leads := false; !leads; now += set.Tick {
		if leads = step(Input{}).Leading; now > 10_000 {
			t.Fatal("it is not elected")
		}
	}
	ask := duty.Ask{Question: 1, Duty: "probe/edge"}
	out := step(Input{Question: &Question{From: 9, Life: 77, Ask: ask}})
	if len(out.Replies) != 1 || !out.Replies[0].Yes {
		t.Fatalf("%+v", out.Replies)
	}
	give := duty.Ask{Question: 2, Duty: "probe/edge", Token: out.Replies[0].Token, Give: true, To: 10, Work: []byte("work")}
	step(Input{Question: &Question{From: 9, Life: 77, Ask: give}})
	ban := &register.Command{Op: register.SetBan, Box: decide.ServerID(7), Out: true, Text: "ann", Why: "broken", At: 1000, Question: 3}
	step(Input{Question: &Question{From: 9, Life: 77, Ask: duty.Ask{Question: 3}, Ban: &BanAsk{Set: ban}}})
	step(Input{Ban: &register.Command{Op: register.Name, Number: 6, Text: "r06"}})
	learner, id := raftpb.ConfChangeAddLearnerNode, uint64(6)
	step(Input{Change: &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{{Type: &learner, NodeId: &id}}}})
	d.grown = true
	step(Input{Ban: &register.Command{Op: register.Name, Number: 7, Text: "r07"}})

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

	again, err := New(set, 5, &kept{}, d.s, nil, now)
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
