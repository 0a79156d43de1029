package plugin

import (
	"cmp"
	"slices"
	"time"
)

// Class describes a class of RPCs. A deprecated field is used where the field that replaces
// it is zero.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a response within it is in time
	Deadline         time.Duration // of RPCs whose context has none
	KeyWindow        time.Duration // IdempotentWithKey: how long servers discard repeats of a key
	PriorityWeight   float64       // of a response in time, relative to other classes; 0: 1

	// Deprecated: use LatencyObjective.
	Aim time.Duration
	// Deprecated: use KeyWindow.
	Window time.Duration
	// Deprecated: use PriorityWeight.
	Worth float64
}

// withDefaults returns the class with the values of deprecated fields and defaults in the
// fields that are zero.
func (c Class) withDefaults() Class {
	c.LatencyObjective = cmp.Or(c.LatencyObjective, c.Aim)
	c.KeyWindow = cmp.Or(c.KeyWindow, c.Window)
	c.PriorityWeight = cmp.Or(c.PriorityWeight, c.Worth, defaultPriorityWeight)
	return c
}

// Key names what an RPC asks for. RPCs for the same object and chunk go to the same server
// as long as that server is healthy. A deprecated field is used where the field that replaces
// it is zero.
type Key struct {
	Object uint64 // 0: one that stands for the method
	Chunk  int    // of the object
	Group  int    // of objects

	// Deprecated: use Chunk.
	Part int
}

// withDefaults returns the key with the values of deprecated fields and defaults in the
// fields that are zero.
func (k Key) withDefaults(fullMethod string) Key {
	k.Chunk = cmp.Or(k.Chunk, k.Part)
	if k.Object == 0 {
		k.Object = hashString(fullMethod)
	}
	return k
}

// Options configure a Plugin. A deprecated field is used where the field that replaces it is
// zero.
type Options struct {
	Classes    []Class
	Operations Operations // the RPCs that may be called

	// Key returns the key of an RPC; req is nil for a stream. It may be called from any
	// goroutine. Nil: the key is that of the method.
	Key func(fullMethod string, req any) Key

	RefreshInterval time.Duration // between DNS lookups; 0: 500 ms
	MaxAttempts     int           // of one RPC; 0: 4
	Trace           *Trace        // nil: nothing is traced, and no metadata is added

	// Deprecated: use RefreshInterval.
	Refresh time.Duration
	// Deprecated: use MaxAttempts.
	Attempts int
}

// Defaults of Class, Options and Trace.
const (
	defaultPriorityWeight  = 1.0
	defaultRefreshInterval = 500 * time.Millisecond
	defaultMaxAttempts     = 4
	defaultMaxSizeMB       = 64
)

// withDefaults returns the options with the values of deprecated fields and defaults in the
// fields that are zero. What the options of the caller refer to is not changed.
func (o Options) withDefaults() Options {
	o.RefreshInterval = cmp.Or(o.RefreshInterval, o.Refresh, defaultRefreshInterval)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, o.Attempts, defaultMaxAttempts)
	o.Classes = slices.Clone(o.Classes)
	for i, class := range o.Classes {
		o.Classes[i] = class.withDefaults()
	}
	if o.Trace != nil {
		trace := o.Trace.withDefaults()
		o.Trace = &trace
	}
	return o
}
