package bans

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
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
	maxStepInterval = 100 * time.Millisecond // between looks at what is out here
	actionTimeout   = 500 * time.Millisecond
)

// Options are what the keeper works with.
type Options struct {
	Settings
	StateDir              string                                                         // folder that outlives the process; empty: none
	RouterName            string                                                         // of the router, for who
	ReadyTimeout          float64                                                        // ms after the start until which the router waits to have read the register
	SendRequest           func(question uint64, a consensus.BanRequest)                  // must not block
	Disabled              func() []routing.ServerID                                      // that are out here now
	SetDisabled           func(ctx context.Context, id routing.ServerID, out bool) error // by staff at this router
	SetDisabledByRegistry func(ctx context.Context, id routing.ServerID, out bool) error // by the register
	Clock                 clock.Clock                                                    // the boot clock
	WallClock             clock.Clock
	Log                   *zerolog.Logger
	Metrics               *metrics.Registry
}

// Manager is the actor.
type Manager struct {
	options     Options
	machine     *Machine
	mailbox     chan func(now float64)
	completions map[uint64]chan error
	status      atomic.Pointer[Status]
	ready       atomic.Bool
	done        chan struct{}
}

// Status is what staff see of the register's bans.
type Status struct {
	ReadAt       float64  `json:"read_ms"` // Unix ms of the latest reading; 0: none yet
	Bans         []Ban    `json:"bans"`
	DisabledHere []string `json:"out_here"` // at this router, whatever the register says
}

// Ban is one of the register's bans.
type Ban struct {
	Server   string  `json:"box"`
	Disabled bool    `json:"out"`
	Version  uint64  `json:"version"`
	SetBy    string  `json:"who"`
	Reason   string  `json:"why"`
	SetAt    float64 `json:"at_ms"`
}

// New returns a keeper that has read what an earlier life kept.
func New(o Options) *Manager {
	basis := map[routing.ServerID]LocalBan{}
	if o.StateDir != "" {
		b, err := os.ReadFile(o.stateFile())
		if err == nil {
			err = json.Unmarshal(b, &basis)
		}
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			// It only says what bans rest on: without it they stay until staff say otherwise.
			o.Log.Error().Err(err).Msg("keeper: what bans rest on cannot be read")
			basis = map[routing.ServerID]LocalBan{}
		}
	}
	k := &Manager{options: o, machine: NewMachine(o.Settings, rand.Uint64()>>1, basis, o.Clock.Now()), mailbox: make(chan func(float64), mailboxSize), completions: map[uint64]chan error{}, done: make(chan struct{})}
	k.status.Store(&Status{})
	return k
}

func (o *Options) stateFile() string { return filepath.Join(o.StateDir, "garnetline-bans.json") }

// Run keeps the bans until ctx ends.
func (k *Manager) Run(ctx context.Context) {
	defer close(k.done)
	began := k.options.Clock.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-k.mailbox:
			f(k.options.Clock.Now())
		case <-timer.C:
		}
		now := k.options.Clock.Now()
		out := k.machine.Step(now, k.options.Disabled())
		for _, a := range out.Requests {
			k.options.SendRequest(a.ID, a.BanRequest)
		}
		for _, o := range out.Actions {
			k.runAction(ctx, o)
		}
		k.handleOutput(out)
		// A router that starts is not ready before it has taken out what the register says.
		if heard := !math.IsNaN(k.machine.LastReadAt()); !k.ready.Load() && (heard && len(out.Actions) == 0 || now-began > k.options.ReadyTimeout) {
			if k.ready.Store(true); !heard {
				k.options.Log.Warn().Msg("keeper: no elector told the bans in time; ready with those that this router knows")
			}
		}
		k.publish(now)
		timer.Reset(min(maxStepInterval, clock.Duration(max(1, out.WakeAt-now))))
	}
}

// runAction does to a box what the register says.
func (k *Manager) runAction(ctx context.Context, o Action) {
	octx, stop := context.WithTimeout(ctx, actionTimeout)
	defer stop()
	err := k.options.SetDisabledByRegistry(octx, o.Server, o.Disable)
	k.options.Metrics.Add("keeper_orders", 1)
	if err == nil {
		k.options.Log.Info().Str("box", o.Server.String()).Bool("out", o.Disable).Msg("keeper: by the register")
	}
}

// handleOutput carries out what a step or an answer calls for besides.
func (k *Manager) handleOutput(out Output) {
	for _, e := range out.Completions {
		if c := k.completions[e.ChangeID]; c != nil {
			delete(k.completions, e.ChangeID)
			c <- e.Err
		}
	}
	if out.Persist {
		k.persist()
	}
}

// persist writes what bans rest on, whole or not at all.
func (k *Manager) persist() {
	if k.options.StateDir == "" {
		return
	}
	b, err := json.Marshal(k.machine.LocalBans())
	if err == nil {
		err = os.WriteFile(k.options.stateFile()+".new", b, 0o600)
	}
	if err == nil {
		err = os.Rename(k.options.stateFile()+".new", k.options.stateFile())
	}
	if err != nil {
		k.options.Metrics.Add("keeper_unkept", 1)
	}
}

func (k *Manager) publish(now float64) {
	p := &Status{Bans: []Ban{}, DisabledHere: []string{}}
	for _, box := range k.options.Disabled() {
		p.DisabledHere = append(p.DisabledHere, box.String())
	}
	if h := k.machine.LastReadAt(); !math.IsNaN(h) {
		p.ReadAt = k.options.WallClock.Now() - (now - h)
	}
	for _, b := range k.machine.Bans() {
		p.Bans = append(p.Bans, Ban{b.Server.String(), b.Disabled, b.Version, b.SetBy, b.Reason, b.SetAt})
	}
	k.status.Store(p)
}

// Status returns the bans as they were read last, and when that was. It does not change.
func (k *Manager) Status() *Status { return k.status.Load() }

// Ready tells whether the register has been read, or had its time to be.
func (k *Manager) Ready() bool { return k.ready.Load() }

// Stopped is closed when Run has returned.
func (k *Manager) Stopped() <-chan struct{} { return k.done }

// HandleResponse takes what an elector said. It never blocks.
func (k *Manager) HandleResponse(a consensus.BanResponse) {
	select {
	case k.mailbox <- func(now float64) { k.handleOutput(k.machine.HandleResponse(now, a)) }:
	default:
		k.options.Metrics.Add("keeper_crowded_out", 1)
	}
}

// Apply carries out a call of staff. A box is taken out here at once, and the register told
// when it can be; it is let back only once the register has taken that.
func (k *Manager) Apply(ctx context.Context, c Change) error {
	if c.SetAt = k.options.WallClock.Now(); c.SetBy == "" {
		c.SetBy = "the door of " + k.options.RouterName
	}
	if c.Disable {
		if err := k.options.SetDisabled(ctx, c.Server, true); err != nil {
			return err
		}
		return k.enqueue(ctx, func(now float64) {
			k.machine.RecordDisabled(now, c)
			k.persist()
		})
	}
	end := make(chan error, 1)
	if err := k.enqueue(ctx, func(now float64) { k.completions[k.machine.RequestEnable(now, c)] = end }); err != nil {
		return err
	}
	select {
	case err := <-end:
		if err != nil {
			return err
		}
		return k.options.SetDisabled(ctx, c.Server, false)
	case <-ctx.Done():
		return ErrNoQuorum
	}
}

func (k *Manager) enqueue(ctx context.Context, f func(now float64)) error {
	select {
	case k.mailbox <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
