// Package decide makes the decisions of a front for caches of large objects:
// which cache a request goes to, who fills a miss, how long to wait, when to
// try again and when to refuse. It does no I/O; the caller feeds it events
// and carries out the actions that it returns.
//
// This file is the interface: settings, events and actions. The decisions are in
// the files that deploy/balancer.toml names as policy.
package routing

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

// Idempotency tells what running a request twice may do.
type Idempotency int

// The effects a class can have.
const (
	Idempotent        Idempotency = iota // may be repeated at will
	IdempotentWithKey                    // repeats are discarded within a group and window
	NonIdempotent                        // must not run twice
)

// KeyScope tells which servers discard the repeats of a keyed request.
type KeyScope int

// The groups of servers that share what keys they have seen.
const (
	KeyScopeAll KeyScope = iota
	KeyScopeZone
	KeyScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name                    string
	Idempotency             Idempotency
	KeyScope                KeyScope      // for Keyed
	KeyWindow               time.Duration // for Keyed, from the first send that may have run
	LatencyObjective        time.Duration // an answer within it earns the full worth
	ObjectiveTransferFactor float64       // the aim grows by this multiple of the sending time
	Deadline                time.Duration
	PriorityWeight          float64
	LateWeightFactor        float64       // share of Worth after the aim
	Write                   bool          // runs at the origin, is never kept
	FreshnessLifetime       time.Duration // 0: until purged
	MaxStale                time.Duration // time past Fresh in which a copy may be served
}

// MaxDeadline is the longest deadline of all classes.
func MaxDeadline(classes []Class) time.Duration {
	most := time.Duration(0)
	for _, c := range classes {
		most = max(most, c.Deadline)
	}
	return most
}

// SlowStart describes how a server that has just started gains capacity, and what
// makes it fall over.
type SlowStart struct {
	InitialCapacity float64       // share of its capacity at the start
	Duration        time.Duration // by then it has all of it
	OverloadFactor  float64       // it falls over at this multiple of its capacity
	OverloadWindow  time.Duration // borne for this long
}

// Settings are what a Router knows at its start.
type Settings struct {
	Zones               int   // number of zones
	Zone                int   // the router's own zone
	Kinds               int   // number of machine kinds
	ParentKind          int   // -1: there are no parents
	OriginKind          int   // -1: there is no origin
	RoutersByZone       []int // routers serving each zone
	Routers             int   // routers in all
	Classes             []Class
	MaxAttempts         int
	MaxRetryAfter       time.Duration // longest advice that clients honour
	CanCancel           bool
	CanJoinFill         bool
	AllowBypass         bool    // parents and the origin take attempts too
	TransferKBPerSecond float64 // pace of one transfer to a client; 0: not told
	BodyBytesPerSecond  float64 // the same in an answer's bytes; 0: those tell nothing
	WeightIsCapacity    bool    // a server's Weight tells its size
	// HitStatusOnly: outcomes tell hits and fills, but neither failures nor what a fill waited.
	// Symptom guarded against: a fill of 10 ms of sending that had waited 150 ms for its
	// source looked like a source at fifteen times its pace, all known misses were rationed
	// for it, and what notes do not tell there was not looked for in another way.
	HitStatusOnly         bool
	OriginStopsOnOverload bool // asked for too much, the origin stops for a while
	MustSubscribe         bool // the server list must be subscribed to
	DrainGrace            time.Duration
	PurgeGrace            time.Duration
	PurgeRetention        time.Duration // after it no older copy is left
	CacheSlowStart        SlowStart
	ParentSlowStart       SlowStart
}

