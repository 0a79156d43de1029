package wal

import (
	"bytes"
	"flag"
	"os"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

// Only a wanted change of the stored form calls for `go test ./PACKAGE -run Golden -update`,
// which writes the files of testdata anew.
var update = flag.Bool("update", false, "write the golden files of testdata")

func snapshotAt(index, term uint64, text string) *raftpb.Snapshot {
	return &raftpb.Snapshot{Data: []byte(text), Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term,
		ConfState: &raftpb.ConfState{Voters: []uint64{1, 2, 3}, Learners: []uint64{4}}}}
}

// A log with every kind of record, as it is appended to and as it is rewritten, is on the
// disk what it was, and a log that was written before is read.
func TestGoldenLog(t *testing.T) {
	last := State{HardState: hardState(3, 2, 5), Snapshot: snapshotAt(5, 2, "later"), Entries: []*raftpb.Entry{entry(6, 3, "six"), entry(7, 3, "")}, Metadata: []byte{8, 9}}
	for file, write := range map[string]func(l *Log) error{
		"appended.log": func(l *Log) error {
			if err := l.SaveMetadata([]byte{8, 9}); err != nil {
				return err
			}
			if err := l.Save(hardState(1, 0, 1), nil, snapshotAt(1, 1, "first")); err != nil {
				return err
			}
			if err := l.Save(hardState(2, 1, 3), []*raftpb.Entry{entry(2, 1, "two"), entry(3, 2, "three")}, nil); err != nil {
				return err
			}
			return l.Save(last.HardState, last.Entries, last.Snapshot)
		},
		"rewritten.log": func(l *Log) error { return l.Rewrite(last) },
	} {
		folder := t.TempDir()
		l, _, fresh, err := Open(Dir(folder), "fleet/r01")
		if err != nil || !fresh {
			t.Fatal(fresh, err)
		}
		if err := write(l); err != nil {
			t.Fatal(err)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		got, err := os.ReadFile(folder + "/" + fileName)
		if err != nil {
			t.Fatal(err)
		}
		if *update {
			if err := os.WriteFile("testdata/"+file, got, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile("testdata/" + file)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("%s: written as\n%x\nstored as\n%x", file, got, want)
		}
		stored := t.TempDir()
		if err := os.WriteFile(stored+"/log", want, 0o600); err != nil {
			t.Fatal(err)
		}
		l, found, fresh, err := Open(Dir(stored), "fleet/r01")
		if err != nil || fresh || describe(found) != describe(last) || !bytes.Equal(found.Metadata, last.Metadata) {
			t.Errorf("%s: %v: found %s, want %s", file, err, describe(found), describe(last))
		}
		l.Close()
		if found.Snapshot.GetMetadata().GetConfState().GetLearners()[0] != 4 {
			t.Errorf("%s: the electors are read as %v", file, found.Snapshot.GetMetadata().GetConfState())
		}
	}
}
