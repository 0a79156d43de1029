package duties

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"garnetline/internal/fleet/agree"
	"garnetline/internal/fleet/agree/disk"
	"garnetline/internal/fleet/carry"
	"garnetline/internal/fleet/duty"
	"garnetline/internal/fleet/member"
	"garnetline/internal/fleet/register"
)

const (
	helloEvery = 300.0 // ms between words of one that has no log yet, or asks to be taken in
	joinLag    = 50    // entries that a learner may lag and be made a voter
)

// elector is this router's part in the register, stepped by its actor.
type elector struct {
	set   Settings
	name  string
	log   *disk.Log
	found disk.State
	own   own
	first uint64 // the number that it would begin with
	node  *agree.Machine
	names []string // of all electors, by the file
	told  map[string]hello
	next  float64 // when to say hello again
	wake  float64
	out   *sends
	lead  bool
	allow map[string]bool // names that staff want taken in
	fault error
	todo  []agree.Input
}

// sends is what a step wants sent.
type sends struct {
	to    []parcel
	freed []duty.Answer // for those that come first
}

type parcel struct {
	name string    // of an elector
	id   member.ID // else
	ch   carry.Channel
	b    []byte
}

// numberOf is the number with which an elector begins, in the very first register.
func numberOf(fleet, name string) uint64 { return xxhash.Sum64String(fleet+"\x00"+name) | 1 }

