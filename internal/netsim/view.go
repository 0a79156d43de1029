package netsim

import "garnetline/internal/fleet/membership"

// stateCount is the number of states that a router can have in a host's view.
const stateCount = membership.Left + 1

// StateCounts counts hosts by the state in which they see a certain router. The state is the index.
type StateCounts [stateCount]int

// Converged reports whether all live hosts have the same view and each sees exactly the live hosts
// as present. All hosts must have a membership machine.
func (n *Network) Converged() bool {
	live := n.liveHosts()
	if len(live) == 0 {
		return true
	}
	want := live[0].Membership().Checksums()
	for _, host := range live {
		view := host.Membership()
		if view.Checksums() != want || view.PresentCount() != len(live) {
			return false
		}
	}
	return true
}

// StateCounts counts the other live hosts by the state in which they see the subject. Hosts that do
// not know the subject are not counted.
func (n *Network) StateCounts(subject *Host) StateCounts {
	var counts StateCounts
	for _, host := range n.Hosts {
		if host == subject || host.Dead {
			continue
		}
		if state, known := host.State(subject.Self.ID); known {
			counts[state]++
		}
	}
	return counts
}

func (n *Network) liveHosts() []*Host {
	live := make([]*Host, 0, len(n.Hosts))
	for _, host := range n.Hosts {
		if !host.Dead {
			live = append(live, host)
		}
	}
	return live
}
