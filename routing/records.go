package routing

import (
	"math"
	"slices"
	"time"
)

// role is what a server does for this router.
type role int

const (
	cache role = iota
	parent
	origin
	roleCount
)

// longAgo is long before any start.
const longAgo = time.Duration(math.MinInt64 / 4)

// server is what the router knows of one listed server.
type server struct {
	Server
	role                role
	ready               bool          // listed as ready
	warmingSince        time.Duration // start of its slow start
	unresponsive        bool          // did not respond at all, and has not since
	consecutiveFailures int           // since its latest success
	ejections           int           // in a row
	ejectedUntil        time.Duration // 0: not ejected
	errorRate           float64       // smoothed, of the attempts it takes part in
	errorRateUpdatedAt  time.Duration // when errorRate changed last
	connectionLostAt    time.Duration // when a failed connection counted last
	lastResponseAt      time.Duration // for a source: latest fill
	slowdown            decayingRatio // of responses, over what their bytes need
	inflight            int           // attempts that name it
	recentWork          []decayingSum // sent to it, in order of time
	score               float64       // in the latest rankServers; the least ranks first
	limiter             limiter       // of what a cache is sent, or of a source's known fills and writes
}

// attempt is one sending of a request.
type attempt struct {
	request       *request
	index         int     // among the attempts of its request
	target        *server // that it is sent to
	source        *server // that fills a miss; the target itself: nobody
	sentAt        time.Duration
	ended         bool
	notExecuted   bool // it ended, provably without having been executed
	cacheOnly     bool // a look for what the cache holds
	fill          bool // for a known miss
	fromOrigin    bool // for what its parent lacks, or straight from the origin
	onlyIfCached  bool // its source gives only what it holds
	overdueChecks int  // at which all servers seemed responsive
}

// asksOrigin reports whether the origin takes part in an attempt.
func (a *attempt) asksOrigin() bool { return a.fromOrigin || a.request.class.Write }

// request is an unfinished request.
type request struct {
	Request
	class            *Class
	meanTransferTime *float64      // of its class, seconds
	deadline         time.Duration // its client gives up then
	objectiveAt      time.Duration // a response until then meets the latency objective
	popularity       float64       // of its object
	attempts         []*attempt    // oldest first
	inflight         int           // attempts that have not ended
	excluded         []*server     // that failed it
	cacheMissed      bool          // a look found no copy
	sourceMissed     bool          // its parent has none either
	queued           bool          // it is in the queue
	queueUntil       time.Duration // once it was queued
	valuePerSecond   float64       // of transfer time, once it was queued
}

// latestAttempt returns the newest attempt of a request that has one.
func (q *request) latestAttempt() *attempt { return q.attempts[len(q.attempts)-1] }

// Timer tokens hold a request and, in the low bits, a kind.
const (
	timerSubscribe    = iota // subscribe to the endpoint list again
	timerCheckAttempt        // check the newest attempt
	timerQueueExpired        // a queued request has waited long enough
	timerKindBits     = 2
	timerKindMask     = 1<<timerKindBits - 1
)

// timerToken is the token of a timer of a kind for a request.
func timerToken(request *request, kind uint64) uint64 {
	return uint64(request.ID)<<timerKindBits | kind
}

// containsServer reports whether a server is one of a list.
func containsServer(list []*server, id ServerID) bool {
	return slices.ContainsFunc(list, func(server *server) bool { return server.ID == id })
}
