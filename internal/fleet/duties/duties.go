// Package duties runs this router's part in duties that one router holds at a time: the
// actor of an elector, where this router is one, and the actor that asks for leases, keeps
// them and lets them go. What may be done now is published: whoever acts for a duty asks
// at the write to the socket, and waits for nobody.
package duties

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"garnetline/internal/clock"
	"garnetline/internal/fleet/agree"
	"garnetline/internal/fleet/agree/disk"
	"garnetline/internal/fleet/carry"
	"garnetline/internal/fleet/duty"
	"garnetline/internal/fleet/member"
	"garnetline/internal/stats"
)

const (
	mailbox   = 512
	lookEvery = 200.0 // ms between looks at the view
	giveIn    = 2000 * time.Millisecond
	leadIn    = 800 * time.Millisecond
)

// Settings are what the operators' file says.
type Settings struct {
	Fleet    string
	Electors []string
	Agree    agree.Settings
}

// Carrier is the link, as far as it is needed here.
type Carrier interface {
	Carry(to member.ID, ch carry.Channel, b []byte)
	Members() *member.View
}

// Options are what duties work with.
type Options struct {
	Settings
	Name  string
	Life  uint64
	Disk  disk.FS // of an elector; nil: this router is none
	Link  Carrier
	Clock clock.Clock // the boot clock
	Log   *zerolog.Logger
	Stats *stats.Set
	Ready func() bool // this router may hold duties
	// Bans takes what an elector answered about staff's bans. It must not block.
	Bans func(a agree.BanAnswer)
}

// Lease is a duty that this router holds. Its JSON is shown to operators by /fleet/duties.
type Lease struct {
	Duty  string  `json:"Duty"`
	Token uint64  `json:"Token"`
	End   float64 `json:"End"`  // on the boot clock, ms
	Work  []byte  `json:"Work"` // what the last holder handed on
}

// Duties are the two actors.
type Duties struct {
	o       Options
	self    member.ID
	elector *elector
	holder  *duty.Holder
	wants   []string
	works   map[string][]byte
	leases  atomic.Pointer[[]Lease]
	known   atomic.Pointer[map[string]member.ID] // who holds what, by the latest answers
	shown   atomic.Pointer[Shown]
	toE     chan func(e *elector) agree.Input
	toH     chan func(now float64)
	hint    member.ID
	asks    int
	stop    atomic.Bool
	doneE   chan struct{}
	doneH   chan struct{}
	asked   map[uint64]parcel // that have no answer yet
}

// Shown is how an elector stands, for staff.
type Shown struct {
	Elector  bool     `json:"elector"`
	Leader   string   `json:"leader"`
	Leading  bool     `json:"leading"`
	Voters   []string `json:"voters"`
	Learners []string `json:"learners"`
	Term     uint64   `json:"term"`
	Applied  uint64   `json:"applied"`
	Fault    string   `json:"fault,omitempty"`
	Duties   []Held   `json:"duties"` // as this elector has applied them
}

// Held is one duty as an elector sees it.
type Held struct {
	Duty   string `json:"duty"`
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
}

// New opens an elector's log, where this router is one. wants are the duties that it is
// willing to hold.
func New(o Options, self member.ID, wants []string) (*Duties, error) {
	d := &Duties{o: o, self: self, wants: wants, works: map[string][]byte{}, toE: make(chan func(*elector) agree.Input, mailbox),
		toH: make(chan func(float64), mailbox), doneE: make(chan struct{}), doneH: make(chan struct{}), asked: map[uint64]parcel{}}
	d.holder = duty.NewHolder(o.Agree.Duty, self, rand.Uint64()>>1)
	d.leases.Store(&[]Lease{})
	d.shown.Store(&Shown{})
	if o.Disk != nil && slices.Contains(o.Electors, o.Name) {
		e, err := newElector(o.Settings, o.Fleet, o.Name, o.Disk, o.Clock.Now())
		if err != nil {
			return nil, err
		}
		d.elector = e
	}
	return d, nil
}

// Run runs the actors until ctx ends and what was held is given up.
func (d *Duties) Run(ctx context.Context) {
	if d.elector != nil {
		// The elector goes on until the holder has given up what it holds.
		ectx, stop := context.WithCancel(context.Background())
		go d.elect(ectx)
		defer func() { stop(); <-d.doneE }()
		hctx, begin := context.WithCancel(context.Background())
		defer begin()
		defer context.AfterFunc(ctx, func() {
			d.handLead()
			begin()
		})()
		ctx = hctx
	} else {
		close(d.doneE)
	}
	d.hold(ctx)
}

