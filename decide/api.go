// Package decide makes the decisions of a front for caches of large objects:
// which cache a request goes to, who fills a miss, how long to wait, when to
// try again and when to refuse. It does no I/O; the caller feeds it events
// and carries out the actions that it returns.
//
// This file is the interface: settings, events and actions. Every decision
// is in decide.go.
package decide

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// RequestID names one request. It carries no meaning.
type RequestID uint64

// ServerID names one cache, parent or origin. It carries no meaning.
type ServerID uint64

// String is how an id stands in text.
func (id ServerID) String() string { return fmt.Sprintf("s-%08x", uint64(id)) }

// ParseServerID reads an id that stands in text.
func ParseServerID(s string) (ServerID, error) {
	hex, ok := strings.CutPrefix(s, "s-")
	n, err := strconv.ParseUint(hex, 16, 32)
	if !ok || err != nil || len(hex) != 8 {
		return 0, fmt.Errorf("%q is not an id", s)
	}
	return ServerID(n), nil
}

// ObjectID names one object; all parts of an object share it.
type ObjectID uint64

// Effect tells what running a request twice may do.
type Effect int

// The effects a class can have.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // repeats are discarded within a group and window
	Unsafe               // must not run twice
)

// Group tells which servers discard the repeats of a keyed request.
type Group int

// The groups of servers that share what keys they have seen.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of requests.
type Class struct {
	Name       string
	Effect     Effect
	Group      Group         // for Keyed
	Window     time.Duration // for Keyed, from the first send that may have run
	Aim        time.Duration // an answer within it earns the full worth
	AimStretch float64       // the aim grows by this multiple of the sending time
	Deadline   time.Duration
	Worth      float64
	LateWorth  float64       // share of Worth after the aim
	Write      bool          // runs at the origin, is never kept
	Fresh      time.Duration // 0: until purged
	Grace      time.Duration // time past Fresh in which a copy may be served
}

// Longest is the longest deadline of all classes.
func Longest(classes []Class) time.Duration {
	most := time.Duration(0)
	for _, c := range classes {
		most = max(most, c.Deadline)
	}
	return most
}

// Ramp describes how a server that has just started gains capacity, and what
// makes it fall over.
type Ramp struct {
	From     float64       // share of its capacity at the start
	Warm     time.Duration // by then it has all of it
	Multiple float64       // it falls over at this multiple of its capacity
	Span     time.Duration // borne for this long
}

// Settings are what a Router knows at its start.
type Settings struct {
	Zones       int   // number of zones
	Zone        int   // the router's own zone
	Kinds       int   // number of machine kinds
	ParentKind  int   // -1: there are no parents
	OriginKind  int   // -1: there is no origin
	SeatsByZone []int // routers serving each zone
	Routers     int   // routers in all
	Classes     []Class
	MaxAttempts int
	MaxBackoff  time.Duration // longest advice that clients honour
	CanCancel   bool
	CanJoin     bool
	Direct      bool    // parents and the origin take attempts too
	FlowKBps    float64 // pace of one transfer to a client; 0: not told
	BytesPerS   float64 // the same in an answer's bytes; 0: those tell nothing
	WeightsSize bool    // a server's Weight tells its size
	// HitsOnly: outcomes tell hits and fills, but neither failures nor what a fill waited.
	// Symptom guarded against: a fill of 10 ms of sending that had waited 150 ms for its
	// source looked like a source at fifteen times its pace, all known misses were rationed
	// for it, and what notes do not tell there was not looked for in another way.
	HitsOnly    bool
	OriginFalls bool // asked for too much, the origin stops for a while
	MustAsk     bool // the server list must be subscribed to
	DrainGrace  time.Duration
	PurgeGrace  time.Duration
	PurgeDone   time.Duration // after it no older copy is left
	Cache       Ramp
	Parent      Ramp
}

