package trace

import "garnetline/routing"

// Kind says what a span stands for. Its numbers are stored.
type Kind uint8

// The kinds of spans.
const (
	Client     Kind = iota // the client's request with all its retries; the root span
	Request                // one try of the client, at one router
	Wait                   // time in the router before an attempt: queued, or in backoff
	Attempt                // one attempt at a server
	Connect                // establishing a connection for an attempt
	ServerWork             // what a server did for an attempt; Span.Result is a routing.CacheStatus
	Fill                   // a cache fill, child of the ServerWork that began it; others link to it
	kindCount
)

var kindNames = [kindCount]string{
	Client:     "client",
	Request:    "request",
	Wait:       "wait",
	Attempt:    "attempt",
	Connect:    "connect",
	ServerWork: "work",
	Fill:       "fill",
}

// String returns the name of the kind, as exports show it.
func (k Kind) String() string {
	if k >= kindCount {
		return "unknown"
	}
	return kindNames[k]
}

// Bits of Span.Flags of an attempt. They are stored.
const (
	FlagJoinFill     = 1 << iota // the server was allowed to join a fill in progress
	FlagRevalidate               // an aging copy was to be revalidated in the background
	FlagOnlyIfCached             // the fill source was to send only what it has cached
	FlagSent                     // the command was written completely
)

// Span is one interval of time in a trace.
type Span struct {
	ID, Parent      SpanID
	Kind            Kind
	AttemptNumber   uint8            // place among the attempts of the request, from zero
	Result          uint8            // by Kind: routing.Result, Outcome or routing.CacheStatus
	Flags           uint8            // of an attempt
	CopyRank        uint8            // rank of the copy that the server was to retain
	Start, End      float64          // Unix ms
	Server          routing.ServerID // of an attempt, a connection or a server's work
	FillSource      routing.ServerID // the server itself if there is no fill
	Bytes           uint32           // bytes received from the server
	MaxAge          float32          // ms, the oldest acceptable copy; zero: any
	Inflight        float32          // from the server's load report; NaN if there was none
	LinkUtilization float32          // from the server's load report; NaN if there was none
}

// Link says that a span waited for a fill whose span may belong to another trace.
type Link struct {
	From  SpanID // a span of the trace that holds the link
	Trace ID     // of the fill
	To    SpanID // the fill's span
}
