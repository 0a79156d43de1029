package routing

import "time"

// Action is an instruction to the caller of Handle. The caller carries out actions in the order in
// which Handle returned them. The set of actions is closed.
type Action interface{ action() }

// SendAttempt sends an attempt for a request to a server. The caller must report an Outcome for each
// attempt; Outcome.Attempt numbers the attempts of a request from 0. Before the caller writes the
// attempt to a connection, it checks the attempt against a Guard.
type SendAttempt struct {
	ID           RequestID
	Server       ServerID
	FillSource   ServerID      // server that fills a miss; equal to Server: no fill
	CopyRank     int           // rank of the copy that the server keeps, 1 to 3; 0: keep no copy
	MaxAge       time.Duration // maximum age of the copy served; 0: any age
	Deadline     time.Duration // time at which to abandon the attempt, by the clock of Handle
	JoinFill     bool          // join a fill in progress
	Revalidate   bool          // serve a copy that is about to expire, and fetch a new one in the background
	OnlyIfCached bool          // the source may send a cached copy, but must not fetch the object
}

// Values of SendAttempt.CopyRank: popularCopyRank for a popular object, and ordinaryCopyRank for any other
// object.
const (
	ordinaryCopyRank = 1
	popularCopyRank  = 2
)

// Reject is a final answer after which the client may retry the request, once RetryAfter has passed. A
// rejected request of an Idempotent class may nevertheless have been executed. A rejected request of
// another class was not executed.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration
}

// Fail is the final answer to a request of a class other than Idempotent that may have been executed. The
// client does not learn whether the request was executed.
type Fail struct{ ID RequestID }

// CancelAttempt abandons an attempt in flight. The attempt then ends with the result Canceled.
type CancelAttempt struct {
	ID      RequestID
	Attempt int // index among the attempts of its request
}

// SetTimer requests a TimerFired event with Token after Delay. The caller may drop the timer when the
// request with the given ID has ended: the Router would ignore the event.
type SetTimer struct {
	ID    RequestID // request that the timer serves; 0: none
	Delay time.Duration
	Token uint64
}

// Subscribe requests the endpoint list and its updates. If the subscription fails, the caller sends
// an EndpointUpdate with Failed set.
type Subscribe struct{}

func (SendAttempt) action()   {}
func (Reject) action()        {}
func (Fail) action()          {}
func (CancelAttempt) action() {}
func (SetTimer) action()      {}
func (Subscribe) action()     {}
