// Package agree is one elector's part in the register: raft's state machine, stepped by
// messages and by the time, with the register's state on it and the leader's ledger of
// leases beside it. It does no I/O: what is to be on the disk before anything is answered
// goes through Disk, what is to be sent is returned.
package consensus

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"garnetline/internal/fleet/consensus/wal"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
)

// Storage is where an elector keeps its log. When a call returns without an error, what it
// was given is there after a crash.
type Storage interface {
	Save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error
	SaveMetadata(meta []byte) error
	Rewrite(s wal.State) error
	NeedsRewrite() bool
}

// Settings are the times of agreement, in milliseconds, and its bounds.
type Settings struct {
	TickInterval       float64
	ElectionTicks      int // ticks without a leader until one stands for it; up to twice as many, by chance
	HeartbeatTicks     int // ticks between a leader's words
	RetainedEntries    int // entries kept behind a snapshot, for those that lag
	SnapshotEntries    int // entries after which one is taken
	MaxPendingRequests int // questions that wait at a leader
	Lease              lease.Settings
}

// DefaultSettings is what the operators' file begins with.
func DefaultSettings() Settings {
	return Settings{TickInterval: 50, ElectionTicks: 12, HeartbeatTicks: 2, RetainedEntries: 500, SnapshotEntries: 2000, MaxPendingRequests: 4096, Lease: lease.DefaultSettings()}
}

// ClientRequest is a router's ask with who asks.
type ClientRequest struct {
	From        membership.ID
	Incarnation uint64
	lease.Request
	Ban *BanRequest // instead: about staff's bans
}

// BanRequest is a question about staff's bans, and may set one first.
type BanRequest struct {
	KnownVersion uint64                 // the version that the asker knows
	Set          *leaseregistry.Command // nil: it only asks
}

// ClientResponse is an answer with whom it is for.
type ClientResponse struct {
	To membership.ID
	lease.Response
	Ban *BanResponse // instead
}

// BanResponse is how staff's bans stand.
type BanResponse struct {
	RequestID, Version uint64
	Rejection          string // why what was to be set was not
	Bans               []byte // register.State.BansAlone; nil: none since the asker's version
}

// Input is one thing that happened; all nil: time passed.
type Input struct {
	Message    *raftpb.Message
	Request    *ClientRequest
	Proposal   *leaseregistry.Command // staff's, to be proposed
	ConfChange *raftpb.ConfChangeV2
}

// Output is what a step calls for.
type Output struct {
	Messages  []*raftpb.Message // to electors, by their numbers
	Responses []ClientResponse
	Applied   []AppliedCommand
	Released  []lease.Response // of duties that were given up to nobody: for those that come first now
	WakeAt    float64
	LeaderID  uint64 // 0: none is known
	Leading   bool   // this one is, and answers
}

// AppliedCommand is a command that was committed, with how it ended.
type AppliedCommand struct {
	Index   uint64
	Command *leaseregistry.Command
	Err     error
}

// ErrHalted reports an elector whose disk failed: it says nothing any more.
var ErrHalted = errors.New("elector: its disk failed, it neither votes nor answers")

// Node is one elector. It is not safe for concurrent use.
type Node struct {
	settings     Settings
	id           uint64
	storage      Storage
	raftNode     *raft.RawNode
	raftLog      *raft.MemoryStorage
	registry     *leaseregistry.State
	confState    *raftpb.ConfState
	appliedIndex uint64
	appliedTerm  uint64 // in which the last applied entry was made
	confChanged  bool   // the electors have, since the last snapshot

	nextTickAt       float64
	leaseExpiry      *lease.ExpiryTracker // nil: this one does not lead, or has not caught up with its term
	leadingTerm      uint64
	pendingReads     map[uint64][]ClientRequest // by the read that they wait for
	pendingProposals map[uint64]ClientRequest   // by the number of the question that was proposed
	proposalsByLease map[string]int             // commands for a duty that were proposed and are not applied
	lastReadID       uint64
	lastReadAt       float64         // when the latest was begun
	queuedRequests   []ClientRequest // that came since the last read was asked for
	haltErr          error
	output           *Output
	now              float64
}

// preVoteEnabled has an elector ask whether it would be elected before it takes a new term. Tests
// show what happens without it.
var preVoteEnabled = true

// NewNode returns an elector with a number. found is what its disk held; where that is
// nothing, first are those of the very first register, this one among them, with their
// names, or nobody if it is to be taken in by the others.
func NewNode(set Settings, id uint64, d Storage, found wal.State, first map[uint64]string, now float64) (*Node, error) {
	m := &Node{settings: set, id: id, storage: d, raftLog: raft.NewMemoryStorage(), registry: leaseregistry.New(), confState: &raftpb.ConfState{},
		nextTickAt: now + set.TickInterval, pendingReads: map[uint64][]ClientRequest{}, pendingProposals: map[uint64]ClientRequest{}, proposalsByLease: map[string]int{}}
	if found.HardState == nil && found.Snapshot == nil && len(found.Entries) == 0 && len(first) > 0 {
		// All of the first electors begin with the same snapshot of nothing.
		voters := slices.Sorted(maps.Keys(first))
		m.registry.VoterNames = maps.Clone(first)
		one := uint64(1)
		found.Snapshot = &raftpb.Snapshot{Data: m.registry.Snapshot(), Metadata: &raftpb.SnapshotMetadata{Index: &one, Term: &one, ConfState: &raftpb.ConfState{Voters: voters}}}
		found.HardState = &raftpb.HardState{Term: &one, Commit: &one}
		if err := d.Save(found.HardState, nil, found.Snapshot); err != nil {
			return nil, err
		}
	}
	if found.Snapshot != nil {
		if err := m.restoreSnapshot(found.Snapshot); err != nil {
			return nil, err
		}
		if err := m.raftLog.ApplySnapshot(found.Snapshot); err != nil {
			return nil, err
		}
	}
	if found.HardState != nil {
		if err := m.raftLog.SetHardState(found.HardState); err != nil {
			return nil, err
		}
	}
	if err := m.raftLog.Append(found.Entries); err != nil {
		return nil, err
	}
	var err error
	m.raftNode, err = raft.NewRawNode(&raft.Config{ID: id, ElectionTick: set.ElectionTicks, HeartbeatTick: set.HeartbeatTicks, Storage: m.raftLog, Applied: m.appliedIndex,
		MaxSizePerMsg: 16 << 10, MaxCommittedSizePerReady: 1 << 20, MaxUncommittedEntriesSize: 1 << 20, MaxInflightMsgs: 64,
		CheckQuorum: true, PreVote: preVoteEnabled, ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: discardLogger{}})
	return m, err
}

func (m *Node) restoreSnapshot(s *raftpb.Snapshot) error {
	state, ok := leaseregistry.Restore(s.GetData())
	if !ok {
		return errors.New("elector: a snapshot of the register that makes no sense")
	}
	m.registry, m.confState, m.appliedIndex, m.appliedTerm = state, s.GetMetadata().GetConfState(), s.GetMetadata().GetIndex(), s.GetMetadata().GetTerm()
	return nil
}

// Step brings the elector to now and has it take what happened. After an error of the
// disk it returns ErrHalted for ever, and nothing else.
func (m *Node) Step(now float64, in Input) (Output, error) {
	out := Output{WakeAt: math.Inf(1)}
	if m.haltErr != nil {
		return out, m.haltErr
	}
	m.now, m.output = now, &out
	defer func() { m.output = nil }()
	if now >= m.nextTickAt {
		// One tick for a step, however late it is: one that was stopped is not to find at
		// its waking that everyone else was silent.
		m.nextTickAt = now + m.settings.TickInterval
		m.raftNode.Tick()
	}
	switch {
	case in.Message != nil:
		m.raftNode.Step(in.Message) // an error is a message that is of no use
	case in.Request != nil:
		m.queueRequest(*in.Request)
	case in.Proposal != nil:
		m.raftNode.Propose(in.Proposal.Append(nil)) // one that is dropped is asked again by its caller
	case in.ConfChange != nil:
		m.raftNode.ProposeConfChange(in.ConfChange)
	}
	if err := m.processReady(); err != nil {
		m.haltErr = errors.Join(ErrHalted, err)
		return Output{WakeAt: math.Inf(1)}, m.haltErr
	}
	// One read at a time: what is asked meanwhile waits for the next, as one. A read whose
	// answers were lost is not waited for.
	if m.updateLeadership(); m.leaseExpiry != nil && len(m.queuedRequests) > 0 && (len(m.pendingReads) == 0 || now-m.lastReadAt >= m.settings.TickInterval) {
		m.startRead()
		if err := m.processReady(); err != nil {
			m.haltErr = errors.Join(ErrHalted, err)
			return Output{WakeAt: math.Inf(1)}, m.haltErr
		}
	}
	out.WakeAt = m.nextTickAt
	s := m.raftNode.BasicStatus()
	out.LeaderID, out.Leading = s.Lead, m.leaseExpiry != nil
	return out, nil
}

// processReady carries out what raft wants done: first what is to be kept, then the rest.
func (m *Node) processReady() error {
	for m.raftNode.HasReady() {
		rd := m.raftNode.Ready()
		hard := rd.HardState
		if raft.IsEmptyHardState(hard) {
			hard = nil
		}
		snap := rd.Snapshot
		if raft.IsEmptySnap(snap) {
			snap = nil
		}
		if hard != nil || snap != nil || len(rd.Entries) > 0 {
			if err := m.storage.Save(hard, rd.Entries, snap); err != nil {
				return err
			}
		}
		if snap != nil {
			if err := errors.Join(m.restoreSnapshot(snap), m.raftLog.ApplySnapshot(snap)); err != nil {
				return err
			}
		}
		if hard != nil {
			m.raftLog.SetHardState(hard)
		}
		if err := m.raftLog.Append(rd.Entries); err != nil {
			return err
		}
		m.output.Messages = append(m.output.Messages, rd.Messages...)
		for _, e := range rd.CommittedEntries {
			m.applyEntry(e)
		}
		for _, r := range rd.ReadStates {
			m.finishRead(r)
		}
		m.raftNode.Advance(rd)
		if err := m.compactLog(); err != nil {
			return err
		}
	}
	return nil
}

// applyEntry carries out a committed entry.
func (m *Node) applyEntry(e *raftpb.Entry) {
	m.appliedIndex, m.appliedTerm = e.GetIndex(), e.GetTerm()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2:
		c := &raftpb.ConfChangeV2{}
		if proto.Unmarshal(e.GetData(), c) == nil {
			m.confState, m.confChanged = m.raftNode.ApplyConfChange(c), true
		}
	case raftpb.EntryConfChange:
		c := &raftpb.ConfChange{}
		if proto.Unmarshal(e.GetData(), c) == nil {
			m.confState = m.raftNode.ApplyConfChange(c)
		}
	default:
		if len(e.GetData()) == 0 {
			return // a leader's first
		}
		c, ok := leaseregistry.DecodeCommand(e.GetData())
		if !ok {
			return
		}
		err := m.registry.Apply(e.GetIndex(), c)
		m.output.Applied = append(m.output.Applied, AppliedCommand{e.GetIndex(), c, err})
		m.completeProposal(c, err)
	}
}

