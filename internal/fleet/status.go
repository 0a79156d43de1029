package fleet

import (
	"garnetline/internal/fleet/connectivity"
	"garnetline/internal/fleet/membership"
)

// Status is what a router shows of its fleet: in the admin API, as JSON, and so to the
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
	Present           int            `json:"there"`  // alive or suspect, this one among them
	Known             int            `json:"known"`  // present lately: what shared budgets are divided by
	HealthScore       int            `json:"health"` // how slow it takes itself to be; 0: not at all
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
	ReportedBy  string  `json:"by,omitempty"` // by name where that is known, else by ID
	Zone        string  `json:"zone"`
	Version     string  `json:"version"`
	Addr        string  `json:"addr"`
	Direct      bool    `json:"direct"` // its latest probe was answered without help
	Self        bool    `json:"self,omitempty"`
}

// NewStatus returns the status of a view. Its Bound and Bans are for the caller to fill.
func NewStatus(view *membership.View, current connectivity.Status, fleet string) *Status {
	status := &Status{
		Fleet:             fleet,
		At:                view.At,
		Connectivity:      current.State.String(),
		ConnectivitySince: current.Since,
		Present:           view.Present,
		Known:             current.Known,
		HealthScore:       view.HealthScore,
		Superseded:        view.Superseded,
		Members:           make([]MemberStatus, 0, len(view.Members)),
		Bans:              []string{},
	}
	names := make(map[membership.ID]string, len(view.Members))
	for i := range view.Members {
		names[view.Members[i].ID] = view.Members[i].Name
	}
	for i := range view.Members {
		member := newMemberStatus(&view.Members[i], names)
		if member.Self {
			status.Name = member.Name
			status.RouterID = member.RouterID
			status.Incarnation = member.Incarnation
		}
		status.Members = append(status.Members, member)
	}
	return status
}

func newMemberStatus(member *membership.Member, names map[membership.ID]string) MemberStatus {
	status := MemberStatus{
		Name:        member.Name,
		RouterID:    member.ID.String(),
		Incarnation: member.Incarnation(),
		Refutations: member.Revision - membership.FirstRevision(member.Incarnation()),
		State:       member.State.String(),
		StateSince:  member.StateSince,
		Zone:        member.Zone,
		Version:     member.Version,
		Addr:        member.Addr.String(),
		Direct:      member.Direct,
		Self:        member.Self,
	}
	if member.State != membership.Alive {
		status.ReportedBy = names[member.ReportedBy]
		if status.ReportedBy == "" {
			status.ReportedBy = member.ReportedBy.String()
		}
	}
	return status
}
