// Package render shows a trace: as lines for a terminal, as OTLP JSON and as a page
// that needs nothing else.
package render

import (
	"fmt"
	"html"
	"io"
	"math"
	"strings"

	"garnetline/internal/trace"
	"garnetline/routing"
)

// results name the ends of attempts.
var resultNames = [...]string{routing.Served: "served", routing.ServerError: "error", routing.Rejected: "full", routing.TimedOut: "timed out",
	routing.ConnectFailed: "unreached", routing.ConnectionLost: "broken", routing.Canceled: "cancelled", routing.NotSent: "not sent", routing.NotCached: "miss"}

// notes name what a server did.
var cacheStatusNames = [...]string{routing.CacheStatusUnknown: "not told", routing.Hit: "hit", routing.Filled: "filled", routing.FilledByOrigin: "filled from the archive",
	routing.JoinedFill: "joined a fill", routing.StaleHit: "an old copy", routing.SourceRejected: "the source refused", routing.SourceUnreachable: "the source was not reached",
	routing.SourceMiss: "the source lacks it", routing.FillRejected: "no place for a fill", routing.OriginFailed: "the archive failed"}

func resultName(n uint8) string {
	if int(n) < len(resultNames) {
		return resultNames[n]
	}
	return "unknown"
}

// Whys names the reasons for which a trace was kept.
func ReasonNames(w trace.Reason) string {
	var out []string
	for i, n := range []string{"failed", "refused", "retried", "slow", "ordinary", "keyed", "asked"} {
		if w&(1<<i) != 0 {
			out = append(out, n)
		}
	}
	return strings.Join(out, ",")
}

// label says in words what a span is.
func label(s trace.Span) string {
	switch s.Kind {
	case trace.Request:
		return "request " + trace.Outcome(s.Result).String()
	case trace.Attempt:
		text := fmt.Sprintf("attempt %d to %v", s.AttemptNumber+1, s.Server)
		if s.FillSource != s.Server && s.FillSource != 0 {
			text += fmt.Sprintf(" from %v", s.FillSource)
		}
		text += ": " + resultName(s.Result)
		if s.Bytes > 0 {
			text += fmt.Sprintf(", %d bytes", s.Bytes)
		}
		for i, n := range []string{"join", "renew", "held only"} {
			if s.Flags&(1<<i) != 0 {
				text += ", " + n
			}
		}
		if s.Flags&trace.FlagSent == 0 {
			text += ", not written"
		}
		if !math.IsNaN(float64(s.Inflight)) {
			text += fmt.Sprintf(", inflight %.0f", s.Inflight)
		}
		return text
	case trace.ServerWork, trace.Fill:
		text := s.Kind.String()
		if s.Server != 0 {
			text += fmt.Sprintf(" of %v", s.Server)
		}
		if int(s.Result) < len(cacheStatusNames) {
			text += ": " + cacheStatusNames[s.Result]
		}
		return text
	case trace.Connect:
		return fmt.Sprintf("connection to %v", s.Server)
	case trace.Wait:
		return "held"
	}
	return "client's request"
}

// Waterfall writes a trace as lines: what, when and how long, with a bar of so many
// columns. The spans are those that trace.Merge returns.
func Waterfall(w io.Writer, spans []trace.Span, columns int) error {
	if len(spans) == 0 {
		return nil
	}
	start, all := spans[0].Start, max(spans[0].End-spans[0].Start, 1e-3)
	children := map[trace.SpanID][]trace.Span{}
	for _, s := range spans[1:] {
		children[s.Parent] = append(children[s.Parent], s)
	}
	var err error
	var line func(s trace.Span, depth int)
	line = func(s trace.Span, depth int) {
		from := min(max(int(float64(columns)*(s.Start-start)/all), 0), columns-1)
		to := min(max(int(math.Ceil(float64(columns)*(s.End-start)/all)), from+1), columns)
		mark := map[trace.Kind]string{trace.Wait: "·", trace.Connect: "-"}[s.Kind]
		if mark == "" {
			mark = "="
		}
		bar := strings.Repeat(" ", from) + strings.Repeat(mark, to-from) + strings.Repeat(" ", columns-to)
		if _, e := fmt.Fprintf(w, "%9.1f %9.1f |%s| %s%s\n", s.Start-start, s.End-s.Start, bar, strings.Repeat("  ", depth), label(s)); err == nil {
			err = e
		}
		for _, c := range children[s.ID] {
			line(c, depth+1)
		}
	}
	line(spans[0], 0)
	return err
}

// Page writes traces as one HTML page with a drawing of each.
func Page(w io.Writer, title string, all [][]trace.Span) error {
	const width, row = 900.0, 20
	fmt.Fprintf(w, "<!doctype html><meta charset=utf-8><title>%s</title><style>body{font:13px sans-serif}text{font:11px sans-serif}</style><h1>%[1]s</h1>\n", html.EscapeString(title))
	for _, spans := range all {
		if len(spans) == 0 {
			continue
		}
		start, long := spans[0].Start, max(spans[0].End-spans[0].Start, 1e-3)
		fmt.Fprintf(w, "<svg width=%.0f height=%d role=img>\n", width+20, row*len(spans)+4)
		for i, s := range spans {
			x, wide := width*(s.Start-start)/long, max(width*(s.End-s.Start)/long, 1)
			fmt.Fprintf(w, "<rect x=%.1f y=%d width=%.1f height=%d fill=%q><title>%s</title></rect><text x=%.1f y=%d>%s, %.1f ms</text>\n",
				x, row*i+2, wide, row-4, spanColor(s), html.EscapeString(label(s)), min(x+3, width*0.6), row*i+14, html.EscapeString(label(s)), s.End-s.Start)
		}
		fmt.Fprintln(w, "</svg><hr>")
	}
	_, err := fmt.Fprintln(w, "<p>Times in milliseconds. Blue: served; red: failed; grey: held; green: the request.</p>")
	return err
}

func spanColor(s trace.Span) string {
	switch {
	case s.Kind == trace.Wait:
		return "#cccccc"
	case s.Kind != trace.Attempt:
		return "#bfe0bf"
	case routing.Result(s.Result) == routing.Served:
		return "#a9c8ee"
	}
	return "#f2a9a0"
}
