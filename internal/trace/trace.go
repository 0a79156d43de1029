// Package trace is the model of what happened to a request: spans of time, who had
// a part in them and how they ended. It knows no wire, no file and no clock: times
// are Unix milliseconds that the caller gives.
//
// A trace is all tries of one request of a client, also on several routers. Each
// router keeps a piece of its own, with spans of its own try; Merge puts the pieces
// together. All pieces have the same root, whose id follows from the trace's, so that
// routers that share nothing agree on it.
package trace

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"garnetline/routing"
)

// ID names a trace, as in W3C Trace Context.
type ID [16]byte

// String is how an id stands in text: 32 hex digits.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// ParseID reads an id that stands in text.
func ParseID(s string) (id ID, ok bool) {
	if len(s) != 32 || !isLowerHex(s) {
		return id, false
	}
	_, err := hex.Decode(id[:], []byte(s))
	return id, err == nil && id != ID{}
}

// Order is a number above 0 and at most 1 that follows from the id alone and is
// spread evenly: everyone who must choose among traces chooses by it, and alike.
func (id ID) Order() float64 {
	return (float64(xxhash.Sum64(id[:])>>11) + 1) / (1 << 53)
}

// SpanID names a span within its trace; 0 is none.
type SpanID uint64

// Root is the id of the span that all others of a trace stand under: the client's
// request with all its tries.
func (id ID) Root() SpanID { return id.Span(0) }

// Span is an id that follows from the trace and a number, never 0.
func (id ID) Span(n uint64) SpanID {
	var b [24]byte
	copy(b[:], id[:])
	binary.BigEndian.PutUint64(b[16:], n)
	return SpanID(max(xxhash.Sum64(b[:]), 1))
}

// Kind tells what a span stands for.
type Kind uint8

// The kinds of spans.
const (
	Client     Kind = iota // the client's request, all its tries
	Request                // one try, at one router
	Wait                   // held by the decisions, or on the way to them
	Attempt                // one sending to a server
	Connect                // a connection that had to be made for an attempt
	ServerWork             // what a server did for an attempt; Result is a decide.Note
	Fill                   // a fill, under the work that began it; others link to it
	kindCount
)

var kindNames = [...]string{"client", "request", "wait", "attempt", "connect", "work", "fill"}

// String is the kind's name.
func (k Kind) String() string {
	if k >= kindCount {
		return "unknown"
	}
	return kindNames[k]
}

// Flags of an attempt.
const (
	FlagJoinFill     = 1 << iota // it was let join a fill under way
	FlagRevalidate               // an ageing copy was to be renewed behind
	FlagOnlyIfCached             // the source was to give only what it holds
	FlagSent                     // it was written whole
)

// Span is one piece of time in a trace.
type Span struct {
	ID, Parent      SpanID
	Kind            Kind
	AttemptNumber   uint8 // place of an attempt among those of its request
	Result          uint8 // of an attempt, a decide.Result
	Flags           uint8
	CopyRank        uint8   // at which a copy was to be kept
	Start, End      float64 // Unix milliseconds
	Server          routing.ServerID
	FillSource      routing.ServerID // of a fill; the server itself: none
	Bytes           uint32           // that came
	MaxAge          float32          // ms, the oldest copy that would do; 0: any
	Inflight        float32          // the server's load report; NaN: none
	LinkUtilization float32
}

// Link says that a span rode a fill that belongs to another span, maybe of another trace.
type Link struct {
	From  SpanID // in this piece
	Trace ID
	To    SpanID
}

// Outcome is how a request ended at a router.
type Outcome uint8

// The outcomes of a request.
const (
	Failed Outcome = iota
	Rejected
	Served
	NotModified        // the client's copy holds
	ClientDisconnected // its client went
	outcomeCount
)

var outcomeNames = [...]string{"failed", "refused", "served", "same", "left"}

// String is the outcome's name.
func (o Outcome) String() string {
	if o >= outcomeCount {
		return "unknown"
	}
	return outcomeNames[o]
}

// ParseOutcome reads an outcome's name.
func ParseOutcome(s string) (Outcome, bool) {
	i := slices.Index(outcomeNames[:], s)
	return Outcome(max(i, 0)), i >= 0
}

// Why tells, in bits, why a trace is kept.
type Reason uint8

// The reasons.
const (
	ReasonFailed        Reason = 1 << iota // failed, or its client left
	ReasonRejected                         //
	ReasonRetried                          // more than one attempt, or a client's repeat
	ReasonSlow                             // slower than its class wants
	ReasonSampled                          // ordinary, and drawn within the budget
	ReasonIdempotent                       // of a class of which all are kept
	ReasonClientSampled                    // its client samples it, and says so in its traceparent
)

