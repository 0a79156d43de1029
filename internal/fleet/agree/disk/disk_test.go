package disk

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

// memory is a folder that forgets at a crash what was not synced, and fails at a call.
type memory struct {
	files   map[string]*data // as names stand after a crash
	names   map[string]*data // as they stand
	fail    int              // the call that fails; it and all later ones
	calls   int
	crashed bool
}

type data struct {
	b      []byte
	synced int
}

var errDisk = errors.New("disk full")

func newMemory() *memory { return &memory{files: map[string]*data{}, names: map[string]*data{}} }

func (m *memory) call() error {
	if m.calls++; m.fail > 0 && m.calls >= m.fail {
		m.crashed = true
		return errDisk
	}
	return nil
}

func (m *memory) ReadFile(name string) ([]byte, error) {
	if err := m.call(); err != nil {
		return nil, err
	}
	if m.names[name] == nil {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), m.names[name].b...), nil
}

func (m *memory) Append(name string) (File, error) {
	if err := m.call(); err != nil {
		return nil, err
	}
	if m.names[name] == nil {
		m.names[name] = &data{}
	}
	return &handle{m, m.names[name]}, nil
}

func (m *memory) Rename(from, to string) error {
	if err := m.call(); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memory) Remove(name string) error {
	if err := m.call(); err != nil {
		return err
	}
	delete(m.names, name)
	return nil
}

func (m *memory) Sync() error {
	if err := m.call(); err != nil {
		return err
	}
	m.files = map[string]*data{}
	for n, d := range m.names {
		m.files[n] = d
	}
	return nil
}

// crash leaves what was synced, and of the rest as much as chance has it.
func (m *memory) crash(rng *rand.Rand) {
	m.names = map[string]*data{}
	for n, d := range m.files {
		keep := d.synced + rng.IntN(len(d.b)-d.synced+1)
		d.b = d.b[:keep:keep]
		d.synced = keep
		m.names[n] = d
	}
	m.fail, m.calls, m.crashed = 0, 0, false
}

type handle struct {
	m *memory
	d *data
}

func (h *handle) Write(b []byte) (int, error) {
	if err := h.m.call(); err != nil {
		h.d.b = append(h.d.b, b[:len(b)/2]...) // torn
		return len(b) / 2, err
	}
	h.d.b = append(h.d.b, b...)
	return len(b), nil
}

func (h *handle) Sync() error {
	if err := h.m.call(); err != nil {
		return err
	}
	h.d.synced = len(h.d.b)
	return nil
}

func (h *handle) Truncate(n int64) error {
	if err := h.m.call(); err != nil {
		return err
	}
	h.d.b = h.d.b[:n]
	h.d.synced = min(h.d.synced, int(n))
	return nil
}

func (h *handle) Close() error { return h.m.call() }

func entry(i, term uint64, text string) *raftpb.Entry {
	return &raftpb.Entry{Index: &i, Term: &term, Data: []byte(text)}
}

func hard(term, vote, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: &term, Vote: &vote, Commit: &commit}
}

func text(s State) string {
	var b strings.Builder
	fmt.Fprintf(&b, "term %d vote %d commit %d, snapshot %d %q:", s.Hard.GetTerm(), s.Hard.GetVote(), s.Hard.GetCommit(),
		s.Snap.GetMetadata().GetIndex(), s.Snap.GetData())
	for _, e := range s.Entries {
		fmt.Fprintf(&b, " %d.%d=%s", e.GetIndex(), e.GetTerm(), e.Data)
	}
	return b.String()
}

