// Package leasemanager runs this router's part in leases that one router holds at a time: the
// voter, where this router is one, and the holder, which requests leases, renews and releases
// them. What is held now is published: whoever acts under a lease asks for its validity at
// each write to a socket, and waits for nobody.
//
// A Manager owns two goroutines, one for the voter and one for the holder, each with an inbox.
// Its exported methods may be called from any goroutine; those that wait take a context.
package leasemanager

import (
	"context"
	"errors"
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
	inboxSize = 512 // of either goroutine; what does not fit is dropped

	// A shutdown waits so long for the leadership to be transferred, and then for the registry
	// to confirm the releases.
	leadershipTransferTimeout = 800 * time.Millisecond
	leadershipPollInterval    = 10 * time.Millisecond
	releaseTimeout            = 2000 * time.Millisecond
)

// Names of the counters. Operators' dashboards rest on them.
const (
	metricDropped     = "duties_crowded_out"
	metricGranted     = "duties_granted"
	metricLost        = "duties_lost"
	metricVoterFaults = "duties_elector_faults"
)

// Errors of operators' calls.
var (
	ErrNotHeld       = errors.New("this router does not hold that lease")
	ErrNoSuchRouter  = errors.New("no other router of that name is present")
	ErrNotVoter      = errors.New("this router is not a voter")
	ErrNotLeader     = errors.New("not the leader")
	ErrUnknownVoter  = errors.New("no voter of that name")
	ErrOnlyVoterLeft = errors.New("the only voter cannot be removed")
)

// Settings are the settings of the operators' file.
type Settings struct {
	Fleet     string   // name of the fleet
	Voters    []string // names of the routers that keep the registry at the first start
	Consensus consensus.Settings
}

// Transport sends messages to other routers, and knows which there are.
type Transport interface {
	// Send must not block.
	Send(to membership.ID, channel fragment.Channel, payload []byte)
	Members() *membership.View
}

// Options are what a manager works with.
type Options struct {
	Settings
	Name        string // of this router
	Incarnation uint64 // of this router's process
	LogDir      wal.FS // of a voter; nil: this router is none
	Transport   Transport
	Clock       clock.Clock // the boot clock
	Log         *zerolog.Logger
	Metrics     *metrics.Registry
	Eligible    func() bool // tells whether this router may hold leases
	// OnBanResponse handles a voter's response about operators' bans. It must not block.
	OnBanResponse func(response consensus.BanResponse)
}

// Manager is this router's voter and holder.
type Manager struct {
	options  Options
	self     membership.ID
	stopping atomic.Bool

	// Owned by the voter's goroutine.

	voter      *voter // nil: this router is none
	voterInbox chan func(v *voter) consensus.Input
	voterDone  chan struct{}

	// Owned by the holder's goroutine.

	holder             *lease.Holder
	holderInbox        chan func(now float64)
	holderDone         chan struct{}
	leaseNames         []string // that this router is willing to hold
	handoffs           map[string][]byte
	pendingRequests    map[uint64]outgoingMessage // without a response yet, by request ID
	unansweredRequests int                        // since the last response
	likelyLeader       membership.ID              // who responded last, or was named by a hint; 0: not known

	// Published for any goroutine; what they point to does not change.

	leases       atomic.Pointer[[]Lease]
	knownHolders atomic.Pointer[map[string]membership.ID]
	status       atomic.Pointer[Status]
}

// New returns a manager that does not run yet, and opens the voter's log where this router is
// one. leaseNames are the leases that it is willing to hold.
func New(options Options, self membership.ID, leaseNames []string) (*Manager, error) {
	manager := &Manager{
		options:         options,
		self:            self,
		voterInbox:      make(chan func(*voter) consensus.Input, inboxSize),
		voterDone:       make(chan struct{}),
		holder:          lease.NewHolder(options.Consensus.Lease, self, rand.Uint64()>>1),
		holderInbox:     make(chan func(float64), inboxSize),
		holderDone:      make(chan struct{}),
		leaseNames:      leaseNames,
		handoffs:        map[string][]byte{},
		pendingRequests: map[uint64]outgoingMessage{},
	}
	manager.leases.Store(&[]Lease{})
	manager.status.Store(&Status{})
	if options.LogDir != nil && slices.Contains(options.Voters, options.Name) {
		var err error
		manager.voter, err = newVoter(options.Settings, options.Name, options.LogDir, options.Clock.Now())
		if err != nil {
			return nil, err
		}
	}
	return manager, nil
}

// Run runs the voter and the holder until ctx ends and what was held is released. The voter
// goes on until then, but hands its leadership on before anything is released.
func (m *Manager) Run(ctx context.Context) {
	if m.voter == nil {
		close(m.voterDone)
		m.runHolder(ctx)
		return
	}
	voterCtx, stopVoter := context.WithCancel(context.WithoutCancel(ctx))
	go m.runVoter(voterCtx)
	defer func() {
		stopVoter()
		<-m.voterDone
	}()
	holderCtx, stopHolder := context.WithCancel(context.WithoutCancel(ctx))
	defer stopHolder()
	cancelTransfer := context.AfterFunc(ctx, func() {
		m.transferLeadership()
		stopHolder()
	})
	defer cancelTransfer()
	m.runHolder(holderCtx)
}

