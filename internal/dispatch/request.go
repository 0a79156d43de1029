package dispatch

import (
	"sync/atomic"

	"garnetline/internal/clock"
	"garnetline/internal/trace"
	"garnetline/routing"
)

// ResponseKind tells how a request ended.
type ResponseKind int

// The kinds of responses.
const (
	// Failed says that the request was not served and may have been executed.
	Failed ResponseKind = iota
	// Rejected says that the request was not served and that a retry after
	// Response.RetryAfter is harmless.
	Rejected
	// Served carries the body of a server's response.
	Served
	// NotModified says that the copy that the client has is current.
	NotModified
	// DuplicateID says that another request with the same transaction id is open. The request
	// was not looked at.
	DuplicateID
)

// Response is the one final response to a request.
type Response struct {
	Kind       ResponseKind
	Body       []byte
	ETag       string
	RetryAfter float64 // ms, of Rejected
	Server     routing.ServerID
}

// Request is a client's request as a frontend submits it. From Submit on the dispatcher owns
// it; the frontend keeps the bytes of Body unchanged until the attempt that carries them has
// ended.
type Request struct {
	TransactionID  string // the client's id, passed on unchanged; empty: it named none
	IdempotencyKey string // empty: it named none
	IfNoneMatch    string // entity tag of the copy that the client has; empty: none
	Class          int    // index into routing.Settings.Classes
	Object         routing.ObjectID
	Chunk          int
	Group          int
	SizeKB         float64 // of the chunk, in the unit of the settings' links; 0: unknown
	Body           []byte
	Deadline       float64        // when the client gives up
	Transport      Transport      // carries out the attempts
	Respond        func(Response) // called on the dispatcher's goroutine; must not block
	Client         *ClientInfo    // nil: unknown

	id           routing.RequestID
	trace        RequestTrace // nil: it is not traced
	attempts     []*Attempt
	responded    bool // or its client disconnected: Respond is not called any more
	disconnected atomic.Bool
}

// ClientInfo tells when and where a request comes from. Traces show it.
type ClientInfo struct {
	ReceivedAt  float64 // when the request's last byte came; 0: when the dispatcher took it
	TraceParent string  // the traceparent header as it came, not checked
	Address     string
}

// ClientDisconnected reports whether the client has disconnected; nothing is sent for the
// request from then on. Any goroutine may call it, and it does not wait for the dispatcher.
func (r *Request) ClientDisconnected() bool { return r.disconnected.Load() }

// lastAttemptEnded reports whether no attempt is in flight.
func (r *Request) lastAttemptEnded() bool {
	count := len(r.attempts)
	return count == 0 || r.attempts[count-1].ended
}

// firstPossiblyExecuted returns the first attempt that is not known to have been left
// unexecuted, or nil.
func (r *Request) firstPossiblyExecuted() *Attempt {
	for _, attempt := range r.attempts {
		if !attempt.notExecuted {
			return attempt
		}
	}
	return nil
}

// releaseBody gives back the body of a request that has been answered, once no attempt is in
// flight. The request itself stays in memory until its timer has fired.
func (r *Request) releaseBody() {
	if r.lastAttemptEnded() {
		r.Body = nil
	}
}

// What ValidFieldValue accepts.
const (
	maxFieldValue = 128 // bytes
	fieldBytes    = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_.:+/"
)

var validFieldByte = byteSet(fieldBytes)

// byteSet returns a set of the bytes of members.
func byteSet(members string) (set [256]bool) {
	for i := range len(members) {
		set[members[i]] = true
	}
	return set
}

// ValidFieldValue reports whether an entity tag or idempotency key can stand in a transport's
// fields as it is: short, and of letters, digits and marks that cannot end a field.
func ValidFieldValue(value string) bool {
	if value == "" || len(value) > maxFieldValue {
		return false
	}
	for i := range len(value) {
		if !validFieldByte[value[i]] {
			return false
		}
	}
	return true
}

// The dispatcher waits for the module's decision until responseGrace ms after the deadline of a
// request, and then responds by itself. responseGraceShare bounds that by the time which the
// request had: a client that waits for 50 ms would not wait for 5 more.
const (
	responseGrace      = 5.0
	responseGraceShare = 0.05
)

