package operatorconfig

import (
	"net/url"

	"garnetline/internal/fielderror"
)

// Bounds and defaults of the trace block.
const (
	maxSegmentMB         = 1024
	maxKeepMB            = 1 << 20
	minUndecidedKB       = 64
	maxUndecidedKB       = 1 << 20
	maxOrdinaryPerSecond = 1e5
	maxRetryWindow       = 60_000.0  // ms
	maxSlowThreshold     = 600_000.0 // ms
	defaultQueueLimit    = 1024
	maxQueueLimit        = 1 << 20
	defaultExportTimeout = 2000.0   // ms
	minExportTimeout     = 10.0     // ms
	maxExportTimeout     = 60_000.0 // ms
)

// Trace configures the recording of request traces. Times are in milliseconds.
type Trace struct {
	Enabled            bool         `hcl:"enabled,optional"`
	Dir                string       `hcl:"folder,optional"`         // directory of the segments
	Secret             string       `hcl:"secret,optional"`         // key for hashing idempotency keys and objects; must be the same on all routers
	SegmentMB          int          `hcl:"segment_mb,optional"`     // size of a segment at which it is closed
	KeepMB             int          `hcl:"keep_mb,optional"`        // total size of all segments; the oldest are deleted first
	UndecidedKB        int          `hcl:"undecided_kb,optional"`   // memory for traces without a sampling decision
	OrdinaryPerSecond  float64      `hcl:"ordinary_per_s,optional"` // traces that no other rule retains, sampled per second and class
	RetryWindow        float64      `hcl:"retry_within_ms,optional"`
	HonorSampled       bool         `hcl:"honour_sampled,optional"` // retain traces for which the client's traceparent has the sampled flag
	PropagateToServers bool         `hcl:"peers,optional"`          // send the request fields "trace" and "kept" to the servers, which must accept them
	Classes            []TraceClass `hcl:"class,block"`
	Collector          *Collector   `hcl:"collector,block"`
}

// TraceClass overrides values of Trace for one class.
type TraceClass struct {
	Name              string   `hcl:"name,label"`
	OrdinaryPerSecond *float64 `hcl:"ordinary_per_s,optional"` // nil means Trace.OrdinaryPerSecond
	SlowThreshold     float64  `hcl:"wanted_ms,optional"`      // ms; traces of slower requests are retained; 0 means the class's latency objective
}

// Collector configures the export of retained traces with OTLP over HTTP.
type Collector struct {
	URL        string  `hcl:"url"`
	QueueLimit int     `hcl:"queue,optional"`      // traces that can wait for export; further traces are dropped and counted
	Timeout    float64 `hcl:"timeout_ms,optional"` // ms, for one export request
}

func defaultTrace() Trace {
	return Trace{
		SegmentMB:         8,
		KeepMB:            256,
		UndecidedKB:       4096,
		OrdinaryPerSecond: 2,
		RetryWindow:       5000,
		HonorSampled:      true,
	}
}

func (t *Trace) validate() error {
	switch {
	case t.Enabled && t.Dir == "":
		return fielderror.Errorf("enabled", "expected a folder for the traces, got none")
	case t.SegmentMB < 1 || t.SegmentMB > maxSegmentMB:
		return fielderror.Errorf("segment_mb", "expected a size from 1 to %d MB, got %d", maxSegmentMB, t.SegmentMB)
	case t.KeepMB < 2*t.SegmentMB || t.KeepMB > maxKeepMB:
		return fielderror.Errorf("keep_mb", "expected a size from 2*segment_mb to %d MB, got %d with segment_mb = %d", maxKeepMB, t.KeepMB, t.SegmentMB)
	case t.UndecidedKB < minUndecidedKB || t.UndecidedKB > maxUndecidedKB:
		return fielderror.Errorf("undecided_kb", "expected a size from %d to %d KB, got %d", minUndecidedKB, maxUndecidedKB, t.UndecidedKB)
	case !inRange(t.OrdinaryPerSecond, 0, maxOrdinaryPerSecond):
		return fielderror.Errorf("ordinary_per_s", "expected a rate from 0 to %.0f, got %v", maxOrdinaryPerSecond, t.OrdinaryPerSecond)
	case !inRange(t.RetryWindow, 0, maxRetryWindow):
		return fielderror.Errorf("retry_within_ms", "expected a time from 0 to %.0f ms, got %v", maxRetryWindow, t.RetryWindow)
	}
	if err := t.validateClasses(); err != nil {
		return err
	}
	if t.Collector != nil {
		return t.Collector.complete()
	}
	return nil
}

func (t *Trace) validateClasses() error {
	seen := map[string]bool{}
	for _, class := range t.Classes {
		if seen[class.Name] {
			return fielderror.LabeledErrorf("class", class.Name, "duplicate name")
		}
		seen[class.Name] = true
		rateOK := class.OrdinaryPerSecond == nil || inRange(*class.OrdinaryPerSecond, 0, maxOrdinaryPerSecond)
		if !rateOK || !inRange(class.SlowThreshold, 0, maxSlowThreshold) {
			return fielderror.LabeledErrorf("class", class.Name, "expected ordinary_per_s from 0 to %.0f and wanted_ms from 0 to %.0f, got wanted_ms = %v and ordinary_per_s in range = %t",
				maxOrdinaryPerSecond, maxSlowThreshold, class.SlowThreshold, rateOK)
		}
	}
	return nil
}

// complete fills in the defaults of fields that are 0 and checks the result.
func (c *Collector) complete() error {
	address, err := url.Parse(c.URL)
	if err != nil || address.Scheme != "http" || address.Host == "" {
		return fielderror.Errorf("collector", "%w", fielderror.Errorf("url", "expected an http URL with a host, got %q", c.URL))
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = defaultQueueLimit
	}
	if c.Timeout == 0 {
		c.Timeout = defaultExportTimeout
	}
	if c.QueueLimit < 1 || c.QueueLimit > maxQueueLimit || !inRange(c.Timeout, minExportTimeout, maxExportTimeout) {
		return fielderror.Errorf("collector", "expected queue from 1 to %d and timeout_ms from %.0f to %.0f, got queue = %d and timeout_ms = %v",
			maxQueueLimit, minExportTimeout, maxExportTimeout, c.QueueLimit, c.Timeout)
	}
	return nil
}
