package store

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"garnetline/internal/trace"
)

// blockHeader summarizes the traces of a block, so that a query can skip a block that contains
// no matching trace.
type blockHeader struct {
	firstStart, lastStart float64 // Unix ms, the earliest and the latest start
	maxDuration           float32 // ms
	traceCount            uint32
	spanCount             uint32
	outcomes              uint8 // set of bits: 1<<outcome for each trace.Outcome that occurs
	reasons               trace.Reason
	maxAttempts           uint8
	serversOmitted        bool // the block has more than maxHeaderServers servers, and the list of servers is not complete
	classes               []string
	servers               []uint64 // servers and fill sources of attempts, ascending
	fingerprints          []uint32 // fingerprints of the traces' IDs, ascending
}

// fingerprint returns a 32-bit hash of a trace's ID. Headers list these hashes in place of the IDs.
func fingerprint(id trace.ID) uint32 {
	return binary.BigEndian.Uint32(id[4:8]) ^ binary.BigEndian.Uint32(id[12:16])
}

// add adds a trace to the summary. It leaves the fingerprints unsorted, and blockBuilder.finish
// sorts them.
func (h *blockHeader) add(t *trace.Trace) {
	if h.traceCount == 0 {
		h.firstStart = t.Start
		h.lastStart = t.Start
	}
	h.firstStart = min(h.firstStart, t.Start)
	h.lastStart = max(h.lastStart, t.Start)
	h.maxDuration = max(h.maxDuration, float32(t.Duration()))
	h.traceCount++
	h.spanCount += uint32(len(t.Spans))
	h.outcomes |= 1 << t.Outcome
	h.reasons |= t.Reasons
	h.maxAttempts = max(h.maxAttempts, t.Attempts)
	h.fingerprints = append(h.fingerprints, fingerprint(t.ID))
	if !slices.Contains(h.classes, t.Class) {
		h.classes = append(h.classes, t.Class)
	}
	h.addServers(t.Spans)
}

func (h *blockHeader) addServers(spans []trace.Span) {
	for i := range spans {
		if spans[i].Kind == trace.Attempt {
			h.servers = insertSorted(h.servers, uint64(spans[i].Server))
			h.servers = insertSorted(h.servers, uint64(spans[i].FillSource))
		}
	}
	if len(h.servers) > maxHeaderServers {
		h.serversOmitted = true
		h.servers = nil
	}
}

// insertSorted inserts a value into a sorted slice without duplicates. If the slice already
// contains the value, insertSorted returns it unchanged.
func insertSorted(set []uint64, value uint64) []uint64 {
	i, found := slices.BinarySearch(set, value)
	if found {
		return set
	}
	return slices.Insert(set, i, value)
}

// Offsets, in bytes, of the fixed fields of a header. The lists of classes, servers and
// fingerprints start at offset headerFixedSize.
const (
	firstStartOffset     = 0
	lastStartOffset      = 8
	maxDurationOffset    = 16
	traceCountOffset     = 20
	spanCountOffset      = 24
	outcomesOffset       = 28
	reasonsOffset        = 29
	maxAttemptsOffset    = 30
	serversOmittedOffset = 31
	headerFixedSize      = 32

	fingerprintSize = 4
	maxClassLength  = math.MaxUint8 // bytes, because the length is stored in one byte
)

// append appends the stored form of the header. It consists of the fixed fields, the number of
// classes, the classes, the number of servers, the servers, and the fingerprints.
func (h *blockHeader) append(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint64(dst, math.Float64bits(h.firstStart))
	dst = binary.BigEndian.AppendUint64(dst, math.Float64bits(h.lastStart))
	dst = binary.BigEndian.AppendUint32(dst, math.Float32bits(h.maxDuration))
	dst = binary.BigEndian.AppendUint32(dst, h.traceCount)
	dst = binary.BigEndian.AppendUint32(dst, h.spanCount)
	serversOmitted := byte(0)
	if h.serversOmitted {
		serversOmitted = 1
	}
	dst = append(dst, h.outcomes, byte(h.reasons), h.maxAttempts, serversOmitted)
	dst = binary.AppendUvarint(dst, uint64(len(h.classes)))
	for _, class := range h.classes {
		class = class[:min(len(class), maxClassLength)]
		dst = append(dst, byte(len(class)))
		dst = append(dst, class...)
	}
	dst = binary.AppendUvarint(dst, uint64(len(h.servers)))
	previous := uint64(0)
	for _, server := range h.servers {
		dst = binary.AppendUvarint(dst, server-previous)
		previous = server
	}
	for _, value := range h.fingerprints {
		dst = binary.BigEndian.AppendUint32(dst, value)
	}
	return dst
}

// parseHeader parses the stored form of a header. All errors wrap ErrCorruptBlock.
func parseHeader(encoded []byte) (blockHeader, error) {
	if len(encoded) < headerFixedSize {
		return blockHeader{}, errCorruptHeader(len(encoded))
	}
	header := parseFixedFields(encoded)
	lists := headerLists{remaining: encoded[headerFixedSize:]}
	header.classes = lists.readClasses()
	header.servers = lists.readServers()
	header.fingerprints = lists.readFingerprints(header.traceCount)
	if lists.failed {
		return blockHeader{}, errCorruptHeader(len(encoded))
	}
	return header, nil
}

func errCorruptHeader(size int) error {
	return fmt.Errorf("%w: block header of %d bytes is truncated or contains an invalid list", ErrCorruptBlock, size)
}

func parseFixedFields(encoded []byte) blockHeader {
	order := binary.BigEndian
	return blockHeader{
		firstStart:     math.Float64frombits(order.Uint64(encoded[firstStartOffset:])),
		lastStart:      math.Float64frombits(order.Uint64(encoded[lastStartOffset:])),
		maxDuration:    math.Float32frombits(order.Uint32(encoded[maxDurationOffset:])),
		traceCount:     order.Uint32(encoded[traceCountOffset:]),
		spanCount:      order.Uint32(encoded[spanCountOffset:]),
		outcomes:       encoded[outcomesOffset],
		reasons:        trace.Reason(encoded[reasonsOffset]),
		maxAttempts:    encoded[maxAttemptsOffset],
		serversOmitted: encoded[serversOmittedOffset] == 1,
	}
}

// headerLists reads the lists of a header in sequence. If a list is corrupt, headerLists sets
// failed, and callers must discard all lists.
type headerLists struct {
	remaining []byte
	failed    bool
}

func (l *headerLists) fail() {
	l.failed = true
	l.remaining = nil
}

// uvarint reads an unsigned varint. If there is no valid varint, uvarint sets failed and returns
// zero.
func (l *headerLists) uvarint() uint64 {
	value, size := binary.Uvarint(l.remaining)
	if size <= 0 {
		l.fail()
		return 0
	}
	l.remaining = l.remaining[size:]
	return value
}

func (l *headerLists) readClasses() []string {
	count := l.uvarint()
	if count > uint64(len(l.remaining)) { // each class takes at least one byte
		l.fail()
	}
	var classes []string
	for range count {
		if len(l.remaining) == 0 {
			l.fail()
			return nil
		}
		end := 1 + int(l.remaining[0])
		if len(l.remaining) < end {
			l.fail()
			return nil
		}
		classes = append(classes, string(l.remaining[1:end]))
		l.remaining = l.remaining[end:]
	}
	return classes
}

// readServers reads the list of servers. Each server ID is stored as its difference from the
// previous ID.
func (l *headerLists) readServers() []uint64 {
	count := l.uvarint()
	if count > maxHeaderServers+2 {
		l.fail()
		return nil
	}
	var servers []uint64
	server := uint64(0)
	for range count {
		server += l.uvarint()
		servers = append(servers, server)
	}
	return servers
}

// readFingerprints reads the fingerprints, one for each trace. The argument count is the number of
// traces. If the fingerprints do not take exactly the remaining bytes, readFingerprints sets failed
// and returns nil.
func (l *headerLists) readFingerprints(count uint32) []uint32 {
	if uint64(len(l.remaining)) != fingerprintSize*uint64(count) {
		l.fail()
		return nil
	}
	fingerprints := make([]uint32, count)
	for i := range fingerprints {
		fingerprints[i] = binary.BigEndian.Uint32(l.remaining[fingerprintSize*i:])
	}
	return fingerprints
}
