package operatorconfig

import (
	"errors"
	"fmt"
	"net/url"
)

// Trace says what is traced, and kept of it.
type Trace struct {
	Enabled            bool         `hcl:"enabled,optional"`
	Dir                string       `hcl:"folder,optional"`         // of the segments
	Secret             string       `hcl:"secret,optional"`         // mixed into whatever names a client or a key; the same at all routers
	SegmentMB          int          `hcl:"segment_mb,optional"`     // size at which a segment is closed
	KeepMB             int          `hcl:"keep_mb,optional"`        // of all segments; the oldest go first
	UndecidedKB        int          `hcl:"undecided_kb,optional"`   // memory for traces that are not decided
	OrdinaryPerSecond  float64      `hcl:"ordinary_per_s,optional"` // ordinary traces kept a second, a class
	RetryWindow        float64      `hcl:"retry_within_ms,optional"`
	HonorSampled       bool         `hcl:"honour_sampled,optional"` // what a client samples, as its traceparent says, is kept
	PropagateToServers bool         `hcl:"peers,optional"`          // boxes and hubs take the fields trace and kept
	Classes            []TraceClass `hcl:"class,block"`
	Collector          *Collector   `hcl:"collector,block"`
}

// TraceClass is what differs for one class.
type TraceClass struct {
	Name              string   `hcl:"name,label"`
	OrdinaryPerSecond *float64 `hcl:"ordinary_per_s,optional"` // nil: that of all classes
	SlowThreshold     float64  `hcl:"wanted_ms,optional"`      // slower ones are kept; 0: the class's own aim
}

// Collector is where kept traces are sent by OTLP over HTTP.
type Collector struct {
	URL        string  `hcl:"url"`
	QueueLimit int     `hcl:"queue,optional"`      // traces that wait; more are dropped and counted
	Timeout    float64 `hcl:"timeout_ms,optional"` // of one call
}

func (t *Trace) validate() error {
	switch {
	case t.Enabled && t.Dir == "":
		return errors.New("enabled: want a folder to keep traces in")
	case t.SegmentMB < 1 || t.SegmentMB > 1024:
		return errors.New("segment_mb: want 1 to 1024")
	case t.KeepMB < 2*t.SegmentMB || t.KeepMB > 1<<20:
		return errors.New("keep_mb: want two segments or more, and 1048576 at the most")
	case t.UndecidedKB < 64 || t.UndecidedKB > 1<<20:
		return errors.New("undecided_kb: want 64 to 1048576")
	case !(t.OrdinaryPerSecond >= 0 && t.OrdinaryPerSecond <= 1e5):
		return errors.New("ordinary_per_s: want 0 to 100000")
	case !(t.RetryWindow >= 0 && t.RetryWindow <= 60_000):
		return errors.New("retry_within_ms: want 0 to 60000")
	}
	seen := map[string]bool{}
	for i, c := range t.Classes {
		if seen[c.Name] {
			return fmt.Errorf("class %q: named twice", c.Name)
		}
		seen[c.Name] = true
		if c.OrdinaryPerSecond != nil && !(*c.OrdinaryPerSecond >= 0 && *c.OrdinaryPerSecond <= 1e5) || !(c.SlowThreshold >= 0 && c.SlowThreshold <= 600_000) {
			return fmt.Errorf("class %q: ordinary_per_s or wanted_ms out of range", t.Classes[i].Name)
		}
	}
	if c := t.Collector; c != nil {
		u, err := url.Parse(c.URL)
		if err != nil || u.Scheme != "http" || u.Host == "" {
			return fmt.Errorf("collector: url: %q is not an http URL", c.URL)
		}
		if c.QueueLimit == 0 {
			c.QueueLimit = 1024
		}
		if c.Timeout == 0 {
			c.Timeout = 2000
		}
		if c.QueueLimit < 1 || c.QueueLimit > 1<<20 || !(c.Timeout >= 10 && c.Timeout <= 60_000) {
			return errors.New("collector: queue or timeout_ms out of range")
		}
	}
	return nil
}

// sameCollector tells whether two collectors are alike, or both absent.
func sameCollector(a, b *Collector) bool { return a == b || a != nil && b != nil && *a == *b }
