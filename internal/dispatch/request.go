package dispatch

import (
	"sync/atomic"

	"garnetline/internal/clock"
	"garnetline/internal/memorybudget"
	"garnetline/internal/trace"
	"garnetline/routing"
)

// ResponseKind tells how a request ended.
type ResponseKind int

// The kinds of responses.
const (
	// Failed says that the request was not served. A server may have executed the request.
	Failed ResponseKind = iota
	// Rejected says that the request was not served. The client may retry it without harm after
	// Response.RetryAfter.
	Rejected
	// Served says that a server served the request. Response.Body holds the body of its response.
	Served
	// NotModified says that the client's copy is current.
	NotModified
	// DuplicateID says that the request was not processed, because another request with the same
	// transaction id is open, or may have been executed and must not be executed again.
	DuplicateID
)

// Response is the response to a request. Each request gets at most one.
type Response struct {
	Kind       ResponseKind
	Body       []byte
	ETag       string
	RetryAfter float64 // ms; set if Kind is Rejected
	Server     routing.ServerID
	Memory     *memorybudget.Reservation // memory of Body; whoever drops the response releases it; nil: not reserved
}

// Request is a client's request that a frontend submits. After Submit, the dispatcher owns the
// request. The frontend must not change the bytes of Body while an attempt of the request is in
// flight.
type Request struct {
	TransactionID  string // the client's id, passed on unchanged; empty: the client sent none
	IdempotencyKey string // empty: the client sent none
	IfNoneMatch    string // entity tag of the client's copy; empty: none
	Class          int    // index into routing.Settings.Classes
	Object         routing.ObjectID
	Chunk          int
	PurgeGroup     int
	SizeKB         float64 // size of the chunk in kilobytes, the unit of the link settings; 0: unknown
	Body           []byte
	Deadline       float64        // time at which the client gives up
	Transport      Transport      // carries out the attempts
	Respond        func(Response) // called on the dispatcher's goroutine; must not block
	Client         *ClientInfo    // nil: unknown

	// ProbeClient asks the system whether the client has disconnected. It does not block, and may be
	// called from any goroutine. Nil: only Dispatcher.Disconnect tells.
	ProbeClient func() bool

	id           routing.RequestID
	trace        RequestTrace // nil: the request is not traced
	attempts     []*Attempt
	responded    bool // Respond was called, or the client disconnected, so that Respond must not be called
	disconnected atomic.Bool

	executedAt float64 // time at which an earlier request with the same id may have been executed; 0: never
	inHistory  bool    // the history of executions has the id
	claimed    bool    // the history has the id because of this request

	deadlineTimer timer
	routerTimers  []*timer // the decision module's pending timers for this request
}

// ClientInfo tells when and from which address a request arrived. Traces show both.
type ClientInfo struct {
	ReceivedAt  float64 // when the request's last byte arrived; 0: traces show when the dispatcher received the request
	TraceParent string  // value of the traceparent header, not validated
	Address     string
}

// ClientDisconnected reports whether the client has disconnected. After the client has
// disconnected, no further attempt is sent for the request. Any goroutine may call
// ClientDisconnected; the call does not wait for the dispatcher. It asks ProbeClient too, because the
// frontend may not have read the end of the connection yet.
func (r *Request) ClientDisconnected() bool {
	return r.disconnected.Load() || r.ProbeClient != nil && r.ProbeClient()
}

// lastAttemptEnded reports whether no attempt is in flight.
func (r *Request) lastAttemptEnded() bool {
	count := len(r.attempts)
	return count == 0 || r.attempts[count-1].ended
}

// firstExecution returns the time of the first attempt that a server may have executed. ok is false if
// no server may have executed the request. A server may also have executed an attempt that is in
// flight, and an earlier request with the same id.
func (r *Request) firstExecution() (at float64, ok bool) {
	if r.executedAt > 0 {
		return r.executedAt, true
	}
	for _, attempt := range r.attempts {
		if !attempt.notExecuted {
			return attempt.sentAt, true
		}
	}
	return 0, false
}

// releaseBody drops the reference to the body of an answered request if no attempt is in flight.
// The frontend may keep the Request itself longer.
func (r *Request) releaseBody() {
	if r.lastAttemptEnded() {
		r.Body = nil
	}
}

// Limits of ValidFieldValue.
const (
	maxFieldValueLength = 128 // bytes
	allowedFieldBytes   = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_.:+/"
)

