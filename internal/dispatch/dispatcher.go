// Package core is the actor round the decision module. It deals in requests,
// attempts and outcomes and knows no wire: fronts hand it requests, carriers
// carry out its attempts.
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
