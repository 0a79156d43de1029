// Package consensus is one voter of the lease registry: raft's state machine, stepped by
// messages and by the time, with the registry's state on it and, at the leader, the expiry
// of the leases. It does no I/O by itself: what must be stored before anything is answered
// goes through Storage, and what is to be sent is returned.
//
// A Node belongs to one goroutine, that of its owner (package leasemanager).
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

// ErrHalted reports a node whose storage failed: it sends nothing any more.
var ErrHalted = errors.New("voter halted: its storage failed, it neither votes nor answers")

// Node is one voter or learner of the lease registry. It is not safe for concurrent use.
type Node struct {
	settings Settings
	id       uint64
	storage  Storage
	raftNode *raft.RawNode
	raftLog  *raft.MemoryStorage
	haltErr  error // not nil once the storage failed

	registry     *leaseregistry.State
	confState    *raftpb.ConfState
	confChanged  bool // the members have changed since the last snapshot
	appliedIndex uint64
	appliedTerm  uint64 // in which the last applied entry was proposed

	nextTickAt float64 // ms
	now        float64 // of the current step, ms
	output     *Output // of the current step; nil between steps

	// The state of a leader.

	leaseExpiry      *lease.ExpiryTracker // nil if it does not lead, or has not applied an entry of its term
	leadingTerm      uint64               // in which leaseExpiry began
	queuedRequests   []ClientRequest      // received since the last read began
	pendingReads     map[uint64][]ClientRequest
	lastReadID       uint64
	lastReadAt       float64                  // when the latest read began, ms
	pendingProposals map[uint64]ClientRequest // by request ID
	proposalsByLease map[string]int           // proposed commands that are not applied yet
}

// NewNode returns a node with a raft ID. recovered is what its storage held. Where that is
// empty, bootstrapVoters are the names of the very first voters by their raft IDs, this one
// among them; they are nil for a node that joins existing voters.
func NewNode(settings Settings, id uint64, storage Storage, recovered wal.State, bootstrapVoters map[uint64]string, now float64) (*Node, error) {
	n := &Node{
		settings:         settings,
		id:               id,
		storage:          storage,
		raftLog:          raft.NewMemoryStorage(),
		registry:         leaseregistry.New(),
		confState:        &raftpb.ConfState{},
		nextTickAt:       now + settings.TickInterval,
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

// bootstrapState returns the state that all of the first voters begin with: the same
// snapshot of an empty registry.
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

// loadState fills raft's log and the registry with what the storage held.
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

// Step advances the node to now, in ms of the boot clock, and handles one event. After an
// error of the storage it returns ErrHalted from then on, and no output.
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

// tick advances raft's logical clock. It ticks once a step, however late the step is: a node
// that was suspended must not conclude, when it resumes, that everyone else was unresponsive.
func (n *Node) tick() {
	if n.now < n.nextTickAt {
		return
	}
	n.nextTickAt = n.now + n.settings.TickInterval
	n.raftNode.Tick()
}

// handleInput passes an event on. What raft rejects is dropped: a message is of no use then,
// and a proposal is repeated by its sender.
func (n *Node) handleInput(in Input) {
	switch {
	case in.Message != nil:
		_ = n.raftNode.Step(in.Message)
	case in.Request != nil:
		n.queueRequest(*in.Request)
	case in.Proposal != nil:
		_ = n.raftNode.Propose(in.Proposal.Append(nil))
	case in.ConfChange != nil:
		_ = n.raftNode.ProposeConfChange(in.ConfChange)
	}
}

// halt stops the node for good.
func (n *Node) halt(err error) (Output, error) {
	n.haltErr = errors.Join(ErrHalted, err)
	return Output{WakeAt: math.Inf(1)}, n.haltErr
}

// processReady carries out what raft asks for: it stores first, then sends and applies.
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

// storeReady writes what raft wants stored, to the storage before raft's own log.
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

// applyEntry applies a committed entry to the registry or to the members. An entry that
// cannot be decoded changes nothing, at any node.
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

// applyCommand applies the command of a normal entry.
func (n *Node) applyCommand(entry *raftpb.Entry) {
	if len(entry.GetData()) == 0 {
		return // a leader's first entry
	}
	command, ok := leaseregistry.DecodeCommand(entry.GetData())
	if !ok {
		return
	}
	err := n.registry.Apply(entry.GetIndex(), command)
	n.output.Applied = append(n.output.Applied, AppliedCommand{entry.GetIndex(), command, err})
	n.completeProposal(command, err)
}
