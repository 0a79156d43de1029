package recorder

import (
	"github.com/rs/zerolog"

	"garnetline/internal/clock"
	"garnetline/internal/metrics"
	"garnetline/internal/trace"
	"garnetline/internal/trace/sampling"
	"garnetline/routing"
)

// Options is what a Recorder is made with. All fields but NotifyRetained must be set.
type Options struct {
	Clock   clock.Clock
	Router  string // this router's name in traces
	Secret  string // the same at all routers; hashed with whatever identifies a key or an object
	Seed    uint64 // must differ between routers and between starts, so that span ids do
	Metrics *metrics.Registry
	Log     *zerolog.Logger
	Sink    Sink
	// NotifyRetained notifies a server to which an attempt of the trace was sent that the
	// trace is retained; nil: servers are not notified. It is called on the dispatcher's
	// goroutine and must not block.
	NotifyRetained func(server routing.ServerID, id trace.ID)
	// ClientBytesPerSecond returns the transfer rate to a client that is expected now; 0: not
	// known.
	ClientBytesPerSecond func() float64
}

// Settings is what may change while the program runs.
type Settings struct {
	UndecidedBytes      int     // for requests in flight and for ordinary traces not yet sampled
	RetryWindow         float64 // ms, see propagation.Correlator.SetRetryWindow
	RetainClientSampled bool    // retain the traces that clients sample
	DefaultClass        sampling.Class
	Classes             map[string]sampling.Class // by name; others follow DefaultClass
}