// life writes steps until one fails and returns the states that may be found afterwards:
// the last one that was acknowledged, and the one that was under way.
func life(m *memory, steps int) (sure, maybe State, err error) {
	l, sure, _, err := Open(m, "f/1")
	maybe = sure
	if err != nil {
		return sure, maybe, err
	}
	defer l.Close()
	for i := uint64(1); i <= uint64(steps); i++ {
		last := sure.Snap.GetMetadata().GetIndex() + uint64(len(sure.Entries))
		maybe.Entries = append([]*raftpb.Entry(nil), sure.Entries...)
		e := entry(last+1, i, fmt.Sprint("e", i))
		if i%4 == 0 && len(sure.Entries) > 0 {
			e = entry(last, i, "over") // another leader's, over the last one
		}
		h := hard(i, i%3+1, last)
		maybe.add(e)
		maybe.Hard = h
		if err := l.Save(h, []*raftpb.Entry{e}, nil); err != nil {
			return sure, maybe, err
		}
		sure = maybe
		if i%5 == 0 {
			index, term := last, i
			maybe.Snap = &raftpb.Snapshot{Data: []byte(fmt.Sprint("s", i)), Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term}}
			maybe.Entries = after(append([]*raftpb.Entry(nil), sure.Entries...), index)
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
func TestFailAtEveryCall(t *testing.T) {
	whole := newMemory()
	if _, _, err := life(whole, 12); err != nil {
		t.Fatal(err)
	}
	for at := 1; at <= whole.calls; at++ {
		for seed := range uint64(5) {
			m := newMemory()
			m.fail = at
			sure, maybe, _ := life(m, 12)
			m.crash(rand.New(rand.NewPCG(seed, uint64(at))))
			l, found, _, err := Open(m, "f/1")
			if err != nil {
				t.Fatalf("call %d failed: then %v", at, err)
			}
			if got := text(found); got != text(sure) && got != text(maybe) {
				// A record of entries may be there without the hard state that came with it.
				half := maybe
				half.Hard = sure.Hard
				if got != text(half) {
					t.Fatalf("call %d failed: found %s, want %s or %s", at, got, text(sure), text(maybe))
				}
			}
			l.Close()
		}
	}
}

func TestNothingAfterAFailure(t *testing.T) {
	m := newMemory()
	l, _, fresh, err := Open(m, "f/1")
	if err != nil || !fresh {
		t.Fatal(fresh, err)
	}
	m.fail = m.calls + 1
	if err := l.Save(hard(1, 1, 0), nil, nil); !errors.Is(err, errDisk) {
		t.Fatal(err)
	}
	m.fail = 0
	if err := l.Save(hard(2, 1, 0), nil, nil); !errors.Is(err, ErrBroken) {
		t.Errorf("written after a failure: %v", err)
	}
	if err := l.Rewrite(State{}); !errors.Is(err, ErrBroken) {
		t.Errorf("rewritten after a failure: %v", err)
	}
}

// State of another fleet or elector, of a newer form, or that is none is refused, and
// says why.
func TestRefused(t *testing.T) {
	for want, b := range map[string][]byte{
		`of "g/1", not of "f/1"`:    record(nil, kindOwner, own("g/1")),
		"of a newer form":           record(nil, kindOwner, append([]byte{Form + 1}, "f/1"...)),
		"no log of an elector":      record(nil, kindHard, nil),
		"a record that is whole":    append(record(nil, kindOwner, own("f/1")), record(nil, 9, nil)...),
		"a record that is whole ma": append(record(nil, kindOwner, own("f/1")), record(nil, kindEntry, []byte{0xff})...),
	} {
		m := newMemory()
		m.names[name] = &data{b: b, synced: len(b)}
		if _, _, _, err := Open(m, "f/1"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// On the machine's own folder: what was saved is there in the next life, a torn tail is
// cut, and a long log is rewritten.
func TestFolder(t *testing.T) {
	f := Folder(t.TempDir() + "/elector")
	l, _, fresh, err := Open(f, "f/1")
	if err != nil || !fresh {
		t.Fatal(fresh, err)
	}
	big := strings.Repeat("x", 1000)
	for i := uint64(1); !l.Grown(); i++ {
		if err := l.Save(hard(1, 1, i), []*raftpb.Entry{entry(i, 1, big)}, nil); err != nil {
			t.Fatal(err)
		}
	}
	want := State{Hard: hard(1, 1, 5), Entries: []*raftpb.Entry{entry(5, 1, "five")}}
	if err := l.Rewrite(want); err != nil || l.Size() > 1000 || l.Grown() {
		t.Errorf("%d bytes, %v", l.Size(), err)
	}
	want.Entries = append(want.Entries, entry(6, 1, "six"))
	if err := l.Save(nil, want.Entries[1:], nil); err != nil {
		t.Fatal(err)
	}
	l.Close()
	a, err := f.Append(name)
	if err != nil {
		t.Fatal(err)
	}
	a.Write(record(nil, kindEntry, []byte("torn"))[:10])
	a.Close()
	l, got, fresh, err := Open(f, "f/1")
	if err != nil || fresh || text(got) != text(want) {
		t.Errorf("%v: %s, want %s", err, text(got), text(want))
	}
	l.Close()
}

func FuzzRead(f *testing.F) {
	e, _ := proto.Marshal(entry(1, 1, "x"))
	f.Add(append(record(nil, kindOwner, own("f/1")), record(nil, kindEntry, e)...))
	f.Add(record(nil, kindOwner, own("f/1"))[:7])
	f.Fuzz(func(t *testing.T, b []byte) {
		whole, s, err := read(b, "f/1")
		if whole > len(b) || err == nil && whole > 0 && len(s.Entries) > len(b)/headLen {
			t.Fatalf("%d of %d bytes, %d entries", whole, len(b), len(s.Entries))
		}
	})
}
