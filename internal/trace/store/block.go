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
	magic    = "garnetline traces 1\n"
	fixed    = 16       // lengths and checksums of head and body
	blockRaw = 64 << 10 // bytes of traces at which a block is closed
	maxHead  = 1 << 20
	maxBody  = 8 << 20
	maxSets  = 256 // servers that a head names; with more it says that any may be there
)

// ErrBlock reports a block that cannot be read.
var ErrBlock = errors.New("store: broken block")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// head says what a block holds, so that most blocks need not be read.
type head struct {
	from, to  float64 // of the requests' starts
	slowest   float32 // ms
	traces    uint32
	spans     uint32
	outcomes  uint8 // a bit each
	why       trace.Reason
	attempts  uint8 // the most
	anyServer bool
	classes   []string
	servers   []uint64 // by number
	prints    []uint32 // of the ids, by number
}

// print is what a head holds of an id.
func print(id trace.ID) uint32 {
	return binary.BigEndian.Uint32(id[4:8]) ^ binary.BigEndian.Uint32(id[12:16])
}

// builder collects traces for one block.
type builder struct {
	raw  []byte
	head head
}

func (b *builder) add(t *trace.Trace) {
	h := &b.head
	if h.traces == 0 {
		h.from, h.to = t.Start, t.Start
	}
	h.from, h.to = min(h.from, t.Start), max(h.to, t.Start)
	h.slowest = max(h.slowest, float32(t.Duration()))
	h.traces++
	h.spans += uint32(len(t.Spans))
	h.outcomes |= 1 << t.Outcome
	h.why |= t.Reasons
	h.attempts = max(h.attempts, t.Attempts)
	if !slices.Contains(h.classes, t.Class) {
		h.classes = append(h.classes, t.Class)
	}
	for _, s := range t.Spans {
		if s.Kind == trace.Attempt {
			h.servers = insert(insert(h.servers, uint64(s.Server)), uint64(s.FillSource))
		}
	}
	if len(h.servers) > maxSets {
		h.anyServer, h.servers = true, nil
	}
	h.prints = append(h.prints, print(t.ID))
	mark := len(b.raw)
	b.raw = trace.Append(append(b.raw, 0, 0, 0, 0), t)
	binary.BigEndian.PutUint32(b.raw[mark:], uint32(len(b.raw)-mark-4))
}

func insert(set []uint64, x uint64) []uint64 {
	if i, found := slices.BinarySearch(set, x); !found {
		set = slices.Insert(set, i, x)
	}
	return set
}

// bytes returns the block as it stands in a file, and empties the builder.
func (b *builder) bytes() []byte {
	slices.Sort(b.head.prints)
	out := make([]byte, fixed, fixed+1024+len(b.raw)/2)
	out = b.head.append(out)
	headLen := len(out) - fixed
	out = append(out, s2.Encode(nil, b.raw)...)
	h, body := out[fixed:fixed+headLen], out[fixed+headLen:]
	for i, n := range []uint32{uint32(len(h)), uint32(len(body)), crc32.Checksum(h, castagnoli), crc32.Checksum(body, castagnoli)} {
		binary.BigEndian.PutUint32(out[4*i:], n)
	}
	b.raw, b.head = b.raw[:0], head{}
	return out
}

func (h *head) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(h.from))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(h.to))
	b = binary.BigEndian.AppendUint32(b, math.Float32bits(h.slowest))
	b = binary.BigEndian.AppendUint32(b, h.traces)
	b = binary.BigEndian.AppendUint32(b, h.spans)
	any := byte(0)
	if h.anyServer {
		any = 1
	}
	b = append(b, h.outcomes, byte(h.why), h.attempts, any)
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
	for _, p := range h.prints {
		b = binary.BigEndian.AppendUint32(b, p)
	}
	return b
}

// headFixed is the length of a head before its lists.
const headFixed = 32

func parseHead(b []byte) (h head, err error) {
	bad := fmt.Errorf("%w: head", ErrBlock)
	if len(b) < headFixed {
		return h, bad
	}
	u := binary.BigEndian
	h.from, h.to = math.Float64frombits(u.Uint64(b)), math.Float64frombits(u.Uint64(b[8:]))
	h.slowest = math.Float32frombits(u.Uint32(b[16:]))
	h.traces, h.spans = u.Uint32(b[20:]), u.Uint32(b[24:])
	h.outcomes, h.why, h.attempts, h.anyServer = b[28], trace.Reason(b[29]), b[30], b[31] == 1
	b = b[headFixed:]
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
	if k <= 0 || n > maxSets+2 {
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
	if uint64(len(b)) != 4*uint64(h.traces) {
		return h, bad
	}
	h.prints = make([]uint32, h.traces)
	for i := range h.prints {
		h.prints[i] = u.Uint32(b[4*i:])
	}
	return h, nil
}

// traces calls f with each trace of a block's body until it returns false.
func traces(body []byte, f func(*trace.Trace) bool) error {
	n, err := s2.DecodedLen(body)
	if err != nil || n > maxBody {
		return fmt.Errorf("%w: body", ErrBlock)
	}
	raw, err := s2.Decode(nil, body)
	if err != nil {
		return fmt.Errorf("%w: body", ErrBlock)
	}
	for len(raw) > 0 {
		if len(raw) < 4 || uint64(binary.BigEndian.Uint32(raw)) > uint64(len(raw)-4) {
			return fmt.Errorf("%w: record", ErrBlock)
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
func (f *Filter) may(h *head) bool {
	switch {
	case f.Outcome != 0 && f.Outcome&h.outcomes == 0, f.Reasons != 0 && f.Reasons&h.why == 0,
		f.MinDuration > 0 && float64(h.slowest) < f.MinDuration*(1-1e-6), f.MinAttempts > int(h.attempts),
		h.to < f.From, f.To > 0 && h.from > f.To, f.Class != "" && !slices.Contains(h.classes, f.Class):
		return false
	case f.Server != 0 && !h.anyServer:
		if _, ok := slices.BinarySearch(h.servers, uint64(f.Server)); !ok {
			return false
		}
	}
	if f.ID != (trace.ID{}) {
		p := print(f.ID)
		i := sort.Search(len(h.prints), func(i int) bool { return h.prints[i] >= p })
		return i < len(h.prints) && h.prints[i] == p
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
