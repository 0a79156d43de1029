package consensus

import (
	"errors"
	"math"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"garnetline/internal/fleet/consensus/wal"
	"garnetline/internal/fleet/leaseregistry"
)

// ErrInvalidSnapshot reports a snapshot of the lease registry that cannot be decoded.
var ErrInvalidSnapshot = errors.New("voter: cannot decode the snapshot of the lease registry")

// Storage keeps a node's log; wal.Log implements it. If a call returns no error, the data that
// was passed to it survives a crash.
type Storage interface {
	// Save appends raft's hard state, entries and a snapshot; each of them may be nil.
	Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error
	// SaveMetadata replaces the metadata that the owner of the node keeps in the log.
	SaveMetadata(metadata []byte) error
	// Rewrite replaces the whole stored state with the given one.
	Rewrite(state wal.State) error
	// NeedsRewrite reports whether most of the stored data is obsolete.
	NeedsRewrite() bool
}

// restoreSnapshot replaces the registry and the list of members with those of a snapshot. It
// returns ErrInvalidSnapshot if the registry cannot be decoded.
func (n *Node) restoreSnapshot(snapshot *raftpb.Snapshot) error {
	registry, ok := leaseregistry.Restore(snapshot.GetData())
	if !ok {
		return ErrInvalidSnapshot
	}
	metadata := snapshot.GetMetadata()
	n.registry = registry
	n.confState = metadata.GetConfState()
	n.appliedIndex = metadata.GetIndex()
	n.appliedTerm = metadata.GetTerm()
	return nil
}

// compactLog takes a snapshot and shortens raft's log when the log has grown past
// Settings.SnapshotEntries. It rewrites the storage when most of the stored data is obsolete.
func (n *Node) compactLog() error {
	first, err := n.raftLog.FirstIndex()
	if err != nil {
		return err
	}
	grown := n.appliedIndex > first+uint64(n.settings.SnapshotEntries)
	// A learner rejects a snapshot whose member list lacks the learner, so a snapshot is also
	// taken after each change of members.
	if grown || n.confChanged {
		_, err := n.raftLog.CreateSnapshot(n.appliedIndex, n.confState, n.registry.Snapshot())
		if err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
		n.confChanged = false
	}
	if grown {
		if err := n.raftLog.Compact(n.appliedIndex - uint64(n.settings.RetainedEntries)); err != nil {
			return err
		}
	}
	if !n.storage.NeedsRewrite() {
		return nil
	}
	state, err := n.currentState()
	if err != nil {
		return err
	}
	return n.storage.Rewrite(state)
}

// currentState returns the state that the storage must hold: the latest snapshot, the entries
// after it, and the hard state.
func (n *Node) currentState() (wal.State, error) {
	snapshot, err := n.raftLog.Snapshot()
	if err != nil {
		return wal.State{}, err
	}
	hardState, _, err := n.raftLog.InitialState()
	if err != nil {
		return wal.State{}, err
	}
	last, err := n.raftLog.LastIndex()
	if err != nil {
		return wal.State{}, err
	}
	state := wal.State{HardState: hardState}
	if !raft.IsEmptySnap(snapshot) {
		state.Snapshot = snapshot
	}
	first := snapshot.GetMetadata().GetIndex() + 1
	if first <= last {
		state.Entries, err = n.raftLog.Entries(first, last+1, math.MaxUint64)
	}
	return state, err
}
