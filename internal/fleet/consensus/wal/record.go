package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// FormatVersion is the version of the file format that this program writes. The program can also
// read older versions.
const FormatVersion = 1

// Sizes of a record and its parts, in bytes. A record consists of a length, a checksum, a kind and
// a body. Length and checksum cover the kind and the body.
const (
	lengthLen    = 4
	checksumLen  = 4
	kindLen      = 1
	prefixLen    = lengthLen + checksumLen
	headerLen    = prefixLen + kindLen
	maxRecordLen = 16 << 20 // length of kind and body together
)

// The kinds of records. The first record of a log is of kindOwner. No other record is of this
// kind.
const (
	kindOwner byte = 1 + iota
	kindHardState
	kindEntry
	kindSnapshot
	kindMetadata
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Errors of Open (ErrNotLog, ErrNewerFormat) and of writes to a log (errShortWrite,
// errRecordTooBig).
var (
	ErrNotLog       = errors.New("wal: not a voter's log")
	ErrNewerFormat  = errors.New("wal: of a newer format than this program knows")
	errShortWrite   = errors.New("wal: the file accepted only a part of the bytes of a write")
	errRecordTooBig = errors.New("wal: body of a record is too long")
)

// OwnerError reports a log that belongs to another voter, for example because a directory was
// copied.
type OwnerError struct {
	Found, Want string
}

func (e *OwnerError) Error() string {
	return fmt.Sprintf("wal: log of %q, not of %q", e.Found, e.Want)
}

// CorruptRecordError reports a record whose checksum is right but whose body cannot be decoded.
type CorruptRecordError struct {
	Kind byte
	Err  error
}

func (e *CorruptRecordError) Error() string {
	return fmt.Sprintf("wal: corrupt record of kind %d: %v", e.Kind, e.Err)
}

func (e *CorruptRecordError) Unwrap() error { return e.Err }

// ownerBody returns the body of the first record: the format version and the owner's name.
func ownerBody(owner string) []byte { return append([]byte{FormatVersion}, owner...) }

// checkOwner checks the body of the first record. It returns ErrNewerFormat if this program cannot
// read the format, and an OwnerError if the log belongs to another owner.
func checkOwner(body []byte, owner string) error {
	if len(body) == 0 || body[0] > FormatVersion {
		return ErrNewerFormat
	}
	if found := string(body[1:]); found != owner {
		return &OwnerError{Found: found, Want: owner}
	}
	return nil
}

// appendRecord appends an encoded record to b.
func appendRecord(b []byte, kind byte, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(kindLen+len(body)))
	checksum := crc32.New(castagnoli)
	checksum.Write([]byte{kind})
	checksum.Write(body)
	b = binary.BigEndian.AppendUint32(b, checksum.Sum32())
	b = append(b, kind)
	return append(b, body...)
}

// appendMessage appends a record whose body is a protobuf message.
func appendMessage(b []byte, kind byte, message proto.Message) ([]byte, error) {
	body, err := proto.Marshal(message)
	if err != nil {
		return b, err
	}
	if len(body) >= maxRecordLen {
		return b, fmt.Errorf("%w: expected fewer than %d bytes, got %d", errRecordTooBig, maxRecordLen, len(body))
	}
	return appendRecord(b, kind, body), nil
}

// nextRecord returns the kind and the body of the first record of content, and the record's stored
// length in bytes. ok is false if the record is incomplete or its length or checksum is wrong.
func nextRecord(content []byte) (kind byte, body []byte, length int, ok bool) {
	if len(content) < headerLen {
		return 0, nil, 0, false
	}
	payloadLen := int(binary.BigEndian.Uint32(content))
	if payloadLen < kindLen || payloadLen > maxRecordLen || len(content) < prefixLen+payloadLen {
		return 0, nil, 0, false
	}
	payload := content[prefixLen : prefixLen+payloadLen]
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(content[lengthLen:]) {
		return 0, nil, 0, false
	}
	return payload[0], payload[kindLen:], prefixLen + payloadLen, true
}

// readRecords reads the records up to the first torn record, or up to the end of content.
// validLen is the length in bytes of the records that it has read.
func readRecords(content []byte, owner string) (validLen int, state State, err error) {
	for {
		kind, body, length, ok := nextRecord(content[validLen:])
		if !ok {
			return validLen, state, nil
		}
		isFirst := validLen == 0
		if isFirst != (kind == kindOwner) {
			return validLen, state, ErrNotLog
		}
		if isFirst {
			err = checkOwner(body, owner)
		} else {
			err = state.apply(kind, body)
		}
		if err != nil {
			return validLen, state, err
		}
		validLen += length
	}
}

// State is the content of a log.
type State struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot // nil if there is none
	Entries   []*raftpb.Entry  // entries after the snapshot
	Metadata  []byte           // metadata of the log's owner: its raft ID and the raft IDs that it has heard from
}

// apply updates the state with a record. It returns a CorruptRecordError if the record cannot be
// decoded.
func (s *State) apply(kind byte, body []byte) error {
	var err error
	switch kind {
	case kindHardState:
		s.HardState = &raftpb.HardState{}
		err = proto.Unmarshal(body, s.HardState)
	case kindEntry:
		entry := &raftpb.Entry{}
		if err = proto.Unmarshal(body, entry); err == nil {
			s.appendEntry(entry)
		}
	case kindSnapshot:
		s.Snapshot = &raftpb.Snapshot{}
		err = proto.Unmarshal(body, s.Snapshot)
		s.Entries = entriesAfter(s.Entries, s.Snapshot.GetMetadata().GetIndex())
	case kindMetadata:
		s.Metadata = append([]byte(nil), body...)
	default:
		err = errors.New("unknown record kind")
	}
	if err != nil {
		return &CorruptRecordError{Kind: kind, Err: err}
	}
	return nil
}

// appendEntry appends an entry. It first removes all entries from the new entry's index on,
// because a new leader has overwritten them. It ignores an entry that the snapshot includes.
func (s *State) appendEntry(entry *raftpb.Entry) {
	for len(s.Entries) > 0 && s.Entries[len(s.Entries)-1].GetIndex() >= entry.GetIndex() {
		s.Entries = s.Entries[:len(s.Entries)-1]
	}
	if entry.GetIndex() > s.Snapshot.GetMetadata().GetIndex() {
		s.Entries = append(s.Entries, entry)
	}
}

// entriesAfter returns the entries whose index is greater than the given index.
func entriesAfter(entries []*raftpb.Entry, index uint64) []*raftpb.Entry {
	for len(entries) > 0 && entries[0].GetIndex() <= index {
		entries = entries[1:]
	}
	return entries
}
