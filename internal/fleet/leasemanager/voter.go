package leasemanager

import (
	"math"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/consensus/wal"
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/membership"
)

// voter is this router's part in the lease registry: a node of consensus, with what is needed
// to start it, to join others, and to name its peers. It does no I/O but to its log, and is
// stepped by its goroutine.
type voter struct {
	settings    Settings
	name        string
	bootstrapID uint64 // its raft ID if it is one of the first voters
	log         *wal.Log
	recovered   wal.State // what the log held at the start

	node     *consensus.Node // nil: it has not started or joined a registry yet
	metadata voterMetadata
	leading  bool
	fault    error // not nil once the log or the node failed

	hellos        map[string]hello // the latest of each other voter, by its name
	nextHelloAt   float64          // ms
	approvedNames map[string]bool  // that operators added
	queuedInputs  []consensus.Input

	wakeAt float64      // ms
	output *voterOutput // of the current step; nil between steps
}

// voterOutput is what a step wants sent.
type voterOutput struct {
	messages []outgoingMessage
	released []lease.Response // for the candidates that rank first
}

// outgoingMessage is a message to a voter, by its name, or to a router, by its ID.
type outgoingMessage struct {
	voterName string
	routerID  membership.ID
	channel   fragment.Channel
	payload   []byte
}

// incomingMessage is a message of another router.
type incomingMessage struct {
	from        membership.ID
	voterName   string // of the sender, for messages between voters; empty: not known
	incarnation uint64 // of the sender's process
	channel     fragment.Channel
	payload     []byte
}

// bootstrapRaftID returns the raft ID under which a voter starts the very first registry. All
// versions must compute the same.
func bootstrapRaftID(fleet, name string) uint64 { return xxhash.Sum64String(fleet+"\x00"+name) | 1 }

// newVoter opens a voter's log, and starts its node if the log names one. now is the boot
// clock's time, as in all steps.
func newVoter(settings Settings, name string, logDir wal.FS, now float64) (*voter, error) {
	created := &voter{
		settings:      settings,
		name:          name,
		bootstrapID:   bootstrapRaftID(settings.Fleet, name),
		hellos:        map[string]hello{},
		nextHelloAt:   now,
		approvedNames: map[string]bool{},
		wakeAt:        now,
	}
	var err error
	created.log, created.recovered, _, err = wal.Open(logDir, settings.Fleet+"/"+name)
	if err != nil {
		return nil, err
	}
	metadata, ok := decodeVoterMetadata(created.recovered.Metadata)
	if !ok || metadata.RaftID == 0 {
		return created, nil
	}
	created.metadata = metadata
	if err := created.startNode(nil, now); err != nil {
		return nil, err
	}
	return created, nil
}

// startNode starts the node, with the voters of the first registry or with none.
func (v *voter) startNode(bootstrapVoters map[uint64]string, now float64) error {
	var err error
	v.node, err = consensus.NewNode(v.settings.Consensus, v.metadata.RaftID, v.log, v.recovered, bootstrapVoters, now)
	return err
}

// step handles one event, if handle is not nil, and returns what to send.
func (v *voter) step(now float64, handle func(v *voter) consensus.Input) voterOutput {
	var out voterOutput
	v.output = &out
	defer func() { v.output = nil }()
	var input consensus.Input
	if handle != nil {
		input = handle(v)
	}
	v.stepNode(now, input)
	if v.nextHelloAt <= now && v.fault == nil {
		v.nextHelloAt = now + helloInterval
		v.maintainMembers(now)
	}
	for len(v.queuedInputs) > 0 {
		next := v.queuedInputs[0]
		v.queuedInputs = v.queuedInputs[1:]
		v.stepNode(now, next)
	}
	v.wakeAt = min(v.wakeAt, v.nextHelloAt)
	return out
}

// stepNode steps the node, if it has started.
//
// Symptom guarded against: a voter that waited for the others before it started kept the wake
// time of its beginning, and used a whole processor until they came.
func (v *voter) stepNode(now float64, input consensus.Input) {
	v.wakeAt = math.Inf(1)
	if v.node == nil || v.fault != nil {
		return
	}
	out, err := v.node.Step(now, input)
	if err != nil {
		v.fault = err
	}
	v.leading, v.wakeAt = out.Leading, out.WakeAt
	for _, message := range out.Messages {
		v.sendRaft(message)
	}
	v.output.released = append(v.output.released, out.Released...)
	for _, response := range out.Responses {
		v.sendResponse(response)
	}
}

