// Package stance says what a router may assume from its view of the others: it is
// together with them, with a part of them, or alone. It does no I/O.
//
// A stance that takes room away comes soon, one that gives room needs evidence for
// longer, and for longer each time that it did not last.
package connectivity

import (
	"garnetline/internal/fleet/membership"
)

// State is how much of the fleet a router has with it.
type State uint8

// The stances, the one with the most room first.
const (
	Together State = iota
	Partial
	Alone
)

var stateNames = [...]string{"together", "partial", "alone"}

// String is how a stance stands in text.
func (s State) String() string { return stateNames[s] }

// Settings are the bounds. Times are milliseconds.
type Settings struct {
	RecentWindow    float64 // a router that was there within it counts as one that should be
	TogetherShare   float64 // of those: together from it on
	SilenceTimeout  float64 // alone when nobody was heard for so long, whatever the view says
	DowngradeDelay  float64 // evidence for a stance with less room
	UpgradeDelay    float64 // for one with more
	MaxUpgradeDelay float64 // and never more than this, however often it flaps
}

// DefaultSettings is what the operators' file begins with.
func DefaultSettings() Settings {
	return Settings{RecentWindow: 600_000, TogetherShare: 0.75, SilenceTimeout: 2000, DowngradeDelay: 500, UpgradeDelay: 5000, MaxUpgradeDelay: 60_000}
}

// Status is the stance with what it rests on.
type Status struct {
	State   State
	Since   float64 // ms
	Present int     // alive or suspect, this router among them
	Known   int     // there lately and not left: what shared budgets are divided by
}

// Machine follows the view.
type Machine struct {
	settings       Settings
	lastSeenAt     map[membership.ID]float64 // when each was there latest
	current        Status
	candidate      State // what the view says, while it is not what holds
	candidateSince float64
	upgradeDelay   float64 // evidence for more room
	lost           float64 // when room was last taken away
	upgraded       bool
}

// New returns a machine that stands alone until the view says otherwise.
func New(set Settings, now float64) *Machine {
	return &Machine{settings: set, lastSeenAt: map[membership.ID]float64{}, current: Status{Alone, now, 1, 1}, candidate: Alone, upgradeDelay: set.UpgradeDelay}
}

// Step takes the view as of now.
func (m *Machine) Step(now float64, v *membership.View) Status {
	m.current.Present = v.Present
	for i := range v.Members {
		switch w := &v.Members[i]; {
		case w.State.Present():
			m.lastSeenAt[w.ID] = now
		case w.State == membership.Left:
			delete(m.lastSeenAt, w.ID)
		}
	}
	for id, at := range m.lastSeenAt {
		if now-at >= m.settings.RecentWindow {
			delete(m.lastSeenAt, id)
		}
	}
	m.current.Known = max(1, len(m.lastSeenAt))
	says := Together
	switch {
	case m.current.Present <= 1, v.Silence > m.settings.SilenceTimeout:
		// One that is cut off from all takes minutes to fail hundreds one by one, the more so
		// as it doubts itself. That nobody says anything it knows at once.
		says = Alone
	case float64(m.current.Present) < m.settings.TogetherShare*float64(m.current.Known):
		says = Partial
	}
	if says != m.candidate {
		m.candidate, m.candidateSince = says, now
	}
	if says == m.current.State {
		if says == Together && now-m.current.Since >= m.settings.MaxUpgradeDelay {
			m.upgradeDelay = m.settings.UpgradeDelay // it has lasted
		}
		return m.current
	}
	need := m.settings.DowngradeDelay
	if says < m.current.State {
		need = m.upgradeDelay
	}
	if now-m.candidateSince < need {
		return m.current
	}
	if says > m.current.State {
		if m.upgraded { // what was given did not last: the next time it takes longer
			m.upgradeDelay = min(m.settings.MaxUpgradeDelay, 2*m.upgradeDelay)
		}
	} else {
		m.upgraded = true
	}
	m.current.State, m.current.Since = says, now
	return m.current
}

// Status returns what holds now.
func (m *Machine) Status() Status { return m.current }

// AcceptsRemoteEnable tells whether a neighbour's word that a box is enabled again is taken.
func (s State) AcceptsRemoteEnable() bool { return s == Together }

// Ready tells whether a router in this stance is ready: not one that has nobody left,
// neither neighbours nor boxes nor the change log. One that only lost its neighbours is.
func (s State) Ready(boxesLost, logLost bool) bool { return s != Alone || !boxesLost || !logLost }

// Behavior says what is done in each stance about one thing.
type Behavior struct{ Subject, Together, Partial, Alone string }

// Behaviors is all that depends on the fleet.
func Behaviors() []Behavior {
	yes := func(s State) string {
		if s.AcceptsRemoteEnable() {
			return "taken"
		}
		return "held until together"
	}
	ready := func(s State) string {
		if s.Ready(true, true) {
			return "as without a fleet"
		}
		return "not ready once all boxes and the change log are lost too"
	}
	return []Behavior{
		{"parts of shared budgets", "one of those known lately", "the same: silence adds nothing", "the same: silence adds nothing"},
		{"a neighbour's ban of a box", "taken", "taken", "what was heard holds"},
		{"a neighbour's drain, log cut off", "taken", "taken", "what was heard holds"},
		{"a neighbour's purge", "taken", "taken", "what was heard holds"},
		{"a neighbour's enable of a box", yes(Together), yes(Partial), yes(Alone)},
		{"staff's enable at this door", "taken, told", "taken here, told", "taken here, told later"},
		{"readiness", ready(Together), ready(Partial), ready(Alone)},
		{"requests", "never wait", "never wait", "never wait"},
	}
}
