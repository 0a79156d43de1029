package leasemanager

import (
	"maps"
	"slices"

	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/membership"
)

const (
	maxPendingRequests = 64 // requests that can be resent if a voter replies with the leader's name; if there are more, the oldest request is discarded

	// Requests are counted since the last response. Every rotateAfter-th request goes to the
	// next voter in Settings.Voters. Every forgetLeaderAfter-th request clears the likely
	// leader.
	rotateAfter       = 3
	forgetLeaderAfter = 4
)

// SendBanRequest sends a request about operators' bans to the voters. The argument payload is the
// result of EncodeBanRequest. A response, if one arrives, is passed to Options.OnBanResponse.
func (m *Manager) SendBanRequest(requestID uint64, payload []byte) {
	m.enqueueHolder(func(float64) {
		m.sendRequest(requestID, outgoingMessage{channel: fragment.BanRequest, payload: payload})
	})
}

// sendRequest sends a request to the likely leader. It sends the request to a voter of
// Settings.Voters instead if the likely leader is unknown, and for every rotateAfter-th request.
func (m *Manager) sendRequest(requestID uint64, message outgoingMessage) {
	m.pendingRequests[requestID] = message
	if len(m.pendingRequests) > maxPendingRequests {
		oldest := slices.Min(slices.Collect(maps.Keys(m.pendingRequests)))
		delete(m.pendingRequests, oldest)
	}
	m.unansweredRequests++
	message.routerID = m.likelyLeader
	if message.routerID == 0 || m.unansweredRequests%rotateAfter == 0 {
		voters := m.options.Voters
		next := m.unansweredRequests / rotateAfter % len(voters)
		message.routerID = m.memberID(voters[next])
	}
	if m.unansweredRequests%forgetLeaderAfter == 0 {
		m.likelyLeader = 0
	}
	if message.routerID != 0 {
		m.send(message)
	}
}

// handleLeaderHint resends a pending request to the leader that the hint names. It resends each
// request at most once.
func (m *Manager) handleLeaderHint(hint leaderHint) {
	message, pending := m.pendingRequests[hint.RequestID]
	if !pending {
		return
	}
	delete(m.pendingRequests, hint.RequestID)
	message.routerID = m.memberID(hint.Leader)
	if message.routerID != 0 {
		m.likelyLeader = message.routerID
		m.send(message)
	}
}

// handleResponse handles a voter's response or notice about a lease.
func (m *Manager) handleResponse(now float64, from membership.ID, response lease.Response) {
	m.recordResponder(from, response.RequestID)
	m.recordChanges(m.holder.HandleResponse(now, response))
	m.publishLeases(now)
}

// recordResponder records the voter that responded to a request as the likely leader.
func (m *Manager) recordResponder(from membership.ID, requestID uint64) {
	m.likelyLeader = from
	m.unansweredRequests = 0
	delete(m.pendingRequests, requestID)
}
