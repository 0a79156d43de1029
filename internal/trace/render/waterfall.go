package render

import (
	"fmt"
	"io"
	"math"
	"strings"

	"garnetline/internal/trace"
)

// Waterfall writes a trace as text with one line per span. A line contains the start and the
// duration in ms, a bar in a field of the given number of columns, and a description. The spans
// must come from trace.Merge. Waterfall returns the first write error.
func Waterfall(w io.Writer, spans []trace.Span, columns int) error {
	if len(spans) == 0 {
		return nil
	}
	root := &spans[0]
	drawing := &waterfall{
		out:      w,
		columns:  columns,
		start:    root.Start,
		duration: max(root.End-root.Start, minDuration),
		children: map[trace.SpanID][]*trace.Span{},
	}
	for i := range spans[1:] {
		span := &spans[1+i]
		drawing.children[span.Parent] = append(drawing.children[span.Parent], span)
	}
	drawing.writeTree(root, 0)
	return drawing.err
}

// waterfall is the state of one call of Waterfall.
type waterfall struct {
	out             io.Writer
	columns         int
	start, duration float64 // ms, of the whole trace
	children        map[trace.SpanID][]*trace.Span
	err             error // the first write error
}

// writeTree writes a span. Below the span it writes the descendants, indented by one more level.
func (d *waterfall) writeTree(span *trace.Span, depth int) {
	const indent = "  "
	_, err := fmt.Fprintf(d.out, "%9.1f %9.1f |%s| %s%s\n",
		span.Start-d.start, span.End-span.Start, d.bar(span), strings.Repeat(indent, depth), label(span))
	if d.err == nil {
		d.err = err
	}
	for _, child := range d.children[span.ID] {
		d.writeTree(child, depth+1)
	}
}

// bar returns the bar of a span. The bar is at least one column long. Spaces pad it to the width
// of the field.
func (d *waterfall) bar(span *trace.Span) string {
	from := int(d.column(span.Start))
	from = min(max(from, 0), d.columns-1)
	to := int(math.Ceil(d.column(span.End)))
	to = min(max(to, from+1), d.columns)
	return strings.Repeat(" ", from) + strings.Repeat(barMark(span.Kind), to-from) + strings.Repeat(" ", d.columns-to)
}

// column converts a time in Unix ms to a number of columns after the start of the trace.
func (d *waterfall) column(at float64) float64 {
	return float64(d.columns) * (at - d.start) / d.duration
}

// barMark returns the character from which the bars of the given span kind are built.
func barMark(kind trace.Kind) string {
	switch kind {
	case trace.Wait:
		return "·"
	case trace.Connect:
		return "-"
	}
	return "="
}
