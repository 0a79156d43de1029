// Package disk keeps an elector's log: an append-only file of records with length and
// checksum, rewritten whole when a snapshot has made most of it old. What Save returned
// without an error is on the disk. After any failure nothing is taken any more: what the
// disk holds is then not known, and the elector must not vote.
package wal

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

	"garnetline/internal/failpoint"
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

// Dir is one of the machine.
type Dir string

// ReadFile reads a file whole.
func (d Dir) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(string(d), name))
}

// Append opens a file at its end.
func (d Dir) Append(name string) (File, error) {
	if err := os.MkdirAll(string(d), 0o700); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(string(d), name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return syncDelayFile{f}, err
}

// syncDelayFile is a file of the machine, whose saves a build for tests can make slow.
type syncDelayFile struct{ *os.File }

func (s syncDelayFile) Sync() error {
	failpoint.BeforeSync()
	return s.File.Sync()
}

// Rename renames a file.
func (d Dir) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(d), from), filepath.Join(string(d), to))
}

// Remove removes a file, which may not be there.
func (d Dir) Remove(name string) error {
	if err := os.Remove(filepath.Join(string(d), name)); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// Sync makes the folder's names durable.
func (d Dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// FormatVersion is the version of the file's form.
const FormatVersion = 1

const (
	fileName       = "log"
	newFileName    = "log.new"
	headerLen      = 4 + 4 + 1 // length and checksum of what follows, and its kind
	maxRecordLen   = 16 << 20  // of one record
	minRewriteSize = 1 << 20   // a log is rewritten when it has grown past twice what it must hold, and this
)

const (
	kindOwner byte = 1 + iota
	kindHardState
	kindEntry
	kindSnapshot
	kindMetadata
)

// ErrFailed reports a log that has failed before.
var ErrFailed = errors.New("elector's log: failed before, and is not written any more")

// State is what a log holds.
type State struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot // nil: none
	Entries   []*raftpb.Entry  // after the snapshot
	Metadata  []byte           // the elector's own: its number, and whom it has heard
}

// Log is an elector's log. It has one caller at a time.
type Log struct {
	fs            FS
	owner         string
	file          File
	size          int64
	rewrittenSize int64 // size of what has to be held, when it was last rewritten
	failure       error
	buffer        []byte
}

// Open opens the log of an elector, and makes it where there is none. owner tells whose
// it is: a log of another owner, or of a newer form, is refused with an error that says
// why. A tail that a crash tore is cut. fresh tells that there was none.
func Open(f FS, owner string) (l *Log, s State, fresh bool, err error) {
	l = &Log{fs: f, owner: owner}
	if err := f.Remove(newFileName); err != nil { // of a rewriting that a crash ended
		return nil, s, false, err
	}
	b, err := f.ReadFile(fileName)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		b = nil
	case err != nil:
		return nil, s, false, err
	}
	whole, s, err := readRecords(b, owner)
	if err != nil {
		return nil, s, false, err
	}
	if l.file, err = f.Append(fileName); err != nil {
		return nil, s, false, err
	}
	l.size = int64(whole)
	if whole < len(b) {
		if err := errors.Join(l.file.Truncate(int64(whole)), l.file.Sync()); err != nil {
			return nil, s, false, errors.Join(err, l.file.Close())
		}
	}
	if whole == 0 {
		if err := errors.Join(l.write(appendRecord(nil, kindOwner, ownerBody(owner))), l.file.Sync(), f.Sync()); err != nil {
			return nil, s, true, errors.Join(err, l.file.Close())
		}
	}
	l.rewrittenSize = l.size
	return l, s, whole == 0, nil
}

func ownerBody(owner string) []byte { return append([]byte{FormatVersion}, owner...) }