// check tells whether settings can be used; an error names the field.
func (s *Settings) check() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("Classes: there is none")
	case s.Zone < 0 || s.Zone >= s.Zones:
		return fmt.Errorf("Zone: %d is not one of %d zones", s.Zone, s.Zones)
	case max(s.ParentKind, s.OriginKind) >= s.Kinds || min(s.ParentKind, s.OriginKind) < -1:
		return fmt.Errorf("ParentKind %d, OriginKind %d: there are %d kinds", s.ParentKind, s.OriginKind, s.Kinds)
	case len(s.SeatsByZone) != 0 && len(s.SeatsByZone) != s.Zones:
		return fmt.Errorf("SeatsByZone: %d values for %d zones", len(s.SeatsByZone), s.Zones)
	case s.MaxAttempts < 1:
		return fmt.Errorf("MaxAttempts: %d, want 1 or more", s.MaxAttempts)
	}
	for i, c := range s.Classes {
		if c.Deadline <= 0 {
			return fmt.Errorf("Classes[%d].Deadline: %v, want more than 0", i, c.Deadline)
		}
	}
	return nil
}

// Phase tells how the list sees a server.
type Phase int

// The phases of a server.
const (
	Gone Phase = iota
	Ready
	Draining
)

// Server is one entry of the server list.
type Server struct {
	ID      ServerID
	Zone    int
	Kind    int
	Cell    int
	Phase   Phase
	Weight  float64
	Started time.Duration // clock time of the latest start; 0: long past
}

// role is what a server does for this router.
type role int

const (
	cache role = iota
	parent
	origin
	roles // how many there are
)

// Load is a load report. A field that was not reported is NaN.
type Load struct {
	Inflight, Busy, HitShare, Link float64
}

// Result tells how an attempt ended.
type Result int

// The results of an attempt.
const (
	Served Result = iota
	Errored
	Full
	TimedOut
	Unreached
	Broken
	Cancelled
	NotSent
	Miss
)

// Moot tells whether a result proves that the attempt never ran.
func (r Result) Moot() bool { return r == Full || r == Unreached || r == NotSent || r == Miss }

// Note tells how an attempt met, filled or failed to fill its object.
type Note int

// The notes that can come with an outcome.
const (
	NoNote Note = iota
	Hit
	Filled
	FilledByOrigin
	Joined
	StaleHit
	SourceRefused
	SourceUnreached
	SourceLacks
	NoFillPlace
	OriginFailed
)

// Event is something that a Router is told. The set of events is closed.
type Event interface{ event() }

// Members is a change of the server list (Full false), or all of it. A
// Failed one has no servers: a call for the list did not succeed.
type Members struct {
	Full, Failed bool
	Servers      []Server
}

// Request is a client's request. It is owed exactly one final answer.
type Request struct {
	ID     RequestID
	Class  int
	Object ObjectID
	Part   int
	Group  int           // group of the object, as purges name it
	Left   time.Duration // the client gives up after this
	SizeKB float64       // 0: not told
	Repeat bool          // a client's own repeat
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID      RequestID
	Attempt int // place of the attempt among those of its request
	Server  ServerID
	Result  Result
	Note    Note
	Waited  time.Duration // to the source's first byte or failure
	Took    time.Duration
	Bytes   int  // of what was served
	Done    bool // the request is finished
	Load    Load
}

// Timer is a wake-up set by an earlier Wake.
type Timer struct{ Token uint64 }

// Purge tells that an object, or with Object 0 a whole group, was purged.
type Purge struct {
	Object ObjectID
	Group  int
	Age    time.Duration // time since the purge
}

// Left tells that a client left; nothing more is owed.
type Left struct{ ID RequestID }

// Report tells a cache's load as another router measured it, Age ago.
type Report struct {
	Server ServerID
	Load   Load
	Age    time.Duration
}

// Hold prolongs the rest of a server that this router set aside, until a moment: another
// router tries it first. It never sets one aside, nor ends a rest.
type Hold struct {
	Server ServerID
	Until  time.Duration
}

