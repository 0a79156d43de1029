package render

import (
	"errors"
	"io"
	"testing"

	"garnetline/internal/trace"
)

var errWrite = errors.New("no space")

// failingWriter returns errWrite from each Write.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errWrite }

// OTLP, Waterfall and Page return write errors, for example of a full disk. Otherwise a
// truncated output would go unnoticed.
func TestWriteErrorIsReturned(t *testing.T) {
	id := trace.ID{1, 2, 3, 15: 16}
	spans := trace.Merge(id, []*trace.Trace{routerTrace(id)})
	for _, test := range []struct {
		name  string
		write func(w io.Writer) error
	}{
		{"OTLP", func(w io.Writer) error { return OTLP(w, id, spans, nil) }},
		{"Waterfall", func(w io.Writer) error { return Waterfall(w, spans, 40) }},
		{"Page", func(w io.Writer) error { return Page(w, "title", [][]trace.Span{spans}) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := test.write(failingWriter{}); !errors.Is(err, errWrite) {
				t.Errorf("got error %v, want %v", err, errWrite)
			}
		})
	}
}

// label must not panic for a number that is outside the range of its list of names. A router of a
// newer version can store such a number.
func TestLabelOfUnknownNumbers(t *testing.T) {
	const unknown = 255
	for _, test := range []struct {
		span trace.Span
		want string
	}{
		{trace.Span{Kind: trace.Request, Result: unknown}, "request unknown"},
		{trace.Span{Kind: trace.Attempt, Server: 7, Result: unknown}, "attempt 1 to s-00000007: unknown, not written, inflight 0"},
		{trace.Span{Kind: trace.ServerWork, Server: 7, Result: unknown}, "work of s-00000007"},
	} {
		t.Run(test.span.Kind.String(), func(t *testing.T) {
			if got := label(&test.span); got != test.want {
				t.Errorf("got label %q, want %q", got, test.want)
			}
		})
	}
}
