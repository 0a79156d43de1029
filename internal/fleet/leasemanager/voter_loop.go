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
	// haltedInterval is the interval in ms at which a halted voter publishes its status if it
	// receives no message.
	haltedInterval = 1000.0

	// maxReleaseNotices is the number of routers that are notified of a lease that nobody holds.
	// Only one of them can get the lease, so most further notices would cause useless requests.
	maxReleaseNotices = 4
)

// runVoter runs the voter's goroutine until ctx ends.
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

// stepVoter steps the voter and sends the resulting messages and notices.
func (m *Manager) stepVoter(handle func(*voter) consensus.Input) {
	out := m.voter.step(m.options.Clock.Now(), handle)
	for _, message := range out.messages {
		m.send(message)
	}
	for _, released := range out.released {
		m.announceReleased(released)
	}
}

// announceReleased notifies the first-ranked candidates of a lease that nobody holds it.
//
// Without the notice, a lease could have no holder for 1 to 2 s: it is transferred to a router
// that does not want it, and that router immediately releases it to nobody. The other routers
// only know how long the previous grant may last, and would not request the lease before that
// time has passed.
func (m *Manager) announceReleased(released lease.Response) {
	for _, id := range lease.TopRanked(released.Lease, m.eligibleMembers(), maxReleaseNotices) {
		m.send(outgoingMessage{routerID: id, channel: fragment.LeaseResponse, payload: EncodeResponse(released)})
	}
}

// closeLog closes the voter's log when the voter has stopped. It ignores an error of Close,
// because all saved data is already on the disk.
func (m *Manager) closeLog() { _ = m.voter.log.Close() }
