// Package wal stores the raft log of one voter: an append-only file of records with length
// and checksum, rewritten as a whole when a snapshot has made most of it obsolete. What Save
// returned without an error survives a crash. After any failure nothing is written any more:
// what the disk holds is not known then, and the voter must not vote.
//
// A Log has one caller at a time, the node that it belongs to.
package wal

import (
	"errors"
	"io/fs"

	"go.etcd.io/raft/v3/raftpb"
)

const (
	fileName    = "log"
	newFileName = "log.new" // while the log is rewritten

	// A log is rewritten when it is longer than minRewriteSize and than rewriteFactor times
	// what it must hold.
	minRewriteSize = 1 << 20
	rewriteFactor  = 2
)

// ErrFailed reports a log that failed before, or was closed.
var ErrFailed = errors.New("wal: failed before, and is not written any more")

// Log is the log of one voter. It is not safe for concurrent use.
type Log struct {
	fs            FS
	owner         string
	file          File
	size          int64
	rewrittenSize int64 // when it was rewritten last
	failure       error // not nil once a call failed
	buffer        []byte
}

// Open opens the log of a voter, and creates it if there is none, which fresh tells. owner
// names the voter: Open returns an error for a log of another owner (OwnerError) or of a
// newer format. A tail that a crash tore off is cut.
func Open(dir FS, owner string) (l *Log, state State, fresh bool, err error) {
	if err := dir.Remove(newFileName); err != nil { // of a rewriting that a crash ended
		return nil, state, false, err
	}
	content, err := dir.ReadFile(fileName)
	if errors.Is(err, fs.ErrNotExist) {
		content, err = nil, nil
	}
	if err != nil {
		return nil, state, false, err
	}
	valid, state, err := readRecords(content, owner)
	if err != nil {
		return nil, state, false, err
	}
	file, err := dir.Append(fileName)
	if err != nil {
		return nil, state, false, err
	}
	l = &Log{fs: dir, owner: owner, file: file, size: int64(valid)}
	fresh = valid == 0
	if err := l.prepare(valid < len(content), fresh); err != nil {
		return nil, state, fresh, errors.Join(err, file.Close())
	}
	l.rewrittenSize = l.size
	return l, state, fresh, nil
}

// prepare cuts a torn tail and names the owner in a log that is empty.
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

// Save writes what a step of raft wants stored, and returns when it is on the disk. Each
// argument may be nil.
func (l *Log) Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	return l.save(State{HardState: hardState, Entries: entries, Snapshot: snapshot})
}

// SaveMetadata writes what the voter keeps of itself, and returns when it is on the disk.
func (l *Log) SaveMetadata(metadata []byte) error { return l.save(State{Metadata: metadata}) }

// save writes the parts of a state that are set, as one write, and syncs the file.
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

// appendState appends the records of a state: metadata, snapshot, entries and hard state,
// in this order, so that a tail that is torn off never leaves a hard state without the
// entries that it rests on.
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
		err = errShortWrite
	}
	return err
}

// recordFailure makes an error final: the log is not written any more.
func (l *Log) recordFailure(err error) error {
	if err != nil {
		l.failure = errors.Join(ErrFailed, err)
	}
	return err
}

// NeedsRewrite tells whether the log is long enough, and obsolete enough, to be rewritten.
func (l *Log) NeedsRewrite() bool {
	return l.failure == nil && l.size > minRewriteSize && l.size > rewriteFactor*l.rewrittenSize
}

// Size returns the length of the log in bytes.
func (l *Log) Size() int64 { return l.size }

// Rewrite replaces the log by one that holds just this state.
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

// Close closes the file. Nothing can be written afterwards.
func (l *Log) Close() error {
	if l.failure == nil {
		l.failure = ErrFailed
	}
	return l.file.Close()
}