// validate tells whether settings can be used; an error names the field.
func (s *Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("Classes: there is none")
	case s.Zone < 0 || s.Zone >= s.Zones:
		return fmt.Errorf("Zone: %d is not one of %d zones", s.Zone, s.Zones)
	case max(s.ParentKind, s.OriginKind) >= s.Kinds || min(s.ParentKind, s.OriginKind) < -1:
		return fmt.Errorf("ParentKind %d, OriginKind %d: there are %d kinds", s.ParentKind, s.OriginKind, s.Kinds)
	case len(s.RoutersByZone) != 0 && len(s.RoutersByZone) != s.Zones:
		return fmt.Errorf("SeatsByZone: %d values for %d zones", len(s.RoutersByZone), s.Zones)
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
	Removed Phase = iota
	Ready
	Draining
)

// Server is one entry of the server list.
type Server struct {
	ID        ServerID
	Zone      int
	Kind      int
	Cell      int
	Phase     Phase
	Weight    float64
	StartedAt time.Duration // clock time of the latest start; 0: long past
}

// role is what a server does for this router.
type role int

const (
	cache role = iota
	parent
	origin
	roleCount // how many there are
)

// LoadReport is a load report. A field that was not reported is NaN.
type LoadReport struct {
	Inflight, CPUUtilization, HitRatio, LinkUtilization float64
}

// Result tells how an attempt ended.
type Result int

// The results of an attempt.
const (
	Served Result = iota
	ServerError
	Rejected
	TimedOut
	ConnectFailed
	ConnectionLost
	Canceled
	NotSent
	NotCached
)

// NotExecuted tells whether a result proves that the attempt never ran.
func (r Result) NotExecuted() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent || r == NotCached
}

// CacheStatus tells how an attempt met, filled or failed to fill its object.
type CacheStatus int

// The notes that can come with an outcome.
const (
	CacheStatusUnknown CacheStatus = iota
	Hit
	Filled
	FilledByOrigin
	JoinedFill
	StaleHit
	SourceRejected
	SourceUnreachable
	SourceMiss
	FillRejected
	OriginFailed
)

// Event is something that a Router is told. The set of events is closed.
type Event interface{ event() }

// EndpointUpdate is a change of the server list (Full false), or all of it. A
// Failed one has no servers: a call for the list did not succeed.
type EndpointUpdate struct {
	Snapshot, Failed bool
	Servers          []Server
}

// Request is a client's request. It is owed exactly one final answer.
type Request struct {
	ID          RequestID
	Class       int
	Object      ObjectID
	Chunk       int
	PurgeGroup  int           // group of the object, as purges name it
	Timeout     time.Duration // the client gives up after this
	SizeKB      float64       // 0: not told
	ClientRetry bool          // a client's own repeat
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID          RequestID
	Attempt     int // place of the attempt among those of its request
	Server      ServerID
	Result      Result
	CacheStatus CacheStatus
	SourceWait  time.Duration // to the source's first byte or failure
	Duration    time.Duration
	BodyBytes   int  // of what was served
	RequestDone bool // the request is finished
	Load        LoadReport
}

// TimerFired is a wake-up set by an earlier Wake.
type TimerFired struct{ Token uint64 }

// Purge tells that an object, or with Object 0 a whole group, was purged.
type Purge struct {
	Object ObjectID
	Group  int
	Age    time.Duration // time since the purge
}

// ClientDisconnected tells that a client left; nothing more is owed.
type ClientDisconnected struct{ ID RequestID }

// PeerLoadReport tells a cache's load as another router measured it, Age ago.
type PeerLoadReport struct {
	Server ServerID
	Load   LoadReport
	Age    time.Duration
}

// ExtendEjection prolongs the rest of a server that this router set aside, until a moment: another
// router tries it first. It never sets one aside, nor ends a rest.
type ExtendEjection struct {
	Server ServerID
	Until  time.Duration
}

// RequireProbe has a server that others set aside tried with one request before it gets more,
// unless this router heard well of it lately.
//
// Symptom guarded against: the holder, whom the server had failed only a few times yet, went
// on sending, and by that took it for well.
type RequireProbe struct{ Server ServerID }

func (PeerLoadReport) event()     {}
func (ExtendEjection) event()     {}
func (RequireProbe) event()       {}
func (EndpointUpdate) event()     {}
func (Request) event()            {}
func (Outcome) event()            {}
func (TimerFired) event()         {}
func (Purge) event()              {}
func (ClientDisconnected) event() {}

