package routing

import "time"

// role is what a server does for this router.
type role int

const (
	cache role = iota
	parent
	origin
	roleCount // how many there are
)

// server is all that the router knows of one server.
type server struct {
	Server
	role                                 role
	ready, unresponsive                  bool          // listed as ready; set aside for not answering at all
	warmingSince                         time.Duration // since when it is taken for freshly started
	consecutiveFailures, ejections       int           // failures in a row; how often in a row it was set aside
	errorRate                            float64       // share of errors in what it has a part in, smoothed
	connectionLostAt, errorRateUpdatedAt time.Duration // when a connection broke last, when bad was felt last
	slowdown                             decayingRatio // how long it takes over what its bytes need
	ejectedUntil                         time.Duration // until then it is set aside
	lastResponseAt                       time.Duration // latest outcome of its own, for a source: latest fill
	inflight                             int           // attempts that name it and have not ended
	recentWork                           []decayingSum // work sent to it lately
	score                                float64       // its place in ranked
	limiter                              limiter       // rations what is sent to a cache, or the known fills of a source
}

// attempt is one sending of a request.
type attempt struct {
	request            *request
	index              int
	target, source     *server // source fills a miss; to itself: nobody does
	sentAt             time.Duration
	ended, notExecuted bool // it has ended; it is proved not to have run
	cacheOnly          bool // only for what a cache holds
	overdueChecks      int  // how often it was seen to take long, though all seemed alive
	fill, fromOrigin   bool // for a known miss; for what its parent lacks: rations count them
	onlyIfCached       bool // its source gives only what it holds
}

// request is an unfinished request.
type request struct {
	Request
	class                     *Class
	meanTransferTime          *float64 // sending time of its class, seconds
	deadline                  time.Duration
	queueUntil                time.Duration // until then it may be held
	objectiveAt               time.Duration // an answer by then earns the full worth
	popularity                float64       // decayed count of its object
	attempts                  []*attempt
	inflight                  int       // tries that have not ended
	excluded                  []*server // that failed this request
	cacheMissed, sourceMissed bool      // a look found no copy; nor has its parent one
	queued                    bool      // it waits now
	valuePerSecond            float64   // of serving it, once it was held: worth a second of sending
}
