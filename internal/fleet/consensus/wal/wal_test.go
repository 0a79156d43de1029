package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// memoryFS is a folder that forgets at a crash what was not synced, and fails at a call.
type memoryFS struct {
	syncedFiles  map[string]*memoryFile // as names stand after a crash
	visibleFiles map[string]*memoryFile // as they stand
	failAtCall   int                    // the call that fails; it and all later ones
	calls        int
	crashed      bool
}

type memoryFile struct {
	content   []byte
	syncedLen int
}

var errDisk = errors.New("disk full")

func newMemoryFS() *memoryFS {
	return &memoryFS{syncedFiles: map[string]*memoryFile{}, visibleFiles: map[string]*memoryFile{}}
}

func (m *memoryFS) call() error {
	if m.calls++; m.failAtCall > 0 && m.calls >= m.failAtCall {
		m.crashed = true
		return errDisk
	}
	return nil
}

func (m *memoryFS) ReadFile(name string) ([]byte, error) {
	if err := m.call(); err != nil {
		return nil, err
	}
	if m.visibleFiles[name] == nil {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), m.visibleFiles[name].content...), nil
}

func (m *memoryFS) Append(name string) (File, error) {
	if err := m.call(); err != nil {
		return nil, err
	}
	if m.visibleFiles[name] == nil {
		m.visibleFiles[name] = &memoryFile{}
	}
	return &openFile{m, m.visibleFiles[name]}, nil
}

func (m *memoryFS) Rename(from, to string) error {
	if err := m.call(); err != nil {
		return err
	}
	m.visibleFiles[to] = m.visibleFiles[from]
	delete(m.visibleFiles, from)
	return nil
}

func (m *memoryFS) Remove(name string) error {
	if err := m.call(); err != nil {
		return err
	}
	delete(m.visibleFiles, name)
	return nil
}

func (m *memoryFS) Sync() error {
	if err := m.call(); err != nil {
		return err
	}
	m.syncedFiles = map[string]*memoryFile{}
	for n, d := range m.visibleFiles {
		m.syncedFiles[n] = d
	}
	return nil
}

// crash leaves what was synced, and of the rest as much as chance has it.
func (m *memoryFS) crash(rng *rand.Rand) {
	m.visibleFiles = map[string]*memoryFile{}
	for n, d := range m.syncedFiles {
		keep := d.syncedLen + rng.IntN(len(d.content)-d.syncedLen+1)
		d.content = d.content[:keep:keep]
		d.syncedLen = keep
		m.visibleFiles[n] = d
	}
	m.failAtCall, m.calls, m.crashed = 0, 0, false
}

type openFile struct {
	fs   *memoryFS
	file *memoryFile
}

func (h *openFile) Write(b []byte) (int, error) {
	if err := h.fs.call(); err != nil {
		h.file.content = append(h.file.content, b[:len(b)/2]...) // torn
		return len(b) / 2, err
	}
	h.file.content = append(h.file.content, b...)
	return len(b), nil
}

func (h *openFile) Sync() error {
	if err := h.fs.call(); err != nil {
		return err
	}
	h.file.syncedLen = len(h.file.content)
	return nil
}

func (h *openFile) Truncate(n int64) error {
	if err := h.fs.call(); err != nil {
		return err
	}
	h.file.content = h.file.content[:n]
	h.file.syncedLen = min(h.file.syncedLen, int(n))
	return nil
}

func (h *openFile) Close() error { return h.fs.call() }

func entry(i, term uint64, text string) *raftpb.Entry {
	return &raftpb.Entry{Index: &i, Term: &term, Data: []byte(text)}
}

func hardState(term, vote, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: &term, Vote: &vote, Commit: &commit}
}

func describe(s State) string {
	var b strings.Builder
	fmt.Fprintf(&b, "term %d vote %d commit %d, snapshot %d %q:", s.HardState.GetTerm(), s.HardState.GetVote(), s.HardState.GetCommit(),
		s.Snapshot.GetMetadata().GetIndex(), s.Snapshot.GetData())
	for _, e := range s.Entries {
		fmt.Fprintf(&b, " %d.%d=%s", e.GetIndex(), e.GetTerm(), e.Data)
	}
	return b.String()
}

// writeUntilFailure writes steps until one fails and returns the states that may be found afterwards:
// the last one that was acknowledged, and the one that was under way.
func writeUntilFailure(m *memoryFS, steps int) (sure, maybe State, err error) {
	l, sure, _, err := Open(m, "f/1")
	maybe = sure
	if err != nil {
		return sure, maybe, err
	}
	defer l.Close()
	for i := uint64(1); i <= uint64(steps); i++ {
		last := sure.Snapshot.GetMetadata().GetIndex() + uint64(len(sure.Entries))
		maybe.Entries = append([]*raftpb.Entry(nil), sure.Entries...)
		e := entry(last+1, i, fmt.Sprint("e", i))
		if i%4 == 0 && len(sure.Entries) > 0 {
			e = entry(last, i, "over") // another leader's, over the last one
		}
		h := hardState(i, i%3+1, last)
		maybe.appendEntry(e)
		maybe.HardState = h
		if err := l.Save(h, []*raftpb.Entry{e}, nil); err != nil {
			return sure, maybe, err
		}
		sure = maybe
		if i%5 == 0 {
			index, term := last, i
			maybe.Snapshot = &raftpb.Snapshot{Data: []byte(fmt.Sprint("s", i)), Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term}}
			maybe.Entries = entriesAfter(append([]*raftpb.Entry(nil), sure.Entries...), index)
			if err := l.Rewrite(maybe); err != nil {
				return sure, maybe, err
			}
			sure = maybe
		}
	}
	return sure, maybe, nil
}