// Action is something that the caller must do. The set of actions is closed.
type Action interface{ action() }

// SendAttempt sends an attempt for a request to a server.
type SendAttempt struct {
	ID         RequestID
	Server     ServerID
	FillSource ServerID      // who fills a miss; Server itself: nobody
	CopyRank   int           // 0: keep no copy; 1 to 3: rank of the copy
	MaxAge     time.Duration // oldest copy that will do; 0: as fresh as the class asks
	Deadline   time.Duration // clock time at which to abandon the attempt
	JoinFill   bool          // join a fill under way
	Revalidate bool          // serve an ageing copy and fetch it anew behind
	// OnlyIfCached: the source gives only what it holds and fetches nothing.
	OnlyIfCached bool
}

// Reject is a final answer: not done, a retry is harmless after Backoff.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration
}

// Fail is a final answer without a promise about its effect.
type Fail struct{ ID RequestID }

// CancelAttempt stops waiting for one attempt.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// SetTimer asks for a Timer event.
type SetTimer struct {
	Delay time.Duration
	Token uint64
}

// Subscribe subscribes to the server list.
type Subscribe struct{}

func (SendAttempt) action()   {}
func (Reject) action()        {}
func (Fail) action()          {}
func (CancelAttempt) action() {}
func (SetTimer) action()      {}
func (Subscribe) action()     {}

// Handle takes one event and appends the actions that it calls for to out.
func (r *Router) Handle(now time.Duration, ev Event, out []Action) []Action {
	r.now, r.actions = now, out
	switch ev := ev.(type) {
	case EndpointUpdate:
		if ev.Failed {
			r.emit(SetTimer{firstEjectionTime, timerSubscribe})
		} else {
			r.handleEndpointUpdate(ev)
		}
	case Request:
		if r.requests[ev.ID] == nil {
			r.handleRequest(ev)
		}
	case Outcome:
		r.handleOutcome(ev)
	case TimerFired:
		r.handleTimer(ev.Token)
	case Purge:
		r.handlePurge(ev)
	case PeerLoadReport:
		r.handlePeerLoadReport(ev)
	case ExtendEjection:
		if s := r.readyServer(ev.Server); s != nil && s.ejections > 0 && ev.Until > s.ejectedUntil {
			s.ejectedUntil = min(ev.Until, now+maxEjectionExtension)
		}
	case RequireProbe:
		if s := r.readyServer(ev.Server); s != nil && s.ejections == 0 && (s.consecutiveFailures > 0 || now > s.lastResponseAt+recentSuccessWindow) {
			s.ejections, s.ejectedUntil = 1, now
		}
	case ClientDisconnected:
		if q := r.requests[ev.ID]; q != nil {
			r.finish(q)
		}
	}
	out, r.actions = r.actions, nil
	return out
}

const (
	maxEjectionExtension = 5 * time.Second        // by which a rest is prolonged at once, at the most
	recentSuccessWindow  = 500 * time.Millisecond // for so long an answer of a server speaks for it
)

// readyServer returns a server that is listed as ready; nil: it is not.
func (r *Router) readyServer(id ServerID) *server {
	for _, s := range r.servers {
		if s.ID == id && s.ready {
			return s
		}
	}
	return nil
}

// AppendEjected appends the servers that are listed as ready and that this router set aside, or
// tries again and has not heard of since.
func (r *Router) AppendEjected(to []ServerID) []ServerID {
	for _, s := range r.servers {
		if s.ready && s.ejections > 0 {
			to = append(to, s.ID)
		}
	}
	return to
}

// UnavailableCount returns how many servers that are listed as ready are set aside.
func (r *Router) UnavailableCount() int64 {
	n := int64(0)
	for _, s := range r.servers {
		if s.ready && !r.available(s) {
			n++
		}
	}
	return n
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }
