package bodies

// Location is where a body is retained.
type Location uint8

// The locations of a body.
const (
	InMemory Location = iota
	OnDisk
	NotRetained // the body is forwarded without being retained, so it can be sent only once
)

var locationNames = [...]string{"memory", "files", "nowhere"}

// String returns the name of the location in tables for operators.
func (l Location) String() string { return locationNames[l] }

// Action is what the owner of a body must do after a decision. The owner is the caller that
// receives the body and sends it in attempts.
type Action uint8

// The actions. Reject and Abort end the request without another attempt. After StopRetaining, the
// owner sends the received bytes in the attempt in flight. If no byte of the body has been sent yet,
// the owner sends them in the next attempt, which is the last one. If an attempt has sent part of the
// body and ended, the owner makes no other attempt.
const (
	Continue      Action = iota // the body stays where it is
	MoveToDisk                  // move the received bytes to disk and store the following ones there
	StopRetaining               // pass the received bytes on and retain nothing
	Reject                      // the body is too long and none of it has been sent: answer with HTTP status 413
	Abort                       // the body is too long and part of it has been sent: cancel the attempt
)

var actionNames = [...]string{"go on", "move to files", "stop keeping", "refuse", "give up"}

// String returns the name of the action.
func (a Action) String() string { return actionNames[a] }

// endsRequest reports whether the action ends the request without another attempt.
func (a Action) endsRequest() bool { return a >= Reject }

// Body is the body of one request, from its admission to the end of the request. The owner of the
// body sets FirstByteSent; only the Allocator changes the other fields.
type Body struct {
	Location      Location
	Received      int64 // bytes received so far
	FirstByteSent bool  // set by the owner before an attempt sends the first byte

	class    int
	reserved int64 // bytes reserved at Location
	closed   bool
}

// Repeatable reports whether another attempt can send the body: either the body is retained from
// its first byte on, or none of it has been sent. The result can be true before the whole body has
// been received. It is false for a closed body. Repeatable does not check whether, or for how long,
// the class allows a retry.
func (b *Body) Repeatable() bool {
	return !b.closed && (b.Location != NotRetained || !b.FirstByteSent)
}

// Counts holds, for each decision, the number of bodies since the Allocator was created.
type Counts struct {
	InMemory         int64 // admitted and first located in memory
	OnDisk           int64 // admitted and first located on disk
	NotRetained      int64 // admitted and first not retained
	MovedToDisk      int64
	StoppedRetaining int64
	Rejected         int64
	Aborted          int64
}

func (c *Counts) admitted(location Location) {
	switch location {
	case InMemory:
		c.InMemory++
	case OnDisk:
		c.OnDisk++
	case NotRetained:
		c.NotRetained++
	}
}
