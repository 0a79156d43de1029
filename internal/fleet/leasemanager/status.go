package leasemanager

import "slices"

// Status is the state of this router's voter. The page /fleet/duties shows it to operators as
// JSON.
type Status struct {
	Voter        bool          `json:"elector"` // whether this router is a voter
	Leader       string        `json:"leader"`
	Leading      bool          `json:"leading"`
	Voters       []string      `json:"voters"`
	Learners     []string      `json:"learners"`
	Term         uint64        `json:"term"`
	AppliedIndex uint64        `json:"applied"`
	Fault        string        `json:"fault,omitempty"` // why the voter halted; empty if the voter has not halted
	Leases       []LeaseStatus `json:"duties"`          // leases in this voter's copy of the registry
}

// LeaseStatus is one lease in a voter's copy of the registry.
type LeaseStatus struct {
	Name         string `json:"duty"`
	Holder       string `json:"holder"` // the router's name, or its ID if the name is unknown; empty if nobody holds the lease
	FencingToken uint64 `json:"token"`
}

// Status returns the state of this router's voter. Callers must not modify it.
func (m *Manager) Status() *Status { return m.status.Load() }

// publishStatus publishes the state of the voter. It logs when the leader or the voters have
// changed.
func (m *Manager) publishStatus() {
	current := m.currentStatus()
	previous := m.status.Swap(current)
	if previous.Leader != current.Leader {
		m.options.Log.Info().Str("leader", current.Leader).Uint64("term", current.Term).Msg("lease registry leader changed")
	}
	if m.shouldLogVoters(previous, current) {
		m.options.Log.Warn().Strs("voters", current.Voters).Strs("configured", m.options.Voters).Msg("voters changed or not as configured; the registry's list applies")
	}
}

// shouldLogVoters reports whether the voters have changed. If the previous voters are unknown,
// it reports whether the current voters differ from those in the operators' file.
func (m *Manager) shouldLogVoters(previous, current *Status) bool {
	if previous.Voters != nil {
		return !slices.Equal(previous.Voters, current.Voters)
	}
	return current.Voters != nil && !sameNames(current.Voters, m.options.Voters)
}

func sameNames(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

func (m *Manager) currentStatus() *Status {
	voter := m.voter
	status := &Status{Voter: true, Leading: voter.leading, Leader: voter.leaderName()}
	if voter.fault != nil {
		status.Fault = voter.fault.Error()
	}
	if voter.node == nil {
		return status
	}
	nodeStatus := voter.node.Status()
	status.Term, status.AppliedIndex = nodeStatus.Term, nodeStatus.AppliedIndex
	for _, id := range nodeStatus.Voters {
		status.Voters = append(status.Voters, voter.voterName(id))
	}
	for _, id := range nodeStatus.Learners {
		status.Learners = append(status.Learners, voter.voterName(id))
	}
	for _, held := range voter.node.Leases() {
		leaseStatus := LeaseStatus{Name: held.Name, FencingToken: held.FencingToken}
		if held.Holder != 0 {
			leaseStatus.Holder = m.memberName(held.Holder)
			if leaseStatus.Holder == "" {
				leaseStatus.Holder = held.Holder.String()
			}
		}
		status.Leases = append(status.Leases, leaseStatus)
	}
	return status
}
