package trace

import (
	"math"

	"garnetline/routing"
)

// waitLeast is how long, in ms, the time before an attempt must be to count as a wait:
// less is the program's own work.
const waitLeast = 0.2

// Live is the piece of a trace that one router is making, from the request's last
// byte until its answer is given and nothing is out. It is not safe for concurrent
// use: the goroutine that decides owns it.
type ActiveTrace struct {
	Trace
	request  SpanID
	seed     uint64
	idle     float64 // since when nothing is out
	out      int     // place in Spans of the attempt that is; -1: none
	answered bool
	blind    bool    // there is no room for its spans
	room     [6]Span // the usual trace needs no more
}

// Begin starts a piece of the trace id with the request that t describes; t.Spans is
// passed over. The seed differs for each piece.
func Begin(t Trace, seed uint64) *ActiveTrace {
	l := &ActiveTrace{Trace: t, seed: seed, idle: t.Start, out: -1}
	l.Spans = l.room[:0]
	l.request = l.add(Span{Parent: t.ID.Root(), Kind: Request, Start: t.Start})
	return l
}

// add numbers a span and keeps it.
func (l *ActiveTrace) add(s Span) SpanID {
	l.seed++
	s.ID = l.ID.Span(l.seed)
	if s.Kind != Attempt {
		s.Inflight, s.LinkUtilization = float32(math.NaN()), float32(math.NaN())
	}
	l.Spans = append(l.Spans, s)
	return s.ID
}

// AttemptStarted notes that an attempt was decided, and returns the context of what is done
// for it.
func (l *ActiveTrace) AttemptStarted(now float64, g routing.SendAttempt) SpanContext {
	if now-l.idle >= waitLeast {
		l.add(Span{Parent: l.request, Kind: Wait, Start: l.idle, End: now, AttemptNumber: l.Attempts})
	}
	s := Span{Parent: l.request, Kind: Attempt, AttemptNumber: l.Attempts, Start: now, Server: g.Server, FillSource: g.FillSource,
		CopyRank: uint8(g.CopyRank), MaxAge: float32(g.MaxAge.Seconds() * 1000)}
	if g.JoinFill {
		s.Flags |= FlagJoin
	}
	if g.Revalidate {
		s.Flags |= FlagRenew
	}
	if g.OnlyIfCached {
		s.Flags |= FlagCachedOnly
	}
	l.Attempts++
	id := l.add(s)
	l.out = len(l.Spans) - 1
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
	if l.out < 0 {
		return
	}
	s := &l.Spans[l.out]
	s.End, s.Result, s.Bytes = now, uint8(r), uint32(bytes)
	s.Inflight, s.LinkUtilization = float32(load.Inflight), float32(load.LinkUtilization)
	if w.WrittenAt > 0 {
		s.Flags |= FlagSent
		s.MaxAge = float32(w.MaxAge)
	}
	if w.DialedAt > 0 {
		l.add(Span{Parent: s.ID, Kind: Connect, Server: s.Server, AttemptNumber: s.AttemptNumber, Start: max(w.DialedAt, s.Start), End: max(w.ConnectedAt, w.DialedAt, s.Start)})
	}
	l.idle, l.out = now, -1
}

// Blind counts attempts, as n more are out, where there is no room for their spans.
func (l *ActiveTrace) RecordUntraced(n int) {
	l.blind = true
	if n > 0 {
		l.Attempts++
		l.out = 0
	} else {
		l.out = -1
	}
}

// Responded notes the final answer, or that the client left.
func (l *ActiveTrace) Responded(now float64, o Outcome) {
	if l.answered {
		return
	}
	l.answered, l.Outcome, l.End = true, o, now
	if l.out < 0 && !l.blind && now-l.idle >= waitLeast && o != Served && o != NotModified {
		l.add(Span{Parent: l.request, Kind: Wait, Start: l.idle, End: now, AttemptNumber: l.Attempts})
	}
}

// Done tells whether the piece is whole: answered, with nothing out.
func (l *ActiveTrace) Done() bool { return l.answered && l.out < 0 }

// Piece returns the finished piece. It must not be used before Done.
func (l *ActiveTrace) Finished() *Trace {
	l.Spans[0].End = l.End
	l.Spans[0].Result = uint8(l.Outcome)
	return &l.Trace
}
