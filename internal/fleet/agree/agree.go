// Package agree is one elector's part in the register: raft's state machine, stepped by
// messages and by the time, with the register's state on it and the leader's ledger of
// leases beside it. It does no I/O: what is to be on the disk before anything is answered
// goes through Disk, what is to be sent is returned.
package agree

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

	"garnetline/internal/fleet/agree/disk"
	"garnetline/internal/fleet/duty"
	"garnetline/internal/fleet/member"
	"garnetline/internal/fleet/register"
)

// Disk is where an elector keeps its log. When a call returns without an error, what it
// was given is there after a crash.
type Disk interface {
	Save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error
	Mark(meta []byte) error
	Rewrite(s disk.State) error
	Grown() bool
}

// Settings are the times of agreement, in milliseconds, and its bounds.
type Settings struct {
	Tick      float64
	Election  int // ticks without a leader until one stands for it; up to twice as many, by chance
	Heartbeat int // ticks between a leader's words
	Keep      int // entries kept behind a snapshot, for those that lag
	Snapshot  int // entries after which one is taken
	Pending   int // questions that wait at a leader
	Duty      duty.Settings
}

// Default is what the operators' file begins with.
func Default() Settings {
	return Settings{Tick: 50, Election: 12, Heartbeat: 2, Keep: 500, Snapshot: 2000, Pending: 4096, Duty: duty.Default()}
}

// Question is a router's ask with who asks.
type Question struct {
	From member.ID
	Life uint64
	duty.Ask
	Ban *BanAsk // instead: about staff's bans
}

// BanAsk is a question about staff's bans, and may set one first.
type BanAsk struct {
	Since uint64            // the version that the asker knows
	Set   *register.Command // nil: it only asks
}

// Reply is an answer with whom it is for.
type Reply struct {
	To member.ID
	duty.Answer
	Ban *BanAnswer // instead
}

// BanAnswer is how staff's bans stand.
type BanAnswer struct {
	Question, Version uint64
	Refused           string // why what was to be set was not
	Bans              []byte // register.State.BansAlone; nil: none since the asker's version
}

// Input is one thing that happened; all nil: time passed.
type Input struct {
	Message  *raftpb.Message
	Question *Question
	Ban      *register.Command // staff's, to be proposed
	Change   *raftpb.ConfChangeV2
}

// Output is what a step calls for.
type Output struct {
	Messages []*raftpb.Message // to electors, by their numbers
	Replies  []Reply
	Applied  []Applied
	Freed    []duty.Answer // of duties that were given up to nobody: for those that come first now
	Wake     float64
	Leader   uint64 // 0: none is known
	Leading  bool   // this one is, and answers
}

// Applied is a command that was committed, with how it ended.
type Applied struct {
	Index   uint64
	Command *register.Command
	Err     error
}

// ErrHalted reports an elector whose disk failed: it says nothing any more.
var ErrHalted = errors.New("elector: its disk failed, it neither votes nor answers")

// Machine is one elector. It is not safe for concurrent use.
type Machine struct {
	set     Settings
	id      uint64
	disk    Disk
	node    *raft.RawNode
	store   *raft.MemoryStorage
	state   *register.State
	conf    *raftpb.ConfState
	applied uint64
	term    uint64 // in which the last applied entry was made
	changed bool   // the electors have, since the last snapshot

	nextTick float64
	ledger   *duty.Ledger // nil: this one does not lead, or has not caught up with its term
	ledTerm  uint64
	asks     map[uint64][]Question // by the read that they wait for
	grants   map[uint64]Question   // by the number of the question that was proposed
	busy     map[string]int        // commands for a duty that were proposed and are not applied
	reads    uint64
	readAt   float64    // when the latest was begun
	fresh    []Question // that came since the last read was asked for
	halted   error
	out      *Output
	now      float64
}

// preVote has an elector ask whether it would be elected before it takes a new term. Tests
// show what happens without it.
var preVote = true

