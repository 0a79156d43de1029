// Package duties runs this router's part in duties that one router holds at a time: the
// actor of an elector, where this router is one, and the actor that asks for leases, keeps
// them and lets them go. What may be done now is published: whoever acts for a duty asks
// at the write to the socket, and waits for nobody.
package leasemanager

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
	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/consensus/wal"
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/metrics"
)

const (
	inboxSize                 = 512
	rankInterval              = 200.0 // ms between looks at the view
	releaseTimeout            = 2000 * time.Millisecond
	leadershipTransferTimeout = 800 * time.Millisecond
)

// Settings are what the operators' file says.
type Settings struct {
	Fleet     string
	Voters    []string
	Consensus consensus.Settings
}

// Transport is the link, as far as it is needed here.
type Transport interface {
	Send(to membership.ID, ch fragment.Channel, b []byte)
	Members() *membership.View
}

// Options are what duties work with.
type Options struct {
	Settings
	Name        string
	Incarnation uint64
	LogDir      wal.FS // of an elector; nil: this router is none
	Transport   Transport
	Clock       clock.Clock // the boot clock
	Log         *zerolog.Logger
	Metrics     *metrics.Registry
	Eligible    func() bool // this router may hold duties
	// OnBanResponse takes what an elector answered about staff's bans. It must not block.
	OnBanResponse func(a consensus.BanResponse)
}

// Lease is a duty that this router holds. Its JSON is shown to operators by /fleet/duties.
type Lease struct {
	Name         string  `json:"Duty"`
	FencingToken uint64  `json:"Token"`
	ExpiresAt    float64 `json:"End"`  // on the boot clock, ms
	Handoff      []byte  `json:"Work"` // what the last holder handed on
}

// Manager are the two actors.
type Manager struct {
	options            Options
	self               membership.ID
	voter              *voter
	holder             *lease.Holder
	leaseNames         []string
	handoffs           map[string][]byte
	leases             atomic.Pointer[[]Lease]
	knownHolders       atomic.Pointer[map[string]membership.ID] // who holds what, by the latest answers
	status             atomic.Pointer[Status]
	voterInbox         chan func(e *voter) consensus.Input
	holderInbox        chan func(now float64)
	likelyLeader       membership.ID
	unansweredRequests int
	stopping           atomic.Bool
	voterDone          chan struct{}
	holderDone         chan struct{}
	pendingRequests    map[uint64]outgoingMessage // that have no answer yet
}

// Status is how an elector stands, for staff.
type Status struct {
	Voter        bool          `json:"elector"`
	Leader       string        `json:"leader"`
	Leading      bool          `json:"leading"`
	Voters       []string      `json:"voters"`
	Learners     []string      `json:"learners"`
	Term         uint64        `json:"term"`
	AppliedIndex uint64        `json:"applied"`
	Fault        string        `json:"fault,omitempty"`
	Leases       []LeaseStatus `json:"duties"` // as this elector has applied them
}

// LeaseStatus is one duty as an elector sees it.
type LeaseStatus struct {
	Name         string `json:"duty"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"token"`
}

// New opens an elector's log, where this router is one. wants are the duties that it is
// willing to hold.
func New(o Options, self membership.ID, wants []string) (*Manager, error) {
	d := &Manager{options: o, self: self, leaseNames: wants, handoffs: map[string][]byte{}, voterInbox: make(chan func(*voter) consensus.Input, inboxSize),
		holderInbox: make(chan func(float64), inboxSize), voterDone: make(chan struct{}), holderDone: make(chan struct{}), pendingRequests: map[uint64]outgoingMessage{}}
	d.holder = lease.NewHolder(o.Consensus.Lease, self, rand.Uint64()>>1)
	d.leases.Store(&[]Lease{})
	d.status.Store(&Status{})
	if o.LogDir != nil && slices.Contains(o.Voters, o.Name) {
		e, err := newVoter(o.Settings, o.Fleet, o.Name, o.LogDir, o.Clock.Now())
		if err != nil {
			return nil, err
		}
		d.voter = e
	}
	return d, nil
}

// Run runs the actors until ctx ends and what was held is given up.
func (d *Manager) Run(ctx context.Context) {
	if d.voter != nil {
		// The elector goes on until the holder has given up what it holds.
		ectx, stop := context.WithCancel(context.Background())
		go d.runVoter(ectx)
		defer func() { stop(); <-d.voterDone }()
		hctx, begin := context.WithCancel(context.Background())
		defer begin()
		defer context.AfterFunc(ctx, func() {
			d.transferLeadership()
			begin()
		})()
		ctx = hctx
	} else {
		close(d.voterDone)
	}
	d.runHolder(ctx)
}