// handLead hands the lead of the register on, if this router's elector has it, before
// anything that is held is: who takes a duty over then finds a leader that stays.
func (d *Duties) handLead() {
	d.stop.Store(true)
	for until := time.Now().Add(leadIn); d.shown.Load().Leading && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		select {
		case d.toE <- func(e *elector) agree.Input { e.node.HandLead(); return agree.Input{} }:
		default:
		}
	}
}

// Stopped is closed when both actors have ended.
func (d *Duties) Stopped() <-chan struct{} { return d.doneH }

// Deliver takes what the link brought. It never blocks.
func (d *Duties) Deliver(from member.ID, life uint64, ch carry.Channel, b []byte) {
	switch ch {
	case carry.Answer:
		if a, ok := GetAnswer(b); ok {
			d.order(func(now float64) { d.hear(now, from, a) })
		}
	case carry.Hint:
		if h, ok := getHint(b); ok {
			d.order(func(float64) { d.hinted(h) })
		}
	case carry.BanAnswer:
		if a, ok := GetBanAnswer(b); ok && d.o.Bans != nil {
			d.order(func(float64) { d.heard(from, a.Question) })
			d.o.Bans(a)
		}
	case carry.Raft, carry.Ask, carry.Hello, carry.BanAsk:
		if d.elector == nil {
			return
		}
		name := ""
		if ch == carry.Raft || ch == carry.Hello {
			name = d.nameOf(from)
		}
		select {
		case d.toE <- func(e *elector) agree.Input { return e.take(from, life, ch, b, name) }:
		default:
			d.o.Stats.Add("duties_crowded_out", 1)
		}
	}
}

func (d *Duties) order(f func(now float64)) {
	select {
	case d.toH <- f:
	default:
		d.o.Stats.Add("duties_crowded_out", 1)
	}
}

// nameOf and idOf go from a router's seat to its name and back, as the view has them.
func (d *Duties) nameOf(id member.ID) string {
	for _, m := range d.o.Link.Members().Members {
		if m.ID == id {
			return m.Name
		}
	}
	return ""
}

func (d *Duties) idOf(name string) member.ID {
	for _, m := range d.o.Link.Members().Members {
		if m.Name == name && m.State.There() {
			return m.ID
		}
	}
	return 0
}

// elect is the elector's actor.
func (d *Duties) elect(ctx context.Context) {
	defer close(d.doneE)
	defer d.elector.log.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	loud := false
	for {
		var in func(*elector) agree.Input
		select {
		case <-ctx.Done():
			return
		case in = <-d.toE:
		case <-timer.C:
		}
		now := d.o.Clock.Now()
		out := d.elector.step(now, in)
		for _, p := range out.to {
			d.send(p)
		}
		for _, a := range out.freed {
			d.offer(a)
		}
		if d.elector.fault != nil && !loud {
			loud = true
			d.o.Stats.Add("duties_elector_faults", 1)
			d.o.Log.Error().Err(d.elector.fault).Msg("elector stopped: it neither votes nor answers; requests go on")
		}
		d.show()
		wait := max(0, d.elector.wake-d.o.Clock.Now())
		if d.elector.fault != nil {
			wait = 1000
		}
		timer.Reset(clock.Duration(wait))
	}
}

// send hands a parcel to the link, or to this router's own actors.
func (d *Duties) send(p parcel) {
	to := p.id
	if p.name != "" {
		if to = d.idOf(p.name); to == 0 {
			return
		}
	}
	if to == d.self {
		d.Deliver(d.self, d.o.Life, p.ch, p.b)
		return
	}
	d.o.Link.Carry(to, p.ch, p.b)
}

// offered is how many routers are told of a duty that nobody holds. More would ask in vain.
const offered = 4

// offer tells those that come first for a duty that nobody holds it.
//
// Symptom guarded against: a duty was handed to a router that did not want it. It gave it
// up to nobody at once, and the others, who had been told how long the lease before might
// last, came back only after that: 1 to 2 s without a holder.
func (d *Duties) offer(a duty.Answer) {
	for _, id := range duty.First(a.Duty, d.alive(), offered) {
		d.send(parcel{id: id, ch: carry.Answer, b: PutAnswer(a)})
	}
}

