package bodies

// Location is where a body is retained.
type Location uint8

// The locations of a body.
const (
	InMemory Location = iota
	OnDisk
	NotRetained // it is passed through, and can be sent only once
)

var locationNames = [...]string{"memory", "files", "nowhere"}

// String returns the location's name in tables for operators.
func (l Location) String() string { return locationNames[l] }

// Action is what the owner of a body must do after a decision.
type Action uint8

// The actions. Reject and Abort end the request without a further attempt. After StopRetaining
// what has been received goes into the attempt in flight or, if nothing has been sent, into the
// only attempt there will be; if an attempt has ended already there is none.
const (
	Continue      Action = iota // the body stays where it is
	MoveToDisk                  // move what has been received to disk, and continue there
	StopRetaining               // pass on what has been received, and retain nothing
	Reject                      // too long, and nothing of it has been sent: HTTP status 413
	Abort                       // too long, and some of it has been sent: cancel the attempt
)

var actionNames = [...]string{"go on", "move to files", "stop keeping", "refuse", "give up"}

// String returns the action's name.
func (a Action) String() string { return actionNames[a] }

// endsRequest reports whether the request ends without a further attempt.
func (a Action) endsRequest() bool { return a >= Reject }

// Body is one body from the admission of its request to its end. All fields but FirstByteSent
// belong to the Allocator, and its owner only reads them.
type Body struct {
	Location      Location
	Received      int64 // bytes
	FirstByteSent bool  // set by the owner before it sends the first byte in an attempt

	class    int
	reserved int64 // bytes, at its location
	closed   bool
}

// Repeatable reports whether another attempt may send the body: it is retained from its first
// byte on, or nothing of it has been sent. The rest of it may still be being received. Whether
// and until when the class allows a retry is decided elsewhere.
func (b *Body) Repeatable() bool {
	return !b.closed && (b.Location != NotRetained || !b.FirstByteSent)
}

// Counts is what an Allocator has decided since it was made, in bodies.
type Counts struct {
	InMemory         int64 // admitted, to be retained in memory
	OnDisk           int64 // admitted, to be retained on disk
	NotRetained      int64 // admitted, to be passed through
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
