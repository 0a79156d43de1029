package routing

import "time"

// Action is what the caller of a Router must do. The set of actions is closed.
type Action interface{ action() }

// SendAttempt sends an attempt for a request to a server.
type SendAttempt struct {
	ID           RequestID
	Server       ServerID
	FillSource   ServerID      // who fills a miss; Server itself: nobody
	CopyRank     int           // rank of the copy that the server keeps, 1 to 3; 0: it keeps none
	MaxAge       time.Duration // of the copy served; 0: as fresh as the class asks
	Deadline     time.Duration // when to abandon the attempt
	JoinFill     bool          // join a fill in progress
	Revalidate   bool          // serve an aging copy and fetch a new one in the background
	OnlyIfCached bool          // the source gives only what it holds and fetches nothing
}

// Ranks of the copy that a cache keeps; see SendAttempt.CopyRank.
const (
	ordinaryCopyRank = 1
	popularCopyRank  = 2
)

// Reject is a final answer: not executed, and a retry is harmless after RetryAfter.
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

// SetTimer asks for a TimerFired event.
type SetTimer struct {
	Delay time.Duration
	Token uint64
}

// Subscribe asks for the endpoint list and its updates.
type Subscribe struct{}

func (SendAttempt) action()   {}
func (Reject) action()        {}
func (Fail) action()          {}
func (CancelAttempt) action() {}
func (SetTimer) action()      {}
func (Subscribe) action()     {}
