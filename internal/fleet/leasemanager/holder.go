package leasemanager

import (
	"context"
	"slices"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/membership"
)

const (
	rankInterval    = 200.0 // ms between updates of the ranks, which depend on the members
	minStepInterval = 1.0   // ms between steps of the holder
)

// Lease is a lease that this router holds. The page /fleet/duties shows it to operators as JSON.
type Lease struct {
	Name         string  `json:"Duty"`
	FencingToken uint64  `json:"Token"`
	ExpiresAt    float64 `json:"End"`  // ms of the boot clock
	Handoff      []byte  `json:"Work"` // data that the last holder left
}

// Valid returns the fencing token of a lease; ok is false if this router does not hold the lease
// now. Callers must call Valid again before each write to a socket. Valid does not block.
func (m *Manager) Valid(name string) (token uint64, ok bool) {
	for _, held := range *m.leases.Load() {
		if held.Name == name {
			return held.FencingToken, m.options.Clock.Now() < held.ExpiresAt
		}
	}
	return 0, false
}

// Leases returns the leases that this router held when they were last published. Some of them
// may have expired since then. Callers must not modify the slice.
func (m *Manager) Leases() []Lease { return *m.leases.Load() }

// LastKnownHolder returns the holder of a lease according to the latest response that this
// router received. It returns 0 if nobody held the lease or the holder is unknown.
func (m *Manager) LastKnownHolder(name string) membership.ID {
	holders := m.knownHolders.Load()
	if holders == nil {
		return 0
	}
	return (*holders)[name]
}

// runHolder runs the holder's goroutine. When ctx ends, runHolder releases the held leases. It
// then returns as soon as the registry has confirmed the releases or releaseTimeout has passed.
func (m *Manager) runHolder(ctx context.Context) {
	defer close(m.holderDone)
	timer := time.NewTimer(0)
	defer timer.Stop()
	nextRankAt := 0.0
	var releaseDeadline <-chan time.Time // nil until the shutdown has started to release the leases
	for {
		select {
		case <-ctx.Done():
			if releaseDeadline == nil {
				if !m.releaseAll() {
					return
				}
				releaseDeadline = time.After(releaseTimeout)
			}
			if !m.awaitRelease(timer, releaseDeadline) {
				return
			}
		case handle := <-m.holderInbox:
			handle(m.options.Clock.Now())
		case <-timer.C:
		}
		now := m.options.Clock.Now()
		if nextRankAt <= now && !m.stopping.Load() {
			nextRankAt = now + rankInterval
			m.updateRanks(now)
		}
		wakeAt := min(m.stepHolder(now), nextRankAt)
		timer.Reset(clock.Duration(max(minStepInterval, wakeAt-m.options.Clock.Now())))
	}
}

// stepHolder sends the requests that are due, and returns the time in ms of the next step.
func (m *Manager) stepHolder(now float64) (wakeAt float64) {
	requests, changes, wakeAt := m.holder.Step(now)
	m.publishLeases(now) // a released lease must be invalid on this router before the registry learns of the release
	for _, request := range requests {
		m.sendRequest(request.ID, outgoingMessage{channel: fragment.LeaseRequest, payload: EncodeRequest(request)})
	}
	m.recordChanges(changes)
	return wakeAt
}

// awaitRelease handles the next event while all leases are being released. It returns false once
// the releases are confirmed or the deadline has passed.
func (m *Manager) awaitRelease(timer *time.Timer, deadline <-chan time.Time) bool {
	select {
	case handle := <-m.holderInbox:
		handle(m.options.Clock.Now())
	case <-timer.C:
	case <-deadline:
		return false
	}
	return !m.holder.AllReleased()
}

// releaseAll releases each held lease to the first-ranked candidate other than this router. It
// returns false if this router held no lease.
func (m *Manager) releaseAll() bool {
	m.stopping.Store(true)
	now := m.options.Clock.Now()
	held := m.holder.Held(now)
	for _, name := range held {
		m.release(now, name, 0)
	}
	m.publishLeases(now)
	return len(held) > 0
}

// release releases a lease to the router with the ID successor. If this ID is 0, the first-ranked
// candidate other than this router gets the lease.
func (m *Manager) release(now float64, name string, successor membership.ID) {
	others := slices.DeleteFunc(m.eligibleMembers(), func(id membership.ID) bool { return id == m.self })
	if first := lease.TopRanked(name, others, 1); successor == 0 && len(first) > 0 {
		successor = first[0]
	}
	m.holder.Release(now, name, successor, m.handoffs[name])
	m.options.Log.Info().Str("lease", name).Str("to", m.memberName(successor)).Msg("lease transferred")
}

// updateRanks sets this router's rank for each lease in leaseNames.
func (m *Manager) updateRanks(now float64) {
	eligible := m.options.Eligible()
	candidates := m.eligibleMembers()
	for _, name := range m.leaseNames {
		rank := -1
		if eligible {
			rank = lease.Rank(name, m.self, candidates)
		}
		m.holder.SetRank(now, name, rank)
	}
}

// eligibleMembers returns the routers that may hold a lease. These are all routers that are
// alive, including this router. There are none if another process has taken over this router's
// identity.
func (m *Manager) eligibleMembers() []membership.ID {
	view := m.options.Transport.Members()
	if view.Superseded {
		return nil
	}
	var ids []membership.ID
	for _, member := range view.Members {
		if member.State == membership.Alive {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// recordChanges logs and counts the leases that this router got or lost.
func (m *Manager) recordChanges(changes []lease.Change) {
	for _, change := range changes {
		if change.FencingToken != 0 {
			m.handoffs[change.Lease] = change.Handoff
			m.options.Metrics.Add(metricGranted, 1)
		} else {
			m.options.Metrics.Add(metricLost, 1)
		}
		m.options.Log.Info().Str("lease", change.Lease).Uint64("token", change.FencingToken).Str("cause", string(change.Cause)).Msg("lease changed")
	}
}

// publishLeases publishes the held leases and the last known holder of each lease.
func (m *Manager) publishLeases(now float64) {
	leases := make([]Lease, 0, len(m.leaseNames))
	for _, name := range m.holder.Held(now) {
		expiresAt, token := m.holder.Expiry(name)
		leases = append(leases, Lease{Name: name, FencingToken: token, ExpiresAt: expiresAt, Handoff: m.handoffs[name]})
	}
	m.leases.Store(&leases)
	holders := make(map[string]membership.ID, len(m.leaseNames))
	for _, name := range m.leaseNames {
		holders[name] = m.holder.LastKnownHolder(name)
	}
	m.knownHolders.Store(&holders)
}