// show publishes how the elector stands.
func (d *Duties) show() {
	e := d.elector
	s := &Shown{Elector: true, Leading: e.lead, Leader: e.leader()}
	if e.fault != nil {
		s.Fault = e.fault.Error()
	}
	if e.node != nil {
		st := e.node.Status()
		s.Term, s.Applied = st.Term, st.Applied
		for _, id := range st.Voters {
			s.Voters = append(s.Voters, e.nameOf(id))
		}
		for _, id := range st.Learners {
			s.Learners = append(s.Learners, e.nameOf(id))
		}
		for _, x := range e.node.Duties() {
			h := Held{Duty: x.Name, Token: x.Token}
			if x.Holder != 0 {
				if h.Holder = d.nameOf(x.Holder); h.Holder == "" {
					h.Holder = x.Holder.String()
				}
			}
			s.Duties = append(s.Duties, h)
		}
	}
	old := d.shown.Swap(s)
	if old.Leader != s.Leader {
		d.o.Log.Info().Str("leader", s.Leader).Uint64("term", s.Term).Msg("duties leader")
	}
	if old.Voters != nil && !slices.Equal(old.Voters, s.Voters) || old.Voters == nil && s.Voters != nil && !sameNames(s.Voters, d.o.Electors) {
		d.o.Log.Warn().Strs("voters", s.Voters).Strs("file", d.o.Electors).Msg("duties electors; the register's hold, not the file's")
	}
}

