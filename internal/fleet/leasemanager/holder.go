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
	rankInterval    = 200.0 // ms between looks at the members
	minStepInterval = 1.0   // ms
)

// Lease is a lease that this router holds. Its JSON is shown to operators by /fleet/duties.
type Lease struct {
	Name         string  `json:"Duty"`
	FencingToken uint64  `json:"Token"`
	ExpiresAt    float64 `json:"End"`  // on the boot clock, ms
	Handoff      []byte  `json:"Work"` // what the last holder left
}

// Valid tells whether this router holds a lease now, and under which fencing token. It is to
// be asked again at each write to a socket. It does not block.
func (m *Manager) Valid(name string) (token uint64, ok bool) {
	for _, held := range *m.leases.Load() {
		if held.Name == name {
			return held.FencingToken, m.options.Clock.Now() < held.ExpiresAt
		}
	}
	return 0, false
}

// Leases returns what was held at the last change; each may have expired since. The slice is
// not to be changed.
func (m *Manager) Leases() []Lease { return *m.leases.Load() }

// LastKnownHolder returns who held a lease by the latest response that this router received;
// 0: nobody, or not known.
func (m *Manager) LastKnownHolder(name string) membership.ID {
	holders := m.knownHolders.Load()
	if holders == nil {
		return 0
	}
	return (*holders)[name]
}

// runHolder is the holder's goroutine. Once ctx has ended it releases what is held and returns
// when that is confirmed, or took too long.
func (m *Manager) runHolder(ctx context.Context) {
	defer close(m.holderDone)
	timer := time.NewTimer(0)
	defer timer.Stop()
	nextRankAt := 0.0
	var releaseDeadline <-chan time.Time // not nil once everything is being released
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

// stepHolder sends the requests that are due and returns when to step next.
func (m *Manager) stepHolder(now float64) (wakeAt float64) {
	requests, changes, wakeAt := m.holder.Step(now)
	m.publishLeases(now) // before the registry is told that something is released
	for _, request := range requests {
		m.sendRequest(request.ID, outgoingMessage{channel: fragment.LeaseRequest, payload: EncodeRequest(request)})
	}
	m.recordChanges(changes)
	return wakeAt
}

// awaitRelease waits for the next event while everything is being released. It returns false
// when that has ended.
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

// releaseAll releases what is held, each lease to the candidate that ranks first without this
// router. It returns false if nothing was held.
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

// release releases a lease to another router; 0: to the candidate that ranks first without
// this router.
func (m *Manager) release(now float64, name string, to membership.ID) {
	others := slices.DeleteFunc(m.eligibleMembers(), func(id membership.ID) bool { return id == m.self })
	if first := lease.TopRanked(name, others, 1); to == 0 && len(first) > 0 {
		to = first[0]
	}
	m.holder.Release(now, name, to, m.handoffs[name])
	m.options.Log.Info().Str("lease", name).Str("to", m.memberName(to)).Msg("lease transferred")
}

// updateRanks sets this router's rank for each lease that it is willing to hold.
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

// eligibleMembers returns the routers that may hold a lease, with this one: all that are
// alive, or none if this router's identity was taken over by another process.
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

// recordChanges logs and counts what is held now, or no longer.
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

// publishLeases publishes what is held, and who holds what by the latest responses.
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
