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

// memoryFS is a directory in memory. A crash discards data that was not synced. The call with the
// number failAtCall and all later calls return an error.
type memoryFS struct {
	syncedFiles  map[string]*memoryFile // by their names after a crash
	visibleFiles map[string]*memoryFile // by their current names
	failAtCall   int                    // number of the first call that fails; all later calls fail too; 0: no call fails
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
	m.calls++
	if m.failAtCall > 0 && m.calls >= m.failAtCall {
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

// crash simulates a crash: each synced name keeps its synced content and a random part of the rest.
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
		h.file.content = append(h.file.content, b[:len(b)/2]...) // a torn write
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

func closeFile(t *testing.T, f interface{ Close() error }) {
	t.Helper()
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}

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

// writeUntilFailure saves one state after another until a call fails. It returns the two states
// that the log may hold after the failure: the last state that was acknowledged, and the state
// that was being written.
func writeUntilFailure(m *memoryFS, steps int) (acknowledged, inProgress State, err error) {
	log, acknowledged, _, err := Open(m, "f/1")
	inProgress = acknowledged
	if err != nil {
		return acknowledged, inProgress, err
	}
	defer func() { _ = log.Close() }() // Close returns an error if the calls of memoryFS fail
	for i := uint64(1); i <= uint64(steps); i++ {
		last := acknowledged.Snapshot.GetMetadata().GetIndex() + uint64(len(acknowledged.Entries))
		inProgress.Entries = append([]*raftpb.Entry(nil), acknowledged.Entries...)
		e := entry(last+1, i, fmt.Sprint("e", i))
		if i%4 == 0 && len(acknowledged.Entries) > 0 {
			e = entry(last, i, "over") // an entry of another leader that overwrites the last entry
		}
		h := hardState(i, i%3+1, last)
		inProgress.appendEntry(e)
		inProgress.HardState = h
		if err := log.Save(h, []*raftpb.Entry{e}, nil); err != nil {
			return acknowledged, inProgress, err
		}
		acknowledged = inProgress
		if i%5 == 0 {
			index, term := last, i
			inProgress.Snapshot = &raftpb.Snapshot{Data: []byte(fmt.Sprint("s", i)), Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term}}
			inProgress.Entries = entriesAfter(append([]*raftpb.Entry(nil), acknowledged.Entries...), index)
			if err := log.Rewrite(inProgress); err != nil {
				return acknowledged, inProgress, err
			}
			acknowledged = inProgress
		}
	}
	return acknowledged, inProgress, nil
}

// The machine crashes at a different call in each run. After the crash, the log must hold either
// the complete acknowledged state or the state in progress.
func TestFailureAtEveryCall(t *testing.T) {
	intact := newMemoryFS()
	if _, _, err := writeUntilFailure(intact, 12); err != nil {
		t.Fatal(err)
	}
	for failingCall := 1; failingCall <= intact.calls; failingCall++ {
		for seed := range uint64(5) {
			m := newMemoryFS()
			m.failAtCall = failingCall
			acknowledged, inProgress, _ := writeUntilFailure(m, 12)
			m.crash(rand.New(rand.NewPCG(seed, uint64(failingCall))))
			l, found, _, err := Open(m, "f/1")
			if err != nil {
				t.Fatalf("crash at call %d: Open returned %v", failingCall, err)
			}
			if got := describe(found); got != describe(acknowledged) && got != describe(inProgress) {
				// The crash may have kept the new entry without the hard state of the same write.
				withoutHardState := inProgress
				withoutHardState.HardState = acknowledged.HardState
				if got != describe(withoutHardState) {
					t.Fatalf("crash at call %d: found %s, want %s or %s", failingCall, got, describe(acknowledged), describe(inProgress))
				}
			}
			closeFile(t, l)
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
		t.Errorf("Save after a failure: got %v, want ErrFailed", err)
	}
	if err := l.Rewrite(State{}); !errors.Is(err, ErrFailed) {
		t.Errorf("Rewrite after a failure: got %v, want ErrFailed", err)
	}
}

// Open must reject the log of another fleet or voter, a log of a newer format, and a file that
// is not a valid log. Each error must name its cause.
func TestRejectsForeignLogs(t *testing.T) {
	withOwner := func(kind byte, body []byte) []byte {
		return appendRecord(appendRecord(nil, kindOwner, ownerBody("f/1")), kind, body)
	}
	corrupt := func(kind byte) func(error) bool {
		return func(err error) bool {
			var corruptRecord *CorruptRecordError
			return errors.As(err, &corruptRecord) && corruptRecord.Kind == kind
		}
	}
	for name, foreign := range map[string]struct {
		content  []byte
		is       func(error) bool
		wantText string
	}{
		"another owner": {
			appendRecord(nil, kindOwner, ownerBody("g/1")),
			func(err error) bool {
				var owner *OwnerError
				return errors.As(err, &owner) && *owner == OwnerError{Found: "g/1", Want: "f/1"}
			},
			`of "g/1", not of "f/1"`,
		},
		"newer format": {
			appendRecord(nil, kindOwner, append([]byte{FormatVersion + 1}, "f/1"...)),
			func(err error) bool { return errors.Is(err, ErrNewerFormat) },
			"of a newer format",
		},
		"no log": {
			appendRecord(nil, kindHardState, nil),
			func(err error) bool { return errors.Is(err, ErrNotLog) },
			"not a voter's log",
		},
		"second owner":  {withOwner(kindOwner, ownerBody("f/1")), func(err error) bool { return errors.Is(err, ErrNotLog) }, "not a voter's log"},
		"unknown kind":  {withOwner(9, nil), corrupt(9), "corrupt record of kind 9"},
		"invalid entry": {withOwner(kindEntry, []byte{0xff}), corrupt(kindEntry), "corrupt record of kind 3"},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMemoryFS()
			m.visibleFiles[fileName] = &memoryFile{content: foreign.content, syncedLen: len(foreign.content)}
			_, _, _, err := Open(m, "f/1")
			if err == nil || !foreign.is(err) || !strings.Contains(err.Error(), foreign.wantText) {
				t.Errorf("got error %v, want one that contains %q", err, foreign.wantText)
			}
		})
	}
}

