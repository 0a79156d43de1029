package membership

import (
	"cmp"
	"slices"
)

// Member describes a router as the viewer, the router that owns the view, sees it.
type Member struct {
	Update
	StateSince     float64 // ms on the viewer's clock
	LastReceivedAt float64 // when the member's latest packet arrived, in ms on the viewer's clock; 0: never
	Direct         bool    // the member answered the latest probe directly, not through another router
	Self           bool    // the member is the viewer
}

// View is a snapshot of the knowledge of one router, the viewer, about all routers. A View must
// not be modified.
type View struct {
	At          float64 // time of the snapshot, ms
	Self        ID
	Members     []Member // sorted by name, then ID
	Present     int      // number of alive or suspect routers, including the viewer
	Alive       int      // number of alive routers, including the viewer
	HealthScore int      // the viewer's local health score; 0: healthy, higher: slower
	Conflicts   int      // conflicts reported so far: two routers with the same name or ID
	Superseded  bool     // a later process has the viewer's ID
	Silence     float64  // time since the latest packet of any other router arrived, ms
}

// View returns a snapshot as of the latest step.
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

// State returns the state of a router, and whether the router is known. The state of an unknown
// router is Failed.
func (m *Machine) State(id ID) (state State, known bool) {
	if id == m.self.ID {
		return m.self.State, true
	}
	if r := m.peers[id]; r != nil {
		return r.State, true
	}
	return Failed, false
}

// PresentCount returns the number of present routers, including this router.
func (m *Machine) PresentCount() int { return 1 + len(m.present) }

// Self returns this router's update about itself.
func (m *Machine) Self() Update { return m.self }