// New returns an elector with a number. found is what its disk held; where that is
// nothing, first are those of the very first register, this one among them, with their
// names, or nobody if it is to be taken in by the others.
func New(set Settings, id uint64, d Disk, found disk.State, first map[uint64]string, now float64) (*Machine, error) {
	m := &Machine{set: set, id: id, disk: d, store: raft.NewMemoryStorage(), state: register.New(), conf: &raftpb.ConfState{},
		nextTick: now + set.Tick, asks: map[uint64][]Question{}, grants: map[uint64]Question{}, busy: map[string]int{}}
	if found.Hard == nil && found.Snap == nil && len(found.Entries) == 0 && len(first) > 0 {
		// All of the first electors begin with the same snapshot of nothing.
		voters := slices.Sorted(maps.Keys(first))
		m.state.Names = maps.Clone(first)
		one := uint64(1)
		found.Snap = &raftpb.Snapshot{Data: m.state.Snapshot(), Metadata: &raftpb.SnapshotMetadata{Index: &one, Term: &one, ConfState: &raftpb.ConfState{Voters: voters}}}
		found.Hard = &raftpb.HardState{Term: &one, Commit: &one}
		if err := d.Save(found.Hard, nil, found.Snap); err != nil {
			return nil, err
		}
	}
	if found.Snap != nil {
		if err := m.restore(found.Snap); err != nil {
			return nil, err
		}
		if err := m.store.ApplySnapshot(found.Snap); err != nil {
			return nil, err
		}
	}
	if found.Hard != nil {
		if err := m.store.SetHardState(found.Hard); err != nil {
			return nil, err
		}
	}
	if err := m.store.Append(found.Entries); err != nil {
		return nil, err
	}
	var err error
	m.node, err = raft.NewRawNode(&raft.Config{ID: id, ElectionTick: set.Election, HeartbeatTick: set.Heartbeat, Storage: m.store, Applied: m.applied,
		MaxSizePerMsg: 16 << 10, MaxCommittedSizePerReady: 1 << 20, MaxUncommittedEntriesSize: 1 << 20, MaxInflightMsgs: 64,
		CheckQuorum: true, PreVote: preVote, ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: silent{}})
	return m, err
}

func (m *Machine) restore(s *raftpb.Snapshot) error {
	state, ok := register.Restore(s.GetData())
	if !ok {
		return errors.New("elector: a snapshot of the register that makes no sense")
	}
	m.state, m.conf, m.applied, m.term = state, s.GetMetadata().GetConfState(), s.GetMetadata().GetIndex(), s.GetMetadata().GetTerm()
	return nil
}

// Step brings the elector to now and has it take what happened. After an error of the
// disk it returns ErrHalted for ever, and nothing else.
func (m *Machine) Step(now float64, in Input) (Output, error) {
	out := Output{Wake: math.Inf(1)}
	if m.halted != nil {
		return out, m.halted
	}
	m.now, m.out = now, &out
	defer func() { m.out = nil }()
	if now >= m.nextTick {
		// One tick for a step, however late it is: one that was stopped is not to find at
		// its waking that everyone else was silent.
		m.nextTick = now + m.set.Tick
		m.node.Tick()
	}
	switch {
	case in.Message != nil:
		m.node.Step(in.Message) // an error is a message that is of no use
	case in.Question != nil:
		m.asked(*in.Question)
	case in.Ban != nil:
		m.node.Propose(in.Ban.Append(nil)) // one that is dropped is asked again by its caller
	case in.Change != nil:
		m.node.ProposeConfChange(in.Change)
	}
	if err := m.ready(); err != nil {
		m.halted = errors.Join(ErrHalted, err)
		return Output{Wake: math.Inf(1)}, m.halted
	}
	// One read at a time: what is asked meanwhile waits for the next, as one. A read whose
	// answers were lost is not waited for.
	if m.lead(); m.ledger != nil && len(m.fresh) > 0 && (len(m.asks) == 0 || now-m.readAt >= m.set.Tick) {
		m.read()
		if err := m.ready(); err != nil {
			m.halted = errors.Join(ErrHalted, err)
			return Output{Wake: math.Inf(1)}, m.halted
		}
	}
	out.Wake = m.nextTick
	s := m.node.BasicStatus()
	out.Leader, out.Leading = s.Lead, m.ledger != nil
	return out, nil
}

