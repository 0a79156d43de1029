package wireformat

import "google.golang.org/protobuf/encoding/protowire"

// Writer appends the fields of one message to a buffer. It omits fields with a zero value. The zero
// Writer is ready to use. A Writer is not safe for concurrent use.
type Writer struct{ encoded []byte }

// NewWriter returns a Writer that appends to b.
func NewWriter(b []byte) *Writer { return &Writer{encoded: b} }

// Encoded returns the buffer: the bytes that were passed to NewWriter, if any, and the fields after
// them.
func (w *Writer) Encoded() []byte { return w.encoded }

// Uint appends a varint field.
func (w *Writer) Uint(number protowire.Number, value uint64) {
	w.encoded = AppendUint(w.encoded, number, value)
}

// Bool appends a varint field with the value 1 if value is true.
func (w *Writer) Bool(number protowire.Number, value bool) {
	if value {
		w.Uint(number, 1)
	}
}

// String appends a string field.
func (w *Writer) String(number protowire.Number, value string) {
	w.encoded = AppendString(w.encoded, number, value)
}

// Bytes appends a field of bytes.
func (w *Writer) Bytes(number protowire.Number, value []byte) {
	if len(value) == 0 {
		return
	}
	w.encoded = protowire.AppendTag(w.encoded, number, protowire.BytesType)
	w.encoded = protowire.AppendBytes(w.encoded, value)
}

// Message appends a nested message. It calls the function write to append the fields of the
// nested message. An empty message is omitted.
func (w *Writer) Message(number protowire.Number, write func(*Writer)) {
	var inner Writer
	write(&inner)
	w.Bytes(number, inner.encoded)
}