// compactLog takes a snapshot when the log has grown, and has the disk forget what is old.
func (m *Node) compactLog() error {
	first, _ := m.raftLog.FirstIndex()
	long := m.appliedIndex > first+uint64(m.settings.SnapshotEntries)
	if long || m.confChanged {
		// A learner takes no snapshot that does not name it.
		if _, err := m.raftLog.CreateSnapshot(m.appliedIndex, m.confState, m.registry.Snapshot()); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
		m.confChanged = false
	}
	if long {
		if err := m.raftLog.Compact(m.appliedIndex - uint64(m.settings.RetainedEntries)); err != nil {
			return err
		}
	}
	if !m.storage.NeedsRewrite() {
		return nil
	}
	snap, err := m.raftLog.Snapshot()
	if err != nil {
		return err
	}
	hard, _, _ := m.raftLog.InitialState()
	s := wal.State{HardState: hard}
	if !raft.IsEmptySnap(snap) {
		s.Snapshot = snap
	}
	last, _ := m.raftLog.LastIndex()
	if from := snap.GetMetadata().GetIndex() + 1; from <= last {
		if s.Entries, err = m.raftLog.Entries(from, last+1, math.MaxUint64); err != nil {
			return err
		}
	}
	return m.storage.Rewrite(s)
}

// updateLeadership keeps the ledger in step with being the leader. It begins when an entry of this
// term is applied: only then is all that earlier leaders granted known.
func (m *Node) updateLeadership() {
	s := m.raftNode.BasicStatus()
	if s.RaftState != raft.StateLeader {
		if m.leaseExpiry != nil || len(m.queuedRequests) > 0 {
			m.leaseExpiry, m.queuedRequests = nil, nil
			m.dropPending()
		}
		return
	}
	if term := s.HardState.GetTerm(); m.appliedTerm == term && (m.leaseExpiry == nil || m.leadingTerm != term) {
		m.leaseExpiry, m.leadingTerm = lease.NewExpiryTracker(m.settings.Lease, m.now, m.registry), term
		m.dropPending()
	}
}

// dropPending drops what was under way in another term.
func (m *Node) dropPending() {
	clear(m.pendingReads)
	clear(m.pendingProposals)
	clear(m.proposalsByLease)
}

// queueRequest takes a router's question. Only a leader answers, and only after it knows again
// that it is still one.
func (m *Node) queueRequest(q ClientRequest) {
	if m.updateLeadership(); m.leaseExpiry == nil || len(m.queuedRequests)+len(m.pendingProposals) >= m.settings.MaxPendingRequests || len(m.pendingReads) > m.settings.MaxPendingRequests {
		return // it is asked again, maybe of another
	}
	m.queuedRequests = append(m.queuedRequests, q)
}

// startRead asks raft whether this one still leads, for all questions that came meanwhile.
func (m *Node) startRead() {
	m.lastReadID++
	m.lastReadAt = m.now
	m.pendingReads[m.lastReadID] = m.queuedRequests
	m.queuedRequests = nil
	m.raftNode.ReadIndex(binary.BigEndian.AppendUint64(nil, m.lastReadID))
}

// finishRead answers the questions that waited: a majority still followed this leader after
// they came.
func (m *Node) finishRead(r raft.ReadState) {
	if len(r.RequestCtx) != 8 {
		return
	}
	n := binary.BigEndian.Uint64(r.RequestCtx)
	asks := m.pendingReads[n]
	delete(m.pendingReads, n)
	for k := range m.pendingReads {
		if k < n {
			delete(m.pendingReads, k) // lost on its way; it is asked again
		}
	}
	if m.leaseExpiry == nil || m.appliedIndex < r.Index {
		return
	}
	for _, q := range asks {
		m.serveRequest(q)
	}
}

