package plugin

import (
	"cmp"
	"slices"
	"time"
)

// Class describes a class of RPCs. The value of a deprecated field applies only if the field
// that replaces it is zero.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a response that takes at most this time is in time; must be positive
	Deadline         time.Duration // timeout of RPCs whose context has no deadline; must be positive
	KeyWindow        time.Duration // how long servers discard repeated IdempotentWithKey operations with the same key
	PriorityWeight   float64       // weight of a response within LatencyObjective, relative to other classes; 0 selects 1

	// Deprecated: use LatencyObjective.
	Aim time.Duration
	// Deprecated: use KeyWindow.
	Window time.Duration
	// Deprecated: use PriorityWeight.
	Worth float64
}

// withDefaults returns a copy of the class in which it has set the zero fields. A zero field gets
// the value of the deprecated field that it replaces. If that value is zero too, the field gets its
// default.
func (c Class) withDefaults() Class {
	c.LatencyObjective = cmp.Or(c.LatencyObjective, c.Aim)
	c.KeyWindow = cmp.Or(c.KeyWindow, c.Window)
	c.PriorityWeight = cmp.Or(c.PriorityWeight, c.Worth, defaultPriorityWeight)
	return c
}

// Key identifies the object that an RPC requests. RPCs for the same object and chunk go to the same
// server while that server is healthy. The value of a deprecated field applies only if the field
// that replaces it is zero.
type Key struct {
	Object uint64 // id of the object; 0 selects an id derived from the method name
	Chunk  int    // index of the chunk within the object
	Group  int    // group that the object belongs to

	// Deprecated: use Chunk.
	Part int
}

// withDefaults returns a copy of the key with defaults. A zero Chunk gets the value of the
// deprecated Part. A zero Object gets a hash of the method's full name.
func (k Key) withDefaults(fullMethod string) Key {
	k.Chunk = cmp.Or(k.Chunk, k.Part)
	if k.Object == 0 {
		k.Object = hashString(fullMethod)
	}
	return k
}

// Options configures a Plugin. The value of a deprecated field applies only if the field that
// replaces it is zero.
type Options struct {
	Classes    []Class
	Operations Operations // the RPCs that may be called

	// Key returns the key of an RPC. The argument req is the request message, or nil for a stream.
	// Key must be safe for concurrent use. If Key is nil, all RPCs of a method have the same key.
	Key func(fullMethod string, req any) Key

	RefreshInterval time.Duration // time between DNS lookups; 0 selects 500 ms
	MaxAttempts     int           // maximum number of attempts for one RPC; 0 selects 4
	Trace           *Trace        // if nil, no RPC is traced and no metadata is added

	// Deprecated: use RefreshInterval.
	Refresh time.Duration
	// Deprecated: use MaxAttempts.
	Attempts int
}

// Default values of fields of Class, Options and Trace.
const (
	defaultPriorityWeight  = 1.0
	defaultRefreshInterval = 500 * time.Millisecond
	defaultMaxAttempts     = 4
	defaultMaxSizeMB       = 64
)

// withDefaults returns a copy of the options in which it has set the zero fields. A zero field gets
// the value of the deprecated field that it replaces. If that value is zero too, the field gets its
// default. withDefaults copies Classes and Trace before it changes them, so that the caller's
// values stay unchanged.
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
