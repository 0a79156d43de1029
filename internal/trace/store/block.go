// Package store keeps traces in segments on disk: files of compressed blocks, each with
// a length, a checksum and a head that says what is in it. A query reads the heads and
// opens the blocks that can hold what it asks for. A block that was cut short by a kill
// ends its segment: what stands before it is read, and a start cuts it off.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"sort"

	"github.com/klauspost/compress/s2"

	"garnetline/internal/trace"
	"garnetline/routing"
)

const (
	segmentMagic     = "garnetline traces 1\n"
	preambleSize     = 16       // lengths and checksums of head and body
	blockTarget      = 64 << 10 // bytes of traces at which a block is closed
	maxHeaderSize    = 1 << 20
	maxBodySize      = 8 << 20
	maxHeaderServers = 256 // servers that a head names; with more it says that any may be there
)

// ErrBlock reports a block that cannot be read.
var ErrCorruptBlock = errors.New("store: broken block")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// head says what a block holds, so that most blocks need not be read.
type blockHeader struct {
	firstStart, lastStart float64 // of the requests' starts
	maxDuration           float32 // ms
	traceCount            uint32
	spanCount             uint32
	outcomes              uint8 // a bit each
	reasons               trace.Reason
	maxAttempts           uint8 // the most
	anyServer             bool
	classes               []string
	servers               []uint64 // by number
	fingerprints          []uint32 // of the ids, by number
}

// print is what a head holds of an id.
func fingerprint(id trace.ID) uint32 {
	return binary.BigEndian.Uint32(id[4:8]) ^ binary.BigEndian.Uint32(id[12:16])
}

// builder collects traces for one block.
type blockBuilder struct {
	records []byte
	header  blockHeader
}

func (b *blockBuilder) add(t *trace.Trace) {
	h := &b.header
	if h.traceCount == 0 {
		h.firstStart, h.lastStart = t.Start, t.Start
	}
	h.firstStart, h.lastStart = min(h.firstStart, t.Start), max(h.lastStart, t.Start)
	h.maxDuration = max(h.maxDuration, float32(t.Duration()))
	h.traceCount++
	h.spanCount += uint32(len(t.Spans))
	h.outcomes |= 1 << t.Outcome
	h.reasons |= t.Reasons
	h.maxAttempts = max(h.maxAttempts, t.Attempts)
	if !slices.Contains(h.classes, t.Class) {
		h.classes = append(h.classes, t.Class)
	}
	for _, s := range t.Spans {
		if s.Kind == trace.Attempt {
			h.servers = insertSorted(insertSorted(h.servers, uint64(s.Server)), uint64(s.FillSource))
		}
	}
	if len(h.servers) > maxHeaderServers {
		h.anyServer, h.servers = true, nil
	}
	h.fingerprints = append(h.fingerprints, fingerprint(t.ID))
	mark := len(b.records)
	b.records = trace.Append(append(b.records, 0, 0, 0, 0), t)
	binary.BigEndian.PutUint32(b.records[mark:], uint32(len(b.records)-mark-4))
}

func insertSorted(set []uint64, x uint64) []uint64 {
	if i, found := slices.BinarySearch(set, x); !found {
		set = slices.Insert(set, i, x)
	}
	return set
}

// bytes returns the block as it stands in a file, and empties the builder.
func (b *blockBuilder) finish() []byte {
	slices.Sort(b.header.fingerprints)
	out := make([]byte, preambleSize, preambleSize+1024+len(b.records)/2)
	out = b.header.append(out)
	headLen := len(out) - preambleSize
	out = append(out, s2.Encode(nil, b.records)...)
	h, body := out[preambleSize:preambleSize+headLen], out[preambleSize+headLen:]
	for i, n := range []uint32{uint32(len(h)), uint32(len(body)), crc32.Checksum(h, castagnoli), crc32.Checksum(body, castagnoli)} {
		binary.BigEndian.PutUint32(out[4*i:], n)
	}
	b.records, b.header = b.records[:0], blockHeader{}
	return out
}

func (h *blockHeader) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(h.firstStart))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(h.lastStart))
	b = binary.BigEndian.AppendUint32(b, math.Float32bits(h.maxDuration))
	b = binary.BigEndian.AppendUint32(b, h.traceCount)
	b = binary.BigEndian.AppendUint32(b, h.spanCount)
	any := byte(0)
	if h.anyServer {
		any = 1
	}
	b = append(b, h.outcomes, byte(h.reasons), h.maxAttempts, any)
	b = binary.AppendUvarint(b, uint64(len(h.classes)))
	for _, c := range h.classes {
		b = append(append(b, byte(min(len(c), 255))), c[:min(len(c), 255)]...)
	}
	b = binary.AppendUvarint(b, uint64(len(h.servers)))
	last := uint64(0)
	for _, s := range h.servers {
		b = binary.AppendUvarint(b, s-last)
		last = s
	}
	for _, p := range h.fingerprints {
		b = binary.BigEndian.AppendUint32(b, p)
	}
	return b
}

