package fleet

import (
	"garnetline/internal/fleet/member"
	"garnetline/internal/fleet/stance"
)

// Status is what a router shows of its fleet: at its door, as JSON, and so to the
// command line and to tests.
type Status struct {
	Name    string   `json:"name"`
	Fleet   string   `json:"fleet"`
	Seat    string   `json:"seat"`
	Life    uint64   `json:"life"`
	At      float64  `json:"at_ms"`  // Unix ms of the view
	Bound   bool     `json:"bound"`  // the socket is this process's
	Stance  string   `json:"stance"` // together, partial or alone
	Since   float64  `json:"stance_since_ms"`
	There   int      `json:"there"` // alive or suspect, this one among them
	Known   int      `json:"known"` // there lately: what shared budgets are divided by
	Health  int      `json:"health"`
	Yielded bool     `json:"yielded"`
	Members []Shown  `json:"members"`
	Bans    []string `json:"bans"`
}

// Shown is one member of a Status.
type Shown struct {
	Name    string  `json:"name"`
	Seat    string  `json:"seat"`
	Life    uint64  `json:"life"`
	Inc     uint64  `json:"refutations"`
	State   string  `json:"state"`
	Since   float64 `json:"since_ms"`
	By      string  `json:"by,omitempty"` // whose word it is, by name where that is known
	Zone    string  `json:"zone"`
	Version string  `json:"version"`
	Addr    string  `json:"addr"`
	Direct  bool    `json:"direct"` // its latest probe was answered without help
	Self    bool    `json:"self,omitempty"`
}

// Show makes a status of a view.
func Show(v *member.View, r stance.Reading, fleet string) *Status {
	s := &Status{Fleet: fleet, At: v.At, Stance: r.Stance.String(), Since: r.Since, There: v.There, Known: r.Known, Health: v.Health,
		Yielded: v.Yielded, Members: make([]Shown, 0, len(v.Members)), Bans: []string{}}
	names := make(map[member.ID]string, len(v.Members))
	for i := range v.Members {
		names[v.Members[i].ID] = v.Members[i].Name
	}
	for i := range v.Members {
		m := &v.Members[i]
		x := Shown{Name: m.Name, Seat: m.ID.String(), Life: m.Life(), Inc: m.Inc - member.Incarnation(m.Life()), State: m.State.String(),
			Since: m.Since, Zone: m.Zone, Version: m.Version, Addr: m.Addr.String(), Direct: m.Direct, Self: m.Self}
		if m.State != member.Alive {
			if x.By = names[m.By]; x.By == "" {
				x.By = m.By.String()
			}
		}
		if m.Self {
			s.Name, s.Seat, s.Life = m.Name, x.Seat, x.Life
		}
		s.Members = append(s.Members, x)
	}
	return s
}