// Each call fails in turn, and the machine with it. What was acknowledged is found again,
// whole, or what was under way; and no log takes anything after a failure.
func TestFailureAtEveryCall(t *testing.T) {
	whole := newMemoryFS()
	if _, _, err := writeUntilFailure(whole, 12); err != nil {
		t.Fatal(err)
	}
	for at := 1; at <= whole.calls; at++ {
		for seed := range uint64(5) {
			m := newMemoryFS()
			m.failAtCall = at
			sure, maybe, _ := writeUntilFailure(m, 12)
			m.crash(rand.New(rand.NewPCG(seed, uint64(at))))
			l, found, _, err := Open(m, "f/1")
			if err != nil {
				t.Fatalf("call %d failed: then %v", at, err)
			}
			if got := describe(found); got != describe(sure) && got != describe(maybe) {
				// A record of entries may be there without the hard state that came with it.
				half := maybe
				half.HardState = sure.HardState
				if got != describe(half) {
					t.Fatalf("call %d failed: found %s, want %s or %s", at, got, describe(sure), describe(maybe))
				}
			}
			l.Close()
		}
	}
}

func TestNoWritesAfterFailure(t *testing.T) {
	m := newMemoryFS()
	l, _, fresh, err := Open(m, "f/1")
	if err != nil || !fresh {
		t.Fatal(fresh, err)
	}
	m.failAtCall = m.calls + 1
	if err := l.Save(hardState(1, 1, 0), nil, nil); !errors.Is(err, errDisk) {
		t.Fatal(err)
	}
	m.failAtCall = 0
	if err := l.Save(hardState(2, 1, 0), nil, nil); !errors.Is(err, ErrFailed) {
		t.Errorf("written after a failure: %v", err)
	}
	if err := l.Rewrite(State{}); !errors.Is(err, ErrFailed) {
		t.Errorf("rewritten after a failure: %v", err)
	}
}

// State of another fleet or elector, of a newer form, or that is none is refused, and
// says why.
func TestRejectsForeignLogs(t *testing.T) {
	for want, b := range map[string][]byte{
		`of "g/1", not of "f/1"`:    appendRecord(nil, kindOwner, ownerBody("g/1")),
		"of a newer form":           appendRecord(nil, kindOwner, append([]byte{FormatVersion + 1}, "f/1"...)),
		"no log of an elector":      appendRecord(nil, kindHardState, nil),
		"a record that is whole":    append(appendRecord(nil, kindOwner, ownerBody("f/1")), appendRecord(nil, 9, nil)...),
		"a record that is whole ma": append(appendRecord(nil, kindOwner, ownerBody("f/1")), appendRecord(nil, kindEntry, []byte{0xff})...),
	} {
		m := newMemoryFS()
		m.visibleFiles[fileName] = &memoryFile{content: b, syncedLen: len(b)}
		if _, _, _, err := Open(m, "f/1"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// On the machine's own folder: what was saved is there in the next life, a torn tail is
// cut, and a long log is rewritten.
func TestDir(t *testing.T) {
	f := Dir(t.TempDir() + "/elector")
	l, _, fresh, err := Open(f, "f/1")
	if err != nil || !fresh {
		t.Fatal(fresh, err)
	}
	big := strings.Repeat("x", 1000)
	for i := uint64(1); !l.NeedsRewrite(); i++ {
		if err := l.Save(hardState(1, 1, i), []*raftpb.Entry{entry(i, 1, big)}, nil); err != nil {
			t.Fatal(err)
		}
	}
	want := State{HardState: hardState(1, 1, 5), Entries: []*raftpb.Entry{entry(5, 1, "five")}}
	if err := l.Rewrite(want); err != nil || l.Size() > 1000 || l.NeedsRewrite() {
		t.Errorf("%d bytes, %v", l.Size(), err)
	}
	want.Entries = append(want.Entries, entry(6, 1, "six"))
	if err := l.Save(nil, want.Entries[1:], nil); err != nil {
		t.Fatal(err)
	}
	l.Close()
	a, err := f.Append(fileName)
	if err != nil {
		t.Fatal(err)
	}
	a.Write(appendRecord(nil, kindEntry, []byte("torn"))[:10])
	a.Close()
	l, got, fresh, err := Open(f, "f/1")
	if err != nil || fresh || describe(got) != describe(want) {
		t.Errorf("%v: %s, want %s", err, describe(got), describe(want))
	}
	l.Close()
}

func FuzzReadRecords(f *testing.F) {
	e, _ := proto.Marshal(entry(1, 1, "x"))
	f.Add(append(appendRecord(nil, kindOwner, ownerBody("f/1")), appendRecord(nil, kindEntry, e)...))
	f.Add(appendRecord(nil, kindOwner, ownerBody("f/1"))[:7])
	f.Fuzz(func(t *testing.T, b []byte) {
		whole, s, err := readRecords(b, "f/1")
		if whole > len(b) || err == nil && whole > 0 && len(s.Entries) > len(b)/headerLen {
			t.Fatalf("%d of %d bytes, %d entries", whole, len(b), len(s.Entries))
		}
	})
}