// Trace is what one router knows of one request: a piece of a trace.
type Trace struct {
	ID            ID
	ClientSpan    SpanID // the client's own span, where it sent one
	Router        string
	TransactionID string // the id that the client gave this try
	Class         string
	Object        uint64
	Chunk         uint32
	PurgeGroup    uint16
	Retry         uint8 // 0: the client's first, as far as this router knows
	Outcome       Outcome
	Start         float64 // Unix ms, the request whole; the end is that of its answer
	End           float64
	Reasons       Reason
	Weight        float64 // how many traces of its class and kind it stands for
	LostBefore    uint32  // traces that had to be kept and were not, since the one before
	Attempts      uint8
	Spans         []Span
	Links         []Link
	SizeAllowance float64 // ms by which its class's wanted time grows with its bytes; not stored
	ClientSampled bool    // its client samples it; not stored
}

// Took is how long the request took at this router, in ms.
func (t *Trace) Duration() float64 { return t.End - t.Start }

// OfPeer tells whether t is the piece of a server, on a clock of its own.
func (t *Trace) FromServer() bool { return len(t.Spans) > 0 && t.Spans[0].Kind >= ServerWork }

// Size is about how many bytes t holds in memory.
func (t *Trace) Size() int {
	return 220 + len(t.Router) + len(t.Class) + len(t.TransactionID) + cap(t.Spans)*spanMemory
}

const spanMemory = 80

// Has tells whether a server or source had a part in an attempt.
func (t *Trace) Involves(id routing.ServerID) bool {
	return slices.ContainsFunc(t.Spans, func(s Span) bool { return s.Kind == Attempt && (s.Server == id || s.FillSource == id) })
}

// Merge puts the pieces of one trace together: all spans once, with one root that
// lasts from the first try to the last answer. Pieces of other traces are passed over.
// A span whose parent is in no piece, since its router was killed, stands under the
// root. The result is in the order of the spans' starts, the root first.
//
// A server's clock is not the router's. Where its piece does not lie within the attempt
// that it stands under, all of it is moved so that it does: with equal times on the way
// there and back, as is usual where nothing more is known, or to the attempt's start
// where it is longer than that.
func Merge(id ID, pieces []*Trace) []Span {
	root := Span{ID: id.Root(), Kind: Client, Start: math.Inf(1), End: math.Inf(-1)}
	by := map[SpanID]Span{}
	for _, t := range pieces {
		if t.ID != id {
			continue
		}
		if t.FromServer() {
			continue
		}
		root.Start, root.End = min(root.Start, t.Start), max(root.End, t.End)
		if t.ClientSpan != 0 {
			root.Parent = t.ClientSpan
		}
		for _, s := range t.Spans {
			if s.ID != root.ID {
				by[s.ID] = s
			}
		}
	}
	var peers []*Trace
	for _, t := range pieces {
		if t.ID == id && t.FromServer() {
			peers = append(peers, t)
		}
	}
	place := func(t *Trace, shift float64) {
		for _, s := range t.Spans {
			s.Start, s.End = s.Start+shift, s.End+shift
			by[s.ID] = s
		}
	}
	for placed := true; placed; { // a hub's piece stands under that of its box
		n := len(peers)
		peers = slices.DeleteFunc(peers, func(t *Trace) bool {
			p, known := by[t.Spans[0].Parent]
			if known {
				place(t, shiftInto(t.Start, t.End, p.Start, p.End))
			}
			return known
		})
		placed = len(peers) < n
	}
	for _, t := range peers { // of a router whose piece is lost
		place(t, 0)
		root.Start, root.End = min(root.Start, t.Start), max(root.End, t.End)
	}
	if math.IsInf(root.Start, 0) {
		return nil
	}
	out := make([]Span, 0, len(by)+1)
	for _, s := range by {
		if _, known := by[s.Parent]; !known || s.Parent == s.ID {
			s.Parent = root.ID
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Span) int {
		switch {
		case a.Start != b.Start:
			if a.Start < b.Start {
				return -1
			}
			return 1
		case a.Kind != b.Kind:
			return int(a.Kind) - int(b.Kind)
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
	return slices.Insert(out, 0, root)
}

// fit is by how much what lasted from a to b is to be moved to lie within from and to.
func shiftInto(a, b, from, to float64) float64 {
	switch {
	case a >= from && b <= to:
		return 0
	case b-a > to-from:
		return from - a
	}
	return (from+to)/2 - (a+b)/2
}
