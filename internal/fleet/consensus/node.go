// Package consensus implements one voter of the lease registry. A Node combines the raft state
// machine, the registry to which committed commands are applied and, on the leader, the expiry
// of the leases. The caller steps the Node with messages and the current time. A Node first
// writes all data that must survive a crash to its Storage. Only then does it return messages
// and responses for the caller to send.
//
// Only one goroutine, that of the node's owner (package leasemanager), may use a Node.
package consensus

import (
	"errors"
	"maps"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"garnetline/internal/fleet/consensus/wal"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
)

// ErrHalted reports that the storage of a node failed. A halted node sends no more messages.
var ErrHalted = errors.New("voter halted: its storage failed, so it no longer votes or responds")

// Node is one voter or learner of the lease registry. It is not safe for concurrent use.
type Node struct {
	settings Settings
	id       uint64
	storage  Storage
	raftNode *raft.RawNode
	raftLog  *raft.MemoryStorage
	haltErr  error // set once the storage has failed

	registry     *leaseregistry.State
	confState    *raftpb.ConfState
	confChanged  bool // whether the members have changed since the last snapshot
	appliedIndex uint64
	appliedTerm  uint64 // term of the last applied entry

	nextTickAt float64 // in ms
	pace       electionPace
	now        float64 // time of the current step, in ms
	output     *Output // output of the current step; nil between steps

	// State that is used only while this node is the leader. In a read, a quorum confirms that
	// this node is still the leader; the node serves requests only after such a read.

	leaseExpiry      *lease.ExpiryTracker       // nil unless this node leads and has applied an entry of its own term
	leadingTerm      uint64                     // term in which leaseExpiry was created
	queuedRequests   []ClientRequest            // requests received since the last read was started
	pendingReads     map[uint64][]ClientRequest // requests that wait for a read, by read ID
	lastReadID       uint64
	lastReadAt       float64                  // when the latest read was started, in ms
	pendingProposals map[uint64]ClientRequest // requests whose command was proposed, by request ID
	proposalsByLease map[string]int           // number of proposed commands that are not applied yet, by lease
}

// NewNode returns the node with the given raft ID. The argument recovered is the state that the
// storage held. The argument now is the time of the boot clock in ms.
//
// bootstrapVoters is used only if recovered is empty. For one of the registry's first voters, it
// holds the names of all first voters by raft ID, including this node. For a node that joins
// existing voters, it is nil.
func NewNode(settings Settings, id uint64, storage Storage, recovered wal.State, bootstrapVoters map[uint64]string, now float64) (*Node, error) {
	n := &Node{
		settings:         settings,
		id:               id,
		storage:          storage,
		raftLog:          raft.NewMemoryStorage(),
		registry:         leaseregistry.New(),
		confState:        &raftpb.ConfState{},
		nextTickAt:       now + settings.TickInterval,
		pace:             newElectionPace(settings.ElectionTicks),
		pendingReads:     map[uint64][]ClientRequest{},
		pendingProposals: map[uint64]ClientRequest{},
		proposalsByLease: map[string]int{},
	}
	empty := recovered.HardState == nil && recovered.Snapshot == nil && len(recovered.Entries) == 0
	if empty && len(bootstrapVoters) > 0 {
		recovered = n.bootstrapState(bootstrapVoters)
		if err := storage.Save(recovered.HardState, nil, recovered.Snapshot); err != nil {
			return nil, err
		}
	}
	if err := n.loadState(recovered); err != nil {
		return nil, err
	}
	var err error
	n.raftNode, err = raft.NewRawNode(n.raftConfig())
	return n, err
}

// bootstrapState returns the initial state: a snapshot of a registry that holds only the names
// of the first voters. All first voters start with the same state.
func (n *Node) bootstrapState(voterNames map[uint64]string) wal.State {
	n.registry.VoterNames = maps.Clone(voterNames)
	first := uint64(1)
	return wal.State{
		HardState: &raftpb.HardState{Term: &first, Commit: &first},
		Snapshot: &raftpb.Snapshot{
			Data: n.registry.Snapshot(),
			Metadata: &raftpb.SnapshotMetadata{
				Index:     &first,
				Term:      &first,
				ConfState: &raftpb.ConfState{Voters: slices.Sorted(maps.Keys(voterNames))},
			},
		},
	}
}

// loadState loads the state that the storage held into raft's log and the registry.
func (n *Node) loadState(state wal.State) error {
	if state.Snapshot != nil {
		if err := n.restoreSnapshot(state.Snapshot); err != nil {
			return err
		}
		if err := n.raftLog.ApplySnapshot(state.Snapshot); err != nil {
			return err
		}
	}
	if state.HardState != nil {
		if err := n.raftLog.SetHardState(state.HardState); err != nil {
			return err
		}
	}
	return n.raftLog.Append(state.Entries)
}

func (n *Node) raftConfig() *raft.Config {
	return &raft.Config{
		ID:                        n.id,
		ElectionTick:              n.settings.ElectionTicks,
		HeartbeatTick:             n.settings.HeartbeatTicks,
		Storage:                   n.raftLog,
		Applied:                   n.appliedIndex,
		MaxSizePerMsg:             maxMessageSize,
		MaxCommittedSizePerReady:  maxReadySize,
		MaxUncommittedEntriesSize: maxUncommittedSize,
		MaxInflightMsgs:           maxInflightAppends,
		CheckQuorum:               true,
		PreVote:                   preVoteEnabled,
		ReadOnlyOption:            raft.ReadOnlySafe,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    discardLogger{},
	}
}

