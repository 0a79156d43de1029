// Package render formats traces as a waterfall for a terminal, as an HTML page without external
// resources, and as OTLP JSON.
package render

import (
	"fmt"
	"math"
	"strings"

	"garnetline/internal/trace"
	"garnetline/routing"
)

// unknownName is shown for a result without a name, for example a result that a newer version
// stored.
const unknownName = "unknown"

// minDuration is the minimum duration, in ms, to which a drawing is scaled. It prevents a
// division by zero if the start and the end of a trace are equal.
const minDuration = 1e-3

// resultNames are the displayed names of the results of attempts. They must not change, because
// operators and collectors search for them.
var resultNames = [...]string{
	routing.Served:         "served",
	routing.ServerError:    "error",
	routing.Rejected:       "full",
	routing.TimedOut:       "timed out",
	routing.ConnectFailed:  "unreached",
	routing.ConnectionLost: "broken",
	routing.Canceled:       "cancelled",
	routing.NotSent:        "not sent",
	routing.NotCached:      "miss",
}

// cacheStatusNames are the displayed names of the cache statuses that servers report.
var cacheStatusNames = [...]string{
	routing.CacheStatusUnknown: "not told",
	routing.Hit:                "hit",
	routing.Filled:             "filled",
	routing.FilledByOrigin:     "filled from the archive",
	routing.JoinedFill:         "joined a fill",
	routing.StaleHit:           "an old copy",
	routing.SourceRejected:     "the source refused",
	routing.SourceUnreachable:  "the source was not reached",
	routing.SourceMiss:         "the source lacks it",
	routing.FillRejected:       "no place for a fill",
	routing.OriginFailed:       "the archive failed",
}

// reasonNames are the displayed names of the bits of a trace.Reason, from the lowest bit.
var reasonNames = [...]string{"failed", "refused", "retried", "slow", "ordinary", "keyed", "asked"}

// flagNames are the displayed names of the bits of an attempt's flags, from the lowest bit. The
// list has no name for trace.FlagSent, because attemptLabel shows a text if that flag is not
// set.
var flagNames = [...]string{"join", "renew", "held only"}

// resultName returns the displayed name of an attempt's result.
func resultName(result uint8) string {
	if int(result) < len(resultNames) {
		return resultNames[result]
	}
	return unknownName
}

// ReasonNames returns the displayed names of the reasons for which a trace is retained, separated
// by commas.
func ReasonNames(reasons trace.Reason) string {
	var names []string
	for bit, name := range reasonNames {
		if reasons&(1<<bit) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, ",")
}

// label returns a one-line description of a span.
func label(span *trace.Span) string {
	switch span.Kind {
	case trace.Request:
		return "request " + trace.Outcome(span.Result).String()
	case trace.Attempt:
		return attemptLabel(span)
	case trace.ServerWork, trace.Fill:
		return serverLabel(span)
	case trace.Connect:
		return fmt.Sprintf("connection to %v", span.Server)
	case trace.Wait:
		return "held"
	}
	return "client's request"
}

// attemptLabel returns a description of an attempt: its server, fill source, result and flags.
// The number of bytes and the server's inflight requests are included if they are known.
func attemptLabel(span *trace.Span) string {
	var text strings.Builder
	fmt.Fprintf(&text, "attempt %d to %v", span.AttemptNumber+1, span.Server)
	if span.FillSource != span.Server && span.FillSource != 0 {
		fmt.Fprintf(&text, " from %v", span.FillSource)
	}
	text.WriteString(": " + resultName(span.Result))
	if span.Bytes > 0 {
		fmt.Fprintf(&text, ", %d bytes", span.Bytes)
	}
	for bit, name := range flagNames {
		if span.Flags&(1<<bit) != 0 {
			text.WriteString(", " + name)
		}
	}
	if span.Flags&trace.FlagSent == 0 {
		text.WriteString(", not written")
	}
	if !math.IsNaN(float64(span.Inflight)) {
		fmt.Fprintf(&text, ", inflight %.0f", span.Inflight)
	}
	return text.String()
}

// serverLabel returns a description of a server's work or fill.
func serverLabel(span *trace.Span) string {
	text := span.Kind.String()
	if span.Server != 0 {
		text += fmt.Sprintf(" of %v", span.Server)
	}
	if int(span.Result) < len(cacheStatusNames) {
		text += ": " + cacheStatusNames[span.Result]
	}
	return text
}
