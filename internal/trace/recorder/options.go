package recorder

import (
	"github.com/rs/zerolog"

	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/internal/trace"
	"garnetline/internal/trace/sampling"
	"garnetline/routing"
)

// Options holds the dependencies and the fixed settings of a Recorder. All fields except
// NotifyRetained must be set.
type Options struct {
	Clock   clock.Clock
	Router  string // name of this router in traces
	Secret  string // key for hashing idempotency keys and objects; must be equal at all routers
	Seed    uint64 // must differ between routers and between starts, so that span IDs differ
	Metrics *metrics.Registry
	Log     *zerolog.Logger
	Sink    Sink
	// NotifyRetained notifies a server that a trace is retained. For each retained trace, it is
	// called at most once for each server to which an attempt was sent. It is called on the
	// dispatcher's goroutine and must not block. If NotifyRetained is nil, servers are not
	// notified.
	NotifyRetained func(server routing.ServerID, id trace.ID)
	// ClientBytesPerSecond returns the current estimate of the transfer rate to a client, or 0
	// if the rate is unknown.
	ClientBytesPerSecond func() float64
}

// Settings holds the settings of a Recorder that may change while the program runs.
type Settings struct {
	UndecidedBytes      int     // memory budget, in bytes, for traces of requests in flight and for traces that wait to be sampled
	RetryWindow         float64 // ms, see propagation.Correlator.SetRetryWindow
	RetainClientSampled bool    // retain a trace if its client set the sampled flag in traceparent
	DefaultClass        sampling.Class
	Classes             map[string]sampling.Class // by class name; DefaultClass is the policy of all other classes
}