// ready carries out what raft wants done: first what is to be kept, then the rest.
func (m *Machine) ready() error {
	for m.node.HasReady() {
		rd := m.node.Ready()
		hard := rd.HardState
		if raft.IsEmptyHardState(hard) {
			hard = nil
		}
		snap := rd.Snapshot
		if raft.IsEmptySnap(snap) {
			snap = nil
		}
		if hard != nil || snap != nil || len(rd.Entries) > 0 {
			if err := m.disk.Save(hard, rd.Entries, snap); err != nil {
				return err
			}
		}
		if snap != nil {
			if err := errors.Join(m.restore(snap), m.store.ApplySnapshot(snap)); err != nil {
				return err
			}
		}
		if hard != nil {
			m.store.SetHardState(hard)
		}
		if err := m.store.Append(rd.Entries); err != nil {
			return err
		}
		m.out.Messages = append(m.out.Messages, rd.Messages...)
		for _, e := range rd.CommittedEntries {
			m.apply(e)
		}
		for _, r := range rd.ReadStates {
			m.readDone(r)
		}
		m.node.Advance(rd)
		if err := m.compact(); err != nil {
			return err
		}
	}
	return nil
}

// apply carries out a committed entry.
func (m *Machine) apply(e *raftpb.Entry) {
	m.applied, m.term = e.GetIndex(), e.GetTerm()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2:
		c := &raftpb.ConfChangeV2{}
		if proto.Unmarshal(e.GetData(), c) == nil {
			m.conf, m.changed = m.node.ApplyConfChange(c), true
		}
	case raftpb.EntryConfChange:
		c := &raftpb.ConfChange{}
		if proto.Unmarshal(e.GetData(), c) == nil {
			m.conf = m.node.ApplyConfChange(c)
		}
	default:
		if len(e.GetData()) == 0 {
			return // a leader's first
		}
		c, ok := register.Read(e.GetData())
		if !ok {
			return
		}
		err := m.state.Apply(e.GetIndex(), c)
		m.out.Applied = append(m.out.Applied, Applied{e.GetIndex(), c, err})
		m.granted(c, err)
	}
}

// compact takes a snapshot when the log has grown, and has the disk forget what is old.
func (m *Machine) compact() error {
	first, _ := m.store.FirstIndex()
	long := m.applied > first+uint64(m.set.Snapshot)
	if long || m.changed {
		// A learner takes no snapshot that does not name it.
		if _, err := m.store.CreateSnapshot(m.applied, m.conf, m.state.Snapshot()); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
		m.changed = false
	}
	if long {
		if err := m.store.Compact(m.applied - uint64(m.set.Keep)); err != nil {
			return err
		}
	}
	if !m.disk.Grown() {
		return nil
	}
	snap, err := m.store.Snapshot()
	if err != nil {
		return err
	}
	hard, _, _ := m.store.InitialState()
	s := disk.State{Hard: hard}
	if !raft.IsEmptySnap(snap) {
		s.Snap = snap
	}
	last, _ := m.store.LastIndex()
	if from := snap.GetMetadata().GetIndex() + 1; from <= last {
		if s.Entries, err = m.store.Entries(from, last+1, math.MaxUint64); err != nil {
			return err
		}
	}
	return m.disk.Rewrite(s)
}

// lead keeps the ledger in step with being the leader. It begins when an entry of this
// term is applied: only then is all that earlier leaders granted known.
func (m *Machine) lead() {
	s := m.node.BasicStatus()
	if s.RaftState != raft.StateLeader {
		if m.ledger != nil || len(m.fresh) > 0 {
			m.ledger, m.fresh = nil, nil
			m.forget()
		}
		return
	}
	if term := s.HardState.GetTerm(); m.term == term && (m.ledger == nil || m.ledTerm != term) {
		m.ledger, m.ledTerm = duty.NewLedger(m.set.Duty, m.now, m.state), term
		m.forget()
	}
}

// forget drops what was under way in another term.
func (m *Machine) forget() {
	clear(m.asks)
	clear(m.grants)
	clear(m.busy)
}

// asked takes a router's question. Only a leader answers, and only after it knows again
// that it is still one.
func (m *Machine) asked(q Question) {
	if m.lead(); m.ledger == nil || len(m.fresh)+len(m.grants) >= m.set.Pending || len(m.asks) > m.set.Pending {
		return // it is asked again, maybe of another
	}
	m.fresh = append(m.fresh, q)
}

