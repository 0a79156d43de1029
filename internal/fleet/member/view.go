package member

import (
	"cmp"
	"net/netip"
	"slices"
)

// Member is one router as another sees it.
type Member struct {
	Word
	Since  float64 // ms on the viewer's clock, in this state
	Heard  float64 // the latest packet of its own; 0: never
	Direct bool    // its latest probe was answered without the help of others
	Self   bool
}

// View is what one router holds of all. It does not change.
type View struct {
	At        float64
	Self      ID
	Members   []Member // by name, then seat
	There     int      // alive or suspect, the viewer among them
	Alive     int      // of those, not suspect
	Health    int      // how slow the viewer takes itself to be; 0: not at all
	Conflicts int      // routers whose name or seat another has too
	Yielded   bool     // a later process has the viewer's seat
	Silence   float64  // ms since anybody was heard
}

// View returns the view as of now.
func (m *Machine) View() *View {
	v := &View{At: m.now, Self: m.self.ID, Health: m.health, Conflicts: len(m.told), Yielded: m.yielded, There: 1 + len(m.round), Silence: m.now - m.heard,
		Members: make([]Member, 0, 1+len(m.by))}
	v.Alive = v.There - len(m.suspects)
	v.Members = append(v.Members, Member{Word: m.self, Heard: m.now, Direct: true, Self: true})
	for _, list := range [][]*record{m.round, m.gone} {
		for _, r := range list {
			v.Members = append(v.Members, Member{Word: r.Word, Since: r.since, Heard: r.heard, Direct: r.direct})
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
	if r := m.by[id]; r != nil {
		return r.State, true
	}
	return Failed, false
}

// There returns how many routers are there, this one among them.
func (m *Machine) There() int { return 1 + len(m.round) }

// Self returns this router's word of itself.
func (m *Machine) Self() Word { return m.self }

// Sums returns what two routers with equal views have alike.
func (m *Machine) Sums() [Buckets]uint32 { return [Buckets]uint32(m.all()) }

// Reseed replaces the addresses at which others may be.
func (m *Machine) Reseed(seeds []netip.AddrPort) { m.seeds = slices.Clone(seeds) }

// Lie has a word of another router passed on as if it were believed. It is for tests of
// what one that has the key and means ill can do.
func (m *Machine) Lie(w Word) {
	m.out = &Output{}
	m.apply(w, "made up")
	m.out = nil
}
