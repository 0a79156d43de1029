package routing

import (
	"fmt"
	"time"
)

// Idempotency tells whether a request may be executed more than once.
type Idempotency int

// The kinds of idempotency that a class can have.
const (
	Idempotent        Idempotency = iota // may be executed any number of times
	IdempotentWithKey                    // within the key scope and the key window, servers discard repeats
	NonIdempotent                        // must not be executed twice
)

// KeyScope tells which servers know an idempotency key and discard repeats of its request.
type KeyScope int

// The key scopes.
const (
	KeyScopeAll  KeyScope = iota // all servers
	KeyScopeZone                 // servers of the zone in which the key was first received
	KeyScopeCell                 // servers of the cell in which the key was first received
)

// Class describes one class of requests. The comment "not used here" marks fields of Class and Settings
// that only other packages use.
type Class struct {
	Name                    string
	Idempotency             Idempotency
	KeyScope                KeyScope      // for IdempotentWithKey
	KeyWindow               time.Duration // for IdempotentWithKey; begins with the first possible execution
	LatencyObjective        time.Duration // a response within this time counts with the full PriorityWeight
	ObjectiveTransferFactor float64       // this value times the transfer time is added to LatencyObjective
	Deadline                time.Duration // longest time from a request until its client gives up
	PriorityWeight          float64       // value of one request relative to other classes
	LateWeightFactor        float64       // fraction of PriorityWeight for a late response; not used here
	Write                   bool          // the origin executes the request; responses are never cached
	FreshnessLifetime       time.Duration // maximum age of a fresh copy; 0: fresh until purged
	MaxStale                time.Duration // longest age past FreshnessLifetime of a served copy; not used here
}

// MaxDeadline returns the longest deadline of all classes, or 0 if there are no classes.
func MaxDeadline(classes []Class) time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// SlowStart describes how the capacity of a server grows after its start, and how much load overloads
// the server.
type SlowStart struct {
	InitialCapacity float64       // fraction of the full capacity at the start, 0 to 1
	Duration        time.Duration // time from the start until the server has its full capacity
	OverloadFactor  float64       // load that overloads the server, as a multiple of its present capacity
	OverloadWindow  time.Duration // time for which the server withstands the load of OverloadFactor
}

// Settings describe the deployment to a Router.
type Settings struct {
	Zones               int           // number of zones
	Zone                int           // zone of this router, from 0
	Kinds               int           // number of machine kinds
	ParentKind          int           // kind of the parents, from 0; -1: no parents
	OriginKind          int           // kind of the origin, from 0; -1: no origin
	RoutersByZone       []int         // number of routers in each zone; empty: not known
	Routers             int           // number of routers in all zones
	Classes             []Class       // at least one; Request.Class is an index into it
	MaxAttempts         int           // maximum number of attempts of one request, at least 1
	MaxRetryAfter       time.Duration // longest Retry-After that clients obey
	CanCancel           bool          // attempts can be canceled
	CanJoinFill         bool          // a request can join a fill in progress at a cache
	AllowBypass         bool          // attempts may be sent directly to parents and the origin
	TransferKBPerSecond float64       // full pace of one transfer to a client, in KB per second; 0: unknown
	BodyBytesPerSecond  float64       // full pace in bytes of Outcome.BodyBytes per second; 0: not known
	WeightIsCapacity    bool          // Server.Weight is the number of transfers at full pace
	// HitStatusOnly: the cache status of an outcome reports hits and fills but no failures, and FillWait is
	// not reported. The router then ignores the pace of fills. If it did not, a fill that waits 150 ms for
	// its source and then transfers for 10 ms would count as a transfer of 160 ms. The wait of 150 ms would
	// make the source look fifteen times too slow, and the fills of all known misses would be limited.
	// Failures are detected in the same way as if outcomes reported no cache status.
	HitStatusOnly         bool
	OriginStopsOnOverload bool          // an overloaded origin stops answering for a while
	MustSubscribe         bool          // endpoint updates are sent only after a Subscribe
	DrainGrace            time.Duration // time for which a draining server accepts requests; not used here
	PurgeGrace            time.Duration // time within which a purge must take effect
	PurgeRetention        time.Duration // time after a purge until no older copies are left
	CacheSlowStart        SlowStart     // slow start of each cache
	ParentSlowStart       SlowStart     // slow start of each parent
}

// SettingError reports an invalid setting. New and UpdateSettings return it wrapped.
type SettingError struct {
	Setting string // name of the field of Settings
	Reason  string // expected value and actual value
}

// Error returns the name of the setting and the reason why it is invalid.
func (e *SettingError) Error() string { return e.Setting + ": " + e.Reason }

func settingErrorf(setting, format string, values ...any) *SettingError {
	return &SettingError{Setting: setting, Reason: fmt.Sprintf(format, values...)}
}

// validate returns a *SettingError for the first invalid setting, or nil.
func (s *Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return settingErrorf("Classes", "expected at least one class, got none")
	case s.Zone < 0 || s.Zone >= s.Zones:
		return settingErrorf("Zone", "expected 0 <= zone < %[2]d, got %[1]d", s.Zone, s.Zones)
	case s.ParentKind < -1 || s.ParentKind >= s.Kinds:
		return settingErrorf("ParentKind", "expected -1 <= kind < %[2]d, got %[1]d", s.ParentKind, s.Kinds)
	case s.OriginKind < -1 || s.OriginKind >= s.Kinds:
		return settingErrorf("OriginKind", "expected -1 <= kind < %[2]d, got %[1]d", s.OriginKind, s.Kinds)
	case len(s.RoutersByZone) != 0 && len(s.RoutersByZone) != s.Zones:
		return settingErrorf("RoutersByZone", "expected one value per zone, got %d values for %d zones",
			len(s.RoutersByZone), s.Zones)
	case s.MaxAttempts < 1:
		return settingErrorf("MaxAttempts", "expected a positive integer, got %d", s.MaxAttempts)
	}
	for i, class := range s.Classes {
		if class.Deadline <= 0 {
			return settingErrorf(fmt.Sprintf("Classes[%d].Deadline", i),
				"expected a positive duration, got %v", class.Deadline)
		}
	}
	return nil
}
