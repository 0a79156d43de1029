package decide

import "time"

// server is all that the router knows of one server.
type server struct {
	Server
	role          role
	ready, silent bool          // listed as ready; set aside for not answering at all
	cold          time.Duration // since when it is taken for freshly started
	fails, rests  int           // failures in a row; how often in a row it was set aside
	bad           float64       // share of errors in what it has a part in, smoothed
	broke, judged time.Duration // when a connection broke last, when bad was felt last
	lag           ratio         // how long it takes over what its bytes need
	resting       time.Duration // until then it is set aside
	heard         time.Duration // latest outcome of its own, for a source: latest fill
	out           int           // attempts that name it and have not ended
	charges       []rate        // work sent to it lately
	score         float64       // its place in ranked
	gate          gate          // rations what is sent to a cache, or the known fills of a source
}

// attempt is one sending of a request.
type attempt struct {
	req        *request
	n          int
	to, source *server // source fills a miss; to itself: nobody does
	sent       time.Duration
	over, moot bool // it has ended; it is proved not to have run
	look       bool // only for what a cache holds
	looks      int  // how often it was seen to take long, though all seemed alive
	fill, deep bool // for a known miss; for what its parent lacks: rations count them
	held       bool // its source gives only what it holds
}

// request is an unfinished request.
type request struct {
	Request
	class          *Class
	mean           *float64 // sending time of its class, seconds
	deadline       time.Duration
	last           time.Duration // until then it may be held
	inTime         time.Duration // an answer by then earns the full worth
	hot            float64       // decayed count of its object
	tries          []*attempt
	out            int       // tries that have not ended
	avoid          []*server // that failed this request
	missed, lacked bool      // a look found no copy; nor has its parent one
	waiting        bool      // it waits now
	value          float64   // of serving it, once it was held: worth a second of sending
}