func sameNames(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// Shown returns how this router's elector stands. It does not change.
func (d *Duties) Shown() *Shown { return d.shown.Load() }

// hold is the holder's actor.
func (d *Duties) hold(ctx context.Context) {
	defer close(d.doneH)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var given <-chan time.Time // until when it is waited for what was given up
	for look := 0.0; ; {
		select {
		case <-ctx.Done():
			if given == nil {
				d.stop.Store(true)
				now := d.o.Clock.Now()
				held := d.holder.Held(now)
				d.giveAll(now)
				if len(held) == 0 {
					return
				}
				given = time.After(giveIn)
			}
			select {
			case f := <-d.toH:
				f(d.o.Clock.Now())
			case <-timer.C:
			case <-given:
				return
			}
			if d.holder.Given() {
				return
			}
		case f := <-d.toH:
			f(d.o.Clock.Now())
		case <-timer.C:
		}
		now := d.o.Clock.Now()
		if look <= now && !d.stop.Load() {
			look = now + lookEvery
			d.rank(now)
		}
		asks, changes, wake := d.holder.Step(now)
		d.publish(now) // before the register is told that something is given up
		for _, a := range asks {
			d.ask(a.Question, parcel{ch: carry.Ask, b: PutAsk(a)})
		}
		d.changed(changes)
		timer.Reset(clock.Duration(max(1, min(wake, look)-d.o.Clock.Now())))
	}
}

// rank tells the holder its place for each duty that this router is willing to hold.
func (d *Duties) rank(now float64) {
	ready := d.o.Ready()
	ids := d.alive()
	for _, name := range d.wants {
		rank := -1
		if ready {
			rank = duty.Rank(name, d.self, ids)
		}
		d.holder.Want(now, name, rank)
	}
}

// alive are those that may hold a duty, this router among them.
func (d *Duties) alive() (ids []member.ID) {
	v := d.o.Link.Members()
	if v.Yielded {
		return nil
	}
	for _, m := range v.Members {
		if m.State == member.Alive {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// giveAll gives up what is held, each to the one that comes first without this router.
func (d *Duties) giveAll(now float64) {
	for _, name := range d.holder.Held(now) {
		d.give(now, name, 0)
	}
	d.publish(now)
}

func (d *Duties) give(now float64, name string, to member.ID) {
	ids := slices.DeleteFunc(d.alive(), func(id member.ID) bool { return id == d.self })
	if first := duty.First(name, ids, 1); to == 0 && len(first) > 0 {
		to = first[0]
	}
	d.holder.Give(now, name, to, d.works[name])
	d.o.Log.Info().Str("duty", name).Str("to", d.nameOf(to)).Msg("duty handed on")
}

// Ask sends a question about staff's bans to the electors. Its answer, if one comes, goes
// to Options.Bans.
func (d *Duties) Ask(question uint64, b []byte) {
	d.order(func(float64) { d.ask(question, parcel{ch: carry.BanAsk, b: b}) })
}

// ask sends a question to the elector that answered latest, or to the next one.
func (d *Duties) ask(question uint64, p parcel) {
	if d.asked[question] = p; len(d.asked) > 64 {
		delete(d.asked, slices.Min(slices.Collect(maps.Keys(d.asked))))
	}
	p.id = d.hint
	if d.asks++; p.id == 0 || d.asks%3 == 0 {
		p.id = d.idOf(d.o.Electors[d.asks/3%len(d.o.Electors)])
	}
	if d.asks%4 == 0 {
		d.hint = 0 // not answered for a while: ask around
	}
	if p.id != 0 {
		d.send(p)
	}
}

// hinted asks the leader that another elector named, once for each question.
func (d *Duties) hinted(h hint) {
	p, open := d.asked[h.Question]
	if !open {
		return
	}
	delete(d.asked, h.Question)
	if p.id = d.idOf(h.Leader); p.id != 0 {
		d.hint = p.id
		d.send(p)
	}
}

// heard notes who answered a question.
func (d *Duties) heard(from member.ID, question uint64) {
	d.hint, d.asks = from, 0
	delete(d.asked, question)
}

func (d *Duties) hear(now float64, from member.ID, a duty.Answer) {
	d.heard(from, a.Question)
	d.changed(d.holder.Hear(now, a))
	d.publish(now)
}

// changed logs what is held now, or no longer.
func (d *Duties) changed(changes []duty.Change) {
	for _, c := range changes {
		if c.Token != 0 {
			d.works[c.Duty] = c.Work
			d.o.Stats.Add("duties_granted", 1)
		} else {
			d.o.Stats.Add("duties_lost", 1)
		}
		d.o.Log.Info().Str("duty", c.Duty).Uint64("token", c.Token).Str("cause", c.Cause).Msg("duty")
	}
}

func (d *Duties) publish(now float64) {
	l := make([]Lease, 0, len(d.wants))
	for _, name := range d.holder.Held(now) {
		end, token := d.holder.Until(name)
		l = append(l, Lease{name, token, end, d.works[name]})
	}
	d.leases.Store(&l)
	known := make(map[string]member.ID, len(d.wants))
	for _, name := range d.wants {
		known[name] = d.holder.Known(name)
	}
	d.known.Store(&known)
}

// Known is who held a duty by the latest answer that this router had; 0: not known. It may
// be called from any goroutine.
func (d *Duties) Known(name string) member.ID {
	if m := d.known.Load(); m != nil {
		return (*m)[name]
	}
	return 0
}

// May tells whether this router may act for a duty now, and under which token. It is to be
// asked again at the write to the socket. It waits for nobody and may be called from any
// goroutine.
func (d *Duties) May(name string) (token uint64, ok bool) {
	for _, l := range *d.leases.Load() {
		if l.Duty == name {
			return l.Token, d.o.Clock.Now() < l.End
		}
	}
	return 0, false
}

// Leases returns what is held, whose ends are to be looked at. It does not change.
func (d *Duties) Leases() []Lease { return *d.leases.Load() }

// ErrNotHeld reports a duty that this router does not hold.
var ErrNotHeld = errors.New("this router does not hold that duty")

// Move hands a duty on, to a router by name or to the one that comes first.
func (d *Duties) Move(ctx context.Context, name, to string) error {
	done := make(chan error, 1)
	f := func(now float64) {
		if _, ok := d.holder.May(now, name); !ok {
			done <- ErrNotHeld
			return
		}
		var id member.ID
		if to != "" {
			if id = d.idOf(to); id == 0 || id == d.self {
				done <- errors.New("no other router of that name is there")
				return
			}
		}
		d.give(now, name, id)
		done <- nil
	}
	select {
	case d.toH <- f:
	case <-ctx.Done():
		return ctx.Err()
	}
	return answer(ctx, done)
}

// answer waits for an actor's answer to a call of staff.
func answer(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Elector has one taken in or out, where this router's elector leads.
func (d *Duties) Elector(ctx context.Context, name string, in bool) error {
	if d.elector == nil {
		return errors.New("this router is no elector")
	}
	done := make(chan error, 1)
	select {
	case d.toE <- func(e *elector) agree.Input { done <- e.replace(name, in); return agree.Input{} }:
	case <-ctx.Done():
		return ctx.Err()
	}
	return answer(ctx, done)
}