// serveRequest decides one question.
func (m *Node) serveRequest(q ClientRequest) {
	d := m.registry.Leases[q.Lease]
	switch {
	case q.Ban != nil && q.Ban.Set != nil:
		m.proposeFor(q, q.Ban.Set)
	case q.Ban != nil:
		m.respondBans(q, nil)
	case m.proposalsByLease[q.Lease] > 0:
		// Symptom guarded against: the duty had been proposed for another, and before that
		// was applied its holder renewed: it was told yes for a whole lease more.
	case q.Lease == "" || len(q.Lease) > leaseregistry.MaxNameLen || len(q.Handoff) > leaseregistry.MaxHandoffLen:
	case q.Release:
		c := &leaseregistry.Command{Op: leaseregistry.OpRelease, Lease: q.Lease, Holder: q.From, ExpectedToken: q.FencingToken, Handoff: q.Handoff, RequestID: q.ID}
		if q.TransferTo != 0 {
			c.Op, c.Holder = leaseregistry.OpTransfer, q.TransferTo
		}
		if d != nil && d.Holder == q.From && d.FencingToken == q.FencingToken {
			m.proposeFor(q, c)
		} else {
			m.respondLease(q, d)
		}
	case d != nil && d.Holder == q.From && d.Incarnation == q.Incarnation && (q.FencingToken == d.FencingToken || q.FencingToken == 0):
		m.leaseExpiry.Extend(m.now, q.Lease)
		m.respondLease(q, d)
	case d != nil && d.Holder == q.From && d.Incarnation == 0 && q.FencingToken == 0: // it was handed on to this one
		m.proposeFor(q, &leaseregistry.Command{Op: leaseregistry.OpGrant, Lease: q.Lease, Holder: q.From, Incarnation: q.Incarnation, ExpectedToken: d.FencingToken, RequestID: q.ID})
	case q.FencingToken == 0 && m.leaseExpiry.Available(m.now, d):
		c := &leaseregistry.Command{Op: leaseregistry.OpGrant, Lease: q.Lease, Holder: q.From, Incarnation: q.Incarnation, RequestID: q.ID}
		if d != nil {
			c.ExpectedToken, c.HolderLost = d.FencingToken, d.Holder != 0
		}
		m.proposeFor(q, c)
	default:
		m.respondLease(q, d)
	}
}

func (m *Node) proposeFor(q ClientRequest, c *leaseregistry.Command) {
	if m.raftNode.Propose(c.Append(nil)) == nil {
		m.pendingProposals[q.ID] = q
		m.proposalsByLease[q.Lease]++
	}
}

// completeProposal answers the one whose question led to a command, where this leader proposed it.
func (m *Node) completeProposal(c *leaseregistry.Command, err error) {
	if c.Op == leaseregistry.OpTransfer && err == nil && m.leaseExpiry != nil {
		// The next one does not know yet; it is told, and asks for its lease by itself. Its
		// process is known by its first ask.
		m.output.Responses = append(m.output.Responses, ClientResponse{To: c.Holder, Response: lease.Response{Lease: c.Lease, Holder: c.Holder, FencingToken: m.registry.Leases[c.Lease].FencingToken}})
	}
	if c.Op == leaseregistry.OpRelease && err == nil && m.leaseExpiry != nil {
		m.output.Released = append(m.output.Released, lease.Response{Lease: c.Lease, FencingToken: m.registry.Leases[c.Lease].FencingToken})
	}
	q, mine := m.pendingProposals[c.RequestID]
	if !mine || m.leaseExpiry == nil {
		return
	}
	delete(m.pendingProposals, c.RequestID)
	if m.proposalsByLease[c.Lease]--; m.proposalsByLease[c.Lease] <= 0 {
		delete(m.proposalsByLease, c.Lease)
	}
	if q.Ban != nil {
		m.respondBans(q, err)
		return
	}
	if c.Op == leaseregistry.OpGrant && err == nil {
		m.leaseExpiry.Extend(m.now, c.Lease)
	}
	m.respondLease(q, m.registry.Leases[c.Lease])
}

// respondBans says how staff's bans stand.
func (m *Node) respondBans(q ClientRequest, err error) {
	a := &BanResponse{RequestID: q.ID, Version: m.registry.BanVersion()}
	if err != nil {
		a.Rejection = err.Error()
	}
	if a.Version != q.Ban.KnownVersion {
		a.Bans = m.registry.BansSnapshot()
	}
	m.output.Responses = append(m.output.Responses, ClientResponse{To: q.From, Ban: a})
}

