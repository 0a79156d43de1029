// Package leasemanager runs this router's part of the fleet's leases. The holder requests,
// renews and releases leases. If this router is a voter, the package also runs the voter. The
// holder publishes the leases that it holds, so that a goroutine that acts under a lease can
// check the lease before each write to a socket without blocking.
//
// A Manager owns two goroutines, one for the voter and one for the holder. Each goroutine has an
// inbox. The exported methods of a Manager may be called from any goroutine. The methods that
// wait take a context.
package leasemanager

import (
	"context"
	"errors"
	"fmt"
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
	inboxSize = 512 // messages in the inbox of each goroutine; messages to a full inbox are dropped

	// A shutdown waits up to leadershipTransferTimeout until another voter leads. It then waits
	// up to releaseTimeout until the registry has confirmed the releases.
	leadershipTransferTimeout = 800 * time.Millisecond
	leadershipPollInterval    = 10 * time.Millisecond
	releaseTimeout            = 2000 * time.Millisecond
)

// Names of the counters, which operators' dashboards use.
const (
	metricDropped     = "duties_crowded_out"
	metricGranted     = "duties_granted"
	metricLost        = "duties_lost"
	metricVoterFaults = "duties_elector_faults"
)

// Errors that operators' calls return.
var (
	ErrNotHeld       = errors.New("this router does not hold the lease")
	ErrNoSuchRouter  = errors.New("no other router with this name is present")
	ErrNotVoter      = errors.New("this router is not a voter of the lease registry")
	ErrNotLeader     = errors.New("this router's voter is not the leader of the lease registry")
	ErrUnknownVoter  = errors.New("the lease registry has no voter or learner with this name")
	ErrOnlyVoterLeft = errors.New("cannot remove the only voter of the lease registry")
)

// Settings are the settings of leases in the operators' file.
type Settings struct {
	Fleet     string   // name of the fleet
	Voters    []string // names of the routers that are the first voters of a new registry
	Consensus consensus.Settings
}

// Transport sends messages to other routers and returns the members of the fleet.
type Transport interface {
	// Send sends a message to a router. It must not block.
	Send(to membership.ID, channel fragment.Channel, payload []byte)
	// Members returns the current view of the fleet.
	Members() *membership.View
}

// Options are the settings and dependencies of a manager.
type Options struct {
	Settings
	Name        string // name of this router
	Incarnation uint64 // identifies this router's process
	LogDir      wal.FS // directory of the voter's log; nil if this router is not a voter
	Transport   Transport
	Clock       clock.Clock // the boot clock
	Log         *zerolog.Logger
	Metrics     *metrics.Registry
	Eligible    func() bool // reports whether this router may hold leases
	// OnBanResponse handles a voter's response about operators' bans. It must not block.
	OnBanResponse func(response consensus.BanResponse)
}

// Manager runs this router's voter and holder.
type Manager struct {
	options  Options
	self     membership.ID
	stopping atomic.Bool

	// The fields below belong to the voter's goroutine.

	voter      *voter // nil if this router is not a voter
	voterInbox chan func(v *voter) consensus.Input
	voterDone  chan struct{}

	// The fields below belong to the holder's goroutine.

	holder             *lease.Holder
	holderInbox        chan func(now float64)
	holderDone         chan struct{}
	leaseNames         []string                   // leases that this router is willing to hold
	handoffs           map[string][]byte          // data that the previous holder left, by lease name
	pendingRequests    map[uint64]outgoingMessage // messages that have no response yet, by request ID
	unansweredRequests int                        // number of requests sent since the last response
	likelyLeader       membership.ID              // voter that responded last or that a hint named; 0 if unknown

	// Any goroutine may load these pointers. The values that they point to are not modified.

	leases       atomic.Pointer[[]Lease]
	knownHolders atomic.Pointer[map[string]membership.ID]
	status       atomic.Pointer[Status]
}

// New returns a manager. The caller must call its Run method. If this router is a voter, New
// opens the voter's log, and returns an error if the log cannot be used. leaseNames are the
// leases that this router is willing to hold.
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

// Run runs the voter and the holder. When ctx ends, the voter transfers its leadership. The
// holder then releases its leases. The voter stops last.
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

// Stopped returns a channel that is closed when the holder has stopped. The registry has
// confirmed the releases of all leases by then, or releaseTimeout has passed.
func (m *Manager) Stopped() <-chan struct{} { return m.holderDone }

// transferLeadership begins the shutdown: from now on, this router's ranks for leases are not
// updated. If this router's voter is the leader, transferLeadership transfers the leadership. It
// then waits until another voter leads, or until leadershipTransferTimeout has passed. The
// routers that take over this router's leases then find a leader that is not about to stop.
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

// Deliver handles a message from another router. It never blocks. If the message is for the voter's
// or the holder's goroutine and the inbox of that goroutine is full, Deliver drops the message.
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

// send passes a message to the transport. If this router is the receiver, send passes the
// message to its own goroutines. It drops a message to a voter that is not present.
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

// memberName returns the name of a router, or an empty string if the router is unknown.
func (m *Manager) memberName(id membership.ID) string {
	for _, member := range m.options.Transport.Members().Members {
		if member.ID == id {
			return member.Name
		}
	}
	return ""
}

// memberID returns the ID of the router with the given name, or 0 if no such router is present.
func (m *Manager) memberID(name string) membership.ID {
	for _, member := range m.options.Transport.Members().Members {
		if member.Name == name && member.State.Present() {
			return member.ID
		}
	}
	return 0
}

// Transfer transfers a lease that this router holds to the router named targetName. If
// targetName is empty, the first-ranked other candidate gets the lease. Transfer returns
// the error of ctx or an error that wraps ErrNotHeld or ErrNoSuchRouter.
func (m *Manager) Transfer(ctx context.Context, leaseName, targetName string) error {
	result := make(chan error, 1)
	transfer := func(now float64) {
		if _, held := m.holder.Valid(now, leaseName); !held {
			result <- fmt.Errorf("lease %q: %w", leaseName, ErrNotHeld)
			return
		}
		target := membership.ID(0)
		if targetName != "" {
			target = m.memberID(targetName)
			if target == 0 || target == m.self {
				result <- fmt.Errorf("router %q: %w", targetName, ErrNoSuchRouter)
				return
			}
		}
		m.release(now, leaseName, target)
		result <- nil
	}
	select {
	case m.holderInbox <- transfer:
	case <-ctx.Done():
		return ctx.Err()
	}
	return awaitResult(ctx, result)
}

// ChangeVoter adds or removes a voter. Only the router whose voter is the leader can do this. An added voter
// becomes a learner only after its next join request. ChangeVoter returns ErrNotVoter,
// ErrNotLeader, ErrUnknownVoter, ErrOnlyVoterLeft or the error of ctx.
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

// awaitResult waits for the result of an operator's call or for the end of ctx.
func awaitResult(ctx context.Context, result <-chan error) error {
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
