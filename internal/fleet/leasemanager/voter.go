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

// voter is this router's voter of the lease registry. It holds a consensus node. It also holds
// the state that it needs to start the node, to join other voters and to know their names. The
// voter's log is its only I/O. Only the goroutine that runs runVoter steps the voter.
type voter struct {
	settings    Settings
	name        string
	bootstrapID uint64 // raft ID of this voter as one of the first voters of a registry
	log         *wal.Log
	recovered   wal.State // content of the log at the start

	node     *consensus.Node // nil until the voter starts or joins a registry
	metadata voterMetadata
	leading  bool
	fault    error // set once the log or the node has failed

	hellos        map[string]hello  // latest hello of each other voter, by its name
	nextHelloAt   float64           // time of the next hellos, in ms
	approvedNames map[string]bool   // names of voters that operators added
	queuedInputs  []consensus.Input // inputs of the steps that follow the current event

	wakeAt float64      // time of the next step, in ms
	output *voterOutput // output of the current step; nil between steps
}

// voterOutput lists the messages and notices that the caller of a step must send.
type voterOutput struct {
	messages []outgoingMessage
	released []lease.Response // leases that nobody holds; the first-ranked candidates are notified
}

// outgoingMessage is a message to a voter or to a router. A voter is addressed by its name, a
// router by its ID.
type outgoingMessage struct {
	voterName string
	routerID  membership.ID
	channel   fragment.Channel
	payload   []byte
}

// incomingMessage is a message of another router.
type incomingMessage struct {
	from        membership.ID
	voterName   string // name of the sender of a message between voters; empty if unknown
	incarnation uint64 // identifies the sender's process
	channel     fragment.Channel
	payload     []byte
}

// bootstrapRaftID returns the raft ID of one of the first voters of a new registry. All versions
// of the program must compute the same ID.
func bootstrapRaftID(fleet, name string) uint64 { return xxhash.Sum64String(fleet+"\x00"+name) | 1 }

// newVoter opens a voter's log, and starts the node if the log holds the voter's raft ID. The
// argument now is the time of the boot clock in ms, as in all steps.
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

// startNode starts the node. bootstrapVoters holds the names of the first voters of a new
// registry by raft ID. It is nil if the node restarts or joins an existing registry.
func (v *voter) startNode(bootstrapVoters map[uint64]string, now float64) error {
	var err error
	v.node, err = consensus.NewNode(v.settings.Consensus, v.metadata.RaftID, v.log, v.recovered, bootstrapVoters, now)
	return err
}

// step calls the function handle, unless it is nil, for one event, and then steps the node. It
// returns the messages and notices to send.
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

// stepNode steps the node if it has started.
//
// It resets wakeAt even if the node has not started. Without the reset, a voter that waits for the
// hellos of the other voters would keep a wake time in the past, and use a whole CPU until the
// hellos arrive.
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

// sendRaft sends a raft message to a peer. If the message cannot be sent, sendRaft reports this
// to the node.
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

// handleMessage handles a message of another router, and returns the input for the node's next step.
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

// handleRaft returns a raft message for this voter as the node's next input. It first stores on
// the disk that this voter has heard from the sender.
func (v *voter) handleRaft(incoming incomingMessage) consensus.Input {
	message := &raftpb.Message{}
	if v.node == nil || proto.Unmarshal(incoming.payload, message) != nil {
		return consensus.Input{}
	}
	if message.GetTo() != v.metadata.RaftID || message.GetFrom() == 0 || !v.recordHeardFrom(message.GetFrom()) {
		return consensus.Input{}
	}
	if incoming.voterName != "" {
		// A voter that has just joined may have no other source for its leader's name.
		v.hellos[incoming.voterName] = hello{Name: incoming.voterName, RaftID: message.GetFrom(), Reply: true}
	}
	return consensus.Input{Message: message}
}

// handleRequest passes a router's request to the node, or sends the router the leader's name (a
// leader hint) if another voter leads.
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

// voterName returns the name of the voter or learner with the given raft ID, or an empty string
// if the name is unknown.
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

// leaderName returns the leader's name, or an empty string if no leader is known.
func (v *voter) leaderName() string {
	if v.node == nil {
		return ""
	}
	return v.voterName(v.node.Status().LeaderID)
}
