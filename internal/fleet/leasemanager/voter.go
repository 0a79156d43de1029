package leasemanager

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/consensus/wal"
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
)

const (
	helloInterval   = 300.0 // ms between words of one that has no log yet, or asks to be taken in
	maxPromotionLag = 50    // entries that a learner may lag and be made a voter
)

// voter is this router's part in the register, stepped by its actor.
type voter struct {
	settings      Settings
	name          string
	log           *wal.Log
	recovered     wal.State
	metadata      voterMetadata
	bootstrapID   uint64 // the number that it would begin with
	node          *consensus.Node
	voterNames    []string // of all electors, by the file
	hellos        map[string]hello
	nextHelloAt   float64 // when to say hello again
	wakeAt        float64
	output        *voterOutput
	leading       bool
	approvedNames map[string]bool // names that staff want taken in
	fault         error
	queuedInputs  []consensus.Input
}

// voterOutput is what a step wants sent.
type voterOutput struct {
	messages []outgoingMessage
	released []lease.Response // for those that come first
}

type outgoingMessage struct {
	voterName string        // of an elector
	routerID  membership.ID // else
	channel   fragment.Channel
	payload   []byte
}

// bootstrapRaftID is the number with which an elector begins, in the very first register.
func bootstrapRaftID(fleet, name string) uint64 { return xxhash.Sum64String(fleet+"\x00"+name) | 1 }

