package routing

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// RequestID identifies a request of one Router. The caller chooses it; it carries no meaning, and may
// be used again when the request has had its answer.
type RequestID uint64

// ObjectID identifies an object; all its chunks share it. All routers use the same, since homes are
// found by it. 0 is no object.
type ObjectID uint64

// ServerID identifies a cache, parent or origin for all routers. It carries no meaning.
type ServerID uint64

// serverIDPrefix and serverIDDigits are the form of a ServerID in text.
const (
	serverIDPrefix = "s-"
	serverIDDigits = 8
)

// String returns the id as ParseServerID reads it, such as s-0000002a.
func (id ServerID) String() string {
	return fmt.Sprintf("%s%0*x", serverIDPrefix, serverIDDigits, uint64(id))
}

// ParseServerID reads an id that String wrote. Its error says what is no id.
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

// The phases of a server. Only one that is Ready is sent new attempts.
const (
	Removed Phase = iota
	Ready
	Draining
)

// Server is one entry of the endpoint list.
type Server struct {
	ID        ServerID
	Zone      int           // of Settings.Zones
	Kind      int           // of Settings.Kinds
	Cell      int           // part of its zone, for KeyScopeCell
	Phase     Phase         // whether it takes new attempts
	Weight    float64       // where Settings.WeightIsCapacity: concurrent transfers at full pace
	StartedAt time.Duration // latest start, by the clock of Handle; 0: long ago
}

// LoadReport is the load that a server reports. A field that was not reported is NaN.
type LoadReport struct {
	Inflight        float64 // requests
	CPUUtilization  float64 // 1: all of it
	HitRatio        float64 // 0 to 1
	LinkUtilization float64 // of its zone's link, as it measured it; 1: full
}

// Result is how an attempt ended. Its numbers are stored in traces.
type Result int

// The results of an attempt.
const (
	Served         Result = iota // a response came, whole
	ServerError                  // a response that tells an error
	Rejected                     // the server, or its source, does not take it now
	TimedOut                     // no response until SendAttempt.Deadline
	ConnectFailed                // no connection to the server was made
	ConnectionLost               // the connection broke before the response was whole
	Canceled                     // abandoned by the caller, or after a CancelAttempt
	NotSent                      // the caller did not write it
	NotCached                    // an attempt that may cause no fill found no copy
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
	CacheStatusUnknown CacheStatus = iota // not told
	Hit                                   // from the target's copy
	Filled                                // the source had a copy
	FilledByOrigin                        // the origin had to be asked
	JoinedFill                            // another request's fill brought it
	StaleHit                              // from a copy past its freshness lifetime
	SourceRejected                        // the source does not take the fill now
	SourceUnreachable                     // the source did not answer
	SourceMiss                            // the source has no copy and may not fetch one
	FillRejected                          // by the cache, which has too many fills in progress
	OriginFailed                          // the source could not fetch it from the origin
)

// sourceFailed reports whether the source of a fill, or the origin behind it, failed.
func (s CacheStatus) sourceFailed() bool { return s >= SourceRejected && s != FillRejected }

// filled reports whether a copy came by a fill that the attempt itself caused.
func (s CacheStatus) filled() bool { return s == Filled || s == FilledByOrigin }

// Event is what a Router is notified of, by Handle. The set of events is closed.
type Event interface{ event() }

// EndpointUpdate is a change of the endpoint list. The caller sends it for each watch event and, with
// Failed, when a subscription did not succeed.
type EndpointUpdate struct {
	Snapshot bool     // Servers is the whole list: all others are removed
	Failed   bool     // a subscription did not succeed, and Servers is empty
	Servers  []Server // entries that are new or have changed
}

// Request is a client's request. It is owed exactly one final answer: an attempt that is served, a
// Reject or a Fail.
type Request struct {
	ID          RequestID
	Class       int // index of Settings.Classes; one that is not listed is rejected
	Object      ObjectID
	Chunk       int           // of the object
	PurgeGroup  int           // that the object is purged with
	Timeout     time.Duration // from now until its client gives up
	SizeKB      float64       // of the response, in KB; 0: not known
	ClientRetry bool          // it repeats an earlier one of its client; not used here
}

// Outcome is the end of one attempt. The caller sends one for each SendAttempt, also for those that it
// did not write or that were canceled.
type Outcome struct {
	ID          RequestID
	Attempt     int      // index among the attempts of its request
	Server      ServerID // that the attempt was sent to
	Result      Result
	CacheStatus CacheStatus
	SourceWait  time.Duration // until the source's first byte or failure; 0: not told
	Duration    time.Duration // of the attempt, until its end
	BodyBytes   int           // bytes of the body that were served; 0: not told
	RequestDone bool          // the request has its answer, and no further attempt is wanted
	Load        LoadReport    // that came with the response
}

// TimerFired is the firing of a timer that an earlier SetTimer asked for.
type TimerFired struct{ Token uint64 }

// Purge is the purge of an object or, with Object 0, of a whole group. The caller sends it for each
// purge that the watch stream tells.
type Purge struct {
	Object ObjectID
	Group  int
	Age    time.Duration // time since the purge was made
}

// ClientDisconnected ends a request to which no answer is owed any more.
type ClientDisconnected struct{ ID RequestID }

// PeerLoadReport is a cache's load as another router of the zone learned it.
type PeerLoadReport struct {
	Server ServerID
	Load   LoadReport
	Age    time.Duration // time since the cache measured it
}

// ExtendEjection prolongs the ejection of a server by this router until a time, since another
// router probes it first. It never ejects a server, nor ends an ejection.
type ExtendEjection struct {
	Server ServerID
	Until  time.Duration // by the clock of Handle; bounded to a few seconds from now
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
