package wal

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"garnetline/internal/golden"
)

const goldenOwner = "fleet/r01"

// goldenState returns the state that both golden logs hold.
func goldenState() State {
	return State{
		HardState: hardState(3, 2, 5),
		Snapshot:  snapshotAt(5, 2, "later"),
		Entries:   []*raftpb.Entry{entry(6, 3, "six"), entry(7, 3, "")},
		Metadata:  []byte{8, 9},
	}
}

func snapshotAt(index, term uint64, data string) *raftpb.Snapshot {
	return &raftpb.Snapshot{Data: []byte(data), Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term,
		ConfState: &raftpb.ConfState{Voters: []uint64{1, 2, 3}, Learners: []uint64{4}}}}
}

// appendGoldenState writes records of every kind. The last records make some of the earlier
// records obsolete.
func appendGoldenState(l *Log) error {
	if err := l.SaveMetadata([]byte{8, 9}); err != nil {
		return err
	}
	if err := l.Save(hardState(1, 0, 1), nil, snapshotAt(1, 1, "first")); err != nil {
		return err
	}
	if err := l.Save(hardState(2, 1, 3), []*raftpb.Entry{entry(2, 1, "two"), entry(3, 2, "three")}, nil); err != nil {
		return err
	}
	last := goldenState()
	return l.Save(last.HardState, last.Entries, last.Snapshot)
}

// The format of the log must not change. A log with every kind of record, appended or rewritten,
// must equal its golden file. The golden file must be readable.
func TestGoldenLog(t *testing.T) {
	for file, write := range map[string]func(l *Log) error{
		"appended.log":  appendGoldenState,
		"rewritten.log": func(l *Log) error { return l.Rewrite(goldenState()) },
	} {
		t.Run(file, func(t *testing.T) {
			dir := t.TempDir()
			l, _, fresh, err := Open(Dir(dir), goldenOwner)
			if err != nil || !fresh {
				t.Fatal(fresh, err)
			}
			if err := write(l); err != nil {
				t.Fatal(err)
			}
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
			got, err := os.ReadFile(filepath.Join(dir, "log"))
			if err != nil {
				t.Fatal(err)
			}
			checkStored(t, golden.Compare(t, file, got))
		})
	}
}

// checkStored checks that a log with the given content holds the golden state.
func checkStored(t *testing.T, content []byte) {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "log"), content, 0o600); err != nil {
		t.Fatal(err)
	}
	l, found, fresh, err := Open(Dir(dir), goldenOwner)
	if err != nil || fresh {
		t.Fatal(fresh, err)
	}
	defer closeFile(t, l)
	want := goldenState()
	if describe(found) != describe(want) || !bytes.Equal(found.Metadata, want.Metadata) {
		t.Errorf("found %s, want %s", describe(found), describe(want))
	}
	if members := found.Snapshot.GetMetadata().GetConfState(); len(members.GetVoters()) != 3 || members.GetLearners()[0] != 4 {
		t.Errorf("got members %v, want 3 voters and learner 4", members)
	}
}
