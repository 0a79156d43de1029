package trace

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"garnetline/routing"
)

// ErrCorruptRecord is the error that Decode wraps for bytes that do not encode a trace.
var ErrCorruptRecord = errors.New("trace: corrupt record")

// Limits and sizes of the parts of one record.
const (
	maxTextLength = math.MaxUint8 // maximum bytes of a string, because the length of a string is stored in one byte
	maxSpans      = 4096          // maximum number of spans and, separately, of links
	spanHeadSize  = 5             // total bytes of a span's one-byte fields
)

// Append appends the stored form of a trace to dst and returns the extended buffer. Times are
// rounded to the microsecond, and strings are truncated to 255 bytes.
func Append(dst []byte, t *Trace) []byte {
	dst = append(dst, t.ID[:]...)
	dst = binary.AppendUvarint(dst, uint64(t.ClientSpan))
	dst = appendText(dst, t.Router)
	dst = appendText(dst, t.TransactionID)
	dst = appendText(dst, t.Class)
	dst = binary.AppendUvarint(dst, t.Object)
	dst = binary.AppendUvarint(dst, uint64(t.Chunk))
	dst = binary.AppendUvarint(dst, uint64(t.PurgeGroup))
	dst = binary.AppendUvarint(dst, uint64(t.Retry))
	dst = binary.AppendUvarint(dst, uint64(t.Outcome))
	dst = binary.AppendUvarint(dst, uint64(t.Reasons))
	dst = binary.AppendUvarint(dst, uint64(t.LostBefore))
	dst = binary.AppendUvarint(dst, uint64(t.Attempts))
	dst = binary.AppendUvarint(dst, micros(t.Start))
	dst = binary.AppendUvarint(dst, micros(t.End-t.Start))
	dst = binary.AppendUvarint(dst, math.Float64bits(t.Weight))
	dst = binary.AppendUvarint(dst, uint64(len(t.Spans)))
	start := micros(t.Start)
	for i := range t.Spans {
		dst = appendSpan(dst, &t.Spans[i], start)
	}
	return appendLinks(dst, t.Links)
}

// appendSpan appends a span. The start of the span is stored as its distance from traceStart,
// the start of the trace in Unix microseconds.
func appendSpan(dst []byte, span *Span, traceStart uint64) []byte {
	dst = append(dst, byte(span.Kind), span.AttemptNumber, span.Result, span.Flags, span.CopyRank)
	dst = binary.AppendUvarint(dst, uint64(span.ID))
	dst = binary.AppendUvarint(dst, uint64(span.Parent))
	dst = binary.AppendUvarint(dst, uint64(span.Server))
	dst = binary.AppendUvarint(dst, uint64(span.FillSource))
	dst = binary.AppendUvarint(dst, uint64(span.Bytes))
	dst = binary.AppendUvarint(dst, uint64(math.Float32bits(span.MaxAge)))
	dst = binary.AppendUvarint(dst, uint64(math.Float32bits(span.Inflight)))
	dst = binary.AppendUvarint(dst, uint64(math.Float32bits(span.LinkUtilization)))
	start := micros(span.Start)
	dst = binary.AppendVarint(dst, int64(start-traceStart))
	return binary.AppendVarint(dst, int64(micros(span.End)-start))
}

// appendLinks appends links. It stores no number of links, because the links are the last part
// of a record.
func appendLinks(dst []byte, links []Link) []byte {
	for _, link := range links {
		dst = binary.AppendUvarint(dst, uint64(link.From))
		dst = append(dst, link.Trace[:]...)
		dst = binary.AppendUvarint(dst, uint64(link.To))
	}
	return dst
}

// appendText truncates a string to maxTextLength bytes. It appends the length of the result as
// one byte, and then the result.
func appendText(dst []byte, text string) []byte {
	text = text[:min(len(text), maxTextLength)]
	dst = append(dst, byte(len(text)))
	return append(dst, text...)
}

const microsPerMilli = 1000

// micros converts a time from milliseconds to microseconds. A negative time is converted to its
// two's complement, so that the difference of two converted times is correct.
func micros(ms float64) uint64 { return uint64(int64(math.Round(ms * microsPerMilli))) }

// millis converts a time from microseconds to milliseconds. It is the inverse of micros.
func millis(us uint64) float64 { return float64(int64(us)) / microsPerMilli }

