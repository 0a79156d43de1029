// Package connectivity judges from a router's view of the fleet whether it is together with
// the others, partitioned with some of them, or alone. It does no I/O.
//
// A state that permits less is entered soon; one that permits more needs evidence for
// longer, and for longer each time that it did not last.
//
// A Machine is not safe for concurrent use: the goroutine that owns the router's fleet.Node
// makes all calls.
package connectivity

import (
	"garnetline/internal/fleet/membership"
)

// State is how much of the fleet a router can reach.
type State uint8

// The states, the one that permits the most first.
const (
	Together State = iota
	Partial
	Alone
)

var stateNames = [...]string{"together", "partial", "alone"}

// String returns the name of the state as logs, metrics and the admin API show it.
func (s State) String() string { return stateNames[s] }

// AcceptsRemoteEnable reports whether a server that another router enables is enabled here.
func (s State) AcceptsRemoteEnable() bool { return s == Together }

// Ready reports whether a router in this state is ready: not one that has nobody left,
// neither peers nor servers nor the change log. One that only lost its peers is.
func (s State) Ready(serversLost, changeLogLost bool) bool {
	return s != Alone || !serversLost || !changeLogLost
}

// Settings are the thresholds. Times are milliseconds.
type Settings struct {
	RecentWindow    float64 // a router that was present within it is expected to be
	TogetherShare   float64 // share of the expected routers from which on a router is together
	SilenceTimeout  float64 // alone after no packet for so long, whatever the view says
	DowngradeDelay  float64 // evidence for a state that permits less
	UpgradeDelay    float64 // evidence for one that permits more
	MaxUpgradeDelay float64 // bound of UpgradeDelay's growth
}

// DefaultSettings returns the settings that the operators' file begins with.
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

// Status is the state with what it is based on.
type Status struct {
	State   State
	Since   float64 // ms
	Present int     // alive or suspect, this router among them
	Known   int     // present lately and not left: what shared budgets are divided by
}

// Machine follows the view of one router.
type Machine struct {
	settings       Settings
	lastSeenAt     map[membership.ID]float64 // when each was present latest
	current        Status
	candidate      State // what the view says
	candidateSince float64
	upgradeDelay   float64
	upgraded       bool // it has been at least once
}

// New returns a machine that is alone until the view says otherwise.
func New(settings Settings, now float64) *Machine {
	return &Machine{
		settings:     settings,
		lastSeenAt:   map[membership.ID]float64{},
		current:      Status{State: Alone, Since: now, Present: 1, Known: 1},
		candidate:    Alone,
		upgradeDelay: settings.UpgradeDelay,
	}
}

// Status returns the state that holds now.
func (m *Machine) Status() Status { return m.current }

// Step takes the view as of now, in ms.
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
			m.upgradeDelay = m.settings.UpgradeDelay // it has lasted
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
	case m.upgraded: // what was permitted did not last: the next time it takes longer
		m.upgradeDelay = min(m.settings.MaxUpgradeDelay, 2*m.upgradeDelay)
	}
	m.current.State = candidate
	m.current.Since = now
	return m.current
}

// recordSeen notes which routers are present, and forgets those that left or have not been
// for long.
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

// classify returns the state that the view shows at this moment.
func (m *Machine) classify(view *membership.View) State {
	if m.current.Present <= 1 || view.Silence > m.settings.SilenceTimeout {
		// A router that is cut off from all takes minutes to declare hundreds failed one by
		// one, the more so as it raises its health score. That no packet comes it knows at
		// once.
		return Alone
	}
	if float64(m.current.Present) < m.settings.TogetherShare*float64(m.current.Known) {
		return Partial
	}
	return Together
}
