package membership

import (
	"cmp"
	"slices"
)

// Member is one router as another sees it.
type Member struct {
	Update
	StateSince     float64 // ms on the viewer's clock
	LastReceivedAt float64 // latest packet of its own, in ms; 0: never
	Direct         bool    // its latest probe was answered without the help of others
	Self           bool
}

// View is what one router knows of all. It does not change.
type View struct {
	At          float64 // ms
	Self        ID
	Members     []Member // by name, then ID
	Present     int      // alive or suspect, the viewer among them
	Alive       int      // of those, not suspect
	HealthScore int      // how slow the viewer takes itself to be; 0: not at all
	Conflicts   int      // routers whose name or ID another has too
	Superseded  bool     // a later process has the viewer's ID
	Silence     float64  // ms since the latest packet of anybody
}

// View returns the view as of the latest step.
func (m *Machine) View() *View {
	view := &View{
		At:          m.now,
		Self:        m.self.ID,
		Members:     make([]Member, 0, 1+len(m.peers)),
		Present:     m.PresentCount(),
		Alive:       m.PresentCount() - len(m.suspects),
		HealthScore: m.healthScore,
		Conflicts:   len(m.reportedConflicts),
		Superseded:  m.superseded,
		Silence:     m.now - m.lastReceivedAt,
	}
	view.Members = append(view.Members, Member{Update: m.self, LastReceivedAt: m.now, Direct: true, Self: true})
	for _, list := range [][]*peer{m.present, m.departed} {
		for _, r := range list {
			view.Members = append(view.Members, Member{Update: r.Update, StateSince: r.stateSince, LastReceivedAt: r.lastReceivedAt, Direct: r.direct})
		}
	}
	slices.SortFunc(view.Members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID))
	})
	return view
}

// State returns how a router is seen, and whether it is known.
func (m *Machine) State(id ID) (state State, known bool) {
	if id == m.self.ID {
		return m.self.State, true
	}
	if r := m.peers[id]; r != nil {
		return r.State, true
	}
	return Failed, false
}

// PresentCount returns how many routers are present, this one among them.
func (m *Machine) PresentCount() int { return 1 + len(m.present) }

// Self returns this router's update about itself.
func (m *Machine) Self() Update { return m.self }