// read asks raft whether this one still leads, for all questions that came meanwhile.
func (m *Machine) read() {
	m.reads++
	m.readAt = m.now
	m.asks[m.reads] = m.fresh
	m.fresh = nil
	m.node.ReadIndex(binary.BigEndian.AppendUint64(nil, m.reads))
}

// readDone answers the questions that waited: a majority still followed this leader after
// they came.
func (m *Machine) readDone(r raft.ReadState) {
	if len(r.RequestCtx) != 8 {
		return
	}
	n := binary.BigEndian.Uint64(r.RequestCtx)
	asks := m.asks[n]
	delete(m.asks, n)
	for k := range m.asks {
		if k < n {
			delete(m.asks, k) // lost on its way; it is asked again
		}
	}
	if m.ledger == nil || m.applied < r.Index {
		return
	}
	for _, q := range asks {
		m.answer(q)
	}
}

// answer decides one question.
func (m *Machine) answer(q Question) {
	d := m.state.Duties[q.Duty]
	switch {
	case q.Ban != nil && q.Ban.Set != nil:
		m.propose(q, q.Ban.Set)
	case q.Ban != nil:
		m.banned(q, nil)
	case m.busy[q.Duty] > 0:
		// Symptom guarded against: the duty had been proposed for another, and before that
		// was applied its holder renewed: it was told yes for a whole lease more.
	case q.Duty == "" || len(q.Duty) > register.MaxName || len(q.Work) > register.MaxWork:
	case q.Give:
		c := &register.Command{Op: register.Release, Duty: q.Duty, Who: q.From, Token: q.Token, Work: q.Work, Question: q.Question}
		if q.To != 0 {
			c.Op, c.Who = register.Move, q.To
		}
		if d != nil && d.Holder == q.From && d.Token == q.Token {
			m.propose(q, c)
		} else {
			m.reply(q, d)
		}
	case d != nil && d.Holder == q.From && d.Life == q.Life && (q.Token == d.Token || q.Token == 0):
		m.ledger.Answered(m.now, q.Duty)
		m.reply(q, d)
	case d != nil && d.Holder == q.From && d.Life == 0 && q.Token == 0: // it was handed on to this one
		m.propose(q, &register.Command{Op: register.Grant, Duty: q.Duty, Who: q.From, Life: q.Life, Token: d.Token, Question: q.Question})
	case q.Token == 0 && m.ledger.Free(m.now, d):
		c := &register.Command{Op: register.Grant, Duty: q.Duty, Who: q.From, Life: q.Life, Question: q.Question}
		if d != nil {
			c.Token, c.Lost = d.Token, d.Holder != 0
		}
		m.propose(q, c)
	default:
		m.reply(q, d)
	}
}

func (m *Machine) propose(q Question, c *register.Command) {
	if m.node.Propose(c.Append(nil)) == nil {
		m.grants[q.Question] = q
		m.busy[q.Duty]++
	}
}

// granted answers the one whose question led to a command, where this leader proposed it.
func (m *Machine) granted(c *register.Command, err error) {
	if c.Op == register.Move && err == nil && m.ledger != nil {
		// The next one does not know yet; it is told, and asks for its lease by itself. Its
		// process is known by its first ask.
		m.out.Replies = append(m.out.Replies, Reply{To: c.Who, Answer: duty.Answer{Duty: c.Duty, Holder: c.Who, Token: m.state.Duties[c.Duty].Token}})
	}
	if c.Op == register.Release && err == nil && m.ledger != nil {
		m.out.Freed = append(m.out.Freed, duty.Answer{Duty: c.Duty, Token: m.state.Duties[c.Duty].Token})
	}
	q, mine := m.grants[c.Question]
	if !mine || m.ledger == nil {
		return
	}
	delete(m.grants, c.Question)
	if m.busy[c.Duty]--; m.busy[c.Duty] <= 0 {
		delete(m.busy, c.Duty)
	}
	if q.Ban != nil {
		m.banned(q, err)
		return
	}
	if c.Op == register.Grant && err == nil {
		m.ledger.Answered(m.now, c.Duty)
	}
	m.reply(q, m.state.Duties[c.Duty])
}