// handleRequest opens a request under a small id of its own: the module shifts ids into timer
// tokens, where a client's 64-bit id would lose bits.
//
// Symptom guarded against: a second request went out under the transaction id of an open one,
// and the caches took the two for one.
func (d *Dispatcher) handleRequest(request *Request) {
	if d.byTransactionID[request.TransactionID] != nil {
		d.respond(request, Response{Kind: DuplicateID})
		return
	}
	d.nextID++
	request.id = d.nextID
	d.openRequests[request.id] = request
	if request.TransactionID != "" {
		d.byTransactionID[request.TransactionID] = request
	}
	now := d.clock.Now()
	if d.drainBy > 0 {
		request.Deadline = min(request.Deadline, d.drainBy)
	}
	timeLeft := max(request.Deadline-now, 0)
	d.scheduleDeadline(request.Deadline+min(responseGrace, responseGraceShare*timeLeft), request)
	d.metrics.Add("requests_taken", 1)
	if d.tracer != nil {
		request.trace = d.tracer.Open(d.clock.Now(), request, &d.settings.Classes[request.Class])
	}
	d.notifyRouter(routing.Request{
		ID:         request.id,
		Class:      request.Class,
		Object:     request.Object,
		Chunk:      request.Chunk,
		PurgeGroup: request.Group,
		SizeKB:     request.SizeKB,
		Timeout:    clock.Duration(request.Deadline - d.clock.Now()),
	})
}

// handleDisconnect closes a request whose client has disconnected, without a response.
func (d *Dispatcher) handleDisconnect(request *Request) {
	if d.openRequests[request.id] != request {
		return
	}
	d.metrics.Add("clients_gone", 1)
	if request.lastAttemptEnded() {
		d.metrics.Add("clients_gone_waiting", 1)
	}
	request.responded = true
	d.traceResponse(request, trace.ClientDisconnected)
	d.closeRequest(request)
}

// handleDeadline responds to a request whose time is over and that has no response yet.
//
// Symptom guarded against: an attempt that its transport could not cancel in time kept the
// client waiting past its deadline.
func (d *Dispatcher) handleDeadline(request *Request) {
	if d.openRequests[request.id] != request {
		return
	}
	response := Response{Kind: Failed}
	draining := d.clock.Now() < request.Deadline
	if draining && request.firstPossiblyExecuted() == nil {
		// Another router has the time to serve it.
		response = Response{Kind: Rejected, RetryAfter: clock.Millis(d.settings.MaxRetryAfter) / 2}
	}
	d.respond(request, response)
	d.closeRequest(request)
}

// finishRequest gives an open request the response that the module decided on.
func (d *Dispatcher) finishRequest(id routing.RequestID, response Response) {
	request := d.openRequests[id]
	if request == nil {
		return
	}
	d.removeRequest(request)
	d.respond(request, response)
}

// closeRequest removes a request and cancels its attempts.
func (d *Dispatcher) closeRequest(request *Request) {
	d.removeRequest(request)
	d.notifyRouter(routing.ClientDisconnected{ID: request.id})
	for _, attempt := range request.attempts { // the module knows the request no longer
		d.cancelAttempt(attempt, routing.Canceled)
	}
}

// removeRequest ends a request's being open, and frees its transaction id.
func (d *Dispatcher) removeRequest(request *Request) {
	delete(d.openRequests, request.id)
	if d.byTransactionID[request.TransactionID] == request {
		delete(d.byTransactionID, request.TransactionID)
	}
}

// responseCounters are the names of the counters of responses.
var responseCounters = [...]string{
	Failed:      "answers_failed",
	Rejected:    "answers_refused",
	Served:      "answers_served",
	NotModified: "answers_same",
	DuplicateID: "answers_clash",
}

// respond gives a request its one response, unless it has it or its client disconnected. It is
// the only caller of Respond.
func (d *Dispatcher) respond(request *Request, response Response) {
	if request.responded {
		return
	}
	request.responded = true
	class := d.settings.Classes[request.Class].Name
	d.metrics.Add(responseCounters[response.Kind], 1)
	d.metrics.Add(ClassCounterName(class, response.Kind), 1)
	request.Respond(response)
	d.traceResponse(request, traceOutcomes[response.Kind])
	request.releaseBody()
}

// ClassCounterName returns the name of the counter of a class's requests that ended in a way.
func ClassCounterName(class string, kind ResponseKind) string {
	switch kind {
	case Served, NotModified:
		return "class_" + class + "_served"
	case Rejected:
		return "class_" + class + "_refused"
	default:
		return "class_" + class + "_failed"
	}
}
