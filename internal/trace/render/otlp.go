package render

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"

	"garnetline/internal/trace"
	"garnetline/routing"
)

// serviceName is the service.name of the OTLP resource, and the name of the OTLP scope.
const serviceName = "garnetline"

// OTLP writes the spans of one trace as a line of OTLP JSON. The argument partials contains the
// partial traces from which the spans were merged. They supply the attributes of the request
// spans.
func OTLP(w io.Writer, id trace.ID, spans []trace.Span, partials []*trace.Trace) error {
	request := otlpRequest{ResourceSpans: []otlpResourceSpans{newResourceSpans(id, spans, partials)}}
	return json.NewEncoder(w).Encode(request)
}

// Batch returns one OTLP JSON request with partial traces that one router retained.
//
// If the client sent its own span ID, Batch omits the root span and makes the client's span the
// parent of the root's children. Otherwise Batch includes the root span. All routers give the
// root span of a trace the same ID. A collector that receives the root span from several routers
// therefore has only one root span.
func Batch(partials []*trace.Trace) ([]byte, error) {
	var request otlpRequest
	for _, partial := range partials {
		sources := []*trace.Trace{partial}
		spans := trace.Merge(partial.ID, sources)
		if partial.ClientSpan != 0 {
			spans = replaceRoot(partial, spans)
		}
		request.ResourceSpans = append(request.ResourceSpans, newResourceSpans(partial.ID, spans, sources))
	}
	return json.Marshal(request)
}

// replaceRoot removes the root span, which must be the first span. It makes the client's span
// the parent of the root's children.
func replaceRoot(partial *trace.Trace, spans []trace.Span) []trace.Span {
	root := partial.ID.Root()
	spans = spans[1:]
	for i := range spans {
		if spans[i].Parent == root {
			spans[i].Parent = partial.ClientSpan
		}
	}
	return spans
}

func newResourceSpans(id trace.ID, spans []trace.Span, partials []*trace.Trace) otlpResourceSpans {
	scope := otlpScopeSpans{Scope: otlpScope{Name: serviceName}}
	for i := range spans {
		span := newOTLPSpan(id, &spans[i])
		if spans[i].Kind == trace.Request {
			addRequestAttributes(&span, spans[i].ID, partials)
		}
		scope.Spans = append(scope.Spans, span)
	}
	return otlpResourceSpans{
		Resource:   otlpResource{Attributes: []otlpAttribute{stringAttribute("service.name", serviceName)}},
		ScopeSpans: []otlpScopeSpans{scope},
	}
}

// newOTLPSpan converts a span to OTLP. It sets the attributes of attempts, and the status of
// attempts that failed. addRequestAttributes sets the attributes and the status of request
// spans.
func newOTLPSpan(id trace.ID, span *trace.Span) otlpSpan {
	converted := otlpSpan{
		TraceID: id.String(),
		SpanID:  formatSpanID(span.ID),
		Name:    span.Kind.String(),
		Kind:    otlpKind(span.Kind),
		Start:   formatNanos(span.Start),
		End:     formatNanos(max(span.End, span.Start)),
	}
	if span.Parent != 0 {
		converted.Parent = formatSpanID(span.Parent)
	}
	if span.Kind == trace.Attempt {
		converted.Attributes = attemptAttributes(span)
		if routing.Result(span.Result) != routing.Served {
			converted.Status = &otlpStatus{Code: otlpStatusError, Message: resultName(span.Result)}
		}
	}
	return converted
}

func otlpKind(kind trace.Kind) int {
	switch kind {
	case trace.Client, trace.Request:
		return otlpKindServer
	case trace.Attempt:
		return otlpKindClient
	}
	return otlpKindInternal
}

func attemptAttributes(span *trace.Span) []otlpAttribute {
	attributes := []otlpAttribute{
		stringAttribute("server", span.Server.String()),
		stringAttribute("source", span.FillSource.String()),
		intAttribute("attempt", int64(span.AttemptNumber)),
		intAttribute("rank", int64(span.CopyRank)),
		intAttribute("bytes", int64(span.Bytes)),
		stringAttribute("result", resultName(span.Result)),
	}
	if !math.IsNaN(float64(span.Inflight)) {
		attributes = append(attributes, doubleAttribute("inflight", float64(span.Inflight)))
	}
	return attributes
}

// addRequestAttributes sets the attributes and the status of a request span. It takes them from
// the partial trace whose first span has the given ID.
func addRequestAttributes(span *otlpSpan, id trace.SpanID, partials []*trace.Trace) {
	for _, partial := range partials {
		if len(partial.Spans) == 0 || partial.Spans[0].ID != id {
			continue
		}
		span.Attributes = append(span.Attributes, requestAttributes(partial)...)
		if partial.Outcome == trace.Failed || partial.Outcome == trace.Rejected {
			span.Status = &otlpStatus{Code: otlpStatusError, Message: partial.Outcome.String()}
		}
	}
}

func requestAttributes(partial *trace.Trace) []otlpAttribute {
	return []otlpAttribute{
		stringAttribute("router", partial.Router),
		stringAttribute("class", partial.Class),
		stringAttribute("txn", partial.TransactionID),
		stringAttribute("outcome", partial.Outcome.String()),
		stringAttribute("kept", ReasonNames(partial.Reasons)),
		doubleAttribute("weight", partial.Weight),
		intAttribute("try", int64(partial.Retry)),
		intAttribute("lost_before", int64(partial.LostBefore)),
	}
}

func formatSpanID(id trace.SpanID) string { return fmt.Sprintf("%016x", uint64(id)) }

// formatNanos converts a time from ms to nanoseconds, rounded to the microsecond, and returns
// the decimal digits.
func formatNanos(ms float64) string {
	const (
		microsPerMilli = 1000
		nanosPerMicro  = 1000
	)
	micros := int64(math.Round(ms * microsPerMilli))
	return strconv.FormatInt(micros*nanosPerMicro, 10)
}
