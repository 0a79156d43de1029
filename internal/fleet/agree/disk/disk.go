// Package disk keeps an elector's log: an append-only file of records with length and
// checksum, rewritten whole when a snapshot has made most of it old. What Save returned
// without an error is on the disk. After any failure nothing is taken any more: what the
// disk holds is then not known, and the elector must not vote.
package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"garnetline/internal/faults"
)

// File is one that is written.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FS is the folder of an elector. Each call may fail.
type FS interface {
	ReadFile(name string) ([]byte, error) // fs.ErrNotExist where there is none
	Append(name string) (File, error)     // opened at its end, made if need be
	Rename(from, to string) error
	Remove(name string) error
	Sync() error // of the folder: what was made or renamed is there after a crash
}

// Folder is one of the machine.
type Folder string

// ReadFile reads a file whole.
func (d Folder) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(string(d), name))
}

// Append opens a file at its end.
func (d Folder) Append(name string) (File, error) {
	if err := os.MkdirAll(string(d), 0o700); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(string(d), name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return saved{f}, err
}

// saved is a file of the machine, whose saves a build for tests can make slow.
type saved struct{ *os.File }

func (s saved) Sync() error {
	faults.Save()
	return s.File.Sync()
}

// Rename renames a file.
func (d Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(d), from), filepath.Join(string(d), to))
}

// Remove removes a file, which may not be there.
func (d Folder) Remove(name string) error {
	if err := os.Remove(filepath.Join(string(d), name)); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// Sync makes the folder's names durable.
func (d Folder) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Form is the version of the file's form.
const Form = 1

const (
	name    = "log"
	next    = "log.new"
	headLen = 4 + 4 + 1 // length and checksum of what follows, and its kind
	most    = 16 << 20  // of one record
	rewrite = 1 << 20   // a log is rewritten when it has grown past twice what it must hold, and this
)

const (
	kindOwner byte = 1 + iota
	kindHard
	kindEntry
	kindSnap
	kindMeta
)

// ErrBroken reports a log that has failed before.
var ErrBroken = errors.New("elector's log: failed before, and is not written any more")

// State is what a log holds.
type State struct {
	Hard    *raftpb.HardState
	Snap    *raftpb.Snapshot // nil: none
	Entries []*raftpb.Entry  // after the snapshot
	Meta    []byte           // the elector's own: its number, and whom it has heard
}

// Log is an elector's log. It has one caller at a time.
type Log struct {
	fs     FS
	owner  string
	file   File
	size   int64
	must   int64 // size of what has to be held, when it was last rewritten
	broken error
	room   []byte
}

// Open opens the log of an elector, and makes it where there is none. owner tells whose
// it is: a log of another owner, or of a newer form, is refused with an error that says
// why. A tail that a crash tore is cut. fresh tells that there was none.
func Open(f FS, owner string) (l *Log, s State, fresh bool, err error) {
	l = &Log{fs: f, owner: owner}
	if err := f.Remove(next); err != nil { // of a rewriting that a crash ended
		return nil, s, false, err
	}
	b, err := f.ReadFile(name)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		b = nil
	case err != nil:
		return nil, s, false, err
	}
	whole, s, err := read(b, owner)
	if err != nil {
		return nil, s, false, err
	}
	if l.file, err = f.Append(name); err != nil {
		return nil, s, false, err
	}
	l.size = int64(whole)
	if whole < len(b) {
		if err := errors.Join(l.file.Truncate(int64(whole)), l.file.Sync()); err != nil {
			return nil, s, false, errors.Join(err, l.file.Close())
		}
	}
	if whole == 0 {
		if err := errors.Join(l.write(record(nil, kindOwner, own(owner))), l.file.Sync(), f.Sync()); err != nil {
			return nil, s, true, errors.Join(err, l.file.Close())
		}
	}
	l.must = l.size
	return l, s, whole == 0, nil
}

func own(owner string) []byte { return append([]byte{Form}, owner...) }

// record appends a record.
func record(b []byte, kind byte, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(1+len(body)))
	sum := crc32.New(table)
	sum.Write([]byte{kind})
	sum.Write(body)
	b = binary.BigEndian.AppendUint32(b, sum.Sum32())
	return append(append(b, kind), body...)
}

var table = crc32.MakeTable(crc32.Castagnoli)