// banned says how staff's bans stand.
func (m *Machine) banned(q Question, err error) {
	a := &BanAnswer{Question: q.Question, Version: m.state.BanVersion()}
	if err != nil {
		a.Refused = err.Error()
	}
	if a.Version != q.Ban.Since {
		a.Bans = m.state.BansAlone()
	}
	m.out.Replies = append(m.out.Replies, Reply{To: q.From, Ban: a})
}

// reply says how a duty stands.
func (m *Machine) reply(q Question, d *register.Duty) {
	a := duty.Answer{Question: q.Question, Duty: q.Duty}
	if d != nil {
		a.Token, a.Holder, a.Losses = d.Token, d.Holder, d.Losses[q.From]
		a.Yes = d.Holder == q.From && d.Life == q.Life
		if a.Left = m.ledger.Left(m.now, q.Duty); a.Yes {
			a.Work = d.Work
		}
	}
	m.out.Replies = append(m.out.Replies, Reply{To: q.From, Answer: a})
}

// State is the register as this elector has applied it. It may be old: read it where that
// does no harm, or ask.
func (m *Machine) State() *register.State { return m.state }

// Status is how the elector stands.
type Status struct {
	ID, Leader, Term, Commit, Applied uint64
	Leading                           bool
	Voters, Learners                  []uint64
	Halted                            bool
}

// Status returns how the elector stands.
func (m *Machine) Status() Status {
	s := m.node.BasicStatus()
	return Status{ID: m.id, Leader: s.Lead, Term: s.HardState.GetTerm(), Commit: s.HardState.GetCommit(), Applied: m.applied,
		Leading: m.ledger != nil, Voters: slices.Clone(m.conf.GetVoters()), Learners: slices.Clone(m.conf.GetLearners()), Halted: m.halted != nil}
}

// Lags tells how many entries a learner is behind, where this one leads; -1: not known.
func (m *Machine) Lags(id uint64) int {
	lag := -1
	m.node.WithProgress(func(of uint64, _ raft.ProgressType, pr tracker.Progress) {
		if of == id && pr.Match > 0 {
			lag = int(m.node.BasicStatus().HardState.GetCommit() - min(pr.Match, m.node.BasicStatus().HardState.GetCommit()))
		}
	})
	return lag
}

// Unreachable tells raft that a message to an elector could not be sent.
func (m *Machine) Unreachable(id uint64, snap bool) {
	if m.node.ReportUnreachable(id); snap {
		m.node.ReportSnapshot(id, raft.SnapshotFailure)
	}
}

// SnapshotSent tells raft that a snapshot is on its way. Where it gets lost, the next
// append is refused, and another is sent.
func (m *Machine) SnapshotSent(id uint64) { m.node.ReportSnapshot(id, raft.SnapshotFinish) }

// HandLead hands the lead to the voter that has most of the log, if this one leads.
func (m *Machine) HandLead() {
	best, most := uint64(0), uint64(0)
	m.node.WithProgress(func(id uint64, t raft.ProgressType, pr tracker.Progress) {
		if id != m.id && t == raft.ProgressTypePeer && pr.RecentActive && (pr.Match > most || pr.Match == most && id < best) {
			best, most = id, pr.Match
		}
	})
	if s := m.node.BasicStatus(); s.RaftState == raft.StateLeader && best != 0 && s.LeadTransferee == 0 {
		m.node.TransferLeader(best)
	}
}

// Duties returns the register's duties by name.
func (m *Machine) Duties() []*register.Duty {
	return slices.SortedFunc(maps.Values(m.state.Duties), func(a, b *register.Duty) int { return cmp.Compare(a.Name, b.Name) })
}

// silent is raft's log: what matters of it is seen in the status.
type silent struct{}

func (silent) Debug(...any)            {}
func (silent) Debugf(string, ...any)   {}
func (silent) Error(...any)            {}
func (silent) Errorf(string, ...any)   {}
func (silent) Info(...any)             {}
func (silent) Infof(string, ...any)    {}
func (silent) Warning(...any)          {}
func (silent) Warningf(string, ...any) {}
func (silent) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (silent) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (silent) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (silent) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