// Stopped is closed when Run has released everything.
func (m *Manager) Stopped() <-chan struct{} { return m.holderDone }

// transferLeadership transfers the registry's leadership, if this router's voter has it, and
// waits for that: those who take this router's leases over then find a leader that stays.
func (m *Manager) transferLeadership() {
	m.stopping.Store(true)
	deadline := time.Now().Add(leadershipTransferTimeout)
	for m.status.Load().Leading && time.Now().Before(deadline) {
		select {
		case m.voterInbox <- func(v *voter) consensus.Input { v.node.TransferLeadership(); return consensus.Input{} }:
		default:
		}
		time.Sleep(leadershipPollInterval)
	}
}

// Deliver handles a message of another router. It never blocks: what does not fit into an
// inbox is dropped.
func (m *Manager) Deliver(from membership.ID, incarnation uint64, channel fragment.Channel, payload []byte) {
	switch channel {
	case fragment.LeaseResponse:
		if response, ok := DecodeResponse(payload); ok {
			m.enqueueHolder(func(now float64) { m.handleResponse(now, from, response) })
		}
	case fragment.LeaderHint:
		if hint, ok := decodeLeaderHint(payload); ok {
			m.enqueueHolder(func(float64) { m.handleLeaderHint(hint) })
		}
	case fragment.BanResponse:
		if response, ok := DecodeBanResponse(payload); ok && m.options.OnBanResponse != nil {
			m.enqueueHolder(func(float64) { m.recordResponder(from, response.RequestID) })
			m.options.OnBanResponse(response)
		}
	case fragment.Raft, fragment.VoterHello, fragment.LeaseRequest, fragment.BanRequest:
		if m.voter != nil {
			m.enqueueVoter(incomingMessage{from: from, incarnation: incarnation, channel: channel, payload: payload})
		}
	}
}

func (m *Manager) enqueueHolder(handle func(now float64)) {
	select {
	case m.holderInbox <- handle:
	default:
		m.options.Metrics.Add(metricDropped, 1)
	}
}

func (m *Manager) enqueueVoter(message incomingMessage) {
	if message.channel == fragment.Raft || message.channel == fragment.VoterHello {
		message.voterName = m.memberName(message.from)
	}
	select {
	case m.voterInbox <- func(v *voter) consensus.Input { return v.handleMessage(message) }:
	default:
		m.options.Metrics.Add(metricDropped, 1)
	}
}

// send passes a message to the transport, or to this router's own goroutines. A message to a
// voter that is not present is dropped.
func (m *Manager) send(message outgoingMessage) {
	to := message.routerID
	if message.voterName != "" {
		to = m.memberID(message.voterName)
		if to == 0 {
			return
		}
	}
	if to == m.self {
		m.Deliver(m.self, m.options.Incarnation, message.channel, message.payload)
		return
	}
	m.options.Transport.Send(to, message.channel, message.payload)
}

// memberName returns the name of a router; empty: not known.
func (m *Manager) memberName(id membership.ID) string {
	for _, member := range m.options.Transport.Members().Members {
		if member.ID == id {
			return member.Name
		}
	}
	return ""
}

// memberID returns the ID of the router of a name that is present; 0: none.
func (m *Manager) memberID(name string) membership.ID {
	for _, member := range m.options.Transport.Members().Members {
		if member.Name == name && member.State.Present() {
			return member.ID
		}
	}
	return 0
}

// Transfer transfers a lease that this router holds, to a router by its name or, if that is
// empty, to the candidate with the first rank. It returns ErrNotHeld or ErrNoSuchRouter.
func (m *Manager) Transfer(ctx context.Context, name, to string) error {
	result := make(chan error, 1)
	transfer := func(now float64) {
		if _, held := m.holder.Valid(now, name); !held {
			result <- ErrNotHeld
			return
		}
		target := membership.ID(0)
		if to != "" {
			target = m.memberID(to)
			if target == 0 || target == m.self {
				result <- ErrNoSuchRouter
				return
			}
		}
		m.release(now, name, target)
		result <- nil
	}
	select {
	case m.holderInbox <- transfer:
	case <-ctx.Done():
		return ctx.Err()
	}
	return awaitResult(ctx, result)
}

// ChangeVoter has a voter added or removed, where this router's voter leads. An added voter
// joins once it asks for it. It returns ErrNotVoter, ErrNotLeader, ErrUnknownVoter or
// ErrOnlyVoterLeft.
func (m *Manager) ChangeVoter(ctx context.Context, name string, add bool) error {
	if m.voter == nil {
		return ErrNotVoter
	}
	result := make(chan error, 1)
	select {
	case m.voterInbox <- func(v *voter) consensus.Input { result <- v.changeVoter(name, add); return consensus.Input{} }:
	case <-ctx.Done():
		return ctx.Err()
	}
	return awaitResult(ctx, result)
}

// awaitResult waits for the result of an operator's call.
func awaitResult(ctx context.Context, result <-chan error) error {
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
