package leasemanager

import (
	"math/rand/v2"
	"slices"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/fragment"
)

const (
	helloInterval = 300.0 // ms between hellos of a voter that has not started or that asks to join
	maxHeardFrom  = 64    // maximum number of raft IDs in voterMetadata.HeardFrom
)

// maintainMembers runs every helloInterval. A voter whose node has not started sends hellos,
// which are messages to the other voters, and tries to start. The replies to the hellos tell it
// whether it was a voter before. A node that is neither voter nor learner sends hellos that ask
// to join. The leader promotes a learner that has caught up.
func (v *voter) maintainMembers(now float64) {
	if v.node == nil {
		v.sendHellos(hello{Name: v.name, RaftID: v.bootstrapID, NoLog: true})
		v.bootstrap(now)
		return
	}
	status := v.node.Status()
	if !slices.Contains(status.Voters, v.metadata.RaftID) && !slices.Contains(status.Learners, v.metadata.RaftID) {
		v.sendHellos(hello{Name: v.name, RaftID: v.metadata.RaftID, JoinRequest: true})
	}
	if v.leading {
		v.promoteLearner(status)
	}
}

// sendHellos sends a hello to every voter that the operators' file names, except this voter.
func (v *voter) sendHellos(message hello) {
	for _, name := range v.settings.Voters {
		if name != v.name {
			v.sendToVoter(name, fragment.VoterHello, message.encode())
		}
	}
}

// bootstrap starts the node of a voter that has no log. The replies of the other voters to its
// hellos decide how the node starts.
//
// A reply can show that this voter has voted before, or that a registry already exists. As soon
// as one reply shows either of these facts, the node starts under a new raft ID and without a
// vote. If all other voters have replied and no reply shows either fact, the node starts as one of
// the first voters.
//
// Without the wait for replies, a voter whose disk was emptied could vote twice in the same term,
// and two leaders could be elected.
func (v *voter) bootstrap(now float64) {
	voters := map[uint64]string{v.bootstrapID: v.name}
	registryExists, replyMissing := false, false
	for _, name := range v.settings.Voters {
		if name == v.name {
			continue
		}
		reply, replied := v.hellos[name]
		if !replied {
			replyMissing = true
		} else if reply.HeardFromSender || !reply.NoLog && !reply.SenderIsVoter {
			registryExists = true
		}
		voters[bootstrapRaftID(v.settings.Fleet, name)] = name
	}
	if replyMissing && !registryExists {
		return
	}
	v.metadata = voterMetadata{RaftID: v.bootstrapID}
	if registryExists {
		v.metadata.RaftID, voters = rand.Uint64()|1, nil
	}
	if err := v.log.SaveMetadata(v.metadata.encode()); err != nil {
		v.fault = err
		return
	}
	v.fault = v.startNode(voters, now)
}

// recordHeardFrom stores on the disk that this voter has received a message from a raft ID. The
// replies to hellos use this record: from them, a voter that lost its disk learns that it voted
// under its raft ID before. It returns false if the raft ID could not be stored. The caller must
// then drop the message.
func (v *voter) recordHeardFrom(id uint64) bool {
	if slices.Contains(v.metadata.HeardFrom, id) {
		return true
	}
	updated := v.metadata
	updated.HeardFrom = append(slices.Clone(updated.HeardFrom), id)
	if len(updated.HeardFrom) > maxHeardFrom {
		updated.HeardFrom = updated.HeardFrom[1:]
	}
	if err := v.log.SaveMetadata(updated.encode()); err != nil {
		v.fault = err
		return false
	}
	v.metadata = updated
	return true
}

// isTrusted reports whether to accept a hello. The argument sender is the name of the router that
// sent it. isTrusted accepts a hello that describes the sender itself, and another router's join
// request that a voter forwards.
func (v *voter) isTrusted(received hello, sender string) bool {
	return received.Name == sender || received.JoinRequest && v.isVoterName(sender)
}

// handleHello handles a hello, and returns the input for the node's next step.
func (v *voter) handleHello(received hello) consensus.Input {
	switch {
	case received.Reply:
		v.hellos[received.Name] = received
	case received.JoinRequest:
		return v.handleJoinRequest(received)
	default:
		reply := hello{Name: v.name, RaftID: v.bootstrapID, Reply: true, NoLog: v.node == nil}
		if v.node != nil {
			reply.RaftID = v.metadata.RaftID
			reply.HeardFromSender = slices.Contains(v.metadata.HeardFrom, received.RaftID)
			reply.SenderIsVoter = slices.Contains(v.node.Status().Voters, received.RaftID)
		}
		v.sendToVoter(received.Name, fragment.VoterHello, reply.encode())
	}
	return consensus.Input{}
}

// handleJoinRequest adds the requesting voter as a learner if this voter leads. Otherwise it
// forwards the request to the leader, because the requesting voter may not know the leader.
func (v *voter) handleJoinRequest(received hello) consensus.Input {
	if v.leading && !slices.Contains(v.node.Status().Voters, received.RaftID) {
		return v.addLearner(received)
	}
	if leader := v.leaderName(); !v.leading && leader != "" {
		v.sendToVoter(leader, fragment.VoterHello, received.encode())
	}
	return consensus.Input{}
}
