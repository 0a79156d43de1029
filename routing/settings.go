package routing

import (
	"fmt"
	"time"
)

// Idempotency tells what executing a request twice may do.
type Idempotency int

// The kinds of idempotency that a class can have.
const (
	Idempotent        Idempotency = iota // may be repeated at will
	IdempotentWithKey                    // repeats are discarded within a key scope and window
	NonIdempotent                        // must not be executed twice
)

// KeyScope tells which servers know an idempotency key and discard repeats of its request.
type KeyScope int

// The key scopes: all servers, those of the zone that saw the key first, or those of its cell.
const (
	KeyScopeAll KeyScope = iota
	KeyScopeZone
	KeyScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name                    string
	Idempotency             Idempotency
	KeyScope                KeyScope      // where IdempotentWithKey
	KeyWindow               time.Duration // where IdempotentWithKey, from the first possible execution
	LatencyObjective        time.Duration // a response within it earns the full PriorityWeight
	ObjectiveTransferFactor float64       // the objective grows by this multiple of the transfer time
	Deadline                time.Duration
	PriorityWeight          float64
	LateWeightFactor        float64       // part of PriorityWeight that a later response earns
	Write                   bool          // executed by the origin, never cached
	FreshnessLifetime       time.Duration // 0: until purged
	MaxStale                time.Duration // time past FreshnessLifetime in which a copy may be served
}

// MaxDeadline returns the longest deadline of all classes.
func MaxDeadline(classes []Class) time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// SlowStart describes how a server that has just started gains capacity, and what overloads it.
type SlowStart struct {
	InitialCapacity float64       // part of its capacity at the start
	Duration        time.Duration // until it has all of it
	OverloadFactor  float64       // multiple of its capacity that makes it fail,
	OverloadWindow  time.Duration // borne for so long
}

// Settings are what a Router knows at its start.
type Settings struct {
	Zones               int   // number of zones
	Zone                int   // the router's own
	Kinds               int   // number of machine kinds
	ParentKind          int   // -1: there are no parents
	OriginKind          int   // -1: there is no origin
	RoutersByZone       []int // number of routers of each zone; empty: not known
	Routers             int   // in all zones
	Classes             []Class
	MaxAttempts         int           // of one request
	MaxRetryAfter       time.Duration // longest Retry-After that clients honour
	CanCancel           bool          // attempts can be canceled
	CanJoinFill         bool          // caches can join a request to a fill in progress
	AllowBypass         bool          // parents and the origin take attempts too
	TransferKBPerSecond float64       // pace of one transfer to a client; 0: not known
	BodyBytesPerSecond  float64       // the same in bytes of a response; 0: those tell nothing
	WeightIsCapacity    bool          // a server's Weight is its capacity
	// HitStatusOnly: outcomes tell hits and fills, but neither failures nor SourceWait.
	// Symptom guarded against: a fill of 10 ms of transfer that had waited 150 ms for its source
	// looked like a source at fifteen times its pace, all known misses were limited for it, and
	// what the status does not tell there was not looked for in another way.
	HitStatusOnly         bool
	OriginStopsOnOverload bool // asked for too much, the origin stops for a while
	MustSubscribe         bool // endpoint updates come only after a Subscribe
	DrainGrace            time.Duration
	PurgeGrace            time.Duration
	PurgeRetention        time.Duration // after it a purge has left no older copy
	CacheSlowStart        SlowStart
	ParentSlowStart       SlowStart
}

// SettingError is a setting that cannot be used.
type SettingError struct {
	Setting string // name of the field of Settings
	Reason  string
}

func (e *SettingError) Error() string { return e.Setting + ": " + e.Reason }

func settingErrorf(setting, format string, values ...any) *SettingError {
	return &SettingError{Setting: setting, Reason: fmt.Sprintf(format, values...)}
}

// validate reports the first setting that cannot be used, as a *SettingError.
func (s *Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return settingErrorf("Classes", "there is none")
	case s.Zone < 0 || s.Zone >= s.Zones:
		return settingErrorf("Zone", "%d is not one of %d zones", s.Zone, s.Zones)
	case s.ParentKind < -1 || s.ParentKind >= s.Kinds:
		return settingErrorf("ParentKind", "%d is not one of %d kinds", s.ParentKind, s.Kinds)
	case s.OriginKind < -1 || s.OriginKind >= s.Kinds:
		return settingErrorf("OriginKind", "%d is not one of %d kinds", s.OriginKind, s.Kinds)
	case len(s.RoutersByZone) != 0 && len(s.RoutersByZone) != s.Zones:
		return settingErrorf("RoutersByZone", "%d values for %d zones", len(s.RoutersByZone), s.Zones)
	case s.MaxAttempts < 1:
		return settingErrorf("MaxAttempts", "%d, want 1 or more", s.MaxAttempts)
	}
	for i, class := range s.Classes {
		if class.Deadline <= 0 {
			return settingErrorf(fmt.Sprintf("Classes[%d].Deadline", i), "%v, want more than 0", class.Deadline)
		}
	}
	return nil
}