// read reads records until one is torn. whole is the length of those that are not.
func read(b []byte, owner string) (whole int, s State, err error) {
	for first := true; len(b)-whole >= headLen; first = false {
		r := b[whole:]
		n := int(binary.BigEndian.Uint32(r))
		if n < 1 || n > most || len(r) < 8+n || crc32.Checksum(r[8:8+n], table) != binary.BigEndian.Uint32(r[4:]) {
			break
		}
		kind, body := r[8], r[9:8+n]
		if first != (kind == kindOwner) {
			return whole, s, errors.New("elector's log: no log of an elector")
		}
		switch kind {
		case kindOwner:
			switch {
			case len(body) == 0 || body[0] > Form:
				return whole, s, errors.New("elector's log: of a newer form than this program knows")
			case string(body[1:]) != owner:
				return whole, s, fmt.Errorf("elector's log: of %q, not of %q", body[1:], owner)
			}
		case kindHard:
			s.Hard = &raftpb.HardState{}
			err = proto.Unmarshal(body, s.Hard)
		case kindEntry:
			e := &raftpb.Entry{}
			if err = proto.Unmarshal(body, e); err == nil {
				s.add(e)
			}
		case kindSnap:
			s.Snap = &raftpb.Snapshot{}
			err = proto.Unmarshal(body, s.Snap)
			s.Entries = after(s.Entries, s.Snap.GetMetadata().GetIndex())
		case kindMeta:
			s.Meta = append([]byte(nil), body...)
		default:
			err = fmt.Errorf("kind %d", kind)
		}
		if err != nil {
			return whole, s, fmt.Errorf("elector's log: a record that is whole makes no sense: %w", err)
		}
		whole += 8 + n
	}
	return whole, s, nil
}

// add takes an entry; those from its index on are no more.
func (s *State) add(e *raftpb.Entry) {
	for len(s.Entries) > 0 && s.Entries[len(s.Entries)-1].GetIndex() >= e.GetIndex() {
		s.Entries = s.Entries[:len(s.Entries)-1]
	}
	if e.GetIndex() > s.Snap.GetMetadata().GetIndex() {
		s.Entries = append(s.Entries, e)
	}
}

func after(all []*raftpb.Entry, index uint64) []*raftpb.Entry {
	for len(all) > 0 && all[0].GetIndex() <= index {
		all = all[1:]
	}
	return all
}

// Save writes what a step wants kept, in this order, and returns when it is on the disk.
func (l *Log) Save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	return l.save(State{Hard: hard, Entries: entries, Snap: snap})
}

// Mark writes what the elector keeps of itself.
func (l *Log) Mark(meta []byte) error { return l.save(State{Meta: meta}) }

func (l *Log) save(s State) error {
	if l.broken != nil {
		return l.broken
	}
	b := l.room[:0]
	add := func(kind byte, m proto.Message) error {
		body, err := proto.Marshal(m)
		if err == nil && len(body) >= most {
			err = fmt.Errorf("elector's log: a record of %d bytes", len(body))
		}
		if err == nil {
			b = record(b, kind, body)
		}
		return err
	}
	var err error
	if s.Meta != nil {
		b = record(b, kindMeta, s.Meta)
	}
	if s.Snap != nil {
		err = errors.Join(err, add(kindSnap, s.Snap))
	}
	for _, e := range s.Entries {
		err = errors.Join(err, add(kindEntry, e))
	}
	if s.Hard != nil {
		err = errors.Join(err, add(kindHard, s.Hard))
	}
	l.room = b[:0]
	if err == nil && len(b) > 0 {
		if err = l.write(b); err == nil {
			err = l.file.Sync()
		}
	}
	return l.note(err)
}

func (l *Log) write(b []byte) error {
	n, err := l.file.Write(b)
	l.size += int64(n)
	if err == nil && n < len(b) {
		err = errors.New("elector's log: short write")
	}
	return err
}

// note remembers a failure for good.
func (l *Log) note(err error) error {
	if err != nil {
		l.broken = errors.Join(ErrBroken, err)
	}
	return err
}

// Grown tells whether the log is to be rewritten.
func (l *Log) Grown() bool { return l.broken == nil && l.size > rewrite && l.size > 2*l.must }

// Size is the log's, in bytes.
func (l *Log) Size() int64 { return l.size }

// Rewrite replaces the log by one that holds just this state.
func (l *Log) Rewrite(s State) error {
	if l.broken != nil {
		return l.broken
	}
	return l.note(l.replace(s))
}

func (l *Log) replace(s State) error {
	f, err := l.fs.Append(next)
	if err != nil {
		return err
	}
	old := l.file
	n := &Log{file: f}
	if err := n.write(record(nil, kindOwner, own(l.owner))); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := n.save(s); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := errors.Join(l.fs.Rename(next, name), l.fs.Sync()); err != nil {
		return errors.Join(err, f.Close())
	}
	l.file, l.size, l.must = f, n.size, n.size
	return old.Close()
}

// Close gives the file back.
func (l *Log) Close() error {
	if l.broken == nil {
		l.broken = ErrBroken
	}
	return l.file.Close()
}
