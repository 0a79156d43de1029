package lease

import "garnetline/internal/fielderror"

// Settings are the settings of leases. Times are in ms of the boot clock, which also advances while
// the machine is suspended.
type Settings struct {
	TTL           float64 // duration of a lease
	SafetyMargin  float64 // time by which the holder stops earlier and the registry waits longer
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

// Validate returns an error, which names the field of the operators' file, if a setting is out of
// range. The ranges ensure that a holder has time to act before its lease expires.
func (s Settings) Validate() error {
	switch {
	case !(s.TTL >= minTTL && s.TTL <= maxTTL):
		return fielderror.Errorf("lease_ms", "expected 200 to 600000")
	case !(s.SafetyMargin >= minMargin && s.SafetyMargin <= s.TTL/minTTLRatio):
		return fielderror.Errorf("margin_ms", "expected 10 to a quarter of lease_ms")
	case !(s.MaxClockDrift >= minDrift && s.MaxClockDrift <= maxDrift):
		return fielderror.Errorf("drift", "expected 0.001 to 0.1")
	case !(s.RetryInterval >= minRetryInterval && s.RetryInterval <= s.TTL/minTTLRatio):
		return fielderror.Errorf("retry_ms", "expected 10 to a quarter of lease_ms")
	}
	return nil
}

// holderPeriod returns the time in ms for which a lease is valid for its holder, counted from
// before the holder sent the request.
func (s Settings) holderPeriod() float64 { return s.TTL*(1-s.MaxClockDrift) - s.SafetyMargin }

// registryPeriod returns the time in ms for which the registry waits until a lease has expired,
// counted from its grant or renewal. It ends after holderPeriod if the rates of the two
// clocks differ by at most MaxClockDrift.
func (s Settings) registryPeriod() float64 { return s.TTL*(1+s.MaxClockDrift) + s.SafetyMargin }
