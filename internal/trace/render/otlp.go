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

// The forms of OTLP's JSON, as far as they are used. 64-bit numbers stand as text.
type (
	otlp struct {
		ResourceSpans []otlpResource `json:"resourceSpans"`
	}
	otlpResource struct {
		Resource   otlpAttributes `json:"resource"`
		ScopeSpans []otlpScope    `json:"scopeSpans"`
	}
	otlpAttributes struct {
		Attributes []otlpAttribute `json:"attributes"`
	}
	otlpScope struct {
		Scope struct {
			Name string `json:"name"`
		} `json:"scope"`
		Spans []otlpSpan `json:"spans"`
	}
	otlpSpan struct {
		TraceID    string          `json:"traceId"`
		SpanID     string          `json:"spanId"`
		Parent     string          `json:"parentSpanId,omitempty"`
		Name       string          `json:"name"`
		Kind       int             `json:"kind"`
		Start      string          `json:"startTimeUnixNano"`
		End        string          `json:"endTimeUnixNano"`
		Attributes []otlpAttribute `json:"attributes,omitempty"`
		Status     *otlpStatus     `json:"status,omitempty"`
	}
	otlpStatus struct {
		Code    int    `json:"code"`
		Message string `json:"message,omitempty"`
	}
	otlpAttribute struct {
		Key   string    `json:"key"`
		Value otlpValue `json:"value"`
	}
	otlpValue struct {
		String *string  `json:"stringValue,omitempty"`
		Int    *string  `json:"intValue,omitempty"`
		Double *float64 `json:"doubleValue,omitempty"`
	}
)

func text(k, v string) otlpAttribute { return otlpAttribute{k, otlpValue{String: &v}} }
func whole(k string, v int64) otlpAttribute {
	s := strconv.FormatInt(v, 10)
	return otlpAttribute{k, otlpValue{Int: &s}}
}
func real(k string, v float64) otlpAttribute { return otlpAttribute{k, otlpValue{Double: &v}} }

func nanos(ms float64) string { return strconv.FormatInt(int64(math.Round(ms*1000))*1000, 10) }

// The kinds and codes of OTLP that are used.
const (
	kindInternal, kindServer, kindClient = 1, 2, 3
	codeError                            = 2
)

// OTLP writes the spans of one trace as a line of OTLP JSON; pieces are what its
// routers kept of it, and their attributes.
func OTLP(w io.Writer, id trace.ID, spans []trace.Span, pieces []*trace.Trace) error {
	return json.NewEncoder(w).Encode(otlp{[]otlpResource{resource(id, spans, pieces)}})
}

// Batch is one OTLP request, in JSON, with the pieces of traces that one router kept.
// A piece whose client named its own span stands under that. Else the root goes with
// it, under the id on which all routers agree: who gets it twice has one span.
func Batch(pieces []*trace.Trace) ([]byte, error) {
	var all otlp
	for _, p := range pieces {
		spans := trace.Merge(p.ID, []*trace.Trace{p})
		if p.ClientSpan != 0 {
			for i, s := range spans[1:] {
				if s.Parent == p.ID.Root() {
					spans[1+i].Parent = p.ClientSpan
				}
			}
			spans = spans[1:]
		}
		all.ResourceSpans = append(all.ResourceSpans, resource(p.ID, spans, []*trace.Trace{p}))
	}
	return json.Marshal(all)
}

func resource(id trace.ID, spans []trace.Span, pieces []*trace.Trace) otlpResource {
	scope := otlpScope{}
	scope.Scope.Name = "garnetline"
	for _, s := range spans {
		o := otlpSpan{TraceID: id.String(), SpanID: fmt.Sprintf("%016x", uint64(s.ID)), Name: s.Kind.String(), Kind: kindInternal,
			Start: nanos(s.Start), End: nanos(max(s.End, s.Start))}
		if s.Parent != 0 {
			o.Parent = fmt.Sprintf("%016x", uint64(s.Parent))
		}
		switch s.Kind {
		case trace.Client, trace.Request:
			o.Kind = kindServer
		case trace.Attempt:
			o.Kind = kindClient
			o.Attributes = append(o.Attributes, text("server", s.Server.String()), text("source", s.FillSource.String()),
				whole("attempt", int64(s.AttemptNumber)), whole("rank", int64(s.CopyRank)), whole("bytes", int64(s.Bytes)), text("result", result(s.Result)))
			if !math.IsNaN(float64(s.Inflight)) {
				o.Attributes = append(o.Attributes, real("inflight", float64(s.Inflight)))
			}
			if r := routing.Result(s.Result); r != routing.Served {
				o.Status = &otlpStatus{codeError, result(s.Result)}
			}
		}
		for _, p := range pieces {
			if s.Kind == trace.Request && len(p.Spans) > 0 && p.Spans[0].ID == s.ID {
				o.Attributes = append(o.Attributes, text("router", p.Router), text("class", p.Class), text("txn", p.TransactionID), text("outcome", p.Outcome.String()),
					text("kept", ReasonNames(p.Reasons)), real("weight", p.Weight), whole("try", int64(p.Retry)), whole("lost_before", int64(p.LostBefore)))
				if p.Outcome == trace.Failed || p.Outcome == trace.Rejected {
					o.Status = &otlpStatus{codeError, p.Outcome.String()}
				}
			}
		}
		scope.Spans = append(scope.Spans, o)
	}
	return otlpResource{Resource: otlpAttributes{[]otlpAttribute{text("service.name", "garnetline")}}, ScopeSpans: []otlpScope{scope}}
}
