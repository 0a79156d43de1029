package dispatch

import (
	"slices"
	"strings"
	"sync/atomic"

	"garnetline/internal/clock"
	"garnetline/internal/trace"
	"garnetline/routing"
)

// ResponseKind tells what an answer is.
type ResponseKind int

// The kinds of final answers.
const (
	Failed   ResponseKind = iota
	Rejected              // a retry is harmless after Backoff
	Served
	NotModified // served: the copy that the client holds is the one
	DuplicateID // not taken: another request with its id is open
)

// Response is the one final answer to a request.
type Response struct {
	Kind       ResponseKind
	Body       []byte
	ETag       string
	RetryAfter float64 // ms
	Server     routing.ServerID
}

// Request is what a front takes in. From Submit on the core owns it; the
// front keeps Body unchanged until the attempt that carries it is over.
type Request struct {
	TransactionID  string // the client's id, passed on unchanged
	IdempotencyKey string // idempotency key
	IfNoneMatch    string // tag of the client's copy
	Class          int
	Object         routing.ObjectID
	Chunk          int
	Group          int
	SizeKB         float64 // of the part, as the settings' links count it; 0: not told
	Body           []byte
	Deadline       float64   // the client gives up
	Transport      Transport // carries the attempts out
	Respond        func(Response)
	Client         *ClientInfo // nil: not told

	id           routing.RequestID
	trace        RequestTrace // nil: it is not traced
	attempts     []*Attempt
	responded    bool
	disconnected atomic.Bool // its client has left
}

// ClientDisconnected tells whether the client has left, as soon as that is known and on any goroutine:
// nothing is sent on for it from then on.
func (r *Request) ClientDisconnected() bool { return r.disconnected.Load() }

// ClientInfo tells when and where a request comes from, as far as that is traced.
type ClientInfo struct {
	ReceivedAt  float64 // when its last byte came; 0: when the core takes it
	TraceParent string  // the traceparent that came with it, not checked
	Address     string  // the client's address
}

// ValidFieldValue tells whether a tag or key can stand in a carrier's fields as it is:
// short, and of letters, digits and marks that cannot end a field.
func ValidFieldValue(s string) bool {
	if s == "" || len(s) > 128 {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || strings.IndexByte("-_.:+/", c) >= 0) {
			return false
		}
	}
	return true
}

// slack is how long after the deadline of a request the core waits for the
// module's word before it answers by itself, and slackPart bounds it by the time that the
// request has: who waits for 50 ms would not wait for 5 more.
const (
	responseGrace      = 5.0
	responseGraceShare = 0.05
)

// handleRequest opens a request under an id of its own: the module shifts ids into
// timer tokens, where a client's 64-bit id would lose bits.
//
// Symptom guarded against: under the id of an open request a second one went
// out, and on the caches' side the two were one.
func (c *Dispatcher) handleRequest(r *Request) {
	if c.byTransactionID[r.TransactionID] != nil {
		c.respond(r, Response{Kind: DuplicateID})
		return
	}
	c.nextID++
	r.id = c.nextID
	c.openRequests[r.id] = r
	if r.TransactionID != "" {
		c.byTransactionID[r.TransactionID] = r
	}
	now := c.clock.Now()
	if c.drainBy > 0 {
		r.Deadline = min(r.Deadline, c.drainBy)
	}
	c.schedule(r.Deadline+min(responseGrace, responseGraceShare*max(r.Deadline-now, 0)), 0, nil, r)
	c.metrics.Add("requests_taken", 1)
	if c.tracer != nil {
		r.trace = c.tracer.Open(c.clock.Now(), r, &c.settings.Classes[r.Class])
	}
	c.handleEvent(routing.Request{ID: r.id, Class: r.Class, Object: r.Object, Chunk: r.Chunk, PurgeGroup: r.Group,
		SizeKB: r.SizeKB, Timeout: clock.Duration(r.Deadline - c.clock.Now())})
}

// handleDisconnect closes a request whose client has gone; nothing is owed.
func (c *Dispatcher) handleDisconnect(r *Request) {
	if c.openRequests[r.id] != r {
		return
	}
	c.metrics.Add("clients_gone", 1)
	if n := len(r.attempts); n == 0 || r.attempts[n-1].ended {
		c.metrics.Add("clients_gone_waiting", 1) // with nothing out
	}
	r.responded = true
	c.traceResponse(r, trace.Left)
	c.closeRequest(r)
}

// closeRequest forgets a request and has the module give up what is out for it.
func (c *Dispatcher) closeRequest(r *Request) {
	c.removeRequest(r)
	c.handleEvent(routing.ClientDisconnected{ID: r.id})
	for _, a := range r.attempts { // what the module no longer knows of
		c.cancelAttempt(a, routing.Canceled)
	}
}

// removeRequest ends what holds a request as open.
func (c *Dispatcher) removeRequest(r *Request) {
	delete(c.openRequests, r.id)
	if c.byTransactionID[r.TransactionID] == r {
		delete(c.byTransactionID, r.TransactionID)
	}
}

// respond gives the one final answer.
func (c *Dispatcher) respond(r *Request, a Response) {
	if r.responded {
		return
	}
	r.responded = true
	c.metrics.Add([]string{"answers_failed", "answers_refused", "answers_served", "answers_same", "answers_clash"}[a.Kind], 1)
	c.metrics.Add(ClassCounterName(c.settings.Classes[r.Class].Name, a.Kind), 1)
	r.Respond(a)
	c.traceResponse(r, traceOutcomes[a.Kind])
	r.releaseBody()
}

// ClassCounterName names the counter of the requests of a class that ended in a way.
func ClassCounterName(class string, k ResponseKind) string {
	switch k {
	case Served, NotModified:
		return "class_" + class + "_served"
	case Rejected:
		return "class_" + class + "_refused"
	}
	return "class_" + class + "_failed"
}

// releaseBody gives back the body of a request that is over and has nothing out:
// timers hold the request until its deadline.
func (r *Request) releaseBody() {
	if n := len(r.attempts); n == 0 || r.attempts[n-1].ended {
		r.Body = nil
	}
}

// handleDeadline answers a request whose time is over and that has no answer yet.
//
// Symptom guarded against: an attempt whose carrier cannot give it up in time
// would keep its client waiting past the deadline.
func (c *Dispatcher) handleDeadline(r *Request) {
	if c.openRequests[r.id] != r {
		return
	}
	a := Response{Kind: Failed}
	if c.clock.Now() < r.Deadline && !slices.ContainsFunc(r.attempts, func(t *Attempt) bool { return !t.notExecuted }) {
		a = Response{Kind: Rejected, RetryAfter: clock.Millis(c.settings.MaxRetryAfter) / 2} // it would have had time elsewhere
	}
	c.respond(r, a)
	c.closeRequest(r)
}
