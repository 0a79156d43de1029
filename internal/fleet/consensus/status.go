package consensus

import (
	"cmp"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"

	"garnetline/internal/fleet/leaseregistry"
)

// Status describes the state of a node for its owner.
type Status struct {
	ID, LeaderID, Term, CommitIndex, AppliedIndex uint64
	Leading                                       bool // whether the node is the leader and serves requests
	Voters, Learners                              []uint64
	Halted                                        bool // whether the node's storage failed
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	status := n.raftNode.BasicStatus()
	return Status{
		ID:           n.id,
		LeaderID:     status.Lead,
		Term:         status.GetTerm(),
		CommitIndex:  status.GetCommit(),
		AppliedIndex: n.appliedIndex,
		Leading:      n.leaseExpiry != nil,
		Voters:       slices.Clone(n.confState.GetVoters()),
		Learners:     slices.Clone(n.confState.GetLearners()),
		Halted:       n.haltErr != nil,
	}
}

// State returns this node's copy of the lease registry, which may be out of date. A router that
// needs the current state sends a request instead.
func (n *Node) State() *leaseregistry.State { return n.registry }

// Leases returns the leases in this node's copy of the registry, sorted by name.
func (n *Node) Leases() []*leaseregistry.Lease {
	return slices.SortedFunc(maps.Values(n.registry.Leases), func(a, b *leaseregistry.Lease) int {
		return cmp.Compare(a.Name, b.Name)
	})
}

// LearnerLag returns the number of entries by which a learner lags behind the commit index. It
// returns -1 if this node is not the leader or has not heard from the learner.
func (n *Node) LearnerLag(id uint64) int {
	lag := -1
	n.raftNode.WithProgress(func(peer uint64, _ raft.ProgressType, progress tracker.Progress) {
		if peer != id || progress.Match == 0 {
			return
		}
		status := n.raftNode.BasicStatus()
		commit := status.GetCommit()
		lag = int(commit - min(progress.Match, commit))
	})
	return lag
}

// ReportUnreachable tells raft that a message to a node could not be sent. isSnapshot says
// whether the message was a snapshot.
func (n *Node) ReportUnreachable(id uint64, isSnapshot bool) {
	n.raftNode.ReportUnreachable(id)
	if isSnapshot {
		n.raftNode.ReportSnapshot(id, raft.SnapshotFailure)
	}
}

// ReportSnapshotSent tells raft that a snapshot was sent to a node. If the snapshot is lost, the
// follower rejects the next append and raft sends another snapshot.
func (n *Node) ReportSnapshotSent(id uint64) { n.raftNode.ReportSnapshot(id, raft.SnapshotFinish) }

// TransferLeadership starts to transfer the leadership to the active voter with the longest log.
// It does nothing if this node is not the leader or if a transfer is already in progress.
func (n *Node) TransferLeadership() {
	target, longest := uint64(0), uint64(0)
	n.raftNode.WithProgress(func(id uint64, kind raft.ProgressType, progress tracker.Progress) {
		if id == n.id || kind != raft.ProgressTypePeer || !progress.RecentActive {
			return
		}
		if progress.Match > longest || progress.Match == longest && id < target {
			target, longest = id, progress.Match
		}
	})
	status := n.raftNode.BasicStatus()
	if status.RaftState == raft.StateLeader && target != 0 && status.LeadTransferee == 0 {
		n.raftNode.TransferLeader(target)
	}
}