// sendRaft sends a message of raft to a peer, or reports that it cannot be sent.
func (v *voter) sendRaft(message *raftpb.Message) {
	payload, err := proto.Marshal(message)
	name := v.voterName(message.GetTo())
	isSnapshot := message.GetType() == raftpb.MsgSnap
	if err != nil || name == "" || len(payload) > fragment.MaxMessageLen {
		v.node.ReportUnreachable(message.GetTo(), isSnapshot)
		return
	}
	v.sendToVoter(name, fragment.Raft, payload)
	if isSnapshot {
		v.node.ReportSnapshotSent(message.GetTo())
	}
}

func (v *voter) sendResponse(response consensus.ClientResponse) {
	if response.Ban != nil {
		v.sendToRouter(response.To, fragment.BanResponse, encodeBanResponse(*response.Ban))
		return
	}
	v.sendToRouter(response.To, fragment.LeaseResponse, EncodeResponse(response.Response))
}

func (v *voter) sendToVoter(name string, channel fragment.Channel, payload []byte) {
	v.output.messages = append(v.output.messages, outgoingMessage{voterName: name, channel: channel, payload: payload})
}

func (v *voter) sendToRouter(id membership.ID, channel fragment.Channel, payload []byte) {
	v.output.messages = append(v.output.messages, outgoingMessage{routerID: id, channel: channel, payload: payload})
}

// handleMessage handles a message of another router, and returns what the node is to do.
func (v *voter) handleMessage(message incomingMessage) consensus.Input {
	switch message.channel {
	case fragment.Raft:
		return v.handleRaft(message)
	case fragment.LeaseRequest:
		if request, ok := DecodeRequest(message.payload); ok {
			return v.handleRequest(consensus.ClientRequest{From: message.from, Incarnation: message.incarnation, Request: request})
		}
	case fragment.BanRequest:
		if requestID, ban, ok := decodeBanRequest(message.payload); ok {
			return v.handleRequest(consensus.ClientRequest{
				From:        message.from,
				Incarnation: message.incarnation,
				Request:     lease.Request{ID: requestID},
				Ban:         &ban,
			})
		}
	case fragment.VoterHello:
		if received, ok := decodeHello(message.payload); ok && v.isTrusted(received, message.voterName) {
			return v.handleHello(received)
		}
	}
	return consensus.Input{}
}

// handleRaft passes a message of raft on that is for this voter, once it is on the disk that
// its sender was heard from.
func (v *voter) handleRaft(incoming incomingMessage) consensus.Input {
	message := &raftpb.Message{}
	if v.node == nil || proto.Unmarshal(incoming.payload, message) != nil {
		return consensus.Input{}
	}
	if message.GetTo() != v.metadata.RaftID || message.GetFrom() == 0 || !v.recordHeardFrom(message.GetFrom()) {
		return consensus.Input{}
	}
	if incoming.voterName != "" {
		// A voter that has just joined may know its leader's name by nothing else.
		v.hellos[incoming.voterName] = hello{Name: incoming.voterName, RaftID: message.GetFrom(), Reply: true}
	}
	return consensus.Input{Message: message}
}

// handleRequest has the node handle a router's request, or names the leader to the router.
func (v *voter) handleRequest(request consensus.ClientRequest) consensus.Input {
	leader := v.leaderName()
	if !v.leading && leader != "" && leader != v.name {
		v.sendToRouter(request.From, fragment.LeaderHint, leaderHint{request.ID, leader}.encode())
		return consensus.Input{}
	}
	if v.node == nil {
		return consensus.Input{}
	}
	return consensus.Input{Request: &request}
}

// voterName returns the name of the voter or learner with a raft ID; empty: not known.
func (v *voter) voterName(id uint64) string {
	if name := v.node.State().VoterNames[id]; name != "" {
		return name
	}
	for _, name := range v.settings.Voters {
		if bootstrapRaftID(v.settings.Fleet, name) == id {
			return name
		}
	}
	for name, received := range v.hellos {
		if received.RaftID == id {
			return name
		}
	}
	return ""
}

// leaderName returns the leader's name; empty: none is known.
func (v *voter) leaderName() string {
	if v.node == nil {
		return ""
	}
	return v.voterName(v.node.Status().LeaderID)
}
