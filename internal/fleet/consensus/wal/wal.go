// Package wal stores the raft log of one voter in a write-ahead log. The log is an append-only
// file of records with length and checksum. It is rewritten as a whole when snapshots have made
// most of it obsolete. Data that Save has stored without an error survives a crash. After a
// failed call, the content of the disk is unknown. The log therefore accepts no more writes, and
// the voter must not vote any more.
//
// Only the node that a Log belongs to may use it, with one call at a time.
package wal

import (
	"errors"
	"fmt"
	"io/fs"

	"go.etcd.io/raft/v3/raftpb"
)

const (
	fileName    = "log"
	newFileName = "log.new" // new log during a rewrite; it replaces the old log at the end

	// A log is rewritten when it is longer than minRewriteSize, in bytes, and longer than
	// rewriteFactor times its length after the last rewrite.
	minRewriteSize = 1 << 20
	rewriteFactor  = 2
)

// ErrFailed reports a write to a log that failed earlier or was closed.
var ErrFailed = errors.New("wal: the log accepts no more writes because an earlier write failed or the log was closed")

// Log is the log of one voter. It is not safe for concurrent use.
type Log struct {
	fs            FS
	owner         string
	file          File
	size          int64 // length of the log in bytes
	rewrittenSize int64 // size when the log was opened or last rewritten
	failure       error // set once a call has failed or the log is closed
	buffer        []byte
}

// Open opens the log of a voter and returns the state that the log holds. The argument owner is
// the name of the voter. If the log does not exist or has no complete record, Open starts a new
// log, and the result fresh is true. Open truncates an incomplete record at the end, which a
// crash can leave.
//
// Open returns an OwnerError for a log of another owner, ErrNewerFormat for a newer format,
// ErrNotLog for a file that is not a log, and a CorruptRecordError for a record that cannot be
// decoded.
func Open(dir FS, owner string) (l *Log, state State, fresh bool, err error) {
	if err := dir.Remove(newFileName); err != nil { // left by a crash during a rewrite
		return nil, state, false, err
	}
	content, err := dir.ReadFile(fileName)
	if errors.Is(err, fs.ErrNotExist) {
		content, err = nil, nil
	}
	if err != nil {
		return nil, state, false, err
	}
	validLen, state, err := readRecords(content, owner)
	if err != nil {
		return nil, state, false, err
	}
	file, err := dir.Append(fileName)
	if err != nil {
		return nil, state, false, err
	}
	l = &Log{fs: dir, owner: owner, file: file, size: int64(validLen)}
	fresh = validLen == 0
	if err := l.prepare(validLen < len(content), fresh); err != nil {
		return nil, state, fresh, errors.Join(err, file.Close())
	}
	l.rewrittenSize = l.size
	return l, state, fresh, nil
}

// prepare truncates a torn record at the end, and writes the owner's record to an empty log.
func (l *Log) prepare(torn, fresh bool) error {
	if torn {
		if err := errors.Join(l.file.Truncate(l.size), l.file.Sync()); err != nil {
			return err
		}
	}
	if fresh {
		return errors.Join(l.write(appendRecord(nil, kindOwner, ownerBody(l.owner))), l.file.Sync(), l.fs.Sync())
	}
	return nil
}

// Save appends raft's hard state, entries and a snapshot. It returns after they are on the disk.
// Each argument may be nil.
func (l *Log) Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	return l.save(State{HardState: hardState, Entries: entries, Snapshot: snapshot})
}

// SaveMetadata writes the voter's metadata. It returns after the metadata is on the disk.
func (l *Log) SaveMetadata(metadata []byte) error { return l.save(State{Metadata: metadata}) }

// save writes the parts of a state that are not nil, all in a single write, and syncs the file.
func (l *Log) save(state State) error {
	if l.failure != nil {
		return l.failure
	}
	records, err := appendState(l.buffer[:0], state)
	l.buffer = records[:0]
	if err == nil && len(records) > 0 {
		err = l.writeAndSync(records)
	}
	return l.recordFailure(err)
}

// appendState appends the records of a state in the order metadata, snapshot, entries, hard
// state. With this order, a torn write never leaves a hard state without the entries that it
// refers to.
func appendState(b []byte, state State) ([]byte, error) {
	var errs, err error
	if state.Metadata != nil {
		b = appendRecord(b, kindMetadata, state.Metadata)
	}
	if state.Snapshot != nil {
		b, err = appendMessage(b, kindSnapshot, state.Snapshot)
		errs = errors.Join(errs, err)
	}
	for _, entry := range state.Entries {
		b, err = appendMessage(b, kindEntry, entry)
		errs = errors.Join(errs, err)
	}
	if state.HardState != nil {
		b, err = appendMessage(b, kindHardState, state.HardState)
		errs = errors.Join(errs, err)
	}
	return b, errs
}

func (l *Log) writeAndSync(b []byte) error {
	if err := l.write(b); err != nil {
		return err
	}
	return l.file.Sync()
}

func (l *Log) write(b []byte) error {
	n, err := l.file.Write(b)
	l.size += int64(n)
	if err == nil && n < len(b) {
		err = fmt.Errorf("%w: expected %d bytes to be written, got %d", errShortWrite, len(b), n)
	}
	return err
}

// recordFailure makes a failure permanent: after an error the log accepts no more writes. It
// returns err.
func (l *Log) recordFailure(err error) error {
	if err != nil {
		l.failure = errors.Join(ErrFailed, err)
	}
	return err
}

// NeedsRewrite reports whether the log has grown so much since the last rewrite that it should
// be rewritten again.
func (l *Log) NeedsRewrite() bool {
	return l.failure == nil && l.size > minRewriteSize && l.size > rewriteFactor*l.rewrittenSize
}

// Size returns the length of the log in bytes.
func (l *Log) Size() int64 { return l.size }

// Rewrite replaces the log with one that holds only the given state.
func (l *Log) Rewrite(state State) error {
	if l.failure != nil {
		return l.failure
	}
	return l.recordFailure(l.replace(state))
}

func (l *Log) replace(state State) error {
	file, err := l.fs.Append(newFileName)
	if err != nil {
		return err
	}
	replacement := &Log{file: file}
	if err := replacement.write(appendRecord(nil, kindOwner, ownerBody(l.owner))); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := replacement.save(state); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := errors.Join(l.fs.Rename(newFileName, fileName), l.fs.Sync()); err != nil {
		return errors.Join(err, file.Close())
	}
	old := l.file
	l.file, l.size, l.rewrittenSize = file, replacement.size, replacement.size
	return old.Close()
}

// Close closes the file. Later writes return ErrFailed.
func (l *Log) Close() error {
	if l.failure == nil {
		l.failure = ErrFailed
	}
	return l.file.Close()
}
