package membership

import (
	"cmp"
	"net/netip"
	"slices"
)

// Member is one router as another sees it.
type Member struct {
	Update
	StateSince     float64 // ms on the viewer's clock, in this state
	LastReceivedAt float64 // the latest packet of its own; 0: never
	Direct         bool    // its latest probe was answered without the help of others
	Self           bool
}

// View is what one router holds of all. It does not change.
type View struct {
	At          float64
	Self        ID
	Members     []Member // by name, then seat
	Present     int      // alive or suspect, the viewer among them
	Alive       int      // of those, not suspect
	HealthScore int      // how slow the viewer takes itself to be; 0: not at all
	Conflicts   int      // routers whose name or seat another has too
	Superseded  bool     // a later process has the viewer's seat
	Silence     float64  // ms since anybody was heard
}

// View returns the view as of now.
func (m *Machine) View() *View {
	v := &View{At: m.now, Self: m.self.ID, HealthScore: m.healthScore, Conflicts: len(m.reportedConflicts), Superseded: m.superseded, Present: 1 + len(m.present), Silence: m.now - m.lastReceivedAt,
		Members: make([]Member, 0, 1+len(m.peers))}
	v.Alive = v.Present - len(m.suspects)
	v.Members = append(v.Members, Member{Update: m.self, LastReceivedAt: m.now, Direct: true, Self: true})
	for _, list := range [][]*peer{m.present, m.departed} {
		for _, r := range list {
			v.Members = append(v.Members, Member{Update: r.Update, StateSince: r.stateSince, LastReceivedAt: r.lastReceivedAt, Direct: r.direct})
		}
	}
	slices.SortFunc(v.Members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID))
	})
	return v
}

// State returns how a router is seen, and whether it is known.
func (m *Machine) State(id ID) (State, bool) {
	if id == m.self.ID {
		return m.self.State, true
	}
	if r := m.peers[id]; r != nil {
		return r.State, true
	}
	return Failed, false
}

// PresentCount returns how many routers are there, this one among them.
func (m *Machine) PresentCount() int { return 1 + len(m.present) }

// Self returns this router's word of itself.
func (m *Machine) Self() Update { return m.self }

// Checksums returns what two routers with equal views have alike.
func (m *Machine) Checksums() [BucketCount]uint32 { return [BucketCount]uint32(m.allChecksums()) }

// SetSeeds replaces the addresses at which others may be.
func (m *Machine) SetSeeds(seeds []netip.AddrPort) { m.seeds = slices.Clone(seeds) }

// InjectUpdate has a word of another router passed on as if it were believed. It is for tests of
// what one that has the key and means ill can do.
func (m *Machine) InjectUpdate(w Update) {
	m.output = &Output{}
	m.applyUpdate(w, "made up")
	m.output = nil
}