// respondLease says how a duty stands.
func (m *Node) respondLease(q ClientRequest, d *leaseregistry.Lease) {
	a := lease.Response{RequestID: q.ID, Lease: q.Lease}
	if d != nil {
		a.FencingToken, a.Holder, a.Losses = d.FencingToken, d.Holder, d.Losses[q.From]
		a.Granted = d.Holder == q.From && d.Incarnation == q.Incarnation
		if a.Remaining = m.leaseExpiry.Remaining(m.now, q.Lease); a.Granted {
			a.Handoff = d.Handoff
		}
	}
	m.output.Responses = append(m.output.Responses, ClientResponse{To: q.From, Response: a})
}

// State is the register as this elector has applied it. It may be old: read it where that
// does no harm, or ask.
func (m *Node) State() *leaseregistry.State { return m.registry }

// Status is how the elector stands.
type Status struct {
	ID, LeaderID, Term, CommitIndex, AppliedIndex uint64
	Leading                                       bool
	Voters, Learners                              []uint64
	Halted                                        bool
}

// Status returns how the elector stands.
func (m *Node) Status() Status {
	s := m.raftNode.BasicStatus()
	return Status{ID: m.id, LeaderID: s.Lead, Term: s.HardState.GetTerm(), CommitIndex: s.HardState.GetCommit(), AppliedIndex: m.appliedIndex,
		Leading: m.leaseExpiry != nil, Voters: slices.Clone(m.confState.GetVoters()), Learners: slices.Clone(m.confState.GetLearners()), Halted: m.haltErr != nil}
}

// LearnerLag tells how many entries a learner is behind, where this one leads; -1: not known.
func (m *Node) LearnerLag(id uint64) int {
	lag := -1
	m.raftNode.WithProgress(func(of uint64, _ raft.ProgressType, pr tracker.Progress) {
		if of == id && pr.Match > 0 {
			lag = int(m.raftNode.BasicStatus().HardState.GetCommit() - min(pr.Match, m.raftNode.BasicStatus().HardState.GetCommit()))
		}
	})
	return lag
}

// ReportUnreachable tells raft that a message to an elector could not be sent.
func (m *Node) ReportUnreachable(id uint64, snap bool) {
	if m.raftNode.ReportUnreachable(id); snap {
		m.raftNode.ReportSnapshot(id, raft.SnapshotFailure)
	}
}

// ReportSnapshotSent tells raft that a snapshot is on its way. Where it gets lost, the next
// append is refused, and another is sent.
func (m *Node) ReportSnapshotSent(id uint64) { m.raftNode.ReportSnapshot(id, raft.SnapshotFinish) }

// TransferLeadership hands the lead to the voter that has most of the log, if this one leads.
func (m *Node) TransferLeadership() {
	best, most := uint64(0), uint64(0)
	m.raftNode.WithProgress(func(id uint64, t raft.ProgressType, pr tracker.Progress) {
		if id != m.id && t == raft.ProgressTypePeer && pr.RecentActive && (pr.Match > most || pr.Match == most && id < best) {
			best, most = id, pr.Match
		}
	})
	if s := m.raftNode.BasicStatus(); s.RaftState == raft.StateLeader && best != 0 && s.LeadTransferee == 0 {
		m.raftNode.TransferLeader(best)
	}
}

// Leases returns the register's duties by name.
func (m *Node) Leases() []*leaseregistry.Lease {
	return slices.SortedFunc(maps.Values(m.registry.Leases), func(a, b *leaseregistry.Lease) int { return cmp.Compare(a.Name, b.Name) })
}

// discardLogger is raft's log: what matters of it is seen in the status.
type discardLogger struct{}

func (discardLogger) Debug(...any)            {}
func (discardLogger) Debugf(string, ...any)   {}
func (discardLogger) Error(...any)            {}
func (discardLogger) Errorf(string, ...any)   {}
func (discardLogger) Info(...any)             {}
func (discardLogger) Infof(string, ...any)    {}
func (discardLogger) Warning(...any)          {}
func (discardLogger) Warningf(string, ...any) {}
func (discardLogger) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (discardLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
