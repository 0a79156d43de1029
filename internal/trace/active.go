package trace

import (
	"math"

	"garnetline/routing"
)

const (
	// minWait is how long, in ms, the time before an attempt must be to get a Wait span. What
	// is shorter is the router's own work.
	minWait = 0.2
	// inlineSpans is how many spans an ActiveTrace has space for without an allocation: a
	// request that is served by its second attempt, with connections, has no more.
	inlineSpans     = 6
	millisPerSecond = 1000
	// requestSpanIndex is the place of the Request span in Spans.
	requestSpanIndex = 0
	// noAttempt is the value of attemptIndex while no attempt is in flight.
	noAttempt = -1
	// untracedAttempt is the value of attemptIndex while an attempt without a span is in flight.
	untracedAttempt = requestSpanIndex
)

// ActiveTrace records the partial trace of one request at one router, until the request has
// been answered and no attempt is in flight. It is not safe for concurrent use: it belongs to
// the dispatcher's goroutine.
type ActiveTrace struct {
	Trace
	requestSpan  SpanID
	spanSeed     uint64  // the last number that a span ID was derived from
	idleSince    float64 // Unix ms, since when no attempt is in flight
	attemptIndex int     // place in Spans of the attempt in flight, or noAttempt
	responded    bool
	untraced     bool // attempts were counted without a span
	spanBuffer   [inlineSpans]Span
}

// Begin starts the partial trace of the request that the given trace describes; its Spans are
// ignored. Span IDs are derived from the seed, which must differ between the partial traces
// of one trace.
func Begin(request Trace, seed uint64) *ActiveTrace {
	active := &ActiveTrace{
		Trace:        request,
		spanSeed:     seed,
		idleSince:    request.Start,
		attemptIndex: noAttempt,
	}
	active.Spans = active.spanBuffer[:0]
	active.requestSpan = active.addSpan(Span{Parent: request.ID.Root(), Kind: Request, Start: request.Start})
	return active
}

// addSpan assigns an ID to a span, appends it and returns the ID.
func (a *ActiveTrace) addSpan(span Span) SpanID {
	a.spanSeed++
	span.ID = a.ID.Span(a.spanSeed)
	if span.Kind != Attempt {
		span.Inflight = float32(math.NaN())
		span.LinkUtilization = float32(math.NaN())
	}
	a.Spans = append(a.Spans, span)
	return span.ID
}

// addWait records that the request waited since the last attempt, or since it was received.
func (a *ActiveTrace) addWait(now float64) {
	a.addSpan(Span{
		Parent:        a.requestSpan,
		Kind:          Wait,
		Start:         a.idleSince,
		End:           now,
		AttemptNumber: a.Attempts,
	})
}

// waited reports whether the time since the last attempt is long enough for a Wait span.
func (a *ActiveTrace) waited(now float64) bool { return now-a.idleSince >= minWait }

// AttemptStarted records the decision to send an attempt, at a time in Unix ms. It returns
// the context that is passed on with the attempt.
func (a *ActiveTrace) AttemptStarted(now float64, decision routing.SendAttempt) SpanContext {
	if a.waited(now) {
		a.addWait(now)
	}
	attempt := a.addSpan(Span{
		Parent:        a.requestSpan,
		Kind:          Attempt,
		AttemptNumber: a.Attempts,
		Start:         now,
		Server:        decision.Server,
		FillSource:    decision.FillSource,
		CopyRank:      uint8(decision.CopyRank),
		MaxAge:        float32(decision.MaxAge.Seconds() * millisPerSecond),
		Flags:         attemptFlags(decision),
	})
	a.Attempts++
	a.attemptIndex = len(a.Spans) - 1
	return SpanContext{Trace: a.ID, Span: attempt, Sampled: a.ClientSampled}
}

// attemptFlags returns the flags that follow from the decision alone.
func attemptFlags(decision routing.SendAttempt) uint8 {
	flags := uint8(0)
	if decision.JoinFill {
		flags |= FlagJoinFill
	}
	if decision.Revalidate {
		flags |= FlagRevalidate
	}
	if decision.OnlyIfCached {
		flags |= FlagOnlyIfCached
	}
	return flags
}

// WireTimes is what the transport of an attempt knows about it. Times are Unix ms, and zero
// for what did not happen.
type WireTimes struct {
	DialedAt    float64 // when a connection was requested because of the attempt
	ConnectedAt float64 // when that connection was established
	WrittenAt   float64 // when the command was written completely
	MaxAge      float64 // ms, the oldest acceptable copy, as it was written
}

// AttemptEnded records how the attempt in flight ended, at a time in Unix ms. It does nothing
// if none is in flight.
func (a *ActiveTrace) AttemptEnded(now float64, result routing.Result, bytes int, load routing.LoadReport, timing WireTimes) {
	if a.attemptIndex < 0 {
		return
	}
	attempt := &a.Spans[a.attemptIndex]
	attempt.End = now
	attempt.Result = uint8(result)
	attempt.Bytes = uint32(bytes)
	attempt.Inflight = float32(load.Inflight)
	attempt.LinkUtilization = float32(load.LinkUtilization)
	if timing.WrittenAt > 0 {
		attempt.Flags |= FlagSent
		attempt.MaxAge = float32(timing.MaxAge)
	}
	if timing.DialedAt > 0 {
		a.addConnect(attempt, timing)
	}
	a.idleSince = now
	a.attemptIndex = noAttempt
}

// addConnect records the connection that was established for an attempt. The request for it
// may have been made for an earlier attempt; only the time since this one began counts.
func (a *ActiveTrace) addConnect(attempt *Span, timing WireTimes) {
	a.addSpan(Span{
		Parent:        attempt.ID,
		Kind:          Connect,
		Server:        attempt.Server,
		AttemptNumber: attempt.AttemptNumber,
		Start:         max(timing.DialedAt, attempt.Start),
		End:           max(timing.ConnectedAt, timing.DialedAt, attempt.Start),
	})
}

// UntracedAttemptStarted counts the start of an attempt without recording a span, for a request
// whose spans have no memory.
func (a *ActiveTrace) UntracedAttemptStarted() {
	a.untraced = true
	a.Attempts++
	a.attemptIndex = untracedAttempt
}

// UntracedAttemptEnded says that the attempt counted by UntracedAttemptStarted has ended.
func (a *ActiveTrace) UntracedAttemptEnded() {
	a.untraced = true
	a.attemptIndex = noAttempt
}

// Responded records the final answer, or that the client disconnected, at a time in Unix ms.
// Only the first call counts.
func (a *ActiveTrace) Responded(now float64, outcome Outcome) {
	if a.responded {
		return
	}
	a.responded = true
	a.Outcome = outcome
	a.End = now
	idle := a.attemptIndex == noAttempt && !a.untraced
	successful := outcome == Served || outcome == NotModified
	if idle && !successful && a.waited(now) {
		a.addWait(now)
	}
}

// Done reports whether the partial trace is complete: the request was answered, and no
// attempt is in flight.
func (a *ActiveTrace) Done() bool { return a.responded && a.attemptIndex == noAttempt }

// Finished returns the complete partial trace. It must not be called before Done reports true.
func (a *ActiveTrace) Finished() *Trace {
	request := &a.Spans[requestSpanIndex]
	request.End = a.End
	request.Result = uint8(a.Outcome)
	return &a.Trace
}
