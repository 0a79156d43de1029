package trace

import "garnetline/routing"

// Kind is the activity that a span represents. Its numeric values are stored in records, so
// they must not change.
type Kind uint8

// The kinds of spans.
const (
	Client     Kind = iota // the root span: the client's request and all retries by the client
	Request                // one router's handling of the request or of one retry
	Wait                   // time in the router before an attempt, in the queue or in retry backoff
	Attempt                // one attempt at a server
	Connect                // establishing a connection for an attempt
	ServerWork             // processing of an attempt by a server; Span.Result is a routing.CacheStatus
	Fill                   // a cache fill, child of the ServerWork span that started the fill; spans that waited for the fill have a Link to it
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

// String returns the name of the kind, as shown in exported traces.
func (k Kind) String() string {
	if k >= kindCount {
		return "unknown"
	}
	return kindNames[k]
}

// Bits of Span.Flags of an Attempt span. They are stored in records, so they must not change.
const (
	FlagJoinFill     = 1 << iota // the server was allowed to join a fill in progress
	FlagRevalidate               // the server was asked to revalidate an aging copy in the background
	FlagOnlyIfCached             // the fill source was asked to send only cached data
	FlagSent                     // the whole command was written to the server
)

// Span is one timed activity in a trace.
type Span struct {
	ID, Parent      SpanID
	Kind            Kind
	AttemptNumber   uint8            // index of the attempt within the request, from zero
	Result          uint8            // depends on Kind: a routing.Result, an Outcome or a routing.CacheStatus
	Flags           uint8            // flags of an Attempt span, for example FlagJoinFill
	CopyRank        uint8            // routing.SendAttempt.CopyRank: 1 to 3 for the copy that the server was asked to keep, higher for a popular object; 0: keep no copy
	Start, End      float64          // Unix ms
	Server          routing.ServerID // server of an Attempt, Connect or ServerWork span
	FillSource      routing.ServerID // server from which Server fills its cache; equal to Server if there is no fill
	Bytes           uint32           // bytes received from the server
	MaxAge          float32          // ms, maximum age of an acceptable copy; zero means any age
	Inflight        float32          // from the server's load report; NaN without a report
	LinkUtilization float32          // from the server's load report; NaN without a report
}

// Link records that a span waited for a fill. The span of the fill may belong to another trace.
type Link struct {
	From  SpanID // the waiting span, in the trace that contains the link
	Trace ID     // the trace that contains the fill
	To    SpanID // the fill's span
}
