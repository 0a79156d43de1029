package fleet

import (
	"garnetline/internal/fleet/connectivity"
	"garnetline/internal/fleet/membership"
)

// Status is a router's view of its fleet as the admin API returns it in JSON, and as the command
// line and tests read it.
type Status struct {
	Name              string         `json:"name"`
	Fleet             string         `json:"fleet"`
	RouterID          string         `json:"seat"`
	Incarnation       uint64         `json:"life"`
	At                float64        `json:"at_ms"`  // time of the view, Unix ms
	Bound             bool           `json:"bound"`  // this process has bound the socket
	Connectivity      string         `json:"stance"` // together, partial or alone
	ConnectivitySince float64        `json:"stance_since_ms"`
	Present           int            `json:"there"`   // number of routers that are alive or suspect, including this router
	Known             int            `json:"known"`   // number of routers that were recently present; each limit that the whole fleet shares is divided by it
	HealthScore       int            `json:"health"`  // evidence that this router itself is slow; 0: none
	Superseded        bool           `json:"yielded"` // a later process has this router's ID
	Members           []MemberStatus `json:"members"`
	Bans              []string       `json:"bans"`
	DeferredEnables   []string       `json:"deferred_enables,omitempty"` // servers in Bans that another router has enabled; see gossip.Store.DeferEnables
	StaleWatch        *WatchStatus   `json:"watch_stale,omitempty"`      // nil if the router hears the change log
}

// WatchStatus tells since when and why a router does not hear the change log.
type WatchStatus struct {
	Since  float64 `json:"since_ms"` // time of the latest frame, or of the start if there was none, Unix ms
	Reason string  `json:"reason"`
}

// MemberStatus is one member of a Status.
type MemberStatus struct {
	Name        string  `json:"name"`
	RouterID    string  `json:"seat"`
	Incarnation uint64  `json:"life"`
	Refutations uint64  `json:"refutations"`
	State       string  `json:"state"`
	StateSince  float64 `json:"since_ms"`
	ReportedBy  string  `json:"by,omitempty"` // name of the router that reported the state, or the router's ID if the name is not known
	Zone        string  `json:"zone"`
	Version     string  `json:"version"`
	Addr        string  `json:"addr"`
	Direct      bool    `json:"direct"` // the member answered its latest probe without the help of other routers
	Self        bool    `json:"self,omitempty"`
}

// NewStatus returns the status of a view. The caller sets the fields Bound, Bans, DeferredEnables
// and StaleWatch.
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
