// Package dispatch runs the decision module (package routing) on the requests of one router.
// Frontends submit requests, transports carry out their attempts, and the Dispatcher between
// them turns what happens into events for the module and the module's actions into attempts,
// cancellations, timers and responses. The package knows no wire format.
//
// The Dispatcher owns the module, the open requests and all timers. They belong to the
// goroutine that runs Run; nothing else touches them. Other goroutines talk to it through its
// mailbox: Submit, Disconnect, Complete and the other methods that say so may be called from
// anywhere. The dispatcher itself waits for nobody, so that a transport or a frontend may wait
// for room in its mailbox.
//
// Times are Unix milliseconds by the clock that New is given.
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

// mailboxSize bounds the messages that wait for the dispatcher.
const mailboxSize = 4096

// idleWait is how long the dispatcher sleeps when there is neither a message nor a timer.
const idleWait = time.Hour

// Dispatcher owns the decision module, the open requests and the timers of one router.
type Dispatcher struct {
	clock     clock.Clock
	settings  routing.Settings
	router    *routing.Router
	listeners []EndpointListener
	tracer    Tracer // nil: requests are not traced
	metrics   *metrics.Registry

	mailbox chan message
	stopped chan struct{}

	nextID          routing.RequestID
	openRequests    map[routing.RequestID]*Request
	byTransactionID map[string]*Request // those open requests whose client named an id
	timers          timerHeap
	drainBy         float64 // all requests are answered by then; 0: not draining

	pendingEvents []routing.Event  // for the module, in order; see notifyRouter
	actions       []routing.Action // reused between events

	ejectedCount     atomic.Int64
	publishesEjected bool
	ejected          atomic.Pointer[[]routing.ServerID]
	ejectedBuffer    []routing.ServerID // reused by publishEjections
}

// New returns a dispatcher that has not been started. The seed varies the choices between
// routers. It returns an error that names the setting if the settings cannot be used.
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
		mailbox:         make(chan message, mailboxSize),
		stopped:         make(chan struct{}),
		openRequests:    map[routing.RequestID]*Request{},
		byTransactionID: map[string]*Request{},
	}, nil
}

// AddListeners adds listeners for changes of the endpoint list. It must not be called after
// Run.
func (d *Dispatcher) AddListeners(listeners ...EndpointListener) {
	d.listeners = append(d.listeners, listeners...)
}

// SetTracer has all requests traced. It must not be called after Run.
func (d *Dispatcher) SetTracer(tracer Tracer) { d.tracer = tracer }

// Stopped returns a channel that is closed when Run has returned.
func (d *Dispatcher) Stopped() <-chan struct{} { return d.stopped }

// Run handles messages and timers until ctx ends. It is called once.
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
		d.publishEjections()
	}
}

// Submit hands a request to the dispatcher, which calls Respond exactly once unless the client
// disconnects first. It reports false if the dispatcher has stopped; Respond is not called
// then. Any goroutine may call it, and it waits for room in the mailbox.
func (d *Dispatcher) Submit(request *Request) bool { return d.enqueue(submitMessage{request}) }

// Disconnect says that the client of a submitted request has disconnected. Any goroutine may
// call it.
func (d *Dispatcher) Disconnect(request *Request) {
	request.disconnected.Store(true)
	d.enqueue(disconnectMessage{request})
}

// DrainBy has every request that is open, or is still submitted, answered by a time: the
// process is killed soon after. Any goroutine may call it.
func (d *Dispatcher) DrainBy(deadline float64) { d.enqueue(drainMessage{deadline}) }

// Complete reports the end of an attempt that its transport had accepted. Any goroutine may
// call it.
func (d *Dispatcher) Complete(completion Completion) { d.enqueue(completionMessage{&completion}) }

// HandleWatchEvent hands over an event of the endpoint list's watch. Any goroutine may call it.
func (d *Dispatcher) HandleWatchEvent(event platformconfig.WatchEvent) {
	d.enqueue(watchMessage{event})
}

// Reload replaces the settings. The caller has checked that they differ from those in use only
// in what may change while the program runs. Any goroutine may call it.
func (d *Dispatcher) Reload(settings routing.Settings) { d.enqueue(reloadMessage{settings}) }

// notifyRouter gives the decision module an event and executes the actions that it returns.
// Events that arise from them are handled in order by the outermost call.
func (d *Dispatcher) notifyRouter(event routing.Event) {
	d.pendingEvents = append(d.pendingEvents, event)
	if len(d.pendingEvents) > 1 {
		return // the outermost call goes on with it
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
		d.scheduleRouterTimer(d.clock.Now()+clock.Millis(action.Delay), action.Token)
	}
}
