// Package connectivity determines from a router's view of the fleet whether it can reach most
// routers (together), only some of them (partial) or none (alone). It does no I/O.
//
// A router enters a state that permits less after a short delay. It enters a state that permits
// more after a longer delay. The longer delay doubles each time the router then returns to a
// state that permits less.
//
// A Machine is not safe for concurrent use: the goroutine that owns the router's fleet.Node
// makes all calls.
package connectivity

import (
	"garnetline/internal/fleet/membership"
)

// State tells how much of the fleet a router can reach.
type State uint8

// The states. Each state permits no more than the states before it.
const (
	Together State = iota
	Partial
	Alone
)

var stateNames = [...]string{"together", "partial", "alone"}

// String returns the name under which logs, metrics and the admin API show the state.
func (s State) String() string { return stateNames[s] }

// AcceptsRemoteEnable reports whether a router in this state immediately enables a server that an
// operator has enabled at another router.
func (s State) AcceptsRemoteEnable() bool { return s == Together }

// Ready reports whether a router in this state is ready for requests. The router is not ready if
// it has lost all three of these: the other routers, the servers and the change log. A router that
// has lost only the other routers is ready.
func (s State) Ready(serversLost, changeLogLost bool) bool {
	return s != Alone || !serversLost || !changeLogLost
}

// Settings are the thresholds and delays. All times are in milliseconds.
type Settings struct {
	RecentWindow    float64 // time after which a router that is no longer present stops counting as known
	TogetherShare   float64 // smallest share of the known routers that must be present for Together
	SilenceTimeout  float64 // time without a packet after which the state is Alone, whatever the view shows
	DowngradeDelay  float64 // time for which the view must show a state that permits less before the router enters it
	UpgradeDelay    float64 // initial time for which the view must show a state that permits more before the router enters it
	MaxUpgradeDelay float64 // upper bound of the doubled upgrade delay
}

// DefaultSettings returns the defaults for the operators' settings file.
func DefaultSettings() Settings {
	return Settings{
		RecentWindow:    600_000,
		TogetherShare:   0.75,
		SilenceTimeout:  2000,
		DowngradeDelay:  500,
		UpgradeDelay:    5000,
		MaxUpgradeDelay: 60_000,
	}
}

// Status is the connectivity state of a router, with counts of the routers in its fleet.
type Status struct {
	State   State
	Since   float64 // when the state was entered, ms
	Present int     // number of alive or suspect routers, including this router
	Known   int     // number of routers that were present within RecentWindow and have not left; each limit that the whole fleet shares is divided by it
}

// Machine derives the connectivity state of one router from its views.
type Machine struct {
	settings       Settings
	lastSeenAt     map[membership.ID]float64 // when each router was last present, ms
	current        Status
	candidate      State   // state that the latest view shows
	candidateSince float64 // ms
	upgradeDelay   float64 // ms
	upgraded       bool    // the machine has entered a state that permits more at least once
}

// New returns a machine in the state Alone. The argument now is in ms.
func New(settings Settings, now float64) *Machine {
	return &Machine{
		settings:     settings,
		lastSeenAt:   map[membership.ID]float64{},
		current:      Status{State: Alone, Since: now, Present: 1, Known: 1},
		candidate:    Alone,
		upgradeDelay: settings.UpgradeDelay,
	}
}

// Status returns the status as of the latest step.
func (m *Machine) Status() Status { return m.current }

// Step updates the state from the given view. The argument now is the time of the view, in ms.
func (m *Machine) Step(now float64, view *membership.View) Status {
	m.current.Present = view.Present
	m.recordSeen(now, view)
	m.current.Known = max(1, len(m.lastSeenAt))
	candidate := m.classify(view)
	if candidate != m.candidate {
		m.candidate = candidate
		m.candidateSince = now
	}
	if candidate == m.current.State {
		if candidate == Together && now-m.current.Since >= m.settings.MaxUpgradeDelay {
			m.upgradeDelay = m.settings.UpgradeDelay // the state Together has lasted, so the doubled delay is reset
		}
		return m.current
	}
	upgrade := candidate < m.current.State
	delay := m.settings.DowngradeDelay
	if upgrade {
		delay = m.upgradeDelay
	}
	if now-m.candidateSince < delay {
		return m.current
	}
	switch {
	case upgrade:
		m.upgraded = true
	case m.upgraded: // the earlier upgrade did not last, so the next upgrade takes longer
		m.upgradeDelay = min(m.settings.MaxUpgradeDelay, 2*m.upgradeDelay)
	}
	m.current.State = candidate
	m.current.Since = now
	return m.current
}

// recordSeen records which routers are present. It forgets routers that left or have not been
// present within RecentWindow.
func (m *Machine) recordSeen(now float64, view *membership.View) {
	for i := range view.Members {
		member := &view.Members[i]
		switch {
		case member.State.Present():
			m.lastSeenAt[member.ID] = now
		case member.State == membership.Left:
			delete(m.lastSeenAt, member.ID)
		}
	}
	for id, at := range m.lastSeenAt {
		if now-at >= m.settings.RecentWindow {
			delete(m.lastSeenAt, id)
		}
	}
}

// classify returns the state that the view shows, without delays.
func (m *Machine) classify(view *membership.View) State {
	if m.current.Present <= 1 || view.Silence > m.settings.SilenceTimeout {
		// An isolated router declares the other routers failed one by one. This takes minutes
		// for hundreds of routers, and longer as its health score rises. The absence of packets
		// shows the isolation much earlier.
		return Alone
	}
	if float64(m.current.Present) < m.settings.TogetherShare*float64(m.current.Known) {
		return Partial
	}
	return Together
}
