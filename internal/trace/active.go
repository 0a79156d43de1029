package trace

import (
	"math"

	"garnetline/routing"
)

const (
	// minWait is the minimum duration, in ms, of a Wait span. A shorter delay before an attempt
	// is the router's processing time and gets no span.
	minWait = 0.2
	// inlineSpans is the number of spans that fit into an ActiveTrace without a further
	// allocation. It is enough for a request that is served by its second attempt, if both
	// attempts need a new connection: one Request span, one Wait span, two Attempt spans and two
	// Connect spans.
	inlineSpans     = 6
	millisPerSecond = 1000
	// requestSpanIndex is the index of the Request span in Spans.
	requestSpanIndex = 0
	// noAttempt is the value of attemptIndex while no attempt is in flight.
	noAttempt = -1
	// untracedAttempt is the value of attemptIndex while an attempt without a span is in flight.
	// It is the index of the Request span, so it differs from the index of every Attempt span.
	untracedAttempt = requestSpanIndex
)

// ActiveTrace records the partial trace of one request at one router. The recording ends when
// the request has been answered and no attempt is in flight. An ActiveTrace is not safe for
// concurrent use: only the dispatcher's goroutine may use it.
type ActiveTrace struct {
	Trace
	requestSpan  SpanID
	spanSeed     uint64  // number from which the latest span ID was derived
	idleSince    float64 // Unix ms, end of the latest attempt, or start of the trace if no attempt has ended
	attemptIndex int     // index in Spans of the attempt in flight, noAttempt or untracedAttempt
	responded    bool
	untraced     bool // at least one attempt was counted without recording a span
	spanBuffer   [inlineSpans]Span
}

// Begin starts to record a partial trace. The argument request supplies the fields that describe the
// request. The Spans of request are ignored. Span IDs are derived from seed. The partial traces of
// one trace need different seeds, so that their span IDs differ.
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

// addWait records a Wait span that starts at a.idleSince and ends at the time now, in Unix ms.
func (a *ActiveTrace) addWait(now float64) {
	a.addSpan(Span{
		Parent:        a.requestSpan,
		Kind:          Wait,
		Start:         a.idleSince,
		End:           now,
		AttemptNumber: a.Attempts,
	})
}

// waited reports whether the time from a.idleSince to now, both in Unix ms, is long enough for a
// Wait span.
func (a *ActiveTrace) waited(now float64) bool { return now-a.idleSince >= minWait }

// AttemptStarted records that the router decided to send an attempt at the time now, in Unix ms.
// It returns the span context that the router sends to the server with the attempt.
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

// attemptFlags returns those flags of an attempt that follow from the routing decision: all flags
// except FlagSent.
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

// WireTimes holds the values that the transport reports about an attempt. Times are in Unix ms.
// A zero time means that the event did not happen.
type WireTimes struct {
	DialedAt    float64 // when the dial that the attempt waited for began
	ConnectedAt float64 // when the connection was established
	WrittenAt   float64 // when the whole command had been written
	MaxAge      float64 // ms, maximum age of an acceptable copy, as sent in the command
}

// AttemptEnded records the result of the attempt in flight. The attempt ended at the time now,
// in Unix ms. AttemptEnded does nothing if no attempt is in flight.
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

// addConnect records a Connect span as a child of the given attempt. If the connection was requested
// for an earlier attempt, the Connect span starts when the given attempt starts.
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

// UntracedAttemptStarted counts an attempt without recording a span. Callers use it instead of
// AttemptStarted if no memory could be reserved for the spans of the request.
func (a *ActiveTrace) UntracedAttemptStarted() {
	a.untraced = true
	a.Attempts++
	a.attemptIndex = untracedAttempt
}

// UntracedAttemptEnded ends the attempt that UntracedAttemptStarted counted.
func (a *ActiveTrace) UntracedAttemptEnded() {
	a.untraced = true
	a.attemptIndex = noAttempt
}

// Responded records that the request ended at the time now, in Unix ms: the router sent the
// final response, or the client disconnected. Only the first call has an effect.
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

// Done reports whether the partial trace is complete: Responded was called, and no attempt is
// in flight.
func (a *ActiveTrace) Done() bool { return a.responded && a.attemptIndex == noAttempt }

// Finished returns the complete partial trace. Callers may call it only after Done has reported
// true.
func (a *ActiveTrace) Finished() *Trace {
	request := &a.Spans[requestSpanIndex]
	request.End = a.End
	request.Result = uint8(a.Outcome)
	return &a.Trace
}
