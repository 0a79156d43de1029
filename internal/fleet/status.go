package fleet

import (
	"garnetline/internal/fleet/connectivity"
	"garnetline/internal/fleet/membership"
)

// Status is what a router shows of its fleet: at its door, as JSON, and so to the
// command line and to tests.
type Status struct {
	Name              string         `json:"name"`
	Fleet             string         `json:"fleet"`
	RouterID          string         `json:"seat"`
	Incarnation       uint64         `json:"life"`
	At                float64        `json:"at_ms"`  // Unix ms of the view
	Bound             bool           `json:"bound"`  // the socket is this process's
	Connectivity      string         `json:"stance"` // together, partial or alone
	ConnectivitySince float64        `json:"stance_since_ms"`
	Present           int            `json:"there"` // alive or suspect, this one among them
	Known             int            `json:"known"` // there lately: what shared budgets are divided by
	HealthScore       int            `json:"health"`
	Superseded        bool           `json:"yielded"`
	Members           []MemberStatus `json:"members"`
	Bans              []string       `json:"bans"`
}

// MemberStatus is one member of a Status.
type MemberStatus struct {
	Name        string  `json:"name"`
	RouterID    string  `json:"seat"`
	Incarnation uint64  `json:"life"`
	Refutations uint64  `json:"refutations"`
	State       string  `json:"state"`
	StateSince  float64 `json:"since_ms"`
	ReportedBy  string  `json:"by,omitempty"` // whose word it is, by name where that is known
	Zone        string  `json:"zone"`
	Version     string  `json:"version"`
	Addr        string  `json:"addr"`
	Direct      bool    `json:"direct"` // its latest probe was answered without help
	Self        bool    `json:"self,omitempty"`
}

// NewStatus makes a status of a view.
func NewStatus(v *membership.View, r connectivity.Status, fleet string) *Status {
	s := &Status{Fleet: fleet, At: v.At, Connectivity: r.State.String(), ConnectivitySince: r.Since, Present: v.Present, Known: r.Known, HealthScore: v.HealthScore,
		Superseded: v.Superseded, Members: make([]MemberStatus, 0, len(v.Members)), Bans: []string{}}
	names := make(map[membership.ID]string, len(v.Members))
	for i := range v.Members {
		names[v.Members[i].ID] = v.Members[i].Name
	}
	for i := range v.Members {
		m := &v.Members[i]
		x := MemberStatus{Name: m.Name, RouterID: m.ID.String(), Incarnation: m.Incarnation(), Refutations: m.Revision - membership.FirstRevision(m.Incarnation()), State: m.State.String(),
			StateSince: m.StateSince, Zone: m.Zone, Version: m.Version, Addr: m.Addr.String(), Direct: m.Direct, Self: m.Self}
		if m.State != membership.Alive {
			if x.ReportedBy = names[m.ReportedBy]; x.ReportedBy == "" {
				x.ReportedBy = m.ReportedBy.String()
			}
		}
		if m.Self {
			s.Name, s.RouterID, s.Incarnation = m.Name, x.RouterID, x.Incarnation
		}
		s.Members = append(s.Members, x)
	}
	return s
}
