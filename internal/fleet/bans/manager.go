package bans

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"garnetline/internal/clock"
	"garnetline/internal/fleet/consensus"
	"garnetline/internal/metrics"
	"garnetline/routing"
)

const (
	mailboxSize     = 64
	maxStepInterval = 100 * time.Millisecond // longest time between checks of the servers that are disabled at this router
	actionTimeout   = 500 * time.Millisecond
)

// defaultSetBy, followed by the router's name, is stored in the registry as the author of a ban
// whose caller gave no name. The text must not change, because stored bans contain it.
const defaultSetBy = "the door of "

// Options are the settings and the dependencies of a Manager.
type Options struct {
	Settings
	StateDir     string  // a folder that outlives the process; empty: nothing is stored
	RouterName   string  // recorded as the author of bans whose caller gave no name
	ReadyTimeout float64 // time after the start at which Ready stops waiting for the registry, ms

	// SendRequest sends a request to a voter. It must not block.
	SendRequest func(requestID uint64, request consensus.BanRequest)
	// Disabled returns the servers that are disabled at this router now.
	Disabled func() []routing.ServerID
	// SetDisabled disables or enables a server at this router because of an operator's change.
	SetDisabled func(ctx context.Context, server routing.ServerID, disable bool) error
	// SetDisabledByRegistry disables or enables a server at this router to follow the registry.
	SetDisabledByRegistry func(ctx context.Context, server routing.ServerID, disable bool) error

	Clock     clock.Clock // the boot clock
	WallClock clock.Clock
	Log       *zerolog.Logger
	Metrics   *metrics.Registry
}

// Manager runs a Machine: it sends the Machine's requests, carries out its actions and stores its
// local bans.
type Manager struct {
	options     Options
	file        stateFile
	machine     *Machine               // owned by Run
	completions map[uint64]chan error  // channels that receive the results, by change ID; owned by Run
	mailbox     chan func(now float64) // functions that Run calls
	status      atomic.Pointer[Status]
	ready       atomic.Bool
	done        chan struct{}
}

// New returns a Manager with the bans that an earlier process stored. Run starts it.
func New(options Options) *Manager {
	file := newStateFile(options.StateDir)
	localBans, err := file.load()
	if err != nil {
		// The file records only why servers are disabled. Without the file, the servers stay
		// disabled until an operator enables them.
		options.Log.Error().Err(err).Str("path", string(file)).Msg("local ban file cannot be read, starting without it")
	}
	firstRequestID := rand.Uint64() >> 1
	manager := &Manager{
		options:     options,
		file:        file,
		machine:     NewMachine(options.Settings, firstRequestID, localBans, options.Clock.Now()),
		completions: map[uint64]chan error{},
		mailbox:     make(chan func(float64), mailboxSize),
		done:        make(chan struct{}),
	}
	manager.status.Store(&Status{})
	return manager
}

// Run runs the Machine until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	defer close(m.done)
	readyDeadline := m.options.Clock.Now() + m.options.ReadyTimeout
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case run := <-m.mailbox:
			run(m.options.Clock.Now())
		case <-timer.C:
		}
		now := m.options.Clock.Now()
		out := m.machine.Step(now, m.options.Disabled())
		for _, request := range out.Requests {
			m.options.SendRequest(request.ID, request.BanRequest)
		}
		for _, action := range out.Actions {
			m.runAction(ctx, action)
		}
		m.handleOutput(out)
		m.updateReady(len(out.Actions) > 0, now > readyDeadline)
		m.publish(now)
		timer.Reset(min(maxStepInterval, clock.Duration(max(1, out.WakeAt-now))))
	}
}

