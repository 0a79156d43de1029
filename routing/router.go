package routing

import (
	"fmt"
	"time"
)

// Router makes the routing decisions of one edge router. Only one goroutine may call its methods at a
// time.
type Router struct {
	settings          Settings
	seed              uint64
	longestObjective  time.Duration // longest LatencyObjective of a class; an origin this slow is overloaded
	zoneFraction      float64       // fraction of its zone's requests that this router receives
	slowStarts        [roleCount]SlowStart
	servers           []*server
	readyByRole       [roleCount][]*server
	totalWeight       [roleCount]float64        // total weight of the ready servers
	throughput        [roleCount]decayingSum    // transfer time of completed work, in seconds per second
	peakThroughput    [roleCount]float64        // highest throughput seen, per unit of weight
	initialized       bool                      // the first endpoint list has arrived
	requests          map[RequestID]*request    // unfinished requests
	queue             []*request                // queued requests, oldest first
	meanTransferTimes []float64                 // by class, in seconds
	transferTimes     boundedTable[float64]     // shortest transfer time seen, in seconds, by chunk key
	popularity        boundedTable[decayingSum] // decayed request counts by object
	originLimiter     limiter                   // of fetches from the origin
	linkLimiter       limiter                   // of fills through the zone's link
	purgeLog          Guard                     // only Purges and PurgeRetention are used
	cacheStatusKnown  bool                      // outcomes report the cache status of failures too
	fillLatency       float64                   // smoothed time until the first byte of a fill, in seconds
	fillPace          float64                   // smoothed duration of a fill divided by its transfer time
	ranking           []*server                 // result of the latest rankServers, whose memory is reused
	now               time.Duration             // time of the event being handled
	actions           []Action                  // actions of the event being handled
}

// New returns a Router that knows no servers yet. Routers of a zone should have different seeds, so
// that their random choices differ. If a setting is invalid, the returned error wraps a *SettingError.
func New(settings Settings, seed uint64) (*Router, error) {
	r := &Router{seed: seed, requests: map[RequestID]*request{}}
	return r, r.UpdateSettings(settings)
}

// UpdateSettings replaces the settings and keeps the records of servers, objects and requests. A class
// of the old settings continues as the class with the same index. If a setting is invalid,
// UpdateSettings changes nothing and returns an error that wraps a *SettingError.
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
	r.longestObjective = time.Millisecond // not 0, since it is a divisor
	for i, class := range settings.Classes {
		r.longestObjective = max(r.longestObjective, class.LatencyObjective)
		if i == len(r.meanTransferTimes) { // initial estimate; too long is better than too short
			r.meanTransferTimes = append(r.meanTransferTimes, class.LatencyObjective.Seconds())
		}
	}
	return nil
}

// Handle handles one event at the time now. It appends the resulting actions to the given slice and
// returns the extended slice. Times count from an arbitrary fixed moment and must never decrease.
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

// emit appends an action to the actions of the event being handled.
func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// handleTimer handles a timer that has expired. It ignores timers of requests that have ended.
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

// handleRequest forwards, queues or answers a client's request. It ignores a request whose ID is that of
// an unfinished request.
func (r *Router) handleRequest(event Request) {
	if r.requests[event.ID] != nil {
		return
	}
	if event.Class < 0 || event.Class >= len(r.settings.Classes) {
		// The settings have no such class. Nothing was sent, so a retry is harmless.
		r.emit(Reject{ID: event.ID})
		return
	}
	request := r.newRequest(&event)
	// Rejected requests count too. Larger requests are rejected more often, so the mean would be too small
	// without them.
	if r.hasSize(request) {
		r.learnMeanTransferTime(request, event.SizeKB/r.settings.TransferKBPerSecond)
	}
	if !request.class.Write {
		request.popularity = r.recordRequestFor(event.Object)
	}
	r.requests[event.ID] = request
	r.dispatch(request)
}

// newRequest returns the record of a request, whose class must exist.
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

// dispatch sends the next attempt of a request, or queues the request or ends it.
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

// handleOutcome records the end of an attempt, and finishes or retries its request. It ignores outcomes
// of unknown or ended attempts.
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

// finish removes a request and cancels its attempts in flight.
func (r *Router) finish(request *request) {
	delete(r.requests, request.ID)
	r.removeQueued(request)
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