// Step advances the node's clock to the time now, in ms of the boot clock, and handles one
// event. If the storage fails, this call and all later calls return an empty output and
// ErrHalted, joined with the storage's error.
func (n *Node) Step(now float64, in Input) (Output, error) {
	out := Output{WakeAt: math.Inf(1)}
	if n.haltErr != nil {
		return out, n.haltErr
	}
	n.now, n.output = now, &out
	defer func() { n.output = nil }()
	n.tick()
	n.handleInput(in)
	if err := n.processReady(); err != nil {
		return n.halt(err)
	}
	n.updateLeadership()
	if n.readIsDue() {
		n.startRead()
		if err := n.processReady(); err != nil {
			return n.halt(err)
		}
	}
	out.WakeAt = n.nextTickAt
	out.LeaderID = n.raftNode.BasicStatus().Lead
	out.Leading = n.leaseExpiry != nil
	return out, nil
}

// tick advances raft's logical clock by at most one tick in each step, however late the step is.
// With more ticks, a node that resumes after a suspension would conclude that all other nodes
// had been unresponsive.
func (n *Node) tick() {
	if n.now < n.nextTickAt {
		return
	}
	n.raftNode.Tick()
	n.pace.recordTick(n.hasLeader())
	n.nextTickAt = n.now + n.settings.TickInterval*n.pace.factor
}

// hasLeader reports whether this node knows a leader. Of itself, it must know that a majority follows it.
func (n *Node) hasLeader() bool {
	lead := n.raftNode.BasicStatus().Lead
	return lead != raft.None && (lead != n.id || n.leaseExpiry != nil)
}

// handleInput passes an event to raft or queues a request. It ignores raft's errors. A message
// that raft rejects has no use, and the sender of a rejected proposal sends the proposal again.
func (n *Node) handleInput(in Input) {
	switch {
	case in.Message != nil:
		n.pace.recordMessage()
		_ = n.raftNode.Step(in.Message)
	case in.Request != nil:
		n.queueRequest(*in.Request)
	case in.Proposal != nil:
		_ = n.raftNode.Propose(in.Proposal.Append(nil))
	case in.ConfChange != nil:
		_ = n.raftNode.ProposeConfChange(in.ConfChange)
	}
}

// halt stops the node permanently: all later steps return the same error.
func (n *Node) halt(err error) (Output, error) {
	n.haltErr = errors.Join(ErrHalted, err)
	return Output{WakeAt: math.Inf(1)}, n.haltErr
}

// processReady handles the work that raft has ready. It first stores the new state. It then
// emits messages and applies committed entries.
func (n *Node) processReady() error {
	for n.raftNode.HasReady() {
		ready := n.raftNode.Ready()
		if err := n.storeReady(ready); err != nil {
			return err
		}
		n.output.Messages = append(n.output.Messages, ready.Messages...)
		for _, entry := range ready.CommittedEntries {
			n.applyEntry(entry)
		}
		for _, read := range ready.ReadStates {
			n.finishRead(read)
		}
		n.raftNode.Advance(ready)
		if err := n.compactLog(); err != nil {
			return err
		}
	}
	return nil
}

// storeReady stores the new state that raft returns in ready, first in the storage and then in
// raft's in-memory log.
func (n *Node) storeReady(ready raft.Ready) error {
	hardState, snapshot := ready.HardState, ready.Snapshot
	if raft.IsEmptyHardState(hardState) {
		hardState = nil
	}
	if raft.IsEmptySnap(snapshot) {
		snapshot = nil
	}
	if hardState != nil || snapshot != nil || len(ready.Entries) > 0 {
		if err := n.storage.Save(hardState, ready.Entries, snapshot); err != nil {
			return err
		}
	}
	if snapshot != nil {
		if err := errors.Join(n.restoreSnapshot(snapshot), n.raftLog.ApplySnapshot(snapshot)); err != nil {
			return err
		}
	}
	if hardState != nil {
		if err := n.raftLog.SetHardState(hardState); err != nil {
			return err
		}
	}
	return n.raftLog.Append(ready.Entries)
}

// applyEntry applies a committed entry to the registry or to the list of members. Every node
// ignores an entry that cannot be decoded, so that all nodes keep the same state.
func (n *Node) applyEntry(entry *raftpb.Entry) {
	n.appliedIndex, n.appliedTerm = entry.GetIndex(), entry.GetTerm()
	switch entry.GetType() {
	case raftpb.EntryConfChangeV2:
		change := &raftpb.ConfChangeV2{}
		if proto.Unmarshal(entry.GetData(), change) == nil {
			n.confState, n.confChanged = n.raftNode.ApplyConfChange(change), true
		}
	case raftpb.EntryConfChange:
		change := &raftpb.ConfChange{}
		if proto.Unmarshal(entry.GetData(), change) == nil {
			n.confState = n.raftNode.ApplyConfChange(change)
		}
	default:
		n.applyCommand(entry)
	}
}

// applyCommand applies the registry command of a normal entry.
func (n *Node) applyCommand(entry *raftpb.Entry) {
	if len(entry.GetData()) == 0 {
		return // raft adds an empty entry at the start of a leader's term
	}
	command, ok := leaseregistry.DecodeCommand(entry.GetData())
	if !ok {
		return
	}
	err := n.registry.Apply(entry.GetIndex(), command)
	n.output.Applied = append(n.output.Applied, AppliedCommand{entry.GetIndex(), command, err})
	n.completeProposal(command, err)
}
