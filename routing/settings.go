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

// The key scopes.
const (
	KeyScopeAll  KeyScope = iota // all servers
	KeyScopeZone                 // servers of the zone that saw the key first
	KeyScopeCell                 // servers of the cell that saw the key first
)

// Class describes one class of requests.
type Class struct {
	Name                    string
	Idempotency             Idempotency
	KeyScope                KeyScope      // where IdempotentWithKey
	KeyWindow               time.Duration // where IdempotentWithKey, from the first possible execution
	LatencyObjective        time.Duration // a response within it earns the full PriorityWeight
	ObjectiveTransferFactor float64       // the objective grows by this multiple of the transfer time
	Deadline                time.Duration // from a request until its client gives up, at the most
	PriorityWeight          float64       // of one request, relative to those of other classes
	LateWeightFactor        float64       // part of PriorityWeight that a later response earns; not used here
	Write                   bool          // executed by the origin, never cached
	FreshnessLifetime       time.Duration // greatest age of a fresh copy; 0: fresh until purged
	MaxStale                time.Duration // past FreshnessLifetime; not used here
}

// MaxDeadline returns the longest deadline of all classes, 0 where there is none.
func MaxDeadline(classes []Class) time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// SlowStart describes how a server that has just started gains capacity, and what overloads it.
type SlowStart struct {
	InitialCapacity float64       // part of its full capacity that it has at the start, 0 to 1
	Duration        time.Duration // until it has all of it
	OverloadFactor  float64       // multiple of its present capacity that makes it fail,
	OverloadWindow  time.Duration // borne for so long
}

// Settings are what a Router is told of its deployment.
type Settings struct {
	Zones               int           // number of zones
	Zone                int           // the router's own, from 0
	Kinds               int           // number of machine kinds
	ParentKind          int           // kind of the parents, from 0; -1: there are none
	OriginKind          int           // kind of the origin, from 0; -1: there is none
	RoutersByZone       []int         // number of routers of each zone; empty: not known
	Routers             int           // in all zones
	Classes             []Class       // at least one; Request.Class is an index of it
	MaxAttempts         int           // of one request, 1 or more
	MaxRetryAfter       time.Duration // longest Retry-After that clients honour
	CanCancel           bool          // attempts can be canceled
	CanJoinFill         bool          // caches can join a request to a fill in progress
	AllowBypass         bool          // parents and the origin take attempts too
	TransferKBPerSecond float64       // pace of one transfer to a client in KB a second; 0: not known
	BodyBytesPerSecond  float64       // the same in bytes of a response; 0: those tell nothing
	WeightIsCapacity    bool          // a server's Weight is the number of transfers that it sends at full pace
	// HitStatusOnly: outcomes tell hits and fills, but neither failures nor SourceWait.
	// Symptom guarded against: a fill of 10 ms of transfer that had waited 150 ms for its source
	// looked like a source at fifteen times its pace, all known misses were limited for it, and
	// what the status does not tell there was not looked for in another way.
	HitStatusOnly         bool
	OriginStopsOnOverload bool          // asked for too much, the origin stops for a while
	MustSubscribe         bool          // endpoint updates come only after a Subscribe
	DrainGrace            time.Duration // in which a draining server still takes requests; not used here
	PurgeGrace            time.Duration // after it a purge binds
	PurgeRetention        time.Duration // after it a purge has left no older copy
	CacheSlowStart        SlowStart     // of each cache
	ParentSlowStart       SlowStart     // of each parent
}

// SettingError is a setting that cannot be used. New and UpdateSettings return it wrapped.
type SettingError struct {
	Setting string // name of the field of Settings
	Reason  string
}

// Error names the setting and says why it cannot be used.
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
