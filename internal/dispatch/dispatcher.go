// Package dispatch runs the decision module (package routing) on the requests of one router.
// Frontends submit requests, and transports carry out the attempts of the requests. The Dispatcher
// connects them to the module: it converts requests, completions and timers into events for the
// module, and the module's actions into attempts, cancellations, timers and responses. The package
// does not depend on a wire format.
//
// The Dispatcher owns the module, the open requests and all timers; only the goroutine of Run
// accesses them. Other goroutines send messages to the dispatcher's mailbox. The methods that do
// so, such as Submit, Disconnect and Complete, may be called from any goroutine. Transports and
// frontends may wait for room in the mailbox without a deadlock, because the dispatcher never waits
// for them.
//
// Times are in Unix milliseconds of the clock that is passed to New.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/internal/platformconfig"
	"garnetline/routing"
)

// mailboxSize is the capacity of the dispatcher's mailbox, in messages.
const mailboxSize = 4096

// idleWait is how long the dispatcher sleeps if no timer is set and no message arrives.
const idleWait = time.Hour

// Dispatcher owns the decision module, the open requests and the timers of one router.
type Dispatcher struct {
	clock     clock.Clock
	settings  routing.Settings
	router    *routing.Router
	listeners []EndpointListener
	tracer    Tracer // nil: requests are not traced
	metrics   *metrics.Registry

	executions ExecutionHistory // nil: ended requests are not remembered

	mailbox chan message
	stopped chan struct{}

	nextID          routing.RequestID
	openRequests    map[routing.RequestID]*Request
	byTransactionID map[string]*Request // the open requests that have a transaction id
	timers          timerHeap
	pendingTimers   *atomic.Int64 // metric: the number of timers
	drainBy         float64       // time by which all requests must be answered; 0: not draining

	pendingEvents []routing.Event  // events that the module has not handled yet, in order; see notifyRouter
	actions       []routing.Action // the module's actions; the slice is reused between events

	ejectedCount     atomic.Int64
	publishesEjected bool
	ejected          atomic.Pointer[[]routing.ServerID]
	ejectedBuffer    []routing.ServerID // reused by publishEjections
}

// New returns a dispatcher that is not running. The seed initializes the random choices of the
// module; routers with different seeds choose differently. If the settings are not valid, New
// returns an error that names the invalid setting.
func New(clk clock.Clock, settings routing.Settings, seed uint64, registry *metrics.Registry) (*Dispatcher, error) {
	router, err := routing.New(settings, seed)
	if err != nil {
		return nil, err
	}
	return &Dispatcher{
		clock:           clk,
		settings:        settings,
		router:          router,
		metrics:         registry,
		pendingTimers:   registry.Counter("timers_pending"),
		mailbox:         make(chan message, mailboxSize),
		stopped:         make(chan struct{}),
		openRequests:    map[routing.RequestID]*Request{},
		byTransactionID: map[string]*Request{},
	}, nil
}

// AddListeners adds listeners for changes of the endpoint list. AddListeners must be called before
// Run.
func (d *Dispatcher) AddListeners(listeners ...EndpointListener) {
	d.listeners = append(d.listeners, listeners...)
}

// SetTracer sets a tracer that traces all requests. SetTracer must be called before Run.
func (d *Dispatcher) SetTracer(tracer Tracer) { d.tracer = tracer }

// Stopped returns a channel that is closed when Run has returned.
func (d *Dispatcher) Stopped() <-chan struct{} { return d.stopped }

// Run handles messages and timers until ctx is done. Run must be called only once.
func (d *Dispatcher) Run(ctx context.Context) {
	defer close(d.stopped)
	wakeUp := time.NewTimer(idleWait)
	defer wakeUp.Stop()
	for {
		wakeUp.Reset(d.untilNextTimer())
		select {
		case m := <-d.mailbox:
			m.apply(d)
		case <-wakeUp.C:
		case <-ctx.Done():
			return
		}
		d.fireTimers()
		d.pendingTimers.Store(int64(len(d.timers)))
		d.publishEjections()
	}
}

// Submit passes a request to the dispatcher. The dispatcher calls request.Respond exactly once, but
// not after the client has disconnected. If the dispatcher has stopped, Submit returns false and
// Respond is not called. Any goroutine may call Submit; the call waits for room in the mailbox.
func (d *Dispatcher) Submit(request *Request) bool { return d.enqueue(submitMessage{request}) }

// Disconnect reports that the client of a submitted request has disconnected. Any goroutine may
// call Disconnect.
func (d *Dispatcher) Disconnect(request *Request) {
	request.disconnected.Store(true)
	d.enqueue(disconnectMessage{request})
}

// DrainBy makes the dispatcher answer all requests by the deadline, in Unix milliseconds, because
// the process is killed soon after it. The deadline applies to the requests that are open now and
// to those that are submitted later. Any goroutine may call DrainBy.
func (d *Dispatcher) DrainBy(deadline float64) { d.enqueue(drainMessage{deadline}) }

// Complete reports the end of an attempt that its transport had accepted. Any goroutine may call
// Complete.
func (d *Dispatcher) Complete(completion Completion) {
	if !d.enqueue(completionMessage{&completion}) {
		completion.Response.Memory.Release()
	}
}

// HandleWatchEvent passes a watch event to the dispatcher. A watch event is a change of the
// endpoint list or a purge. Any goroutine may call HandleWatchEvent.
func (d *Dispatcher) HandleWatchEvent(event platformconfig.WatchEvent) {
	d.enqueue(watchMessage{event})
}

// Reload replaces the settings. Some settings must not change at run time: the caller must have
// checked that the new settings do not change them. Any goroutine may call Reload.
func (d *Dispatcher) Reload(settings routing.Settings) { d.enqueue(reloadMessage{settings}) }

// notifyRouter passes an event to the decision module, which is the field router, and executes the
// actions that the module returns. An action may cause another event, and thus a nested call of
// notifyRouter. A nested call only appends its event to pendingEvents. The outermost call handles
// all pending events in order.
func (d *Dispatcher) notifyRouter(event routing.Event) {
	d.pendingEvents = append(d.pendingEvents, event)
	if len(d.pendingEvents) > 1 {
		return // the outermost call handles the event
	}
	for i := 0; i < len(d.pendingEvents); i++ {
		now := clock.Duration(d.clock.Now())
		d.actions = d.router.Handle(now, d.pendingEvents[i], d.actions[:0])
		for _, action := range d.actions {
			d.execute(action)
		}
	}
	d.pendingEvents = d.pendingEvents[:0]
}

// execute carries out one action of the decision module.
func (d *Dispatcher) execute(action routing.Action) {
	switch action := action.(type) {
	case routing.SendAttempt:
		d.startAttempt(action)
	case routing.Reject:
		retryAfter := clock.Millis(action.RetryAfter)
		d.finishRequest(action.ID, Response{Kind: Rejected, RetryAfter: retryAfter})
	case routing.Fail:
		d.finishRequest(action.ID, Response{Kind: Failed})
	case routing.CancelAttempt:
		request := d.openRequests[action.ID]
		if request != nil && action.Attempt < len(request.attempts) {
			d.cancelAttempt(request.attempts[action.Attempt], routing.Canceled)
		}
	case routing.SetTimer:
		d.scheduleRouterTimer(d.clock.Now()+clock.Millis(action.Delay), action)
	}
}
