package trace

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"garnetline/routing"
)

// ErrCode reports bytes that are no trace.
var ErrCorruptRecord = errors.New("trace: broken record")

// Bounds of what one record may hold.
const (
	maxTextLength = 255
	maxSpans      = 4096
)

// Append appends t in its stored form to b. Times are kept to the microsecond.
func Append(b []byte, t *Trace) []byte {
	b = append(b, t.ID[:]...)
	b = binary.AppendUvarint(b, uint64(t.ClientSpan))
	b = appendText(appendText(appendText(b, t.Router), t.TransactionID), t.Class)
	for _, n := range []uint64{t.Object, uint64(t.Chunk), uint64(t.PurgeGroup), uint64(t.Retry), uint64(t.Outcome), uint64(t.Reasons),
		uint64(t.LostBefore), uint64(t.Attempts), micros(t.Start), micros(t.End - t.Start), math.Float64bits(t.Weight)} {
		b = binary.AppendUvarint(b, n)
	}
	b = binary.AppendUvarint(b, uint64(len(t.Spans)))
	for _, s := range t.Spans {
		b = append(b, byte(s.Kind), s.AttemptNumber, s.Result, s.Flags, s.CopyRank)
		for _, n := range []uint64{uint64(s.ID), uint64(s.Parent), uint64(s.Server), uint64(s.FillSource), uint64(s.Bytes),
			uint64(math.Float32bits(s.MaxAge)), uint64(math.Float32bits(s.Inflight)), uint64(math.Float32bits(s.LinkUtilization))} {
			b = binary.AppendUvarint(b, n)
		}
		b = binary.AppendVarint(b, int64(micros(s.Start)-micros(t.Start)))
		b = binary.AppendVarint(b, int64(micros(s.End)-micros(s.Start)))
	}
	for _, l := range t.Links { // to the record's end
		b = append(binary.AppendUvarint(b, uint64(l.From)), l.Trace[:]...)
		b = binary.AppendUvarint(b, uint64(l.To))
	}
	return b
}

func micros(ms float64) uint64 { return uint64(int64(math.Round(ms * 1000))) }

func millis(us uint64) float64 { return float64(int64(us)) / 1000 }

func appendText(b []byte, s string) []byte {
	s = s[:min(len(s), maxTextLength)]
	return append(append(b, byte(len(s))), s...)
}

// Decode reads one trace from the whole of b.
func Decode(b []byte) (*Trace, error) {
	d := decoder{remaining: b}
	t := &Trace{}
	copy(t.ID[:], d.take(16))
	t.ClientSpan = SpanID(d.uint(math.MaxUint64))
	t.Router, t.TransactionID, t.Class = d.text(), d.text(), d.text()
	t.Object, t.Chunk, t.PurgeGroup = d.uint(math.MaxUint64), uint32(d.uint(math.MaxUint32)), uint16(d.uint(math.MaxUint16))
	t.Retry, t.Outcome, t.Reasons = uint8(d.uint(255)), Outcome(d.uint(uint64(outcomeCount)-1)), Reason(d.uint(255))
	t.LostBefore, t.Attempts = uint32(d.uint(math.MaxUint32)), uint8(d.uint(255))
	start := d.uint(math.MaxInt64)
	t.Start, t.End = millis(start), millis(start+d.uint(math.MaxInt64/2))
	t.Weight = math.Float64frombits(d.uint(math.MaxUint64))
	n := d.uint(maxSpans)
	if d.failed || math.IsNaN(t.Weight) || n > uint64(len(d.remaining)) {
		return nil, fmt.Errorf("%w: head", ErrCorruptRecord)
	}
	t.Spans = make([]Span, n)
	for i := range t.Spans {
		s := &t.Spans[i]
		k := d.take(5)
		s.Kind, s.AttemptNumber, s.Result, s.Flags, s.CopyRank = Kind(k[0]), k[1], k[2], k[3], k[4]
		s.ID, s.Parent = SpanID(d.uint(math.MaxUint64)), SpanID(d.uint(math.MaxUint64))
		s.Server, s.FillSource = routing.ServerID(d.uint(math.MaxUint64)), routing.ServerID(d.uint(math.MaxUint64))
		s.Bytes = uint32(d.uint(math.MaxUint32))
		s.MaxAge, s.Inflight, s.LinkUtilization = d.float32(), d.float32(), d.float32()
		at := start + uint64(d.int())
		s.Start, s.End = millis(at), millis(at+uint64(d.int()))
		if d.failed || s.Kind >= kindCount {
			return nil, fmt.Errorf("%w: span %d", ErrCorruptRecord, i)
		}
	}
	for len(d.remaining) > 0 && len(t.Links) < maxSpans {
		l := Link{From: SpanID(d.uint(math.MaxUint64))}
		copy(l.Trace[:], d.take(16))
		l.To = SpanID(d.uint(math.MaxUint64))
		t.Links = append(t.Links, l)
	}
	if d.failed || len(d.remaining) > 0 {
		return nil, fmt.Errorf("%w: links", ErrCorruptRecord)
	}
	return t, nil
}

// decoder reads fields; bad says that one was not there or out of range.
type decoder struct {
	remaining []byte
	failed    bool
}

func (d *decoder) take(n int) []byte {
	if len(d.remaining) < n {
		d.failed, d.remaining = true, nil
		return make([]byte, n)
	}
	b := d.remaining[:n]
	d.remaining = d.remaining[n:]
	return b
}

func (d *decoder) uint(most uint64) uint64 {
	n, k := binary.Uvarint(d.remaining)
	if k <= 0 || n > most {
		d.failed, d.remaining = true, nil
		return 0
	}
	d.remaining = d.remaining[k:]
	return n
}

func (d *decoder) int() int64 {
	n, k := binary.Varint(d.remaining)
	if k <= 0 {
		d.failed, d.remaining = true, nil
		return 0
	}
	d.remaining = d.remaining[k:]
	return n
}

func (d *decoder) float32() float32 { return math.Float32frombits(uint32(d.uint(math.MaxUint32))) }

func (d *decoder) text() string { return string(d.take(int(d.take(1)[0]))) }
