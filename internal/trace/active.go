package trace

import (
	"math"

	"garnetline/routing"
)

// waitLeast is how long, in ms, the time before an attempt must be to count as a wait:
// less is the program's own work.
const minWait = 0.2

// Live is the piece of a trace that one router is making, from the request's last
// byte until its answer is given and nothing is out. It is not safe for concurrent
// use: the goroutine that decides owns it.
type ActiveTrace struct {
	Trace
	requestSpan  SpanID
	spanSeed     uint64
	idleSince    float64 // since when nothing is out
	attemptIndex int     // place in Spans of the attempt that is; -1: none
	responded    bool
	untraced     bool    // there is no room for its spans
	spanBuffer   [6]Span // the usual trace needs no more
}

// Begin starts a piece of the trace id with the request that t describes; t.Spans is
// passed over. The seed differs for each piece.
func Begin(t Trace, seed uint64) *ActiveTrace {
	l := &ActiveTrace{Trace: t, spanSeed: seed, idleSince: t.Start, attemptIndex: -1}
	l.Spans = l.spanBuffer[:0]
	l.requestSpan = l.addSpan(Span{Parent: t.ID.Root(), Kind: Request, Start: t.Start})
	return l
}

// add numbers a span and keeps it.
func (l *ActiveTrace) addSpan(s Span) SpanID {
	l.spanSeed++
	s.ID = l.ID.Span(l.spanSeed)
	if s.Kind != Attempt {
		s.Inflight, s.LinkUtilization = float32(math.NaN()), float32(math.NaN())
	}
	l.Spans = append(l.Spans, s)
	return s.ID
}

// AttemptStarted notes that an attempt was decided, and returns the context of what is done
// for it.
func (l *ActiveTrace) AttemptStarted(now float64, g routing.SendAttempt) SpanContext {
	if now-l.idleSince >= minWait {
		l.addSpan(Span{Parent: l.requestSpan, Kind: Wait, Start: l.idleSince, End: now, AttemptNumber: l.Attempts})
	}
	s := Span{Parent: l.requestSpan, Kind: Attempt, AttemptNumber: l.Attempts, Start: now, Server: g.Server, FillSource: g.FillSource,
		CopyRank: uint8(g.CopyRank), MaxAge: float32(g.MaxAge.Seconds() * 1000)}
	if g.JoinFill {
		s.Flags |= FlagJoinFill
	}
	if g.Revalidate {
		s.Flags |= FlagRevalidate
	}
	if g.OnlyIfCached {
		s.Flags |= FlagOnlyIfCached
	}
	l.Attempts++
	id := l.addSpan(s)
	l.attemptIndex = len(l.Spans) - 1
	return SpanContext{l.ID, id, l.ClientSampled}
}

// Wire is what the carrier of an attempt knows of it; times are 0 where there was none.
type WireTimes struct {
	DialedAt, ConnectedAt float64 // when a connection was asked for on its account, and was there
	WrittenAt             float64 // when the command was written
	MaxAge                float64 // ms, the bound that was written
}

// AttemptEnded notes how the attempt that is out ended.
func (l *ActiveTrace) AttemptEnded(now float64, r routing.Result, bytes int, load routing.LoadReport, w WireTimes) {
	if l.attemptIndex < 0 {
		return
	}
	s := &l.Spans[l.attemptIndex]
	s.End, s.Result, s.Bytes = now, uint8(r), uint32(bytes)
	s.Inflight, s.LinkUtilization = float32(load.Inflight), float32(load.LinkUtilization)
	if w.WrittenAt > 0 {
		s.Flags |= FlagSent
		s.MaxAge = float32(w.MaxAge)
	}
	if w.DialedAt > 0 {
		l.addSpan(Span{Parent: s.ID, Kind: Connect, Server: s.Server, AttemptNumber: s.AttemptNumber, Start: max(w.DialedAt, s.Start), End: max(w.ConnectedAt, w.DialedAt, s.Start)})
	}
	l.idleSince, l.attemptIndex = now, -1
}

// Blind counts attempts, as n more are out, where there is no room for their spans.
func (l *ActiveTrace) RecordUntraced(n int) {
	l.untraced = true
	if n > 0 {
		l.Attempts++
		l.attemptIndex = 0
	} else {
		l.attemptIndex = -1
	}
}

// Responded notes the final answer, or that the client left.
func (l *ActiveTrace) Responded(now float64, o Outcome) {
	if l.responded {
		return
	}
	l.responded, l.Outcome, l.End = true, o, now
	if l.attemptIndex < 0 && !l.untraced && now-l.idleSince >= minWait && o != Served && o != NotModified {
		l.addSpan(Span{Parent: l.requestSpan, Kind: Wait, Start: l.idleSince, End: now, AttemptNumber: l.Attempts})
	}
}

// Done tells whether the piece is whole: answered, with nothing out.
func (l *ActiveTrace) Done() bool { return l.responded && l.attemptIndex < 0 }

// Piece returns the finished piece. It must not be used before Done.
func (l *ActiveTrace) Finished() *Trace {
	l.Spans[0].End = l.End
	l.Spans[0].Result = uint8(l.Outcome)
	return &l.Trace
}