// In a real directory, a saved state must be found when the log is opened again. A torn record
// at the end must be truncated. NeedsRewrite must return true for a long log, and the log must
// be short after the rewrite.
func TestDir(t *testing.T) {
	dir := Dir(t.TempDir() + "/voter")
	log, _, fresh, err := Open(dir, "dir/1")
	if err != nil || !fresh {
		t.Fatal(fresh, err)
	}
	big := strings.Repeat("x", 1000)
	for i := uint64(1); !log.NeedsRewrite(); i++ {
		if err := log.Save(hardState(1, 1, i), []*raftpb.Entry{entry(i, 1, big)}, nil); err != nil {
			t.Fatal(err)
		}
	}
	want := State{HardState: hardState(1, 1, 5), Entries: []*raftpb.Entry{entry(5, 1, "five")}}
	if err := log.Rewrite(want); err != nil || log.Size() > 1000 || log.NeedsRewrite() {
		t.Errorf("after Rewrite: got %d bytes and error %v, want at most 1000 bytes, no error and no need of a rewrite", log.Size(), err)
	}
	want.Entries = append(want.Entries, entry(6, 1, "six"))
	if err := log.Save(nil, want.Entries[1:], nil); err != nil {
		t.Fatal(err)
	}
	closeFile(t, log)
	tail, err := dir.Append(fileName)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tail.Write(appendRecord(nil, kindEntry, []byte("torn"))[:10]); err != nil {
		t.Fatal(err)
	}
	closeFile(t, tail)
	log, got, fresh, err := Open(dir, "dir/1")
	if err != nil || fresh || describe(got) != describe(want) {
		t.Errorf("Open again: got error %v and state %s, want state %s", err, describe(got), describe(want))
	}
	closeFile(t, log)
}

func FuzzReadRecords(f *testing.F) {
	e, _ := proto.Marshal(entry(1, 1, "x"))
	f.Add(append(appendRecord(nil, kindOwner, ownerBody("f/1")), appendRecord(nil, kindEntry, e)...))
	f.Add(appendRecord(nil, kindOwner, ownerBody("f/1"))[:7])
	f.Fuzz(func(t *testing.T, b []byte) {
		validLen, state, err := readRecords(b, "f/1")
		if validLen > len(b) || err == nil && validLen > 0 && len(state.Entries) > len(b)/headerLen {
			t.Fatalf("got %d valid bytes of %d and %d entries, want no more of either than the input can hold", validLen, len(b), len(state.Entries))
		}
	})
}