// newElector opens an elector's log. now is the boot clock's, as in all steps.
func newElector(set Settings, fleet, name string, fs disk.FS, now float64) (*elector, error) {
	e := &elector{set: set, name: name, names: set.Electors, first: numberOf(fleet, name), told: map[string]hello{}, next: now, wake: now,
		allow: map[string]bool{}}
	l, found, _, err := disk.Open(fs, fleet+"/"+name)
	if err != nil {
		return nil, err
	}
	e.log, e.found = l, found
	if o, ok := getOwn(found.Meta); ok && o.ID != 0 {
		e.own = o
		if err := e.begin(nil, now); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// begin starts the machine, with the voters of the first register or with none.
func (e *elector) begin(first map[uint64]string, now float64) (err error) {
	e.node, err = agree.New(e.set.Agree, e.own.ID, e.log, e.found, first, now)
	return err
}

// step takes one thing, or none, and returns what to send.
func (e *elector) step(now float64, in func(e *elector) agree.Input) sends {
	var out sends
	e.out = &out
	var input agree.Input
	if in != nil {
		input = in(e)
	}
	e.run(now, input)
	if e.next <= now && e.fault == nil {
		e.next = now + helloEvery
		e.greet(now)
	}
	for len(e.todo) > 0 {
		in := e.todo[0]
		e.todo = e.todo[1:]
		e.run(now, in)
	}
	e.wake = min(e.wake, e.next)
	e.out = nil
	return out
}

// run steps the machine, if there is one.
//
// Symptom guarded against: an elector that waits for the others before it begins kept the
// wake of its start, and took a whole processor until they came.
func (e *elector) run(now float64, in agree.Input) {
	e.wake = math.Inf(1) // a machine that is not there wants nothing
	if e.node == nil || e.fault != nil {
		return
	}
	o, err := e.node.Step(now, in)
	if err != nil {
		e.fault = err
	}
	e.lead, e.wake = o.Leading, o.Wake
	for _, m := range o.Messages {
		e.post(m)
	}
	e.out.freed = append(e.out.freed, o.Freed...)
	for _, r := range o.Replies {
		if r.Ban != nil {
			e.out.to = append(e.out.to, parcel{id: r.To, ch: carry.BanAnswer, b: putBanAnswer(*r.Ban)})
			continue
		}
		e.out.to = append(e.out.to, parcel{id: r.To, ch: carry.Answer, b: PutAnswer(r.Answer)})
	}
}

// nameOf is the name of an elector's number.
func (e *elector) nameOf(id uint64) string {
	if n := e.node.State().Names[id]; n != "" {
		return n
	}
	for _, n := range e.names {
		if numberOf(e.set.Fleet, n) == id {
			return n
		}
	}
	for n, h := range e.told {
		if h.ID == id {
			return n
		}
	}
	return ""
}

func (e *elector) post(m *raftpb.Message) {
	b, err := proto.Marshal(m)
	name := e.nameOf(m.GetTo())
	if err != nil || name == "" || len(b) > carry.MaxLen {
		e.node.Unreachable(m.GetTo(), m.GetType() == raftpb.MsgSnap)
		return
	}
	e.out.to = append(e.out.to, parcel{name: name, ch: carry.Raft, b: b})
	if m.GetType() == raftpb.MsgSnap {
		e.node.SnapshotSent(m.GetTo()) // if it got lost, the next append says so
	}
}

// greet says hello: where there is no log, to learn whether there was one; where this one
// is not taken in yet, to ask for that. A leader looks after those that ask.
func (e *elector) greet(now float64) {
	switch {
	case e.node == nil:
		for _, n := range e.names {
			if n != e.name {
				e.out.to = append(e.out.to, parcel{name: n, ch: carry.Hello, b: hello{Name: e.name, ID: e.first, Fresh: true}.append()})
			}
		}
		e.decide(now)
	default:
		s := e.node.Status()
		if !slices.Contains(s.Voters, e.own.ID) && !slices.Contains(s.Learners, e.own.ID) {
			for _, n := range e.names {
				if n != e.name {
					e.out.to = append(e.out.to, parcel{name: n, ch: carry.Hello, b: hello{Name: e.name, ID: e.own.ID, Join: true}.append()})
				}
			}
		}
		if e.lead {
			e.promote(s)
		}
	}
}

// decide tells whether an elector without a log may begin as one of the first, once all
// others have said what they know of it.
//
// Symptom guarded against: an elector whose disk was emptied votes a second time in a
// term in which it voted before, and two leaders are elected.
func (e *elector) decide(now float64) {
	voters, known, missing := map[uint64]string{e.first: e.name}, false, false
	for _, n := range e.names {
		if n == e.name {
			continue
		}
		h, told := e.told[n]
		known = known || told && (h.Heard || !h.Fresh && !h.Voter)
		missing = missing || !told // it may know
		voters[numberOf(e.set.Fleet, n)] = n
	}
	if missing && !known {
		return
	}
	e.own = own{ID: e.first}
	if known { // it was one before, or is a new one: it begins anew, without a vote
		e.own.ID, voters = rand.Uint64()|1, nil
	}
	if err := e.log.Mark(e.own.append()); err != nil {
		e.fault = err
		return
	}
	e.fault = e.begin(voters, now)
}

// heard notes that something came from an elector's number, on the disk before anything
// is made of it.
func (e *elector) heard(id uint64) bool {
	if slices.Contains(e.own.Heard, id) {
		return true
	}
	next := e.own
	next.Heard = append(slices.Clone(next.Heard), id)
	if len(next.Heard) > 64 {
		next.Heard = next.Heard[1:]
	}
	if err := e.log.Mark(next.append()); err != nil {
		e.fault = err
		return false
	}
	e.own = next
	return true
}

// take takes what another router sent.
func (e *elector) take(from member.ID, life uint64, ch carry.Channel, b []byte, name string) agree.Input {
	switch ch {
	case carry.Raft:
		m := &raftpb.Message{}
		if e.node == nil || proto.Unmarshal(b, m) != nil || m.GetTo() != e.own.ID || m.GetFrom() == 0 || !e.heard(m.GetFrom()) {
			return agree.Input{}
		}
		if name != "" {
			e.told[name] = hello{Name: name, ID: m.GetFrom(), Back: true} // one that is new may know its leader by nothing else
		}
		return agree.Input{Message: m}
	case carry.Ask:
		if a, ok := GetAsk(b); ok {
			return e.asked(agree.Question{From: from, Life: life, Ask: a})
		}
	case carry.BanAsk:
		if q, a, ok := getBanAsk(b); ok {
			return e.asked(agree.Question{From: from, Life: life, Ask: duty.Ask{Question: q}, Ban: &a})
		}
	case carry.Hello:
		if h, ok := getHello(b); ok && (h.Name == name || h.Join && e.votes(name)) {
			return e.greeted(h)
		}
	}
	return agree.Input{}
}

// asked has the machine take a question, or names the leader to who asks.
func (e *elector) asked(q agree.Question) agree.Input {
	if l := e.leader(); !e.lead && l != "" && l != e.name {
		e.out.to = append(e.out.to, parcel{id: q.From, ch: carry.Hint, b: hint{q.Question, l}.append()})
		return agree.Input{}
	}
	if e.node == nil {
		return agree.Input{}
	}
	return agree.Input{Question: &q}
}

func (e *elector) greeted(h hello) agree.Input {
	switch {
	case h.Back:
		e.told[h.Name] = h
	case h.Join:
		if e.lead && !slices.Contains(e.node.Status().Voters, h.ID) {
			return e.takeIn(h)
		}
		if l := e.leader(); !e.lead && l != "" { // one that is new may not know it
			e.out.to = append(e.out.to, parcel{name: l, ch: carry.Hello, b: h.append()})
		}
	default:
		back := hello{Name: e.name, ID: e.first, Back: true, Fresh: e.node == nil}
		if e.node != nil {
			back.ID, back.Heard = e.own.ID, slices.Contains(e.own.Heard, h.ID)
			back.Voter = slices.Contains(e.node.Status().Voters, h.ID)
		}
		e.out.to = append(e.out.to, parcel{name: h.Name, ch: carry.Hello, b: back.append()})
	}
	return agree.Input{}
}

// votes tells whether an elector of that name is a voter.
func (e *elector) votes(name string) bool {
	if e.node != nil && name != "" {
		for _, id := range e.node.Status().Voters {
			if e.nameOf(id) == name {
				return true
			}
		}
	}
	return false
}

// takeIn makes one that asks a learner: one that lost its disk, or one that staff named.
func (e *elector) takeIn(h hello) agree.Input {
	s := e.node.Status()
	if !e.votes(h.Name) && !e.allow[h.Name] || slices.Contains(s.Learners, h.ID) {
		return agree.Input{}
	}
	if e.node.State().Names[h.ID] != h.Name {
		return agree.Input{Ban: &register.Command{Op: register.Name, Number: h.ID, Text: h.Name}}
	}
	return change(raftpb.ConfChangeAddLearnerNode, h.ID)
}

func change(t raftpb.ConfChangeType, id uint64) agree.Input {
	return agree.Input{Change: &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{{Type: &t, NodeId: &id}}}}
}

// promote makes a learner that has caught up a voter, in the place of the number that its
// name had before. One change at a time: raft refuses a second.
func (e *elector) promote(s agree.Status) {
	for _, id := range s.Learners {
		if lag := e.node.Lags(id); lag < 0 || lag > joinLag {
			continue
		}
		name := e.nameOf(id)
		in := change(raftpb.ConfChangeAddNode, id)
		for _, old := range s.Voters {
			if old != id && e.nameOf(old) == name {
				in = change(raftpb.ConfChangeRemoveNode, old)
			}
		}
		e.todo = append(e.todo, in)
		return
	}
}

// replace has an elector taken in or out by staff, at the leader.
func (e *elector) replace(name string, in bool) error {
	if e.node == nil || !e.lead {
		return fmt.Errorf("not the leader; it is %q", e.leader())
	}
	if in {
		e.allow[name] = true
		return nil
	}
	s := e.node.Status()
	for _, id := range append(s.Voters, s.Learners...) {
		if e.nameOf(id) == name {
			if len(s.Voters) <= 1 {
				return fmt.Errorf("%s is the only voter", name)
			}
			delete(e.allow, name)
			e.todo = append(e.todo, change(raftpb.ConfChangeRemoveNode, id))
			return nil
		}
	}
	return fmt.Errorf("%s is no elector", name)
}

// leader is the name of the leader, as far as this one knows.
func (e *elector) leader() string {
	if e.node == nil {
		return ""
	}
	return e.nameOf(e.node.Status().Leader)
}