// Decode decodes a record that Append wrote. The argument must contain exactly one record and no
// further bytes. All errors wrap ErrCorruptRecord.
func Decode(record []byte) (*Trace, error) {
	fields := decoder{remaining: record}
	t := &Trace{}
	start := fields.readHead(t)
	spanCount := fields.uint(maxSpans)
	// A span takes more than one byte. Therefore a span count above the number of remaining
	// bytes is corrupt. Decode rejects such a count before it can cause a large allocation.
	if fields.failed || math.IsNaN(t.Weight) || spanCount > uint64(len(fields.remaining)) {
		return nil, fmt.Errorf("%w: a field before the spans is missing or out of range in a record of %d bytes", ErrCorruptRecord, len(record))
	}
	t.Spans = make([]Span, spanCount)
	for i := range t.Spans {
		fields.readSpan(&t.Spans[i], start)
		if fields.failed || t.Spans[i].Kind >= kindCount {
			return nil, fmt.Errorf("%w: a field of the span at index %d of %d is missing or out of range", ErrCorruptRecord, i, spanCount)
		}
	}
	t.Links = fields.readLinks()
	if fields.failed || len(fields.remaining) > 0 {
		return nil, fmt.Errorf("%w: a link in a record of %d bytes is incomplete or has an invalid ID, or the record has more than %d links", ErrCorruptRecord, len(record), maxSpans)
	}
	return t, nil
}

// decoder reads the fields of a record in sequence. If a field is missing or out of range, the
// decoder sets failed and reads all further fields as zero.
type decoder struct {
	remaining []byte
	failed    bool
}

// readHead reads all fields before the spans into t. It returns the start of the trace in Unix
// microseconds.
func (d *decoder) readHead(t *Trace) uint64 {
	t.ID = d.traceID()
	t.ClientSpan = d.spanID()
	t.Router = d.text()
	t.TransactionID = d.text()
	t.Class = d.text()
	t.Object = d.uint(math.MaxUint64)
	t.Chunk = d.uint32()
	t.PurgeGroup = uint16(d.uint(math.MaxUint16))
	t.Retry = d.uint8()
	t.Outcome = Outcome(d.uint(uint64(outcomeCount) - 1))
	t.Reasons = Reason(d.uint8())
	t.LostBefore = d.uint32()
	t.Attempts = d.uint8()
	start := d.uint(math.MaxInt64)
	duration := d.uint(math.MaxInt64 / 2)
	t.Start = millis(start)
	t.End = millis(start + duration)
	t.Weight = math.Float64frombits(d.uint(math.MaxUint64))
	return start
}

// readSpan reads a span. traceStart is the start of the trace in Unix microseconds.
func (d *decoder) readSpan(span *Span, traceStart uint64) {
	head := d.readBytes(spanHeadSize)
	span.Kind = Kind(head[0])
	span.AttemptNumber = head[1]
	span.Result = head[2]
	span.Flags = head[3]
	span.CopyRank = head[4]
	span.ID = d.spanID()
	span.Parent = d.spanID()
	span.Server = routing.ServerID(d.uint(math.MaxUint64))
	span.FillSource = routing.ServerID(d.uint(math.MaxUint64))
	span.Bytes = d.uint32()
	span.MaxAge = d.float32()
	span.Inflight = d.float32()
	span.LinkUtilization = d.float32()
	start := traceStart + uint64(d.int())
	end := start + uint64(d.int())
	span.Start = millis(start)
	span.End = millis(end)
}

// readLinks reads links up to the end of the record, but no more than maxSpans links.
func (d *decoder) readLinks() []Link {
	var links []Link
	for len(d.remaining) > 0 && len(links) < maxSpans {
		link := Link{From: d.spanID(), Trace: d.traceID(), To: d.spanID()}
		links = append(links, link)
	}
	return links
}

// readBytes reads the given number of bytes. If fewer bytes remain, readBytes sets failed and
// returns a slice of the given length that contains only zeros.
func (d *decoder) readBytes(size int) []byte {
	if len(d.remaining) < size {
		d.fail()
		return make([]byte, size)
	}
	read := d.remaining[:size]
	d.remaining = d.remaining[size:]
	return read
}

// uint reads an unsigned varint. If the varint is invalid or its value is above limit, uint sets
// failed and returns 0.
func (d *decoder) uint(limit uint64) uint64 {
	value, size := binary.Uvarint(d.remaining)
	if size <= 0 || value > limit {
		d.fail()
		return 0
	}
	d.remaining = d.remaining[size:]
	return value
}

// int reads a signed varint.
func (d *decoder) int() int64 {
	value, size := binary.Varint(d.remaining)
	if size <= 0 {
		d.fail()
		return 0
	}
	d.remaining = d.remaining[size:]
	return value
}

func (d *decoder) fail() {
	d.failed = true
	d.remaining = nil
}

func (d *decoder) uint8() uint8 { return uint8(d.uint(math.MaxUint8)) }

func (d *decoder) uint32() uint32 { return uint32(d.uint(math.MaxUint32)) }

func (d *decoder) float32() float32 { return math.Float32frombits(d.uint32()) }

func (d *decoder) spanID() SpanID { return SpanID(d.uint(math.MaxUint64)) }

func (d *decoder) traceID() ID { return ID(d.readBytes(idSize)) }

func (d *decoder) text() string {
	length := d.readBytes(1)[0]
	return string(d.readBytes(int(length)))
}
