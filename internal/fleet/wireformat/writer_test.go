package wireformat

import (
	"bytes"
	"testing"
)

func TestWriter(t *testing.T) {
	for name, test := range map[string]struct {
		write func(w *Writer)
		want  string
	}{
		"nothing":           {func(*Writer) {}, ""},
		"zero values":       {func(w *Writer) { w.Uint(1, 0); w.Bool(2, false); w.String(3, ""); w.Bytes(4, nil) }, ""},
		"number":            {func(w *Writer) { w.Uint(1, 300) }, "\x08\xac\x02"},
		"flag":              {func(w *Writer) { w.Bool(2, true) }, "\x10\x01"},
		"string":            {func(w *Writer) { w.String(3, "ab") }, "\x1a\x02ab"},
		"bytes":             {func(w *Writer) { w.Bytes(4, []byte{0}) }, "\x22\x01\x00"},
		"message":           {func(w *Writer) { w.Message(5, func(w *Writer) { w.Uint(1, 1) }) }, "\x2a\x02\x08\x01"},
		"empty message":     {func(w *Writer) { w.Message(5, func(*Writer) {}) }, ""},
		"in order of calls": {func(w *Writer) { w.Uint(2, 1); w.Uint(1, 1) }, "\x10\x01\x08\x01"},
	} {
		t.Run(name, func(t *testing.T) {
			var zero Writer
			test.write(&zero)
			if got := zero.Encoded(); string(got) != test.want {
				t.Errorf("got %x, want %x", got, test.want)
			}
			appending := NewWriter([]byte("before"))
			test.write(appending)
			if got := appending.Encoded(); !bytes.Equal(got, []byte("before"+test.want)) {
				t.Errorf("appended to existing bytes: got %x, want %x", got, "before"+test.want)
			}
		})
	}
}
