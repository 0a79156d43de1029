package render

import "strconv"

// Types for the parts of OTLP's JSON messages that this package writes. OTLP JSON encodes 64-bit
// integers as strings.
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
		Scope otlpScope  `json:"scope"`
		Spans []otlpSpan `json:"spans"`
	}
	otlpScope struct {
		Name string `json:"name"`
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

// The OTLP span kinds that this package writes.
const (
	otlpKindInternal = 1
	otlpKindServer   = 2
	otlpKindClient   = 3
)

// otlpStatusError is the OTLP status code of a failed span.
const otlpStatusError = 2

func stringAttribute(key, value string) otlpAttribute {
	return otlpAttribute{Key: key, Value: otlpValue{String: &value}}
}

func intAttribute(key string, value int64) otlpAttribute {
	text := strconv.FormatInt(value, 10)
	return otlpAttribute{Key: key, Value: otlpValue{Int: &text}}
}

func doubleAttribute(key string, value float64) otlpAttribute {
	return otlpAttribute{Key: key, Value: otlpValue{Double: &value}}
}
