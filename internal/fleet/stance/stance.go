// Package stance says what a router may assume from its view of the others: it is
// together with them, with a part of them, or alone. It does no I/O.
//
// A stance that takes room away comes soon, one that gives room needs evidence for
// longer, and for longer each time that it did not last.
package stance

import (
	"garnetline/internal/fleet/member"
)

// Stance is how much of the fleet a router has with it.
type Stance uint8

// The stances, the one with the most room first.
const (
	Together Stance = iota
	Partial
	Alone
)

var names = [...]string{"together", "partial", "alone"}

// String is how a stance stands in text.
func (s Stance) String() string { return names[s] }

// Settings are the bounds. Times are milliseconds.
type Settings struct {
	Lately float64 // a router that was there within it counts as one that should be
	Share  float64 // of those: together from it on
	Silent float64 // alone when nobody was heard for so long, whatever the view says
	Less   float64 // evidence for a stance with less room
	More   float64 // for one with more
	Most   float64 // and never more than this, however often it flaps
}

// Default is what the operators' file begins with.
func Default() Settings {
	return Settings{Lately: 600_000, Share: 0.75, Silent: 2000, Less: 500, More: 5000, Most: 60_000}
}

// Reading is the stance with what it rests on.
type Reading struct {
	Stance Stance
	Since  float64 // ms
	There  int     // alive or suspect, this router among them
	Known  int     // there lately and not left: what shared budgets are divided by
}

// Machine follows the view.
type Machine struct {
	set     Settings
	seen    map[member.ID]float64 // when each was there latest
	now     Reading
	next    Stance // what the view says, while it is not what holds
	since   float64
	need    float64 // evidence for more room
	lost    float64 // when room was last taken away
	started bool
}

// New returns a machine that stands alone until the view says otherwise.
func New(set Settings, now float64) *Machine {
	return &Machine{set: set, seen: map[member.ID]float64{}, now: Reading{Alone, now, 1, 1}, next: Alone, need: set.More}
}

// Step takes the view as of now.
func (m *Machine) Step(now float64, v *member.View) Reading {
	m.now.There = v.There
	for i := range v.Members {
		switch w := &v.Members[i]; {
		case w.State.There():
			m.seen[w.ID] = now
		case w.State == member.Left:
			delete(m.seen, w.ID)
		}
	}
	for id, at := range m.seen {
		if now-at >= m.set.Lately {
			delete(m.seen, id)
		}
	}
	m.now.Known = max(1, len(m.seen))
	says := Together
	switch {
	case m.now.There <= 1, v.Silence > m.set.Silent:
		// One that is cut off from all takes minutes to fail hundreds one by one, the more so
		// as it doubts itself. That nobody says anything it knows at once.
		says = Alone
	case float64(m.now.There) < m.set.Share*float64(m.now.Known):
		says = Partial
	}
	if says != m.next {
		m.next, m.since = says, now
	}
	if says == m.now.Stance {
		if says == Together && now-m.now.Since >= m.set.Most {
			m.need = m.set.More // it has lasted
		}
		return m.now
	}
	need := m.set.Less
	if says < m.now.Stance {
		need = m.need
	}
	if now-m.since < need {
		return m.now
	}
	if says > m.now.Stance {
		if m.started { // what was given did not last: the next time it takes longer
			m.need = min(m.set.Most, 2*m.need)
		}
	} else {
		m.started = true
	}
	m.now.Stance, m.now.Since = says, now
	return m.now
}

// Reading returns what holds now.
func (m *Machine) Reading() Reading { return m.now }

// Enable tells whether a neighbour's word that a box is enabled again is taken.
func (s Stance) Enable() bool { return s == Together }

// Ready tells whether a router in this stance is ready: not one that has nobody left,
// neither neighbours nor boxes nor the change log. One that only lost its neighbours is.
func (s Stance) Ready(boxesLost, logLost bool) bool { return s != Alone || !boxesLost || !logLost }

// Row says what is done in each stance about one thing.
type Row struct{ Thing, Together, Partial, Alone string }

// Table is all that depends on the fleet.
func Table() []Row {
	yes := func(s Stance) string {
		if s.Enable() {
			return "taken"
		}
		return "held until together"
	}
	ready := func(s Stance) string {
		if s.Ready(true, true) {
			return "as without a fleet"
		}
		return "not ready once all boxes and the change log are lost too"
	}
	return []Row{
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
