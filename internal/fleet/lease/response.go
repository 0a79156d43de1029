package lease

import "math"

// HandleResponse handles a response or a notice of the registry that was received at the time
// now, in ms. It returns the leases that this router got or lost because of the response.
func (h *Holder) HandleResponse(now float64, response Response) []Change {
	state := h.leases[response.Lease]
	if state == nil {
		return nil
	}
	if response.FencingToken >= state.highestToken {
		state.lastKnownHolder = response.Holder
	}
	if state.releasing != nil {
		h.handleReleaseResponse(now, state, response)
		return nil
	}
	if response.RequestID == 0 {
		h.handleNotice(now, state, response)
		return nil
	}
	sentAt, pending := state.pendingRequests[response.RequestID]
	if !pending || response.FencingToken < state.highestToken {
		return nil // the request was discarded or sent by an earlier incarnation, or a newer response was handled
	}
	state.highestToken = response.FencingToken
	delete(state.pendingRequests, response.RequestID)
	if !response.Granted {
		return h.handleRejection(now, state, response)
	}
	return h.handleGrant(now, sentAt, state, response)
}

// handleReleaseResponse ends a pending release once the registry has applied it.
func (h *Holder) handleReleaseResponse(now float64, state *leaseState, response Response) {
	switch {
	case response.Granted && response.FencingToken > state.releasing.FencingToken:
		// The registry has meanwhile granted an earlier request of this process. The router does not
		// accept that grant: from now on, its pending release has the token of the grant.
		state.releasing.FencingToken = response.FencingToken
		state.releaseAttempts = 0
		state.nextRequestAt = now
	case response.FencingToken > state.releasing.FencingToken || response.Holder != h.self:
		state.releasing = nil
		state.nextRequestAt = now + h.settings.TTL
	}
}

// handleNotice handles a notice that a lease was transferred to this router or that nobody holds
// the lease.
func (h *Holder) handleNotice(now float64, state *leaseState, response Response) {
	if state.fencingToken != 0 {
		return
	}
	switch {
	case response.Holder == h.self:
		// If the router wants the lease, it requests the lease. Otherwise it sends a release
		// until the registry confirms the release.
		state.nextRequestAt, state.backoffUntil = now, 0
		if state.rank < 0 {
			state.releasing = &Request{Lease: response.Lease, FencingToken: response.FencingToken, Release: true}
			state.releaseAttempts = 0
		}
	case response.Holder == 0 && state.rank >= 0:
		// All candidates that got the notice request the lease, in the order of their ranks.
		requestAt := now + float64(state.rank)*h.settings.RetryInterval/noticeDivisor
		state.nextRequestAt = min(state.nextRequestAt, max(state.backoffUntil, requestAt))
	}
}

// handleRejection handles a response that does not grant the lease. Another router, another
// process of this router or nobody holds the lease.
func (h *Holder) handleRejection(now float64, state *leaseState, response Response) (changes []Change) {
	if state.fencingToken != 0 && response.FencingToken != state.fencingToken {
		changes = append(changes, Change{Lease: response.Lease, Cause: CauseTokenReplaced})
		state.fencingToken, state.expiresAt = 0, 0
	}
	if state.fencingToken == 0 {
		state.scheduleRetry(h.settings, now, response)
	}
	return changes
}

// handleGrant handles a response that grants or renews the lease. sentAt is the time at which
// the request was sent. The lease counts from sentAt.
func (h *Holder) handleGrant(now, sentAt float64, state *leaseState, response Response) (changes []Change) {
	expiresAt := sentAt + h.settings.holderPeriod()
	if now >= expiresAt && now >= state.expiresAt { // the response came after the end of the lease that it grants
		if state.fencingToken != 0 {
			changes = append(changes, Change{Lease: response.Lease, Cause: CauseRenewedLate})
		}
		state.fencingToken, state.expiresAt = 0, 0
		state.nextRequestAt = now
		return changes
	}
	isNew := response.FencingToken != state.fencingToken
	if isNew {
		changes = append(changes, Change{Lease: response.Lease, FencingToken: response.FencingToken, Handoff: response.Handoff, Cause: CauseGranted})
	}
	if isNew || expiresAt > state.expiresAt {
		state.fencingToken, state.expiresAt = response.FencingToken, expiresAt
	}
	state.nextRequestAt = now + h.settings.TTL/renewalDivisor
	if state.rank < 0 { // the request was sent while the router still wanted the lease
		h.Release(now, response.Lease, 0, nil)
		changes = append(changes, Change{Lease: response.Lease, Cause: CauseNotWanted})
	}
	return changes
}

// scheduleRetry sets when to request the lease again after a rejection. The registry counts how
// often a router lost the lease. A router with a count above 0 backs off exponentially with the
// count, up to Settings.MaxBackoff.
func (s *leaseState) scheduleRetry(settings Settings, now float64, response Response) {
	if s.rank < 0 {
		s.nextRequestAt = math.Inf(1)
		return
	}
	untilFree := max(settings.RetryInterval, min(response.Remaining, settings.TTL))
	s.nextRequestAt = now + untilFree + float64(s.rank)*settings.TTL/rankDivisor
	if response.Losses == 0 {
		return
	}
	if s.backoffUntil <= now {
		doublings := float64(min(response.Losses, maxBackoffDoublings))
		s.backoffUntil = now + min(settings.MaxBackoff, settings.TTL*math.Pow(2, doublings))
	}
	s.nextRequestAt = max(s.nextRequestAt, s.backoffUntil)
}
