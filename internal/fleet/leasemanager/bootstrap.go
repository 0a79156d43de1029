package leasemanager

import (
	"math/rand/v2"
	"slices"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/fragment"
)

const (
	helloInterval = 300.0 // ms between hellos of a voter that has not started, or asks to join
	maxHeardFrom  = 64    // raft IDs that a voter keeps of those that it heard from
)

// maintainMembers says hello: without a log, to learn whether this voter had one before; as no
// member of the registry, to ask to join. A leader promotes learners.
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

// sendHellos sends a hello to all other voters of the operators' file.
func (v *voter) sendHellos(message hello) {
	for _, name := range v.settings.Voters {
		if name != v.name {
			v.sendToVoter(name, fragment.VoterHello, message.encode())
		}
	}
}

// bootstrap starts the node of a voter without a log: as one of the first voters once all
// others have replied that they do not know it, or without a vote as soon as one replied that
// it was a voter before, or that there is a registry already.
//
// Symptom guarded against: a voter whose disk was emptied voted a second time in a term in
// which it had voted before, and two leaders were elected.
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

// recordHeardFrom notes, on the disk, that a message came from a raft ID. It returns false if
// that failed; the message must not be handled then.
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

// isTrusted tells whether a hello may come from this sender: it names itself, or a voter
// forwards the request of another to join.
func (v *voter) isTrusted(received hello, sender string) bool {
	return received.Name == sender || received.JoinRequest && v.isVoterName(sender)
}

// handleHello handles a hello, and returns what the node is to do.
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

// handleJoinRequest adds the voter that asks as a learner, or forwards its request to the
// leader, whom it may not know.
func (v *voter) handleJoinRequest(received hello) consensus.Input {
	if v.leading && !slices.Contains(v.node.Status().Voters, received.RaftID) {
		return v.addLearner(received)
	}
	if leader := v.leaderName(); !v.leading && leader != "" {
		v.sendToVoter(leader, fragment.VoterHello, received.encode())
	}
	return consensus.Input{}
}