// transferLeadership hands the lead of the register on, if this router's elector has it, before
// anything that is held is: who takes a duty over then finds a leader that stays.
func (d *Manager) transferLeadership() {
	d.stopping.Store(true)
	for until := time.Now().Add(leadershipTransferTimeout); d.status.Load().Leading && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		select {
		case d.voterInbox <- func(e *voter) consensus.Input { e.node.TransferLeadership(); return consensus.Input{} }:
		default:
		}
	}
}

// Stopped is closed when both actors have ended.
func (d *Manager) Stopped() <-chan struct{} { return d.holderDone }

// Deliver takes what the link brought. It never blocks.
func (d *Manager) Deliver(from membership.ID, life uint64, ch fragment.Channel, b []byte) {
	switch ch {
	case fragment.LeaseResponse:
		if a, ok := DecodeResponse(b); ok {
			d.enqueueHolder(func(now float64) { d.handleResponse(now, from, a) })
		}
	case fragment.LeaderHint:
		if h, ok := decodeLeaderHint(b); ok {
			d.enqueueHolder(func(float64) { d.handleLeaderHint(h) })
		}
	case fragment.BanResponse:
		if a, ok := DecodeBanResponse(b); ok && d.options.OnBanResponse != nil {
			d.enqueueHolder(func(float64) { d.recordResponder(from, a.RequestID) })
			d.options.OnBanResponse(a)
		}
	case fragment.Raft, fragment.LeaseRequest, fragment.VoterHello, fragment.BanRequest:
		if d.voter == nil {
			return
		}
		name := ""
		if ch == fragment.Raft || ch == fragment.VoterHello {
			name = d.memberName(from)
		}
		select {
		case d.voterInbox <- func(e *voter) consensus.Input { return e.handleMessage(from, life, ch, b, name) }:
		default:
			d.options.Metrics.Add("duties_crowded_out", 1)
		}
	}
}

func (d *Manager) enqueueHolder(f func(now float64)) {
	select {
	case d.holderInbox <- f:
	default:
		d.options.Metrics.Add("duties_crowded_out", 1)
	}
}

// memberName and idOf go from a router's seat to its name and back, as the view has them.
func (d *Manager) memberName(id membership.ID) string {
	for _, m := range d.options.Transport.Members().Members {
		if m.ID == id {
			return m.Name
		}
	}
	return ""
}

func (d *Manager) memberID(name string) membership.ID {
	for _, m := range d.options.Transport.Members().Members {
		if m.Name == name && m.State.Present() {
			return m.ID
		}
	}
	return 0
}

// runVoter is the elector's actor.
func (d *Manager) runVoter(ctx context.Context) {
	defer close(d.voterDone)
	defer d.voter.log.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	loud := false
	for {
		var in func(*voter) consensus.Input
		select {
		case <-ctx.Done():
			return
		case in = <-d.voterInbox:
		case <-timer.C:
		}
		now := d.options.Clock.Now()
		out := d.voter.step(now, in)
		for _, p := range out.messages {
			d.send(p)
		}
		for _, a := range out.released {
			d.announceReleased(a)
		}
		if d.voter.fault != nil && !loud {
			loud = true
			d.options.Metrics.Add("duties_elector_faults", 1)
			d.options.Log.Error().Err(d.voter.fault).Msg("elector stopped: it neither votes nor answers; requests go on")
		}
		d.publishStatus()
		wait := max(0, d.voter.wakeAt-d.options.Clock.Now())
		if d.voter.fault != nil {
			wait = 1000
		}
		timer.Reset(clock.Duration(wait))
	}
}

// send hands a parcel to the link, or to this router's own actors.
func (d *Manager) send(p outgoingMessage) {
	to := p.routerID
	if p.voterName != "" {
		if to = d.memberID(p.voterName); to == 0 {
			return
		}
	}
	if to == d.self {
		d.Deliver(d.self, d.options.Incarnation, p.channel, p.payload)
		return
	}
	d.options.Transport.Send(to, p.channel, p.payload)
}

// maxReleaseNotices is how many routers are told of a duty that nobody holds. More would ask in vain.
const maxReleaseNotices = 4

// announceReleased tells those that come first for a duty that nobody holds it.
//
// Symptom guarded against: a duty was handed to a router that did not want it. It gave it
// up to nobody at once, and the others, who had been told how long the lease before might
// last, came back only after that: 1 to 2 s without a holder.
func (d *Manager) announceReleased(a lease.Response) {
	for _, id := range lease.TopRanked(a.Lease, d.eligibleMembers(), maxReleaseNotices) {
		d.send(outgoingMessage{routerID: id, channel: fragment.LeaseResponse, payload: EncodeResponse(a)})
	}
}

