package lease

import "garnetline/internal/fielderror"

// Settings are the times of leases, in milliseconds of a clock that counts suspended time
// too.
type Settings struct {
	TTL           float64 // of a lease
	SafetyMargin  float64 // by which the holder stops earlier and the registry waits longer
	MaxClockDrift float64 // ratio by which the rates of two clocks may differ
	RetryInterval float64 // after which a request without a response is repeated, at another voter
	MaxBackoff    float64 // longest time that a router does not request a lease that it lost
}

// DefaultSettings returns the settings that apply where the operators' file sets none.
func DefaultSettings() Settings {
	return Settings{TTL: 3000, SafetyMargin: 200, MaxClockDrift: 0.01, RetryInterval: 250, MaxBackoff: 60_000}
}

// Limits of the settings. The margin and the retry interval are at most TTL/minTTLRatio.
const (
	minTTL           = 200
	maxTTL           = 600_000
	minMargin        = 10
	minDrift         = 0.001
	maxDrift         = 0.1
	minRetryInterval = 10
	minTTLRatio      = 4
)

// Validate returns an error, in terms of the operators' file, unless the settings leave a
// holder time to act in.
func (s Settings) Validate() error {
	switch {
	case !(s.TTL >= minTTL && s.TTL <= maxTTL):
		return fielderror.Errorf("lease_ms", "want 200 to 600000")
	case !(s.SafetyMargin >= minMargin && s.SafetyMargin <= s.TTL/minTTLRatio):
		return fielderror.Errorf("margin_ms", "want 10 to a quarter of lease_ms")
	case !(s.MaxClockDrift >= minDrift && s.MaxClockDrift <= maxDrift):
		return fielderror.Errorf("drift", "want 0.001 to 0.1")
	case !(s.RetryInterval >= minRetryInterval && s.RetryInterval <= s.TTL/minTTLRatio):
		return fielderror.Errorf("retry_ms", "want 10 to a quarter of lease_ms")
	}
	return nil
}

// holderPeriod is how long a lease is valid for its holder, from before it was requested.
func (s Settings) holderPeriod() float64 { return s.TTL*(1-s.MaxClockDrift) - s.SafetyMargin }

// registryPeriod is how long the registry waits for a lease to expire, from after it was
// granted or renewed. It ends after holderPeriod by any two clocks within MaxClockDrift.
func (s Settings) registryPeriod() float64 { return s.TTL*(1+s.MaxClockDrift) + s.SafetyMargin }
