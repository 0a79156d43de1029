package leasemanager

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/leaseregistry"
)

// maxPromotionLag is the greatest lag, in entries, with which a learner is promoted to a voter.
const maxPromotionLag = 50

// isVoterName reports whether one of the registry's voters has a name.
func (v *voter) isVoterName(name string) bool {
	if v.node == nil || name == "" {
		return false
	}
	return slices.ContainsFunc(v.node.Status().Voters, func(id uint64) bool { return v.voterName(id) == name })
}

// addLearner returns the input that makes a joining voter a learner, if the voter lost its disk or
// was added by operators. Its name must be in the registry first: if it is not, the input proposes
// that instead.
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

// promoteLearner promotes a learner that has caught up to a voter. If another raft ID with the same
// name is still a voter, it removes that one first. It proposes one change at a time, because raft
// rejects a second.
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

// changeVoter adds or removes a voter for operators if this voter leads. An added voter joins when
// it next asks to join.
func (v *voter) changeVoter(name string, add bool) error {
	if v.node == nil || !v.leading {
		return fmt.Errorf("%w; the leader is %q", ErrNotLeader, v.leaderName())
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
			return fmt.Errorf("%s: %w", name, ErrOnlyVoterLeft)
		}
		delete(v.approvedNames, name)
		v.queuedInputs = append(v.queuedInputs, confChange(raftpb.ConfChangeRemoveNode, id))
		return nil
	}
	return fmt.Errorf("%s: %w", name, ErrUnknownVoter)
}
