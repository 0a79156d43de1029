package lease

import "garnetline/internal/fleet/leaseregistry"

// ExpiryTracker is the registry leader's side of leases: when each expires at the latest.
// It is not part of what the voters agree on: a new leader knows nothing of what the last one
// granted, and waits for all leases anew. It is not safe for concurrent use.
type ExpiryTracker struct {
	settings Settings
	expiry   map[string]float64 // ms, by the lease's name
}

// NewExpiryTracker returns the tracker of a leader that was elected now: every lease with a
// holder may be valid for a whole period from now on.
func NewExpiryTracker(settings Settings, now float64, registry *leaseregistry.State) *ExpiryTracker {
	t := &ExpiryTracker{settings, map[string]float64{}}
	for name, lease := range registry.Leases {
		if lease.Holder != 0 {
			t.expiry[name] = now + settings.registryPeriod()
		}
	}
	return t
}

// Extend notes that a lease is granted to its holder, or renewed.
func (t *ExpiryTracker) Extend(now float64, name string) {
	t.expiry[name] = max(t.expiry[name], now+t.settings.registryPeriod())
}

// Available tells whether a lease may be granted to another than its holder. The lease is nil
// if it was never granted.
func (t *ExpiryTracker) Available(now float64, lease *leaseregistry.Lease) bool {
	return lease == nil || lease.Holder == 0 || now >= t.expiry[lease.Name]
}

// Remaining returns how long a lease may still be valid, at the most, in ms.
func (t *ExpiryTracker) Remaining(now float64, name string) float64 {
	return max(0, t.expiry[name]-now)
}
