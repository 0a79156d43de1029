package wireformat

import "google.golang.org/protobuf/encoding/protowire"

// Writer appends the fields of one message. Fields with a zero value are left out. Its zero
// value is ready to use; it is not safe for concurrent use.
type Writer struct{ encoded []byte }

// NewWriter returns a writer that appends to b.
func NewWriter(b []byte) *Writer { return &Writer{encoded: b} }

// Encoded returns what was written, after the bytes that the writer began with.
func (w *Writer) Encoded() []byte { return w.encoded }

// Uint appends a number.
func (w *Writer) Uint(number protowire.Number, value uint64) {
	w.encoded = AppendUint(w.encoded, number, value)
}

// Bool appends the number 1 where value is true.
func (w *Writer) Bool(number protowire.Number, value bool) {
	if value {
		w.Uint(number, 1)
	}
}

// String appends a string.
func (w *Writer) String(number protowire.Number, value string) {
	w.encoded = AppendString(w.encoded, number, value)
}

// Bytes appends a string of bytes.
func (w *Writer) Bytes(number protowire.Number, value []byte) {
	if len(value) == 0 {
		return
	}
	w.encoded = protowire.AppendTag(w.encoded, number, protowire.BytesType)
	w.encoded = protowire.AppendBytes(w.encoded, value)
}

// Message appends a message within this one, whose fields write appends. An empty one is
// left out.
func (w *Writer) Message(number protowire.Number, write func(*Writer)) {
	var inner Writer
	write(&inner)
	w.Bytes(number, inner.encoded)
}