// publishStatus publishes how the elector stands.
func (d *Manager) publishStatus() {
	e := d.voter
	s := &Status{Voter: true, Leading: e.leading, Leader: e.leaderName()}
	if e.fault != nil {
		s.Fault = e.fault.Error()
	}
	if e.node != nil {
		st := e.node.Status()
		s.Term, s.AppliedIndex = st.Term, st.AppliedIndex
		for _, id := range st.Voters {
			s.Voters = append(s.Voters, e.voterName(id))
		}
		for _, id := range st.Learners {
			s.Learners = append(s.Learners, e.voterName(id))
		}
		for _, x := range e.node.Leases() {
			h := LeaseStatus{Name: x.Name, FencingToken: x.FencingToken}
			if x.Holder != 0 {
				if h.Holder = d.memberName(x.Holder); h.Holder == "" {
					h.Holder = x.Holder.String()
				}
			}
			s.Leases = append(s.Leases, h)
		}
	}
	old := d.status.Swap(s)
	if old.Leader != s.Leader {
		d.options.Log.Info().Str("leader", s.Leader).Uint64("term", s.Term).Msg("duties leader")
	}
	if old.Voters != nil && !slices.Equal(old.Voters, s.Voters) || old.Voters == nil && s.Voters != nil && !sameNames(s.Voters, d.options.Voters) {
		d.options.Log.Warn().Strs("voters", s.Voters).Strs("file", d.options.Voters).Msg("duties electors; the register's hold, not the file's")
	}
}

func sameNames(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// Status returns how this router's elector stands. It does not change.
func (d *Manager) Status() *Status { return d.status.Load() }

// runHolder is the holder's actor.
func (d *Manager) runHolder(ctx context.Context) {
	defer close(d.holderDone)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var given <-chan time.Time // until when it is waited for what was given up
	for look := 0.0; ; {
		select {
		case <-ctx.Done():
			if given == nil {
				d.stopping.Store(true)
				now := d.options.Clock.Now()
				held := d.holder.Held(now)
				d.releaseAll(now)
				if len(held) == 0 {
					return
				}
				given = time.After(releaseTimeout)
			}
			select {
			case f := <-d.holderInbox:
				f(d.options.Clock.Now())
			case <-timer.C:
			case <-given:
				return
			}
			if d.holder.AllReleased() {
				return
			}
		case f := <-d.holderInbox:
			f(d.options.Clock.Now())
		case <-timer.C:
		}
		now := d.options.Clock.Now()
		if look <= now && !d.stopping.Load() {
			look = now + rankInterval
			d.updateRanks(now)
		}
		asks, changes, wake := d.holder.Step(now)
		d.publishLeases(now) // before the register is told that something is given up
		for _, a := range asks {
			d.sendRequest(a.ID, outgoingMessage{channel: fragment.LeaseRequest, payload: EncodeRequest(a)})
		}
		d.recordChanges(changes)
		timer.Reset(clock.Duration(max(1, min(wake, look)-d.options.Clock.Now())))
	}
}

// updateRanks tells the holder its place for each duty that this router is willing to hold.
func (d *Manager) updateRanks(now float64) {
	ready := d.options.Eligible()
	ids := d.eligibleMembers()
	for _, name := range d.leaseNames {
		rank := -1
		if ready {
			rank = lease.Rank(name, d.self, ids)
		}
		d.holder.SetRank(now, name, rank)
	}
}

// eligibleMembers are those that may hold a duty, this router among them.
func (d *Manager) eligibleMembers() (ids []membership.ID) {
	v := d.options.Transport.Members()
	if v.Superseded {
		return nil
	}
	for _, m := range v.Members {
		if m.State == membership.Alive {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// releaseAll gives up what is held, each to the one that comes first without this router.
func (d *Manager) releaseAll(now float64) {
	for _, name := range d.holder.Held(now) {
		d.release(now, name, 0)
	}
	d.publishLeases(now)
}

func (d *Manager) release(now float64, name string, to membership.ID) {
	ids := slices.DeleteFunc(d.eligibleMembers(), func(id membership.ID) bool { return id == d.self })
	if first := lease.TopRanked(name, ids, 1); to == 0 && len(first) > 0 {
		to = first[0]
	}
	d.holder.Release(now, name, to, d.handoffs[name])
	d.options.Log.Info().Str("duty", name).Str("to", d.memberName(to)).Msg("duty handed on")
}

// SendBanRequest sends a question about staff's bans to the electors. Its answer, if one comes, goes
// to Options.Bans.
func (d *Manager) SendBanRequest(question uint64, b []byte) {
	d.enqueueHolder(func(float64) { d.sendRequest(question, outgoingMessage{channel: fragment.BanRequest, payload: b}) })
}

// sendRequest sends a question to the elector that answered latest, or to the next one.
func (d *Manager) sendRequest(question uint64, p outgoingMessage) {
	if d.pendingRequests[question] = p; len(d.pendingRequests) > 64 {
		delete(d.pendingRequests, slices.Min(slices.Collect(maps.Keys(d.pendingRequests))))
	}
	p.routerID = d.likelyLeader
	if d.unansweredRequests++; p.routerID == 0 || d.unansweredRequests%3 == 0 {
		p.routerID = d.memberID(d.options.Voters[d.unansweredRequests/3%len(d.options.Voters)])
	}
	if d.unansweredRequests%4 == 0 {
		d.likelyLeader = 0 // not answered for a while: ask around
	}
	if p.routerID != 0 {
		d.send(p)
	}
}

// handleLeaderHint asks the leader that another elector named, once for each question.
func (d *Manager) handleLeaderHint(h leaderHint) {
	p, open := d.pendingRequests[h.RequestID]
	if !open {
		return
	}
	delete(d.pendingRequests, h.RequestID)
	if p.routerID = d.memberID(h.Leader); p.routerID != 0 {
		d.likelyLeader = p.routerID
		d.send(p)
	}
}

// recordResponder notes who answered a question.
func (d *Manager) recordResponder(from membership.ID, question uint64) {
	d.likelyLeader, d.unansweredRequests = from, 0
	delete(d.pendingRequests, question)
}

func (d *Manager) handleResponse(now float64, from membership.ID, a lease.Response) {
	d.recordResponder(from, a.RequestID)
	d.recordChanges(d.holder.HandleResponse(now, a))
	d.publishLeases(now)
}

// recordChanges logs what is held now, or no longer.
func (d *Manager) recordChanges(changes []lease.Change) {
	for _, c := range changes {
		if c.FencingToken != 0 {
			d.handoffs[c.Lease] = c.Handoff
			d.options.Metrics.Add("duties_granted", 1)
		} else {
			d.options.Metrics.Add("duties_lost", 1)
		}
		d.options.Log.Info().Str("duty", c.Lease).Uint64("token", c.FencingToken).Str("cause", string(c.Cause)).Msg("duty")
	}
}

func (d *Manager) publishLeases(now float64) {
	l := make([]Lease, 0, len(d.leaseNames))
	for _, name := range d.holder.Held(now) {
		end, token := d.holder.Expiry(name)
		l = append(l, Lease{name, token, end, d.handoffs[name]})
	}
	d.leases.Store(&l)
	known := make(map[string]membership.ID, len(d.leaseNames))
	for _, name := range d.leaseNames {
		known[name] = d.holder.LastKnownHolder(name)
	}
	d.knownHolders.Store(&known)
}

// LastKnownHolder is who held a duty by the latest answer that this router had; 0: not known. It may
// be called from any goroutine.
func (d *Manager) LastKnownHolder(name string) membership.ID {
	if m := d.knownHolders.Load(); m != nil {
		return (*m)[name]
	}
	return 0
}

// Valid tells whether this router may act for a duty now, and under which token. It is to be
// asked again at the write to the socket. It waits for nobody and may be called from any
// goroutine.
func (d *Manager) Valid(name string) (token uint64, ok bool) {
	for _, l := range *d.leases.Load() {
		if l.Name == name {
			return l.FencingToken, d.options.Clock.Now() < l.ExpiresAt
		}
	}
	return 0, false
}

// Leases returns what is held, whose ends are to be looked at. It does not change.
func (d *Manager) Leases() []Lease { return *d.leases.Load() }

// ErrNotHeld reports a duty that this router does not hold.
var ErrNotHeld = errors.New("this router does not hold that duty")

// Transfer hands a duty on, to a router by name or to the one that comes first.
func (d *Manager) Transfer(ctx context.Context, name, to string) error {
	done := make(chan error, 1)
	f := func(now float64) {
		if _, ok := d.holder.Valid(now, name); !ok {
			done <- ErrNotHeld
			return
		}
		var id membership.ID
		if to != "" {
			if id = d.memberID(to); id == 0 || id == d.self {
				done <- errors.New("no other router of that name is there")
				return
			}
		}
		d.release(now, name, id)
		done <- nil
	}
	select {
	case d.holderInbox <- f:
	case <-ctx.Done():
		return ctx.Err()
	}
	return awaitResult(ctx, done)
}

// awaitResult waits for an actor's answer to a call of staff.
func awaitResult(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ChangeVoter has one taken in or out, where this router's elector leads.
func (d *Manager) ChangeVoter(ctx context.Context, name string, in bool) error {
	if d.voter == nil {
		return errors.New("this router is no elector")
	}
	done := make(chan error, 1)
	select {
	case d.voterInbox <- func(e *voter) consensus.Input { done <- e.changeVoter(name, in); return consensus.Input{} }:
	case <-ctx.Done():
		return ctx.Err()
	}
	return awaitResult(ctx, done)
}
