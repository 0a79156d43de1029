package leasemanager

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/leaseregistry"
)

// maxPromotionLag is the maximum number of entries by which a learner may lag when it is
// promoted to a voter.
const maxPromotionLag = 50

// isVoterName reports whether one of the registry's voters has the given name.
func (v *voter) isVoterName(name string) bool {
	if v.node == nil || name == "" {
		return false
	}
	return slices.ContainsFunc(v.node.Status().Voters, func(id uint64) bool { return v.voterName(id) == name })
}

// addLearner returns the input that makes a joining voter a learner. If the registry does not yet
// have the joining voter's name, the input proposes the name instead. The input is empty in two
// cases: the joining voter is already a learner, or its name is unknown. A name is known if it is
// that of a voter, which must have lost its disk, or if operators added it.
func (v *voter) addLearner(joining hello) consensus.Input {
	if !v.isVoterName(joining.Name) && !v.approvedNames[joining.Name] {
		return consensus.Input{}
	}
	if slices.Contains(v.node.Status().Learners, joining.RaftID) {
		return consensus.Input{}
	}
	if v.node.State().VoterNames[joining.RaftID] != joining.Name {
		return consensus.Input{Proposal: &leaseregistry.Command{Op: leaseregistry.OpNameVoter, VoterID: joining.RaftID, Text: joining.Name}}
	}
	return confChange(raftpb.ConfChangeAddLearnerNode, joining.RaftID)
}

func confChange(kind raftpb.ConfChangeType, id uint64) consensus.Input {
	return consensus.Input{ConfChange: &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{{Type: &kind, NodeId: &id}}}}
}

// promoteLearner makes a voter of a learner whose log has caught up. If an older raft ID with the
// same name is still a voter, promoteLearner first removes the older raft ID, and promotes the
// learner in a later call. Each call proposes a single change, because raft rejects a change
// while another change is pending.
func (v *voter) promoteLearner(status consensus.Status) {
	for _, id := range status.Learners {
		if lag := v.node.LearnerLag(id); lag < 0 || lag > maxPromotionLag {
			continue
		}
		name := v.voterName(id)
		change := confChange(raftpb.ConfChangeAddNode, id)
		for _, previous := range status.Voters {
			if previous != id && v.voterName(previous) == name {
				change = confChange(raftpb.ConfChangeRemoveNode, previous)
			}
		}
		v.queuedInputs = append(v.queuedInputs, change)
		return
	}
}

// changeVoter handles an operator's call to add or remove a voter. It returns an error if this voter
// does not lead. An added voter becomes a learner only after its next join request.
func (v *voter) changeVoter(name string, add bool) error {
	if v.node == nil || !v.leading {
		return fmt.Errorf("%w; known leader: %q", ErrNotLeader, v.leaderName())
	}
	if add {
		v.approvedNames[name] = true
		return nil
	}
	status := v.node.Status()
	for _, id := range append(status.Voters, status.Learners...) {
		if v.voterName(id) != name {
			continue
		}
		if len(status.Voters) <= 1 {
			return fmt.Errorf("voter %q: %w", name, ErrOnlyVoterLeft)
		}
		delete(v.approvedNames, name)
		v.queuedInputs = append(v.queuedInputs, confChange(raftpb.ConfChangeRemoveNode, id))
		return nil
	}
	return fmt.Errorf("voter %q: %w", name, ErrUnknownVoter)
}
