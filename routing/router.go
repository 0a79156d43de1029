package routing

import (
	"fmt"
	"time"
)

// Router makes the routing decisions of one edge router. Only one goroutine may use it at a time, all
// its methods included.
type Router struct {
	settings          Settings
	seed              uint64
	longestObjective  time.Duration // of all classes: an origin that takes it is overloaded
	zoneFraction      float64       // of its zone's requests that this router receives
	slowStarts        [roleCount]SlowStart
	servers           []*server
	readyByRole       [roleCount][]*server
	totalWeight       [roleCount]float64        // of the ready servers
	throughput        [roleCount]decayingSum    // seconds of transfer time a second, served for this router
	peakThroughput    [roleCount]float64        // highest throughput seen, per weight
	initialized       bool                      // the first endpoint list has come
	requests          map[RequestID]*request    // unfinished ones
	queue             []*request                // oldest first
	meanTransferTimes []float64                 // by class, seconds
	transferTimes     boundedTable[float64]     // least one seen by chunk, seconds
	popularity        boundedTable[decayingSum] // request counts by object
	originLimiter     limiter                   // of what parents fetch from the origin
	linkLimiter       limiter                   // of fills through the zone's link
	purgeLog          Guard                     // only its purges are used
	cacheStatusKnown  bool                      // outcomes tell it, also of failures
	fillLatency       float64                   // smoothed time until a fill begins, seconds
	fillPace          float64                   // smoothed time of a fill over its transfer time
	ranking           []*server                 // result of the latest rankServers
	now               time.Duration             // of the event being handled
	actions           []Action                  // called for by it
}

// New returns a Router that has just started. A seed sets the routers of a zone apart in what
// they draw by lot. An error wraps a *SettingError.
func New(settings Settings, seed uint64) (*Router, error) {
	r := &Router{seed: seed, requests: map[RequestID]*request{}}
	return r, r.UpdateSettings(settings)
}

// UpdateSettings replaces the settings and keeps what is known of servers, objects and requests.
// Classes are told apart by their index. Settings that cannot be used change nothing; the error wraps
// a *SettingError.
func (r *Router) UpdateSettings(settings Settings) error {
	if err := settings.validate(); err != nil {
		return fmt.Errorf("routing: %w", err)
	}
	r.settings = settings
	r.slowStarts = [roleCount]SlowStart{settings.CacheSlowStart, settings.ParentSlowStart, {InitialCapacity: 1}}
	r.zoneFraction = 1
	if len(settings.RoutersByZone) > 0 {
		r.zoneFraction = 1 / float64(max(settings.RoutersByZone[settings.Zone], 1))
	}
	r.longestObjective = time.Millisecond // a divisor
	for i, class := range settings.Classes {
		r.longestObjective = max(r.longestObjective, class.LatencyObjective)
		if i == len(r.meanTransferTimes) { // until more is known: not too short
			r.meanTransferTimes = append(r.meanTransferTimes, class.LatencyObjective.Seconds())
		}
	}
	return nil
}

// Handle handles one event at the time now and returns actions with those appended that the event
// calls for. Times count from any one moment and never decrease.
func (r *Router) Handle(now time.Duration, event Event, actions []Action) []Action {
	r.now = now
	r.actions = actions
	switch event := event.(type) {
	case EndpointUpdate:
		r.handleEndpointUpdate(event)
	case Request:
		r.handleRequest(event)
	case Outcome:
		r.handleOutcome(event)
	case TimerFired:
		r.handleTimer(event.Token)
	case Purge:
		r.handlePurge(event)
	case PeerLoadReport:
		r.handlePeerLoadReport(event)
	case ExtendEjection:
		r.extendEjection(event)
	case RequireProbe:
		r.requireProbe(event)
	case ClientDisconnected:
		if request := r.requests[event.ID]; request != nil {
			r.finish(request)
		}
	}
	actions = r.actions
	r.actions = nil
	return actions
}

// emit adds an action to those that the event being handled calls for.
func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// handleTimer handles the firing of a timer; its request may have ended since.
func (r *Router) handleTimer(token uint64) {
	if token == timerSubscribe {
		r.emit(Subscribe{})
		return
	}
	request := r.requests[RequestID(token>>timerKindBits)]
	if request == nil {
		return
	}
	switch token & timerKindMask {
	case timerCheckAttempt:
		if request.inflight > 0 && !request.latestAttempt().ended {
			r.checkOverdue(request.latestAttempt())
		}
	case timerQueueExpired:
		if request.queued {
			r.rejectOrFail(request)
		}
	}
}

// handleRequest handles a client's request: it is forwarded, queued or answered at once.
func (r *Router) handleRequest(event Request) {
	if r.requests[event.ID] != nil {
		return
	}
	if event.Class < 0 || event.Class >= len(r.settings.Classes) {
		// The class was never announced. Nothing was sent, so that a retry is harmless.
		r.emit(Reject{ID: event.ID})
		return
	}
	request := r.newRequest(&event)
	if r.hasSize(request) { // rejected ones count too: the larger are rejected more often
		r.learnMeanTransferTime(request, event.SizeKB/r.settings.TransferKBPerSecond)
	}
	if !request.class.Write {
		request.popularity = r.recordRequestFor(event.Object)
	}
	r.requests[event.ID] = request
	r.dispatch(request)
}

// newRequest returns the record of a request of an announced class.
func (r *Router) newRequest(event *Request) *request {
	class := &r.settings.Classes[event.Class]
	created := &request{
		Request:          *event,
		class:            class,
		meanTransferTime: &r.meanTransferTimes[event.Class],
		deadline:         r.now + event.Timeout,
	}
	transferAllowance := time.Duration(class.ObjectiveTransferFactor * float64(r.transferTime(created)))
	created.objectiveAt = r.now + min(event.Timeout, class.LatencyObjective+transferAllowance)
	return created
}

// dispatch sends the next attempt of a request, queues the request or ends it.
func (r *Router) dispatch(request *request) {
	route := r.selectRoute(request)
	switch {
	case route.target == nil || !r.mayAttempt(request):
		r.rejectOrFail(request)
	case route.admitted:
		r.sendAttempt(request, route)
	default:
		r.enqueue(request)
	}
}

// handleOutcome records the end of an attempt and continues its request. Outcomes of unknown or
// ended attempts change nothing.
func (r *Router) handleOutcome(outcome Outcome) {
	request := r.requests[outcome.ID]
	if request == nil || outcome.Attempt < 0 || outcome.Attempt >= len(request.attempts) {
		return
	}
	attempt := request.attempts[outcome.Attempt]
	if attempt.ended {
		return
	}
	attempt.notExecuted = outcome.Result.NotExecuted()
	r.track(attempt, -1)
	if attempt.target.role == cache {
		r.recordLinkLoad(outcome.Load)
	}
	r.recordOutcome(attempt, outcome)
	if outcome.Result == Served || outcome.RequestDone {
		r.finish(request)
	} else if request.inflight == 0 {
		r.retry(request, attempt, outcome)
	}
	r.dispatchQueue()
}

// finish forgets a request and cancels what is in flight for it.
func (r *Router) finish(request *request) {
	delete(r.requests, request.ID)
	request.queued = false
	for _, attempt := range request.attempts {
		if attempt.ended {
			continue
		}
		r.track(attempt, -1)
		if r.settings.CanCancel {
			r.emit(CancelAttempt{ID: request.ID, Attempt: attempt.index})
		}
	}
}
