package routing

import "time"

// Action is what the caller of Handle must do, in the order of the actions. The set is closed.
type Action interface{ action() }

// SendAttempt sends an attempt for a request to a server. The caller owes an Outcome for it, whose
// Attempt counts the attempts of a request from 0. Before it writes the attempt it asks a Guard.
type SendAttempt struct {
	ID           RequestID
	Server       ServerID
	FillSource   ServerID      // who fills a miss; Server itself: nobody
	CopyRank     int           // rank of the copy that the server keeps, 1 to 3; 0: it keeps none
	MaxAge       time.Duration // greatest age of the copy served; 0: any
	Deadline     time.Duration // when to abandon the attempt, by the clock of Handle
	JoinFill     bool          // join a fill in progress
	Revalidate   bool          // serve an aging copy and fetch a new one in the background
	OnlyIfCached bool          // the source gives only what it holds and fetches nothing
}

// Ranks of the copy that a cache keeps; see SendAttempt.CopyRank.
const (
	ordinaryCopyRank = 1
	popularCopyRank  = 2
)

// Reject is a final answer: not executed, and a retry is harmless after RetryAfter. A class that is
// idempotent may have been executed all the same.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration
}

// Fail is a final answer that promises nothing of whether the request was executed.
type Fail struct{ ID RequestID }

// CancelAttempt stops waiting for an attempt, which ends as Canceled.
type CancelAttempt struct {
	ID      RequestID
	Attempt int // index among the attempts of its request
}

// SetTimer asks for a TimerFired event with its Token after its Delay. Timers are never canceled.
type SetTimer struct {
	Delay time.Duration
	Token uint64
}

// Subscribe asks for the endpoint list and its updates; if that fails, an EndpointUpdate tells it.
type Subscribe struct{}

func (SendAttempt) action()   {}
func (Reject) action()        {}
func (Fail) action()          {}
func (CancelAttempt) action() {}
func (SetTimer) action()      {}
func (Subscribe) action()     {}
