package routing

import (
	"fmt"
	"time"
)

// Router makes the decisions of one router. It is not safe for concurrent use.
type Router struct {
	settings          Settings
	seed              uint64
	servers           []*server            // by id
	readyByRole       [roleCount][]*server // ready ones by role
	requests          map[RequestID]*request
	queue             []*request                // held until a cache has room, oldest first
	meanTransferTimes []float64                 // sending time by class, seconds
	popularity        boundedTable[decayingSum] // decayed counts by object
	transferTimes     boundedTable[float64]     // least sending time seen by part, seconds
	originLimiter     limiter                   // rations what parents must fetch from the origin
	linkLimiter       limiter                   // rations the fills that come in through the location's link
	purgeLog          Guard                     // only its purges are used
	slowStarts        [roleCount]SlowStart      // how servers gain capacity after a start
	totalWeight       [roleCount]float64        // weights of the ready ones by role
	throughput        [roleCount]decayingSum    // work a second that they served for this router
	peakThroughput    [roleCount]float64        // the most of that seen, per weight
	initialized       bool                      // it has had its first list
	cacheStatusKnown  bool                      // outcomes come with notes, of failures too
	fillLatency       float64                   // time that a fill takes to begin, smoothed, seconds
	fillPace          float64                   // time that it takes then over its sending time, smoothed
	longestObjective  time.Duration             // the longest of all classes: an origin that takes it is full
	zoneFraction      float64                   // of the requests of its location, as far as the settings tell
	ranking           []*server                 // what ranked returned last
	now               time.Duration
	actions           []Action
}

// New returns a Router that has just started. It fails where a setting
// cannot be used, and names it.
func New(s Settings, seed uint64) (*Router, error) {
	r := &Router{seed: seed, requests: map[RequestID]*request{}}
	return r, r.UpdateSettings(s)
}

// UpdateSettings goes over to other settings: what is known of servers and objects stays.
func (r *Router) UpdateSettings(s Settings) error {
	if err := s.validate(); err != nil {
		return fmt.Errorf("routing: %w", err)
	}
	r.settings, r.zoneFraction, r.longestObjective, r.slowStarts = s, 1, 0, [roleCount]SlowStart{s.CacheSlowStart, s.ParentSlowStart, {InitialCapacity: 1}}
	if len(s.RoutersByZone) > 0 {
		r.zoneFraction = 1 / float64(max(s.RoutersByZone[s.Zone], 1))
	}
	for i, c := range s.Classes {
		r.longestObjective = max(r.longestObjective, c.LatencyObjective, time.Millisecond)
		if i == len(r.meanTransferTimes) {
			r.meanTransferTimes = append(r.meanTransferTimes, c.LatencyObjective.Seconds()) // until more is known: not too short
		}
	}
	return nil
}

// Timer tokens: a request and, in the low bits, what to do.
const (
	timerSubscribe    = iota // subscribe to the server list again
	timerCheckAttempt        // see how the newest attempt is doing
	timerQueueExpired        // a held request has waited long enough
	timerKindBits     = 2
)

// handleTimer takes a wake-up.
func (r *Router) handleTimer(tok uint64) {
	if tok == timerSubscribe {
		r.emit(Subscribe{})
		return
	}
	q := r.requests[RequestID(tok>>timerKindBits)]
	switch what := tok & (1<<timerKindBits - 1); {
	case q == nil:
	case what == timerCheckAttempt && q.inflight > 0 && !q.attempts[len(q.attempts)-1].ended:
		r.checkOverdue(q.attempts[len(q.attempts)-1])
	case what == timerQueueExpired && q.queued:
		r.rejectOrFail(q)
	}
}

// Handle takes one event and appends the actions that it calls for to out.
func (r *Router) Handle(now time.Duration, ev Event, out []Action) []Action {
	r.now, r.actions = now, out
	switch ev := ev.(type) {
	case EndpointUpdate:
		if ev.Failed {
			r.emit(SetTimer{firstEjectionTime, timerSubscribe})
		} else {
			r.handleEndpointUpdate(ev)
		}
	case Request:
		if r.requests[ev.ID] == nil {
			r.handleRequest(ev)
		}
	case Outcome:
		r.handleOutcome(ev)
	case TimerFired:
		r.handleTimer(ev.Token)
	case Purge:
		r.handlePurge(ev)
	case PeerLoadReport:
		r.handlePeerLoadReport(ev)
	case ExtendEjection:
		if s := r.readyServer(ev.Server); s != nil && s.ejections > 0 && ev.Until > s.ejectedUntil {
			s.ejectedUntil = min(ev.Until, now+maxEjectionExtension)
		}
	case RequireProbe:
		if s := r.readyServer(ev.Server); s != nil && s.ejections == 0 && (s.consecutiveFailures > 0 || now > s.lastResponseAt+recentSuccessWindow) {
			s.ejections, s.ejectedUntil = 1, now
		}
	case ClientDisconnected:
		if q := r.requests[ev.ID]; q != nil {
			r.finish(q)
		}
	}
	out, r.actions = r.actions, nil
	return out
}

const (
	maxEjectionExtension = 5 * time.Second        // by which a rest is prolonged at once, at the most
	recentSuccessWindow  = 500 * time.Millisecond // for so long an answer of a server speaks for it
)

// readyServer returns a server that is listed as ready; nil: it is not.
func (r *Router) readyServer(id ServerID) *server {
	for _, s := range r.servers {
		if s.ID == id && s.ready {
			return s
		}
	}
	return nil
}

// AppendEjected appends the servers that are listed as ready and that this router set aside, or
// tries again and has not heard of since.
func (r *Router) AppendEjected(to []ServerID) []ServerID {
	for _, s := range r.servers {
		if s.ready && s.ejections > 0 {
			to = append(to, s.ID)
		}
	}
	return to
}

// UnavailableCount returns how many servers that are listed as ready are set aside.
func (r *Router) UnavailableCount() int64 {
	n := int64(0)
	for _, s := range r.servers {
		if s.ready && !r.available(s) {
			n++
		}
	}
	return n
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }
