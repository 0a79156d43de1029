package lease

import "garnetline/internal/fielderror"

// Settings are the settings of leases. Times are in ms of the boot clock, which also advances while
// the machine is suspended.
type Settings struct {
	TTL           float64 // duration of a lease
	SafetyMargin  float64 // time by which a lease ends earlier at the holder and later at the registry
	MaxClockDrift float64 // ratio by which the rates of two clocks may differ
	RetryInterval float64 // time after which a request without a response is repeated, possibly at another voter
	MaxBackoff    float64 // longest time for which a router does not request a lease that it lost
}

// DefaultSettings returns the settings that apply if the operators' file sets none.
func DefaultSettings() Settings {
	return Settings{TTL: 3000, SafetyMargin: 200, MaxClockDrift: 0.01, RetryInterval: 250, MaxBackoff: 60_000}
}

// Limits of the settings, in ms except for the drift. SafetyMargin and RetryInterval may be at most
// TTL/minTTLRatio.
const (
	minTTL           = 200
	maxTTL           = 600_000
	minMargin        = 10
	minDrift         = 0.001
	maxDrift         = 0.1
	minRetryInterval = 10
	minTTLRatio      = 4
)

// Validate returns an error if a setting is out of range. The error names the field of the
// operators' file. The ranges ensure that a holder has time to act before its lease expires.
func (s Settings) Validate() error {
	switch {
	case !(s.TTL >= minTTL && s.TTL <= maxTTL):
		return fielderror.Errorf("lease_ms", "expected a number from %d to %d, got %v", minTTL, maxTTL, s.TTL)
	case !(s.SafetyMargin >= minMargin && s.SafetyMargin <= s.TTL/minTTLRatio):
		return fielderror.Errorf("margin_ms", "expected a number from %d to lease_ms/%d, got %v with lease_ms %v", minMargin, minTTLRatio, s.SafetyMargin, s.TTL)
	case !(s.MaxClockDrift >= minDrift && s.MaxClockDrift <= maxDrift):
		return fielderror.Errorf("drift", "expected a number from %v to %v, got %v", minDrift, maxDrift, s.MaxClockDrift)
	case !(s.RetryInterval >= minRetryInterval && s.RetryInterval <= s.TTL/minTTLRatio):
		return fielderror.Errorf("retry_ms", "expected a number from %d to lease_ms/%d, got %v with lease_ms %v", minRetryInterval, minTTLRatio, s.RetryInterval, s.TTL)
	}
	return nil
}

// holderPeriod returns the time in ms for which a lease is valid for its holder. The holder
// counts this time from before it sent the request.
func (s Settings) holderPeriod() float64 { return s.TTL*(1-s.MaxClockDrift) - s.SafetyMargin }

// registryPeriod returns the time in ms after which the registry treats a lease as expired,
// counted from the grant or renewal. This period ends after the holder's period if the rates of
// the two clocks differ by at most MaxClockDrift.
func (s Settings) registryPeriod() float64 { return s.TTL*(1+s.MaxClockDrift) + s.SafetyMargin }