// Suspect has a server that others set aside tried with one request before it gets more,
// unless this router heard well of it lately.
//
// Symptom guarded against: the holder, whom the server had failed only a few times yet, went
// on sending, and by that took it for well.
type Suspect struct{ Server ServerID }

func (Report) event()  {}
func (Hold) event()    {}
func (Suspect) event() {}
func (Members) event() {}
func (Request) event() {}
func (Outcome) event() {}
func (Timer) event()   {}
func (Purge) event()   {}
func (Left) event()    {}

// Action is something that the caller must do. The set of actions is closed.
type Action interface{ action() }

// Get sends an attempt for a request to a server.
type Get struct {
	ID     RequestID
	Server ServerID
	Source ServerID      // who fills a miss; Server itself: nobody
	Keep   int           // 0: keep no copy; 1 to 3: rank of the copy
	MaxAge time.Duration // oldest copy that will do; 0: as fresh as the class asks
	Until  time.Duration // clock time at which to abandon the attempt
	Join   bool          // join a fill under way
	Renew  bool          // serve an ageing copy and fetch it anew behind
	// HeldOnly: the source gives only what it holds and fetches nothing.
	HeldOnly bool
}

// Refuse is a final answer: not done, a retry is harmless after Backoff.
type Refuse struct {
	ID      RequestID
	Backoff time.Duration
}

// Fail is a final answer without a promise about its effect.
type Fail struct{ ID RequestID }

// Cancel stops waiting for one attempt.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Wake asks for a Timer event.
type Wake struct {
	After time.Duration
	Token uint64
}

// Watch subscribes to the server list.
type Watch struct{}

func (Get) action()    {}
func (Refuse) action() {}
func (Fail) action()   {}
func (Cancel) action() {}
func (Wake) action()   {}
func (Watch) action()  {}

// Handle takes one event and appends the actions that it calls for to out.
func (r *Router) Handle(now time.Duration, ev Event, out []Action) []Action {
	r.now, r.acts = now, out
	switch ev := ev.(type) {
	case Members:
		if ev.Failed {
			r.do(Wake{sickFirst, tokenWatch})
		} else {
			r.members(ev)
		}
	case Request:
		if r.open[ev.ID] == nil {
			r.request(ev)
		}
	case Outcome:
		r.outcome(ev)
	case Timer:
		r.timer(ev.Token)
	case Purge:
		r.purged(ev)
	case Report:
		r.report(ev)
	case Hold:
		if s := r.known(ev.Server); s != nil && s.rests > 0 && ev.Until > s.resting {
			s.resting = min(ev.Until, now+holdMost)
		}
	case Suspect:
		if s := r.known(ev.Server); s != nil && s.rests == 0 && (s.fails > 0 || now > s.heard+wellFor) {
			s.rests, s.resting = 1, now
		}
	case Left:
		if q := r.open[ev.ID]; q != nil {
			r.finish(q)
		}
	}
	out, r.acts = r.acts, nil
	return out
}

const (
	holdMost = 5 * time.Second        // by which a rest is prolonged at once, at the most
	wellFor  = 500 * time.Millisecond // for so long an answer of a server speaks for it
)

// known returns a server that is listed as ready; nil: it is not.
func (r *Router) known(id ServerID) *server {
	for _, s := range r.all {
		if s.ID == id && s.ready {
			return s
		}
	}
	return nil
}

// Aside appends the servers that are listed as ready and that this router set aside, or
// tries again and has not heard of since.
func (r *Router) Aside(to []ServerID) []ServerID {
	for _, s := range r.all {
		if s.ready && s.rests > 0 {
			to = append(to, s.ID)
		}
	}
	return to
}

// Avoided returns how many servers that are listed as ready are set aside.
func (r *Router) Avoided() int64 {
	n := int64(0)
	for _, s := range r.all {
		if s.ready && !r.well(s) {
			n++
		}
	}
	return n
}

func (r *Router) do(a Action) { r.acts = append(r.acts, a) }
