package leaseregistry

import (
	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/wireformat"
)

// fieldWriter appends the fields of one message. Fields with a zero value are left out.
type fieldWriter struct{ encoded []byte }

func (w *fieldWriter) number(field protowire.Number, value uint64) {
	w.encoded = wireformat.AppendUint(w.encoded, field, value)
}

func (w *fieldWriter) flag(field protowire.Number, on bool) {
	if on {
		w.number(field, 1)
	}
}

func (w *fieldWriter) text(field protowire.Number, content string) {
	w.encoded = wireformat.AppendString(w.encoded, field, content)
}

// message appends a message within this one, whose fields write appends.
func (w *fieldWriter) message(field protowire.Number, write func(*fieldWriter)) {
	inner := fieldWriter{}
	write(&inner)
	w.text(field, string(inner.encoded))
}

// DecodeFields calls visit with each field of a message of numbers and strings.
//
// Deprecated: use wireformat.ParseFields.
func DecodeFields(message []byte, visit wireformat.VisitFunc) bool {
	return wireformat.ParseFields(message, visit)
}
