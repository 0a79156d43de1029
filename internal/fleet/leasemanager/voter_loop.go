package leasemanager

import (
	"context"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/lease"
)

const (
	// haltedInterval is how often a voter that halted handles its inbox and publishes its
	// status, in ms.
	haltedInterval = 1000.0

	// maxReleaseNotices is how many routers are notified of a lease that nobody holds. More
	// would request it in vain.
	maxReleaseNotices = 4
)

// runVoter is the voter's goroutine.
func (m *Manager) runVoter(ctx context.Context) {
	defer close(m.voterDone)
	defer m.closeLog()
	timer := time.NewTimer(0)
	defer timer.Stop()
	faultReported := false
	for {
		var handle func(*voter) consensus.Input
		select {
		case <-ctx.Done():
			return
		case handle = <-m.voterInbox:
		case <-timer.C:
		}
		m.stepVoter(handle)
		if m.voter.fault != nil && !faultReported {
			faultReported = true
			m.options.Metrics.Add(metricVoterFaults, 1)
			m.options.Log.Error().Err(m.voter.fault).Msg("voter halted: it neither votes nor answers; requests go on")
		}
		m.publishStatus()
		wait := max(0, m.voter.wakeAt-m.options.Clock.Now())
		if m.voter.fault != nil {
			wait = haltedInterval
		}
		timer.Reset(clock.Duration(wait))
	}
}

// stepVoter steps the voter and sends what it wants sent.
func (m *Manager) stepVoter(handle func(*voter) consensus.Input) {
	out := m.voter.step(m.options.Clock.Now(), handle)
	for _, message := range out.messages {
		m.send(message)
	}
	for _, released := range out.released {
		m.announceReleased(released)
	}
}

// announceReleased notifies the candidates that rank first for a lease that nobody holds it.
//
// Symptom guarded against: a lease was transferred to a router that did not want it, which
// released it to nobody at once. The others had been told how long the lease before might
// last, and requested it only after that: 1 to 2 s without a holder.
func (m *Manager) announceReleased(released lease.Response) {
	for _, id := range lease.TopRanked(released.Lease, m.eligibleMembers(), maxReleaseNotices) {
		m.send(outgoingMessage{routerID: id, channel: fragment.LeaseResponse, payload: EncodeResponse(released)})
	}
}

// closeLog closes the voter's log, of which nothing is written any more.
func (m *Manager) closeLog() { _ = m.voter.log.Close() }
