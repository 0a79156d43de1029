// Package core is the actor round the decision module. It deals in requests,
// attempts and outcomes and knows no wire: fronts hand it requests, carriers
// carry out its attempts.
package dispatch

import (
	"container/heap"
	"context"
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
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

// AttemptTrace is the part that an attempt's carrier has in a trace.
type AttemptTrace struct {
	Context trace.Parent // to be passed on where the carrier's wire has a place for it
	Timing  trace.Wire   // the carrier's, until it reports the End
}

// RequestTrace is what a Tracer keeps of one request. Its methods are called on the core's
// goroutine.
type RequestTrace interface {
	AttemptStarted(now float64, g routing.SendAttempt) trace.Parent // of what is done for the attempt
	AttemptEnded(now float64, r routing.Result, bytes int, load routing.LoadReport, w trace.Wire)
	Responded(now float64, o trace.Outcome)
	Done() bool
}

// Tracer follows the requests of a core, on its goroutine.
type Tracer interface {
	Open(now float64, r *Request, class *routing.Class) RequestTrace
	Close(now float64, t RequestTrace) // t is done
}

// Attempt is one sending of a request.
type Attempt struct {
	Request         *Request
	Index           int
	Decision        routing.SendAttempt
	ExpiresAt       float64 // it is given up then
	SendDeadline    float64 // it may be written until then; 0: until it is given up
	Class           *routing.Class
	RequestDeadline float64 // of its request

	MayRetry       bool          // it is given up while its request is open: another may follow
	TransportState any           // the carrier's own
	Trace          *AttemptTrace // nil: its request is not traced

	sentAt            float64
	accepted          bool // by its carrier
	ended             bool
	completionDelayed bool           // it was given up or lost; its end waits for wayFor
	notExecuted       bool           // it ended and is proved not to have run
	cancelRequested   bool           // the carrier has been asked to give it up
	cancelResult      routing.Result // what it is called then
}

// Completion is how a carrier says that an attempt is over. Result Cancelled says
// that it was given up, where that was asked for.
type Completion struct {
	Attempt  *Attempt
	Result   routing.Result
	Response Response
	Load     routing.LoadReport
	Note     routing.CacheStatus // how it met its object, where that is told
	FillWait float64             // ms for the source's first byte or failure; 0: not told
	Final    bool                // the request is over though nothing was served by the attempt
}

// Unsent is the end of an attempt that never left.
func Unsent(a *Attempt, r routing.Result) *Completion {
	return &Completion{Attempt: a, Result: r, Load: UnknownLoad()}
}

// Resolved is the end of an attempt that is over once its server is named: the
// request is answered with it. The module books what it sent as work and
// learns nothing, since how the client fares there is not told here.
func Resolved(a *Attempt) *Completion {
	return &Completion{Attempt: a, Result: routing.Canceled, Final: true, Load: UnknownLoad(),
		Response: Response{Kind: Served, Server: a.Decision.Server}}
}

// Transport carries attempts out. No call may block or call back: how an attempt
// that was taken ended comes to the core's mailbox as an End.
type Transport interface {
	// Send takes an attempt, or returns how it ended at once.
	Send(*Attempt) *Completion
	// Cancel gives an attempt up. Its End follows once it is given up on the
	// wire, with that or another result.
	Cancel(*Attempt)
	// Release says that the core has taken the End of an attempt that was sent.
	Release(*Attempt)
}

// EndpointListener is told of each change of the list before the module is.
type EndpointListener interface {
	UpdateEndpoints(ev platformconfig.WatchEvent)
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

// UnknownLoad is a load report without values.
func UnknownLoad() routing.LoadReport {
	nan := math.NaN()
	return routing.LoadReport{Inflight: nan, CPUUtilization: nan, HitRatio: nan, LinkUtilization: nan}
}

// slack is how long after the deadline of a request the core waits for the
// module's word before it answers by itself, and slackPart bounds it by the time that the
// request has: who waits for 50 ms would not wait for 5 more.
const (
	responseGrace      = 5.0
	responseGraceShare = 0.05
)

// cancelTransit is how long giving an attempt up, by a cancel or the end of its connection, has to
// arrive before the request is sent again: a way to a cache takes a few ms at the most.
//
// Symptom guarded against: what was sent on at once overtook the cancel, on another
// connection, and the request was out twice.
const cancelTransit = 5.0

// mailboxSize bounds the events that wait for the core.
const mailboxSize = 4096

// Dispatcher is the actor that owns the module, the open requests and the timers.
type Dispatcher struct {
	clock           clock.Clock
	settings        routing.Settings
	router          *routing.Router
	listeners       []EndpointListener
	tracer          Tracer
	metrics         *metrics.Registry
	mailbox         chan any
	stopped         chan struct{}
	nextID          routing.RequestID
	openRequests    map[routing.RequestID]*Request
	byTransactionID map[string]*Request // of those, the ones with a client's id
	timers          timerHeap
	drainBy         float64 // all is answered by then; 0: there is no such time
	pendingEvents   []routing.Event
	actions         []routing.Action
	ejectedBuffer   []routing.ServerID // room for show

	ejectedCount     atomic.Int64 // servers that the module has set aside
	publishesEjected bool         // the ones set aside are published
	ejected          atomic.Pointer[[]routing.ServerID]
}

type disconnectMessage struct{ request *Request }

type drainMessage struct{ deadline float64 }

// New returns a core that has not been started.
func New(c clock.Clock, set routing.Settings, seed uint64, s *metrics.Registry) (*Dispatcher, error) {
	router, err := routing.New(set, seed)
	if err != nil {
		return nil, err
	}
	return &Dispatcher{clock: c, settings: set, router: router, metrics: s, mailbox: make(chan any, mailboxSize),
		stopped: make(chan struct{}), openRequests: map[routing.RequestID]*Request{}, byTransactionID: map[string]*Request{}}, nil
}

// AddListeners adds listers. It must not be called once Run has been.
func (c *Dispatcher) AddListeners(l ...EndpointListener) { c.listeners = append(c.listeners, l...) }

// SetTracer has all requests followed. It must not be called once Run has been.
func (c *Dispatcher) SetTracer(t Tracer) { c.tracer = t }

// Stopped is closed when Run has returned.
func (c *Dispatcher) Stopped() <-chan struct{} { return c.stopped }

// Run works through the mailbox until ctx ends.
func (c *Dispatcher) Run(ctx context.Context) {
	defer close(c.stopped)
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		wait := time.Hour
		if len(c.timers) > 0 {
			wait = max(0, clock.Duration(c.timers[0].at-c.clock.Now()))
		}
		t.Reset(wait)
		select {
		case m := <-c.mailbox:
			c.handleMessage(m)
		case <-t.C:
		case <-ctx.Done():
			return
		}
		c.fireTimers()
		c.ejectedCount.Store(c.router.UnavailableCount())
		c.publishEjections()
	}
}

// PublishEjected has the servers that are set aside published. It must not be called once Run
// has been.
func (c *Dispatcher) PublishEjected() { c.publishesEjected = true }

// publishEjections publishes the servers that are set aside, where that is wanted and has changed.
func (c *Dispatcher) publishEjections() {
	if !c.publishesEjected {
		return
	}
	l := c.router.AppendEjected(c.ejectedBuffer[:0])
	if c.ejectedBuffer = l; !slices.Equal(l, c.Ejected()) {
		l = slices.Clone(l)
		c.ejected.Store(&l)
	}
}

// Ejected returns the servers that the module has set aside, where they are published. It
// does not change.
func (c *Dispatcher) Ejected() []routing.ServerID {
	if p := c.ejected.Load(); p != nil {
		return *p
	}
	return nil
}

// Submit hands a request to the core, which calls Reply exactly once unless
// the client leaves first. It reports false where the core has stopped.
func (c *Dispatcher) Submit(r *Request) bool { return c.enqueue(r) }

// Disconnect says that the client of a submitted request has gone.
func (c *Dispatcher) Disconnect(r *Request) {
	r.disconnected.Store(true)
	c.enqueue(disconnectMessage{r})
}

// DrainBy has all that is open, or is still taken, answered by a time: the process is
// killed soon after.
func (c *Dispatcher) DrainBy(at float64) { c.enqueue(drainMessage{at}) }

// Complete reports the end of an attempt.
func (c *Dispatcher) Complete(e Completion) { c.enqueue(e) }

// HandleWatchEvent hands over an event of the change log.
func (c *Dispatcher) HandleWatchEvent(ev platformconfig.WatchEvent) { c.enqueue(ev) }

// ReportLoad hands over a cache's load as another router measured it, age ms ago. It does not
// wait: a report that finds no room is worth nothing later.
func (c *Dispatcher) ReportLoad(id routing.ServerID, l routing.LoadReport, age float64) {
	c.offer(routing.PeerLoadReport{Server: id, Load: l, Age: clock.Duration(age)})
}

// ExtendEjection prolongs the rest of a server that is set aside, for so many ms from now. Like a
// report it does not wait.
func (c *Dispatcher) ExtendEjection(id routing.ServerID, ms float64) {
	c.offer(routing.ExtendEjection{Server: id, Until: clock.Duration(c.clock.Now() + ms)})
}

// RequireProbe has a server that others set aside tried before it gets more.
func (c *Dispatcher) RequireProbe(id routing.ServerID) { c.offer(routing.RequireProbe{Server: id}) }

// offer hands another router's word to the module, if there is room.
func (c *Dispatcher) offer(ev routing.Event) {
	select {
	case c.mailbox <- ev:
	default:
	}
}

// Reload goes over to other settings, which config.Admits has let pass.
func (c *Dispatcher) Reload(set routing.Settings) { c.enqueue(set) }

func (c *Dispatcher) enqueue(m any) bool {
	select {
	case c.mailbox <- m:
		return true
	case <-c.stopped:
		return false
	}
}

// handleMessage takes one message.
func (c *Dispatcher) handleMessage(m any) {
	switch m := m.(type) {
	case *Request:
		c.handleRequest(m)
	case disconnectMessage:
		c.handleDisconnect(m.request)
	case drainMessage:
		c.drainBy = m.deadline
		for _, r := range c.openRequests {
			c.schedule(m.deadline, 0, nil, r)
		}
	case Completion:
		c.handleCompletion(m)
	case platformconfig.WatchEvent:
		c.applyWatchEvent(m)
	case routing.PeerLoadReport, routing.ExtendEjection, routing.RequireProbe:
		c.handleEvent(m.(routing.Event))
	case routing.Settings:
		if err := c.router.UpdateSettings(m); err == nil {
			c.settings = m
		}
	}
}

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

// traceOutcomes are the kinds of answers as traces name them.
var traceOutcomes = [...]trace.Outcome{Failed: trace.Failed, Rejected: trace.Refused, Served: trace.Served, NotModified: trace.Same, DuplicateID: trace.Failed}

// traceResponse notes the answer to a request that is followed.
func (c *Dispatcher) traceResponse(r *Request, o trace.Outcome) {
	if r.trace != nil {
		r.trace.Responded(c.clock.Now(), o)
		c.closeTrace(r)
	}
}

// closeTrace gives the trail of a request back once it is answered and nothing is out.
func (c *Dispatcher) closeTrace(r *Request) {
	if r.trace.Done() {
		c.tracer.Close(c.clock.Now(), r.trace)
		r.trace = nil
	}
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

// EjectedCount returns how many servers the module has set aside.
func (c *Dispatcher) EjectedCount() int64 { return c.ejectedCount.Load() }

// handleCompletion books the end of an attempt.
func (c *Dispatcher) handleCompletion(e Completion) {
	a := e.Attempt
	if a.ended {
		return
	}
	at := c.clock.Now() + cancelTransit // past its time nothing is sent on, and the answer is not held back
	if left := e.Result == routing.Canceled || e.Result == routing.ConnectionLost; left && a.accepted && !a.completionDelayed && !a.Request.responded && at < a.ExpiresAt {
		a.completionDelayed = true
		heap.Push(&c.timers, timer{at: at, completion: &e})
		return
	}
	a.ended = true
	if a.accepted {
		a.Request.Transport.Release(a)
	}
	if e.Result == routing.Canceled && a.cancelRequested {
		e.Result = a.cancelResult
	}
	if e.Final {
		c.metrics.Add("attempts_named", 1)
	} else {
		c.metrics.Add("attempts_"+resultNames[e.Result], 1)
	}
	a.notExecuted = e.Result.NotExecuted()
	r := a.Request
	if r.trace != nil {
		r.trace.AttemptEnded(c.clock.Now(), e.Result, len(e.Response.Body), e.Load, a.Trace.Timing)
		if r.responded {
			c.closeTrace(r)
		}
	}
	if !r.responded && (e.Result == routing.Served || e.Final) {
		c.respond(r, e.Response)
	}
	c.handleEvent(routing.Outcome{ID: r.id, Attempt: a.Index, Server: a.Decision.Server, Result: e.Result,
		Duration: clock.Duration(c.clock.Now() - a.sentAt), BodyBytes: len(e.Response.Body), RequestDone: r.responded, Load: e.Load,
		CacheStatus: e.Note, SourceWait: clock.Duration(e.FillWait)})
	if r.responded {
		c.removeRequest(r)
		r.releaseBody()
	}
}

// releaseBody gives back the body of a request that is over and has nothing out:
// timers hold the request until its deadline.
func (r *Request) releaseBody() {
	if n := len(r.attempts); n == 0 || r.attempts[n-1].ended {
		r.Body = nil
	}
}

var resultNames = [...]string{routing.Served: "served", routing.ServerError: "errored", routing.Rejected: "full",
	routing.TimedOut: "timed_out", routing.ConnectFailed: "unreached", routing.ConnectionLost: "broken",
	routing.Canceled: "cancelled", routing.NotSent: "not_sent", routing.NotCached: "miss"}

// applyWatchEvent passes an event of the change log on.
func (c *Dispatcher) applyWatchEvent(ev platformconfig.WatchEvent) {
	switch {
	case ev.ListUpdate:
		for _, l := range c.listeners {
			l.UpdateEndpoints(ev)
		}
		c.metrics.Add("lists_told", 1)
		c.handleEvent(c.membershipChange(ev))
	case ev.Purge != nil:
		c.metrics.Add("purges_told", 1)
		c.handleEvent(routing.Purge{Object: ev.Purge.Object, Group: ev.Purge.Group,
			Age: clock.Duration(max(0, c.clock.Now()+clock.WallClockStep(c.clock)-ev.Purge.At))})
	}
}

// membershipChange is a change of the list as the module takes it, with times of the core's clock.
func (c *Dispatcher) membershipChange(ev platformconfig.WatchEvent) routing.EndpointUpdate {
	m, step := routing.EndpointUpdate{Snapshot: ev.Snapshot}, clock.Duration(clock.WallClockStep(c.clock))
	for _, h := range ev.Endpoints {
		if h.StartedAt != 0 { // which is long ago
			h.StartedAt = max(h.StartedAt-step, 1)
		}
		m.Servers = append(m.Servers, h.Server)
	}
	return m
}

// handleEvent gives the module an event and carries out what it calls for, and so on
// with the events that this makes at once.
func (c *Dispatcher) handleEvent(ev routing.Event) {
	c.pendingEvents = append(c.pendingEvents, ev)
	if len(c.pendingEvents) > 1 {
		return // the loop below is running
	}
	for i := 0; i < len(c.pendingEvents); i++ {
		c.actions = c.router.Handle(clock.Duration(c.clock.Now()), c.pendingEvents[i], c.actions[:0])
		for _, a := range c.actions {
			c.execute(a)
		}
	}
	c.pendingEvents = c.pendingEvents[:0]
}

func (c *Dispatcher) execute(a routing.Action) {
	switch a := a.(type) {
	case routing.SendAttempt:
		c.startAttempt(a)
	case routing.Reject:
		if r := c.openRequests[a.ID]; r != nil {
			c.removeRequest(r)
			c.respond(r, Response{Kind: Rejected, RetryAfter: clock.Millis(a.RetryAfter)})
		}
	case routing.Fail:
		if r := c.openRequests[a.ID]; r != nil {
			c.removeRequest(r)
			c.respond(r, Response{Kind: Failed})
		}
	case routing.CancelAttempt:
		if r := c.openRequests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			c.cancelAttempt(r.attempts[a.Attempt], routing.Canceled)
		}
	case routing.SetTimer:
		c.schedule(c.clock.Now()+clock.Millis(a.Delay), a.Token, nil, nil)
	}
}

// startAttempt makes an attempt of a decision.
func (c *Dispatcher) startAttempt(g routing.SendAttempt) {
	r := c.openRequests[g.ID]
	if r == nil {
		return
	}
	a := &Attempt{Request: r, Index: len(r.attempts), Decision: g, Class: &c.settings.Classes[r.Class], sentAt: c.clock.Now(),
		ExpiresAt: min(clock.Millis(g.Deadline), r.Deadline), RequestDeadline: r.Deadline}
	if g.Deadline == 0 {
		a.ExpiresAt = r.Deadline
	}
	if r.trace != nil {
		a.Trace = &AttemptTrace{Context: r.trace.AttemptStarted(a.sentAt, g)}
	}
	busy := len(r.attempts) > 0 && !r.attempts[len(r.attempts)-1].ended
	barred := r.ClientDisconnected() || c.retryForbidden(r, a)
	r.attempts = append(r.attempts, a)
	over := Unsent(a, routing.NotSent)
	if !r.responded && !busy && !barred && a.Index < c.settings.MaxAttempts && a.sentAt < a.ExpiresAt {
		over = r.Transport.Send(a)
	}
	if over != nil {
		c.handleCompletion(*over)
		return
	}
	a.accepted = true
	c.metrics.Add("attempts_sent", 1)
	c.schedule(a.ExpiresAt, 0, a, nil)
}

// retryForbidden tells whether the class of a request bars what may run a second time, and bounds
// the time at which the attempt may be written: the module decided before it was queued.
//
// Symptom guarded against: a repeat that waited for a connection was written after the
// window in which its key is known.
func (c *Dispatcher) retryForbidden(r *Request, a *Attempt) bool {
	for _, t := range r.attempts {
		if t.notExecuted {
			continue
		}
		switch a.Class.Idempotency {
		case routing.IdempotentWithKey:
			a.SendDeadline = t.sentAt + clock.Millis(a.Class.KeyWindow)
			return a.sentAt >= a.SendDeadline
		case routing.NonIdempotent:
			return true
		}
		break
	}
	return false
}

// cancelAttempt has an attempt given up. It is over when its carrier says so.
func (c *Dispatcher) cancelAttempt(a *Attempt, as routing.Result) {
	if a.ended || a.cancelRequested {
		return
	}
	a.cancelRequested, a.cancelResult, a.MayRetry = true, as, !a.Request.responded
	a.Request.Transport.Cancel(a)
}

// fireTimers fires the timers that are due.
func (c *Dispatcher) fireTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.clock.Now() {
		switch t := heap.Pop(&c.timers).(timer); {
		case t.completion != nil:
			c.handleCompletion(*t.completion)
		case t.attempt != nil:
			c.cancelAttempt(t.attempt, routing.TimedOut)
		case t.request != nil:
			c.handleDeadline(t.request)
		default:
			c.handleEvent(routing.TimerFired{Token: t.token})
		}
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

func (c *Dispatcher) schedule(at float64, token uint64, a *Attempt, r *Request) {
	heap.Push(&c.timers, timer{at: at, token: token, attempt: a, request: r})
}

// timer is one entry of the heap: for an attempt, its end, a request or the module.
type timer struct {
	at         float64
	token      uint64
	attempt    *Attempt
	request    *Request
	completion *Completion
}

type timerHeap []timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}
