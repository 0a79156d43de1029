package routing

import (
	"math"
	"slices"
	"time"
)

// role tells whether a server is a cache, a parent or the origin for this router.
type role int

const (
	cache role = iota
	parent
	origin
	roleCount
)

// longAgo is a time long before the time of any event.
const longAgo = time.Duration(math.MinInt64 / 4)

// server is the record of one server of the endpoint list.
type server struct {
	Server
	role                role
	ready               bool          // listed as ready
	warmingSince        time.Duration // start of its slow start
	unresponsive        bool          // an attempt at it became overdue, and it has not succeeded since
	consecutiveFailures int           // failures since its latest success
	ejections           int           // consecutive ejections; 0: neither ejected nor to be probed
	ejectedUntil        time.Duration // end of its ejection; 0: not ejected
	errorRate           float64       // smoothed error rate of the attempts that it takes part in
	errorRateUpdatedAt  time.Duration // time of the latest update of errorRate
	connectionLostAt    time.Duration // time at which a lost connection was last counted as a failure
	lastResponseAt      time.Duration // time of its latest response or, as source, latest successful fill
	slowdown            decayingRatio // response time divided by the transfer time at full pace
	inflight            int           // attempts in flight that have it as target or source
	recentWork          []decayingSum // work sent to it, oldest first
	score               float64       // rendezvous score in the latest rankServers; lowest score first
	limiter             limiter       // of attempts sent to a cache, or of a source's fills and writes
}

// attempt is one attempt to have a server answer a request.
type attempt struct {
	request       *request
	index         int     // index among the attempts of its request
	target        *server // server that the attempt is sent to
	source        *server // server that fills a miss; equal to target: no fill
	sentAt        time.Duration
	ended         bool
	notExecuted   bool // it has ended, and the server certainly did not execute it
	cacheOnly     bool // lookup that causes no fill
	fill          bool // fill of a known miss
	fromOrigin    bool // fill that the origin must serve
	onlyIfCached  bool // its source may send a cached copy, but must not fetch
	overdueChecks int  // number of checks that found it overdue while its servers responded
}

// asksOrigin reports whether the origin takes part in an attempt.
func (a *attempt) asksOrigin() bool { return a.fromOrigin || a.request.class.Write }

// request is an unfinished request.
type request struct {
	Request
	class            *Class
	meanTransferTime *float64      // mean of its class, in seconds
	deadline         time.Duration // time at which its client gives up
	objectiveAt      time.Duration // a response by this time meets the latency objective
	popularity       float64       // decayed request count of its object
	attempts         []*attempt    // oldest first
	inflight         int           // attempts that have not ended
	excluded         []*server     // servers that most likely made attempts of this request fail
	cacheMissed      bool          // a lookup found no copy in the cache
	sourceMissed     bool          // the source of a fill has no copy either
	queued           bool          // the request is in the queue
	queueUntil       time.Duration // latest time until which it may queue; set when first queued
	valuePerSecond   float64       // result of queueValue, set when first queued; 0 for a write
}

// latestAttempt returns the newest attempt of a request. The request must have at least one attempt.
func (q *request) latestAttempt() *attempt { return q.attempts[len(q.attempts)-1] }

// A timer token holds a request ID and, in its low bits, the kind of the timer.
const (
	timerSubscribe    = iota // subscribe to the endpoint list again
	timerCheckAttempt        // check the newest attempt
	timerQueueExpired        // end the wait of a queued request
	timerKindBits     = 2
	timerKindMask     = 1<<timerKindBits - 1
)

// setTimer sets a timer of the given kind for a request.
func (r *Router) setTimer(request *request, delay time.Duration, kind uint64) {
	token := uint64(request.ID)<<timerKindBits | kind
	r.emit(SetTimer{ID: request.ID, Delay: delay, Token: token})
}

// removeQueued removes a request from the queue if it is in it.
func (r *Router) removeQueued(ended *request) {
	if !ended.queued {
		return
	}
	ended.queued = false
	r.queue = slices.DeleteFunc(r.queue, func(queued *request) bool { return queued == ended })
}

// containsServer reports whether list contains a server with the given ID.
func containsServer(list []*server, id ServerID) bool {
	return slices.ContainsFunc(list, func(server *server) bool { return server.ID == id })
}