// headFixed is the length of a head before its lists.
const headerFixedSize = 32

func parseHeader(b []byte) (h blockHeader, err error) {
	bad := fmt.Errorf("%w: head", ErrCorruptBlock)
	if len(b) < headerFixedSize {
		return h, bad
	}
	u := binary.BigEndian
	h.firstStart, h.lastStart = math.Float64frombits(u.Uint64(b)), math.Float64frombits(u.Uint64(b[8:]))
	h.maxDuration = math.Float32frombits(u.Uint32(b[16:]))
	h.traceCount, h.spanCount = u.Uint32(b[20:]), u.Uint32(b[24:])
	h.outcomes, h.reasons, h.maxAttempts, h.anyServer = b[28], trace.Reason(b[29]), b[30], b[31] == 1
	b = b[headerFixedSize:]
	n, k := binary.Uvarint(b)
	if k <= 0 || n > uint64(len(b)) {
		return h, bad
	}
	b = b[k:]
	for range n {
		if len(b) == 0 || len(b) < 1+int(b[0]) {
			return h, bad
		}
		h.classes = append(h.classes, string(b[1:1+int(b[0])]))
		b = b[1+int(b[0]):]
	}
	n, k = binary.Uvarint(b)
	if k <= 0 || n > maxHeaderServers+2 {
		return h, bad
	}
	b = b[k:]
	last := uint64(0)
	for range n {
		d, k := binary.Uvarint(b)
		if k <= 0 {
			return h, bad
		}
		last += d
		h.servers, b = append(h.servers, last), b[k:]
	}
	if uint64(len(b)) != 4*uint64(h.traceCount) {
		return h, bad
	}
	h.fingerprints = make([]uint32, h.traceCount)
	for i := range h.fingerprints {
		h.fingerprints[i] = u.Uint32(b[4*i:])
	}
	return h, nil
}

// traces calls f with each trace of a block's body until it returns false.
func forEachTrace(body []byte, f func(*trace.Trace) bool) error {
	n, err := s2.DecodedLen(body)
	if err != nil || n > maxBodySize {
		return fmt.Errorf("%w: body", ErrCorruptBlock)
	}
	raw, err := s2.Decode(nil, body)
	if err != nil {
		return fmt.Errorf("%w: body", ErrCorruptBlock)
	}
	for len(raw) > 0 {
		if len(raw) < 4 || uint64(binary.BigEndian.Uint32(raw)) > uint64(len(raw)-4) {
			return fmt.Errorf("%w: record", ErrCorruptBlock)
		}
		n := binary.BigEndian.Uint32(raw)
		t, err := trace.Decode(raw[4 : 4+n])
		if err != nil {
			return err
		}
		if !f(t) {
			return nil
		}
		raw = raw[4+n:]
	}
	return nil
}

// Filter says which traces a query wants. Its zero value wants all.
type Filter struct {
	ID            trace.ID // the zero id: any
	Class         string   // "": any
	TransactionID string   // "": any
	Outcome       uint8    // bits of trace.Outcome; 0: any
	Server        routing.ServerID
	MinDuration   float64 // ms
	MinAttempts   int     // so many or more
	Reasons       trace.Reason
	From, To      float64 // of the start, Unix ms; To 0: no end
}

// may tells whether a block can hold a trace that f wants.
func (f *Filter) mayMatch(h *blockHeader) bool {
	switch {
	case f.Outcome != 0 && f.Outcome&h.outcomes == 0, f.Reasons != 0 && f.Reasons&h.reasons == 0,
		f.MinDuration > 0 && float64(h.maxDuration) < f.MinDuration*(1-1e-6), f.MinAttempts > int(h.maxAttempts),
		h.lastStart < f.From, f.To > 0 && h.firstStart > f.To, f.Class != "" && !slices.Contains(h.classes, f.Class):
		return false
	case f.Server != 0 && !h.anyServer:
		if _, ok := slices.BinarySearch(h.servers, uint64(f.Server)); !ok {
			return false
		}
	}
	if f.ID != (trace.ID{}) {
		p := fingerprint(f.ID)
		i := sort.Search(len(h.fingerprints), func(i int) bool { return h.fingerprints[i] >= p })
		return i < len(h.fingerprints) && h.fingerprints[i] == p
	}
	return true
}

// Wants tells whether f wants a trace.
func (f *Filter) Matches(t *trace.Trace) bool {
	return (f.ID == trace.ID{} || f.ID == t.ID) && (f.Class == "" || f.Class == t.Class) && (f.TransactionID == "" || f.TransactionID == t.TransactionID) &&
		(f.Outcome == 0 || f.Outcome&(1<<t.Outcome) != 0) && (f.Reasons == 0 || f.Reasons&t.Reasons != 0) &&
		(f.MinDuration == 0 || t.Duration() >= f.MinDuration) && int(t.Attempts) >= f.MinAttempts &&
		t.Start >= f.From && (f.To == 0 || t.Start <= f.To) && (f.Server == 0 || t.Involves(f.Server))
}
