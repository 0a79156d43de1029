package render

import (
	"fmt"
	"html"
	"io"

	"garnetline/internal/trace"
	"garnetline/routing"
)

// The dimensions of a page's drawings, in pixels.
const (
	drawingWidth  = 900.0
	drawingMargin = 20
	rowHeight     = 20
	rowGap        = 4
	barTop        = 2  // distance below the top of the row
	textBaseline  = 14 // distance below the top of the row
	textIndent    = 3
	minBarWidth   = 1
	// maxTextStart is the maximum horizontal start of a description. It keeps the descriptions
	// of late spans within the drawing.
	maxTextStart = drawingWidth * 0.6
)

// The colors of spans. The last line of a page explains the colors.
const (
	colorWait          = "#cccccc"
	colorRequest       = "#bfe0bf"
	colorServedAttempt = "#a9c8ee"
	colorFailedAttempt = "#f2a9a0"
)

// Page writes one HTML page with a drawing of each trace. The spans of each trace must come from
// trace.Merge. Traces without spans are skipped. Page returns the first write error.
func Page(w io.Writer, title string, traces [][]trace.Span) error {
	page := &pageWriter{out: w}
	page.writef("<!doctype html><meta charset=utf-8><title>%s</title>"+
		"<style>body{font:13px sans-serif}text{font:11px sans-serif}</style><h1>%[1]s</h1>\n", html.EscapeString(title))
	for _, spans := range traces {
		if len(spans) > 0 {
			page.writeDrawing(spans)
		}
	}
	page.writef("<p>Times in milliseconds. Blue: served; red: failed; grey: held; green: the request.</p>\n")
	return page.err
}

// pageWriter writes a page. After a write error, it keeps that error and writes nothing more.
type pageWriter struct {
	out io.Writer
	err error
}

func (p *pageWriter) writef(format string, values ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, values...)
	}
}

// writeDrawing writes an SVG drawing of a trace, with one row for each span.
func (p *pageWriter) writeDrawing(spans []trace.Span) {
	root := &spans[0]
	duration := max(root.End-root.Start, minDuration)
	p.writef("<svg width=%.0f height=%d role=img>\n", drawingWidth+drawingMargin, rowHeight*len(spans)+rowGap)
	for i := range spans {
		span := &spans[i]
		left := drawingWidth * (span.Start - root.Start) / duration
		width := max(drawingWidth*(span.End-span.Start)/duration, minBarWidth)
		top := rowHeight * i
		text := html.EscapeString(label(span))
		p.writef("<rect x=%.1f y=%d width=%.1f height=%d fill=%q><title>%s</title></rect>",
			left, top+barTop, width, rowHeight-rowGap, spanColor(span), text)
		p.writef("<text x=%.1f y=%d>%s, %.1f ms</text>\n",
			min(left+textIndent, maxTextStart), top+textBaseline, text, span.End-span.Start)
	}
	p.writef("</svg><hr>\n")
}

func spanColor(span *trace.Span) string {
	switch {
	case span.Kind == trace.Wait:
		return colorWait
	case span.Kind != trace.Attempt:
		return colorRequest
	case routing.Result(span.Result) == routing.Served:
		return colorServedAttempt
	}
	return colorFailedAttempt
}