// newVoter opens an elector's log. now is the boot clock's, as in all steps.
func newVoter(set Settings, fleet, name string, fs wal.FS, now float64) (*voter, error) {
	e := &voter{settings: set, name: name, voterNames: set.Voters, bootstrapID: bootstrapRaftID(fleet, name), hellos: map[string]hello{}, nextHelloAt: now, wakeAt: now,
		approvedNames: map[string]bool{}}
	l, found, _, err := wal.Open(fs, fleet+"/"+name)
	if err != nil {
		return nil, err
	}
	e.log, e.recovered = l, found
	if o, ok := decodeVoterMetadata(found.Metadata); ok && o.RaftID != 0 {
		e.metadata = o
		if err := e.startNode(nil, now); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// startNode starts the machine, with the voters of the first register or with none.
func (e *voter) startNode(first map[uint64]string, now float64) (err error) {
	e.node, err = consensus.NewNode(e.settings.Consensus, e.metadata.RaftID, e.log, e.recovered, first, now)
	return err
}

// step takes one thing, or none, and returns what to send.
func (e *voter) step(now float64, in func(e *voter) consensus.Input) voterOutput {
	var out voterOutput
	e.output = &out
	var input consensus.Input
	if in != nil {
		input = in(e)
	}
	e.stepNode(now, input)
	if e.nextHelloAt <= now && e.fault == nil {
		e.nextHelloAt = now + helloInterval
		e.sendHellos(now)
	}
	for len(e.queuedInputs) > 0 {
		in := e.queuedInputs[0]
		e.queuedInputs = e.queuedInputs[1:]
		e.stepNode(now, in)
	}
	e.wakeAt = min(e.wakeAt, e.nextHelloAt)
	e.output = nil
	return out
}

// stepNode steps the machine, if there is one.
//
// Symptom guarded against: an elector that waits for the others before it begins kept the
// wake of its start, and took a whole processor until they came.
func (e *voter) stepNode(now float64, in consensus.Input) {
	e.wakeAt = math.Inf(1) // a machine that is not there wants nothing
	if e.node == nil || e.fault != nil {
		return
	}
	o, err := e.node.Step(now, in)
	if err != nil {
		e.fault = err
	}
	e.leading, e.wakeAt = o.Leading, o.WakeAt
	for _, m := range o.Messages {
		e.sendRaft(m)
	}
	e.output.released = append(e.output.released, o.Released...)
	for _, r := range o.Responses {
		if r.Ban != nil {
			e.output.messages = append(e.output.messages, outgoingMessage{routerID: r.To, channel: fragment.BanResponse, payload: encodeBanResponse(*r.Ban)})
			continue
		}
		e.output.messages = append(e.output.messages, outgoingMessage{routerID: r.To, channel: fragment.LeaseResponse, payload: EncodeResponse(r.Response)})
	}
}

// voterName is the name of an elector's number.
func (e *voter) voterName(id uint64) string {
	if n := e.node.State().VoterNames[id]; n != "" {
		return n
	}
	for _, n := range e.voterNames {
		if bootstrapRaftID(e.settings.Fleet, n) == id {
			return n
		}
	}
	for n, h := range e.hellos {
		if h.RaftID == id {
			return n
		}
	}
	return ""
}

func (e *voter) sendRaft(m *raftpb.Message) {
	b, err := proto.Marshal(m)
	name := e.voterName(m.GetTo())
	if err != nil || name == "" || len(b) > fragment.MaxMessageLen {
		e.node.ReportUnreachable(m.GetTo(), m.GetType() == raftpb.MsgSnap)
		return
	}
	e.output.messages = append(e.output.messages, outgoingMessage{voterName: name, channel: fragment.Raft, payload: b})
	if m.GetType() == raftpb.MsgSnap {
		e.node.ReportSnapshotSent(m.GetTo()) // if it got lost, the next append says so
	}
}

// sendHellos says hello: where there is no log, to learn whether there was one; where this one
// is not taken in yet, to ask for that. A leader looks after those that ask.
func (e *voter) sendHellos(now float64) {
	switch {
	case e.node == nil:
		for _, n := range e.voterNames {
			if n != e.name {
				e.output.messages = append(e.output.messages, outgoingMessage{voterName: n, channel: fragment.VoterHello, payload: hello{Name: e.name, RaftID: e.bootstrapID, NoLog: true}.encode()})
			}
		}
		e.bootstrap(now)
	default:
		s := e.node.Status()
		if !slices.Contains(s.Voters, e.metadata.RaftID) && !slices.Contains(s.Learners, e.metadata.RaftID) {
			for _, n := range e.voterNames {
				if n != e.name {
					e.output.messages = append(e.output.messages, outgoingMessage{voterName: n, channel: fragment.VoterHello, payload: hello{Name: e.name, RaftID: e.metadata.RaftID, JoinRequest: true}.encode()})
				}
			}
		}
		if e.leading {
			e.promoteLearner(s)
		}
	}
}

// bootstrap tells whether an elector without a log may begin as one of the first, once all
// others have said what they know of it.
//
// Symptom guarded against: an elector whose disk was emptied votes a second time in a
// term in which it voted before, and two leaders are elected.
func (e *voter) bootstrap(now float64) {
	voters, known, missing := map[uint64]string{e.bootstrapID: e.name}, false, false
	for _, n := range e.voterNames {
		if n == e.name {
			continue
		}
		h, told := e.hellos[n]
		known = known || told && (h.HeardFromSender || !h.NoLog && !h.SenderIsVoter)
		missing = missing || !told // it may know
		voters[bootstrapRaftID(e.settings.Fleet, n)] = n
	}
	if missing && !known {
		return
	}
	e.metadata = voterMetadata{RaftID: e.bootstrapID}
	if known { // it was one before, or is a new one: it begins anew, without a vote
		e.metadata.RaftID, voters = rand.Uint64()|1, nil
	}
	if err := e.log.SaveMetadata(e.metadata.encode()); err != nil {
		e.fault = err
		return
	}
	e.fault = e.startNode(voters, now)
}

// recordHeardFrom notes that something came from an elector's number, on the disk before anything
// is made of it.
func (e *voter) recordHeardFrom(id uint64) bool {
	if slices.Contains(e.metadata.HeardFrom, id) {
		return true
	}
	next := e.metadata
	next.HeardFrom = append(slices.Clone(next.HeardFrom), id)
	if len(next.HeardFrom) > 64 {
		next.HeardFrom = next.HeardFrom[1:]
	}
	if err := e.log.SaveMetadata(next.encode()); err != nil {
		e.fault = err
		return false
	}
	e.metadata = next
	return true
}

// handleMessage takes what another router sent.
func (e *voter) handleMessage(from membership.ID, life uint64, ch fragment.Channel, b []byte, name string) consensus.Input {
	switch ch {
	case fragment.Raft:
		m := &raftpb.Message{}
		if e.node == nil || proto.Unmarshal(b, m) != nil || m.GetTo() != e.metadata.RaftID || m.GetFrom() == 0 || !e.recordHeardFrom(m.GetFrom()) {
			return consensus.Input{}
		}
		if name != "" {
			e.hellos[name] = hello{Name: name, RaftID: m.GetFrom(), Reply: true} // one that is new may know its leader by nothing else
		}
		return consensus.Input{Message: m}
	case fragment.LeaseRequest:
		if a, ok := DecodeRequest(b); ok {
			return e.handleRequest(consensus.ClientRequest{From: from, Incarnation: life, Request: a})
		}
	case fragment.BanRequest:
		if q, a, ok := decodeBanRequest(b); ok {
			return e.handleRequest(consensus.ClientRequest{From: from, Incarnation: life, Request: lease.Request{ID: q}, Ban: &a})
		}
	case fragment.VoterHello:
		if h, ok := decodeHello(b); ok && (h.Name == name || h.JoinRequest && e.isVoterName(name)) {
			return e.handleHello(h)
		}
	}
	return consensus.Input{}
}

// handleRequest has the machine take a question, or names the leader to who asks.
func (e *voter) handleRequest(q consensus.ClientRequest) consensus.Input {
	if l := e.leaderName(); !e.leading && l != "" && l != e.name {
		e.output.messages = append(e.output.messages, outgoingMessage{routerID: q.From, channel: fragment.LeaderHint, payload: leaderHint{q.ID, l}.encode()})
		return consensus.Input{}
	}
	if e.node == nil {
		return consensus.Input{}
	}
	return consensus.Input{Request: &q}
}

func (e *voter) handleHello(h hello) consensus.Input {
	switch {
	case h.Reply:
		e.hellos[h.Name] = h
	case h.JoinRequest:
		if e.leading && !slices.Contains(e.node.Status().Voters, h.RaftID) {
			return e.addLearner(h)
		}
		if l := e.leaderName(); !e.leading && l != "" { // one that is new may not know it
			e.output.messages = append(e.output.messages, outgoingMessage{voterName: l, channel: fragment.VoterHello, payload: h.encode()})
		}
	default:
		back := hello{Name: e.name, RaftID: e.bootstrapID, Reply: true, NoLog: e.node == nil}
		if e.node != nil {
			back.RaftID, back.HeardFromSender = e.metadata.RaftID, slices.Contains(e.metadata.HeardFrom, h.RaftID)
			back.SenderIsVoter = slices.Contains(e.node.Status().Voters, h.RaftID)
		}
		e.output.messages = append(e.output.messages, outgoingMessage{voterName: h.Name, channel: fragment.VoterHello, payload: back.encode()})
	}
	return consensus.Input{}
}

// isVoterName tells whether an elector of that name is a voter.
func (e *voter) isVoterName(name string) bool {
	if e.node != nil && name != "" {
		for _, id := range e.node.Status().Voters {
			if e.voterName(id) == name {
				return true
			}
		}
	}
	return false
}

// addLearner makes one that asks a learner: one that lost its disk, or one that staff named.
func (e *voter) addLearner(h hello) consensus.Input {
	s := e.node.Status()
	if !e.isVoterName(h.Name) && !e.approvedNames[h.Name] || slices.Contains(s.Learners, h.RaftID) {
		return consensus.Input{}
	}
	if e.node.State().VoterNames[h.RaftID] != h.Name {
		return consensus.Input{Proposal: &leaseregistry.Command{Op: leaseregistry.OpNameVoter, VoterID: h.RaftID, Text: h.Name}}
	}
	return confChange(raftpb.ConfChangeAddLearnerNode, h.RaftID)
}

func confChange(t raftpb.ConfChangeType, id uint64) consensus.Input {
	return consensus.Input{ConfChange: &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{{Type: &t, NodeId: &id}}}}
}

// promoteLearner makes a learner that has caught up a voter, in the place of the number that its
// name had before. One change at a time: raft refuses a second.
func (e *voter) promoteLearner(s consensus.Status) {
	for _, id := range s.Learners {
		if lag := e.node.LearnerLag(id); lag < 0 || lag > maxPromotionLag {
			continue
		}
		name := e.voterName(id)
		in := confChange(raftpb.ConfChangeAddNode, id)
		for _, old := range s.Voters {
			if old != id && e.voterName(old) == name {
				in = confChange(raftpb.ConfChangeRemoveNode, old)
			}
		}
		e.queuedInputs = append(e.queuedInputs, in)
		return
	}
}

// changeVoter has an elector taken in or out by staff, at the leader.
func (e *voter) changeVoter(name string, in bool) error {
	if e.node == nil || !e.leading {
		return fmt.Errorf("not the leader; it is %q", e.leaderName())
	}
	if in {
		e.approvedNames[name] = true
		return nil
	}
	s := e.node.Status()
	for _, id := range append(s.Voters, s.Learners...) {
		if e.voterName(id) == name {
			if len(s.Voters) <= 1 {
				return fmt.Errorf("%s is the only voter", name)
			}
			delete(e.approvedNames, name)
			e.queuedInputs = append(e.queuedInputs, confChange(raftpb.ConfChangeRemoveNode, id))
			return nil
		}
	}
	return fmt.Errorf("%s is no elector", name)
}

// leaderName is the name of the leader, as far as this one knows.
func (e *voter) leaderName() string {
	if e.node == nil {
		return ""
	}
	return e.voterName(e.node.Status().LeaderID)
}
