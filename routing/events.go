package routing

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// RequestID identifies a request of one Router. The caller chooses the value, which has no other meaning.
// The caller may use the value again once the request has been answered.
type RequestID uint64

// ObjectID identifies an object; all chunks of an object share it. All routers use the same ObjectID
// for an object, because it determines the object's home servers. 0 means no object.
type ObjectID uint64

// ServerID identifies a cache, parent or origin. All routers use the same ServerID for a server. The
// value has no meaning.
type ServerID uint64

// serverIDPrefix and serverIDDigits define the text form of a ServerID.
const (
	serverIDPrefix = "s-"
	serverIDDigits = 8
)

// String returns the text form of the ID, such as s-0000002a, which ParseServerID parses.
func (id ServerID) String() string {
	return fmt.Sprintf("%s%0*x", serverIDPrefix, serverIDDigits, uint64(id))
}

// ParseServerID parses the text form that String returns. If the given text has another form, the error
// quotes it.
func ParseServerID(text string) (ServerID, error) {
	digits, hasPrefix := strings.CutPrefix(text, serverIDPrefix)
	number, err := strconv.ParseUint(digits, 16, 32)
	if err != nil || !hasPrefix || len(digits) != serverIDDigits {
		return 0, fmt.Errorf("expected a server id such as s-0000002a, got %q", text)
	}
	return ServerID(number), nil
}

// Phase is the state of a server in the endpoint list.
type Phase int

// The phases of a server. Only servers in phase Ready get new attempts.
const (
	Removed Phase = iota
	Ready
	Draining
)

// Server is one entry of the endpoint list.
type Server struct {
	ID        ServerID
	Zone      int           // from 0 to Settings.Zones-1
	Kind      int           // from 0 to Settings.Kinds-1
	Cell      int           // subdivision of its zone, for KeyScopeCell
	Phase     Phase         // whether it accepts new attempts
	Weight    float64       // concurrent transfers at full pace if Settings.WeightIsCapacity
	StartedAt time.Duration // time of its latest start, by the clock of Handle; 0: not known
}

// LoadReport is the load that a server reports. A field that the server did not report is NaN.
type LoadReport struct {
	Inflight        float64 // requests in flight at the server
	CPUUtilization  float64 // 0 to 1
	HitRatio        float64 // 0 to 1
	LinkUtilization float64 // utilization of the zone's link as the server measured it; 1: full
}

// Result is the way in which an attempt ended. Its numeric values are stored in traces.
type Result int

// The results of an attempt.
const (
	Served         Result = iota // the response arrived completely
	ServerError                  // the response reports an error
	Rejected                     // the server or the fill source refused the attempt for now
	TimedOut                     // no response arrived by SendAttempt.Deadline
	ConnectFailed                // no connection to the server was established
	ConnectionLost               // the connection broke before the response was complete
	Canceled                     // the caller abandoned the attempt, on its own or after a CancelAttempt
	NotSent                      // the caller did not write the attempt to a connection
	NotCached                    // no copy was found, and the attempt must not cause a fill
)

// NotExecuted reports whether the result proves that the server did not execute the attempt.
func (r Result) NotExecuted() bool {
	switch r {
	case Rejected, ConnectFailed, NotSent, NotCached:
		return true
	default:
		return false
	}
}

// CacheStatus tells whether the cache had a copy of the object and, if not, how the fill ended. Its
// numeric values are stored in traces.
type CacheStatus int

// The cache statuses. With SourceRejected and all later values, no copy was served.
const (
	CacheStatusUnknown CacheStatus = iota // not reported
	Hit                                   // the target had a copy
	Filled                                // the target filled its miss from a copy of the source
	FilledByOrigin                        // as Filled, but the source had to fetch the object from the origin
	JoinedFill                            // the fill of another request delivered the object
	StaleHit                              // the target had a copy past its freshness lifetime
	SourceRejected                        // the source refused the fill for now
	SourceUnreachable                     // the source did not answer
	SourceMiss                            // the source has no copy and must not fetch one
	FillRejected                          // the cache refused the fill: it has too many fills in progress
	OriginFailed                          // the source could not fetch the object from the origin
)

// sourceFailed reports whether the source of a fill, or the origin behind it, failed.
func (s CacheStatus) sourceFailed() bool { return s >= SourceRejected && s != FillRejected }

// filled reports whether the attempt itself caused a fill, and the fill delivered the object.
func (s CacheStatus) filled() bool { return s == Filled || s == FilledByOrigin }

// Event is an input of a Router, passed to Handle. The set of events is closed.
type Event interface{ event() }

// EndpointUpdate is a change of the endpoint list. The caller sends an EndpointUpdate for each watch
// event. When a subscription has failed, the caller sends an EndpointUpdate with Failed set.
type EndpointUpdate struct {
	Snapshot bool     // Servers is the whole list: all other servers are removed
	Failed   bool     // a subscription failed, and Servers is empty
	Servers  []Server // entries that are new or have changed
}

// Request is a client's request. Each request gets exactly one final answer: an attempt that is
// served, a Reject or a Fail. A request that ends by ClientDisconnected gets no answer.
type Request struct {
	ID          RequestID
	Class       int // index in Settings.Classes; a request of an unlisted class is rejected
	Object      ObjectID
	Chunk       int           // number of the chunk within the object
	PurgeGroup  int           // group with which the object is purged
	Timeout     time.Duration // time from this event until the client gives up
	SizeKB      float64       // size of the response in KB; 0: not known
	ClientRetry bool          // the request repeats an earlier one of the client; not used by this package
}

// Outcome is the end of one attempt. The caller sends one for each SendAttempt, including attempts
// that it did not write and attempts that were canceled.
type Outcome struct {
	ID          RequestID
	Attempt     int      // index among the attempts of its request
	Server      ServerID // server that the attempt was sent to
	Result      Result
	CacheStatus CacheStatus
	FillWait    time.Duration // time until the first byte or the failure of the source; 0: not reported
	Duration    time.Duration // time from the start of the attempt to its end
	BodyBytes   int           // bytes of the body that were served; 0: not reported
	RequestDone bool          // the request has been answered and needs no further attempt
	Load        LoadReport    // load reported with the response
}

// TimerFired reports that the timer of an earlier SetTimer has expired.
type TimerFired struct{ Token uint64 }

// Purge is the purge of an object or, with Object 0, of a whole group. The caller sends it for each
// purge that the watch stream reports.
type Purge struct {
	Object ObjectID
	Group  int
	Age    time.Duration // time since the purge was made
}

// ClientDisconnected ends a request whose client has disconnected and no longer expects an answer.
type ClientDisconnected struct{ ID RequestID }

// PeerLoadReport is a load report that a cache sent to another router of the zone.
type PeerLoadReport struct {
	Server ServerID
	Load   LoadReport
	Age    time.Duration // time since the cache measured the load
}

// ExtendEjection prolongs this router's ejection of a server, so that another router can probe the
// server first. The event never ejects a server and never ends an ejection.
type ExtendEjection struct {
	Server ServerID
	Until  time.Duration // new end of the ejection, by the clock of Handle; at most a few seconds ahead
}

// RequireProbe makes this router probe a server that other routers have ejected. The server gets one
// request, and gets no further request until it has responded. The event has no effect if the server
// recently served this router. In each zone, one router, the lease holder, probes an ejected server before
// the other routers do. Without the event, a lease holder that has seen only a few failures of the server
// would keep sending requests to it, and would therefore consider the server recovered.
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
