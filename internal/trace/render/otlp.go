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
	otlpRequest struct {
		ResourceSpans []otlpResourceSpans `json:"resourceSpans"`
	}
	otlpResourceSpans struct {
		Resource   otlpResource     `json:"resource"`
		ScopeSpans []otlpScopeSpans `json:"scopeSpans"`
	}
	otlpResource struct {
		Attributes []otlpAttribute `json:"attributes"`
	}
	otlpScopeSpans struct {
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

func stringAttribute(k, v string) otlpAttribute { return otlpAttribute{k, otlpValue{String: &v}} }
func intAttribute(k string, v int64) otlpAttribute {
	s := strconv.FormatInt(v, 10)
	return otlpAttribute{k, otlpValue{Int: &s}}
}
func doubleAttribute(k string, v float64) otlpAttribute {
	return otlpAttribute{k, otlpValue{Double: &v}}
}

func formatNanos(ms float64) string { return strconv.FormatInt(int64(math.Round(ms*1000))*1000, 10) }

// The kinds and codes of OTLP that are used.
const (
	otlpKindInternal, otlpKindServer, otlpKindClient = 1, 2, 3
	otlpStatusError                                  = 2
)

// OTLP writes the spans of one trace as a line of OTLP JSON; pieces are what its
// routers kept of it, and their attributes.
func OTLP(w io.Writer, id trace.ID, spans []trace.Span, pieces []*trace.Trace) error {
	return json.NewEncoder(w).Encode(otlpRequest{[]otlpResourceSpans{newResourceSpans(id, spans, pieces)}})
}

// Batch is one OTLP request, in JSON, with the pieces of traces that one router kept.
// A piece whose client named its own span stands under that. Else the root goes with
// it, under the id on which all routers agree: who gets it twice has one span.
func Batch(pieces []*trace.Trace) ([]byte, error) {
	var all otlpRequest
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
		all.ResourceSpans = append(all.ResourceSpans, newResourceSpans(p.ID, spans, []*trace.Trace{p}))
	}
	return json.Marshal(all)
}

func newResourceSpans(id trace.ID, spans []trace.Span, pieces []*trace.Trace) otlpResourceSpans {
	scope := otlpScopeSpans{}
	scope.Scope.Name = "garnetline"
	for _, s := range spans {
		o := otlpSpan{TraceID: id.String(), SpanID: fmt.Sprintf("%016x", uint64(s.ID)), Name: s.Kind.String(), Kind: otlpKindInternal,
			Start: formatNanos(s.Start), End: formatNanos(max(s.End, s.Start))}
		if s.Parent != 0 {
			o.Parent = fmt.Sprintf("%016x", uint64(s.Parent))
		}
		switch s.Kind {
		case trace.Client, trace.Request:
			o.Kind = otlpKindServer
		case trace.Attempt:
			o.Kind = otlpKindClient
			o.Attributes = append(o.Attributes, stringAttribute("server", s.Server.String()), stringAttribute("source", s.FillSource.String()),
				intAttribute("attempt", int64(s.AttemptNumber)), intAttribute("rank", int64(s.CopyRank)), intAttribute("bytes", int64(s.Bytes)), stringAttribute("result", resultName(s.Result)))
			if !math.IsNaN(float64(s.Inflight)) {
				o.Attributes = append(o.Attributes, doubleAttribute("inflight", float64(s.Inflight)))
			}
			if r := routing.Result(s.Result); r != routing.Served {
				o.Status = &otlpStatus{otlpStatusError, resultName(s.Result)}
			}
		}
		for _, p := range pieces {
			if s.Kind == trace.Request && len(p.Spans) > 0 && p.Spans[0].ID == s.ID {
				o.Attributes = append(o.Attributes, stringAttribute("router", p.Router), stringAttribute("class", p.Class), stringAttribute("txn", p.TransactionID), stringAttribute("outcome", p.Outcome.String()),
					stringAttribute("kept", ReasonNames(p.Reasons)), doubleAttribute("weight", p.Weight), intAttribute("try", int64(p.Retry)), intAttribute("lost_before", int64(p.LostBefore)))
				if p.Outcome == trace.Failed || p.Outcome == trace.Rejected {
					o.Status = &otlpStatus{otlpStatusError, p.Outcome.String()}
				}
			}
		}
		scope.Spans = append(scope.Spans, o)
	}
	return otlpResourceSpans{Resource: otlpResource{[]otlpAttribute{stringAttribute("service.name", "garnetline")}}, ScopeSpans: []otlpScopeSpans{scope}}
}