var validFieldByte = byteSet(allowedFieldBytes)

// byteSet returns an array that is true at the index of each byte in members.
func byteSet(members string) (set [256]bool) {
	for i := range len(members) {
		set[members[i]] = true
	}
	return set
}

// ValidFieldValue reports whether an entity tag or idempotency key can be written into a field of a
// transport's wire format without escaping. A valid value has from 1 to maxFieldValueLength bytes.
// All of them are letters, digits or punctuation marks that cannot end a field.
func ValidFieldValue(value string) bool {
	if value == "" || len(value) > maxFieldValueLength {
		return false
	}
	for i := range len(value) {
		if !validFieldByte[value[i]] {
			return false
		}
	}
	return true
}

// After the deadline of a request, the dispatcher waits another responseGrace ms for the decision
// of the module. It then responds without that decision. responseGraceShare limits the wait to a
// share of the time from the arrival of the request to its deadline: a client with a timeout of 50
// ms would not wait for 5 ms more.
const (
	responseGrace      = 5.0
	responseGraceShare = 0.05
)

// handleRequest opens a request and passes it to the decision module. The request gets a small
// sequential id, because the module shifts ids into timer tokens, where a client's 64-bit id would
// lose bits.
//
// handleRequest refuses a request whose transaction id belongs to an open request, because the
// caches could not tell the two requests apart.
func (d *Dispatcher) handleRequest(request *Request) {
	if d.byTransactionID[request.TransactionID] != nil {
		d.respond(request, Response{Kind: DuplicateID})
		return
	}
	if !d.recallExecution(request) {
		d.metrics.Add("requests_repeated", 1)
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
		PurgeGroup: request.PurgeGroup,
		SizeKB:     request.SizeKB,
		Timeout:    clock.Duration(request.Deadline - d.clock.Now()),
	})
}

// handleDisconnect closes a request whose client has disconnected. It sends no response.
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

// handleDeadline handles the deadline timer of a request. If the request is still open, it responds
// to the request and closes it. Without this timer, an attempt that its transport cannot cancel in
// time would make the client wait past the deadline.
func (d *Dispatcher) handleDeadline(request *Request) {
	if d.openRequests[request.id] != request {
		return
	}
	response := Response{Kind: Failed}
	draining := d.clock.Now() < request.Deadline
	if _, executed := request.firstExecution(); draining && !executed {
		// The timer was set to the drain deadline, which is before the client's deadline. Another
		// router still has time to serve the request, so the client is told to retry.
		response = Response{Kind: Rejected, RetryAfter: clock.Millis(d.settings.MaxRetryAfter) / 2}
	}
	d.respond(request, response)
	d.closeRequest(request)
}

// finishRequest ends an open request with the response that the module decided on.
func (d *Dispatcher) finishRequest(id routing.RequestID, response Response) {
	request := d.openRequests[id]
	if request == nil {
		return
	}
	d.removeRequest(request)
	d.respond(request, response)
}

// closeRequest removes a request, tells the module that the client of the request has disconnected,
// and cancels the attempts of the request.
func (d *Dispatcher) closeRequest(request *Request) {
	d.removeRequest(request)
	d.notifyRouter(routing.ClientDisconnected{ID: request.id})
	for _, attempt := range request.attempts { // the module has forgotten the request and cancels no attempt
		d.cancelAttempt(attempt, routing.Canceled)
	}
}

// removeRequest removes a request from the open requests, cancels its timers and frees its
// transaction id.
func (d *Dispatcher) removeRequest(request *Request) {
	delete(d.openRequests, request.id)
	d.cancelTimers(request)
	d.settleExecution(request)
	if d.byTransactionID[request.TransactionID] == request {
		delete(d.byTransactionID, request.TransactionID)
	}
}

// responseCounters are the names of the counters of responses, indexed by kind.
var responseCounters = [...]string{
	Failed:      "answers_failed",
	Rejected:    "answers_refused",
	Served:      "answers_served",
	NotModified: "answers_same",
	DuplicateID: "answers_clash",
}

// respond sends the response to a request. It does nothing if the request already has a response or
// if its client has disconnected. No other function calls Request.Respond.
func (d *Dispatcher) respond(request *Request, response Response) {
	if request.responded {
		response.Memory.Release()
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

// ClassCounterName returns the name of a counter. The counter counts the requests of the given
// class that got a response of the given kind.
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
