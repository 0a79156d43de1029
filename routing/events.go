package routing

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// RequestID identifies a request. It carries no meaning.
type RequestID uint64

// ObjectID identifies an object; all its chunks share it. 0 is no object.
type ObjectID uint64

// ServerID identifies a cache, parent or origin. It carries no meaning.
type ServerID uint64

// serverIDPrefix and serverIDDigits are the form of a ServerID in text.
const (
	serverIDPrefix = "s-"
	serverIDDigits = 8
)

// String returns the id as ParseServerID reads it.
func (id ServerID) String() string {
	return fmt.Sprintf("%s%0*x", serverIDPrefix, serverIDDigits, uint64(id))
}

// ParseServerID reads an id that String wrote.
func ParseServerID(text string) (ServerID, error) {
	digits, hasPrefix := strings.CutPrefix(text, serverIDPrefix)
	number, err := strconv.ParseUint(digits, 16, 32)
	if err != nil || !hasPrefix || len(digits) != serverIDDigits {
		return 0, fmt.Errorf("%q is not an id", text)
	}
	return ServerID(number), nil
}

// Phase is the state of a server in the endpoint list.
type Phase int

// The phases of a server.
const (
	Removed Phase = iota
	Ready
	Draining
)

// Server is one entry of the endpoint list.
type Server struct {
	ID        ServerID
	Zone      int
	Kind      int
	Cell      int
	Phase     Phase
	Weight    float64
	StartedAt time.Duration // latest start; 0: long ago
}

// LoadReport is the load that a server reports. A field that was not reported is NaN.
type LoadReport struct {
	Inflight        float64
	CPUUtilization  float64
	HitRatio        float64
	LinkUtilization float64
}

// Result is how an attempt ended. Its numbers are stored in traces.
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
	NotCached // a look found no copy
)

// NotExecuted reports whether a result proves that the attempt was not executed.
func (r Result) NotExecuted() bool {
	switch r {
	case Rejected, ConnectFailed, NotSent, NotCached:
		return true
	default:
		return false
	}
}

// CacheStatus is how an attempt met, filled or failed to fill its object. Its numbers are stored in
// traces.
type CacheStatus int

// The cache statuses. From SourceRejected on no copy was served.
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
	FillRejected // by the cache, which has too many fills in progress
	OriginFailed
)

// sourceFailed reports whether the source of a fill, or the origin behind it, failed.
func (s CacheStatus) sourceFailed() bool { return s >= SourceRejected && s != FillRejected }

// filled reports whether a copy came by a fill that the attempt itself caused.
func (s CacheStatus) filled() bool { return s == Filled || s == FilledByOrigin }

// Event is what a Router is notified of. The set of events is closed.
type Event interface{ event() }

// EndpointUpdate is a change of the endpoint list.
type EndpointUpdate struct {
	Snapshot bool // Servers is the whole list
	Failed   bool // a subscription did not succeed, and Servers is empty
	Servers  []Server
}

// Request is a client's request. It is owed exactly one final answer.
type Request struct {
	ID          RequestID
	Class       int // index of Settings.Classes
	Object      ObjectID
	Chunk       int           // of the object
	PurgeGroup  int           // that the object is purged with
	Timeout     time.Duration // until its client gives up
	SizeKB      float64       // 0: not known
	ClientRetry bool          // it repeats an earlier request of its client
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID          RequestID
	Attempt     int // index among the attempts of its request
	Server      ServerID
	Result      Result
	CacheStatus CacheStatus
	SourceWait  time.Duration // until the source's first byte or failure
	Duration    time.Duration // of the attempt
	BodyBytes   int           // served
	RequestDone bool          // no further attempt is wanted
	Load        LoadReport
}

// TimerFired is the firing of a timer that an earlier SetTimer asked for.
type TimerFired struct{ Token uint64 }

// Purge is the purge of an object or, with Object 0, of a whole group.
type Purge struct {
	Object ObjectID
	Group  int
	Age    time.Duration // time since the purge
}

// ClientDisconnected ends a request to which no answer is owed any more.
type ClientDisconnected struct{ ID RequestID }

// PeerLoadReport is a cache's load as another router learned it.
type PeerLoadReport struct {
	Server ServerID
	Load   LoadReport
	Age    time.Duration
}

// ExtendEjection prolongs the ejection of a server by this router until a time, since another
// router probes it first. It never ejects a server, nor ends an ejection.
type ExtendEjection struct {
	Server ServerID
	Until  time.Duration
}

// RequireProbe has a server that other routers ejected probed with one request before it gets more,
// unless it served this router lately.
//
// Symptom guarded against: the lease holder, whom the server had failed only a few times yet, went
// on sending to it and so took it for recovered.
type RequireProbe struct{ Server ServerID }

func (EndpointUpdate) event()     {}
func (Request) event()            {}
func (Outcome) event()            {}
func (TimerFired) event()         {}
func (Purge) event()              {}
func (ClientDisconnected) event() {}
func (PeerLoadReport) event()     {}
func (ExtendEjection) event()     {}
func (RequireProbe) event()       {}