// updateReady marks the router ready as soon as the router has disabled all servers that the
// registry has disabled, or as soon as ReadyTimeout has expired.
func (m *Manager) updateReady(actionsPending, timedOut bool) {
	if m.ready.Load() {
		return
	}
	confirmed := m.machine.registryRead()
	caughtUp := confirmed && !actionsPending
	if !caughtUp && !timedOut {
		return
	}
	m.ready.Store(true)
	if !confirmed {
		m.options.Log.Warn().Float64("timeout_ms", m.options.ReadyTimeout).Int("local_bans", len(m.machine.LocalBans())).
			Msg("ban list not confirmed by the lease registry before timeout, using the local copy")
	}
}

// runAction disables or enables a server to follow the registry. The Machine repeats an action
// that fails.
func (m *Manager) runAction(ctx context.Context, action Action) {
	ctx, cancel := context.WithTimeout(ctx, actionTimeout)
	defer cancel()
	err := m.options.SetDisabledByRegistry(ctx, action.Server, action.Disable)
	m.options.Metrics.Add("keeper_orders", 1)
	if err == nil {
		m.options.Log.Info().Stringer("server", action.Server).Bool("disabled", action.Disable).
			Msg("applied a ban change from the lease registry")
	}
}

// handleOutput carries out the parts of an output that both Step and HandleResponse set.
func (m *Manager) handleOutput(out Output) {
	for _, completion := range out.Completions {
		if waiter := m.completions[completion.ChangeID]; waiter != nil {
			delete(m.completions, completion.ChangeID)
			waiter <- completion.Err
		}
	}
	if out.Persist {
		m.persist()
	}
}

// persist stores the local bans. It counts a failure and does not retry, since the next change
// stores all local bans again.
func (m *Manager) persist() {
	if err := m.file.save(m.machine.LocalBans()); err != nil {
		m.options.Metrics.Add("keeper_unkept", 1)
	}
}

// Ready returns true once this router has applied the registry's bans, or once ReadyTimeout has
// expired.
func (m *Manager) Ready() bool { return m.ready.Load() }

// Stopped returns a channel that is closed when Run has returned.
func (m *Manager) Stopped() <-chan struct{} { return m.done }

// HandleResponse handles a voter's response. It never blocks: if the mailbox is full, it drops and
// counts the response.
func (m *Manager) HandleResponse(response consensus.BanResponse) {
	select {
	case m.mailbox <- func(now float64) { m.handleOutput(m.machine.HandleResponse(now, response)) }:
	default:
		m.options.Metrics.Add("keeper_crowded_out", 1)
	}
}

// Apply carries out an operator's change. A disable immediately applies at this router, and is
// registered as soon as the voters can be reached. An enable applies only after the registry has
// accepted it. If the registry does not accept it, Apply returns ErrNoQuorum or ErrVersionConflict.
func (m *Manager) Apply(ctx context.Context, change Change) error {
	change.SetAt = m.options.WallClock.Now()
	if change.SetBy == "" {
		change.SetBy = defaultSetBy + m.options.RouterName
	}
	if change.Disable {
		return m.disable(ctx, change)
	}
	return m.enable(ctx, change)
}

func (m *Manager) disable(ctx context.Context, change Change) error {
	if err := m.options.SetDisabled(ctx, change.Server, true); err != nil {
		return err
	}
	return m.enqueue(ctx, func(now float64) {
		m.machine.RecordDisabled(now, change)
		m.persist()
	})
}

func (m *Manager) enable(ctx context.Context, change Change) error {
	completed := make(chan error, 1)
	err := m.enqueue(ctx, func(now float64) {
		changeID := m.machine.RequestEnable(now, change)
		m.completions[changeID] = completed
	})
	if err != nil {
		return err
	}
	select {
	case err := <-completed:
		if err != nil {
			return err
		}
		return m.options.SetDisabled(ctx, change.Server, false)
	case <-ctx.Done():
		return ErrNoQuorum
	}
}

// enqueue queues a function for Run to call. If the mailbox is full, it waits until the mailbox
// has room or ctx ends.
func (m *Manager) enqueue(ctx context.Context, run func(now float64)) error {
	select {
	case m.mailbox <- run:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
