package lease

import "garnetline/internal/fleet/leaseregistry"

// ExpiryTracker is the registry leader's side of leases. It tracks the latest time at which each
// lease can still be valid for its holder. The voters do not replicate these times. A new leader
// therefore does not know when the previous leader granted or renewed a lease, and waits a full
// period for each lease. An ExpiryTracker is not safe for concurrent use.
type ExpiryTracker struct {
	settings Settings
	expiry   map[string]float64 // boot clock in ms, by the lease's name
}

// NewExpiryTracker returns the tracker of a leader that starts to serve requests at the time
// now. It assumes that every lease with a holder may be valid for a whole period from that time
// on.
func NewExpiryTracker(settings Settings, now float64, registry *leaseregistry.State) *ExpiryTracker {
	t := &ExpiryTracker{settings, map[string]float64{}}
	for name, lease := range registry.Leases {
		if lease.Holder != 0 {
			t.expiry[name] = now + settings.registryPeriod()
		}
	}
	return t
}

// Extend records that a lease is granted or renewed at the time now.
func (t *ExpiryTracker) Extend(now float64, name string) {
	t.expiry[name] = max(t.expiry[name], now+t.settings.registryPeriod())
}

// Available reports whether a lease may be granted to a router other than its holder. The
// argument lease is nil if the lease was never granted.
func (t *ExpiryTracker) Available(now float64, lease *leaseregistry.Lease) bool {
	return lease == nil || lease.Holder == 0 || now >= t.expiry[lease.Name]
}

// Remaining returns the longest time in ms for which a lease may still be valid.
func (t *ExpiryTracker) Remaining(now float64, name string) float64 {
	return max(0, t.expiry[name]-now)
}