// appendRecord appends a record.
func appendRecord(b []byte, kind byte, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(1+len(body)))
	sum := crc32.New(castagnoli)
	sum.Write([]byte{kind})
	sum.Write(body)
	b = binary.BigEndian.AppendUint32(b, sum.Sum32())
	return append(append(b, kind), body...)
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// readRecords reads records until one is torn. whole is the length of those that are not.
func readRecords(b []byte, owner string) (whole int, s State, err error) {
	for first := true; len(b)-whole >= headerLen; first = false {
		r := b[whole:]
		n := int(binary.BigEndian.Uint32(r))
		if n < 1 || n > maxRecordLen || len(r) < 8+n || crc32.Checksum(r[8:8+n], castagnoli) != binary.BigEndian.Uint32(r[4:]) {
			break
		}
		kind, body := r[8], r[9:8+n]
		if first != (kind == kindOwner) {
			return whole, s, errors.New("elector's log: no log of an elector")
		}
		switch kind {
		case kindOwner:
			switch {
			case len(body) == 0 || body[0] > FormatVersion:
				return whole, s, errors.New("elector's log: of a newer form than this program knows")
			case string(body[1:]) != owner:
				return whole, s, fmt.Errorf("elector's log: of %q, not of %q", body[1:], owner)
			}
		case kindHardState:
			s.HardState = &raftpb.HardState{}
			err = proto.Unmarshal(body, s.HardState)
		case kindEntry:
			e := &raftpb.Entry{}
			if err = proto.Unmarshal(body, e); err == nil {
				s.appendEntry(e)
			}
		case kindSnapshot:
			s.Snapshot = &raftpb.Snapshot{}
			err = proto.Unmarshal(body, s.Snapshot)
			s.Entries = entriesAfter(s.Entries, s.Snapshot.GetMetadata().GetIndex())
		case kindMetadata:
			s.Metadata = append([]byte(nil), body...)
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

// appendEntry takes an entry; those from its index on are no more.
func (s *State) appendEntry(e *raftpb.Entry) {
	for len(s.Entries) > 0 && s.Entries[len(s.Entries)-1].GetIndex() >= e.GetIndex() {
		s.Entries = s.Entries[:len(s.Entries)-1]
	}
	if e.GetIndex() > s.Snapshot.GetMetadata().GetIndex() {
		s.Entries = append(s.Entries, e)
	}
}

func entriesAfter(all []*raftpb.Entry, index uint64) []*raftpb.Entry {
	for len(all) > 0 && all[0].GetIndex() <= index {
		all = all[1:]
	}
	return all
}

// Save writes what a step wants kept, in this order, and returns when it is on the disk.
func (l *Log) Save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	return l.save(State{HardState: hard, Entries: entries, Snapshot: snap})
}

// SaveMetadata writes what the elector keeps of itself.
func (l *Log) SaveMetadata(meta []byte) error { return l.save(State{Metadata: meta}) }

func (l *Log) save(s State) error {
	if l.failure != nil {
		return l.failure
	}
	b := l.buffer[:0]
	add := func(kind byte, m proto.Message) error {
		body, err := proto.Marshal(m)
		if err == nil && len(body) >= maxRecordLen {
			err = fmt.Errorf("elector's log: a record of %d bytes", len(body))
		}
		if err == nil {
			b = appendRecord(b, kind, body)
		}
		return err
	}
	var err error
	if s.Metadata != nil {
		b = appendRecord(b, kindMetadata, s.Metadata)
	}
	if s.Snapshot != nil {
		err = errors.Join(err, add(kindSnapshot, s.Snapshot))
	}
	for _, e := range s.Entries {
		err = errors.Join(err, add(kindEntry, e))
	}
	if s.HardState != nil {
		err = errors.Join(err, add(kindHardState, s.HardState))
	}
	l.buffer = b[:0]
	if err == nil && len(b) > 0 {
		if err = l.write(b); err == nil {
			err = l.file.Sync()
		}
	}
	return l.recordFailure(err)
}

func (l *Log) write(b []byte) error {
	n, err := l.file.Write(b)
	l.size += int64(n)
	if err == nil && n < len(b) {
		err = errors.New("elector's log: short write")
	}
	return err
}

// recordFailure remembers a failure for good.
func (l *Log) recordFailure(err error) error {
	if err != nil {
		l.failure = errors.Join(ErrFailed, err)
	}
	return err
}

// NeedsRewrite tells whether the log is to be rewritten.
func (l *Log) NeedsRewrite() bool {
	return l.failure == nil && l.size > minRewriteSize && l.size > 2*l.rewrittenSize
}

// Size is the log's, in bytes.
func (l *Log) Size() int64 { return l.size }

// Rewrite replaces the log by one that holds just this state.
func (l *Log) Rewrite(s State) error {
	if l.failure != nil {
		return l.failure
	}
	return l.recordFailure(l.replace(s))
}

func (l *Log) replace(s State) error {
	f, err := l.fs.Append(newFileName)
	if err != nil {
		return err
	}
	old := l.file
	n := &Log{file: f}
	if err := n.write(appendRecord(nil, kindOwner, ownerBody(l.owner))); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := n.save(s); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := errors.Join(l.fs.Rename(newFileName, fileName), l.fs.Sync()); err != nil {
		return errors.Join(err, f.Close())
	}
	l.file, l.size, l.rewrittenSize = f, n.size, n.size
	return old.Close()
}

// Close gives the file back.
func (l *Log) Close() error {
	if l.failure == nil {
		l.failure = ErrFailed
	}
	return l.file.Close()
}
