package keeper

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

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/fleet/agree"
	"garnetline/internal/stats"
)

const (
	mailbox  = 64
	lookMost = 100 * time.Millisecond // between looks at what is out here
	orderIn  = 500 * time.Millisecond
)

// Options are what the keeper works with.
type Options struct {
	Settings
	State  string                                                        // folder that outlives the process; empty: none
	Name   string                                                        // of the router, for who
	Ready  float64                                                       // ms after the start until which the router waits to have read the register
	Ask    func(question uint64, a agree.BanAsk)                         // must not block
	Out    func() []decide.ServerID                                      // that are out here now
	Switch func(ctx context.Context, id decide.ServerID, out bool) error // by staff at this router
	Follow func(ctx context.Context, id decide.ServerID, out bool) error // by the register
	Clock  clock.Clock                                                   // the boot clock
	Unix   clock.Clock
	Log    *zerolog.Logger
	Stats  *stats.Set
}

// Keeper is the actor.
type Keeper struct {
	o     Options
	m     *Machine
	box   chan func(now float64)
	ends  map[uint64]chan error
	shown atomic.Pointer[Page]
	ready atomic.Bool
	done  chan struct{}
}

// Page is what staff see of the register's bans.
type Page struct {
	Read float64  `json:"read_ms"` // Unix ms of the latest reading; 0: none yet
	Bans []Ban    `json:"bans"`
	Here []string `json:"out_here"` // at this router, whatever the register says
}

// Ban is one of the register's bans.
type Ban struct {
	Box     string  `json:"box"`
	Out     bool    `json:"out"`
	Version uint64  `json:"version"`
	Who     string  `json:"who"`
	Why     string  `json:"why"`
	At      float64 `json:"at_ms"`
}

// New returns a keeper that has read what an earlier life kept.
func New(o Options) *Keeper {
	basis := map[decide.ServerID]Basis{}
	if o.State != "" {
		b, err := os.ReadFile(o.file())
		if err == nil {
			err = json.Unmarshal(b, &basis)
		}
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			// It only says what bans rest on: without it they stay until staff say otherwise.
			o.Log.Error().Err(err).Msg("keeper: what bans rest on cannot be read")
			basis = map[decide.ServerID]Basis{}
		}
	}
	k := &Keeper{o: o, m: NewMachine(o.Settings, rand.Uint64()>>1, basis, o.Clock.Now()), box: make(chan func(float64), mailbox), ends: map[uint64]chan error{}, done: make(chan struct{})}
	k.shown.Store(&Page{})
	return k
}

func (o *Options) file() string { return filepath.Join(o.State, "garnetline-bans.json") }

// Run keeps the bans until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	defer close(k.done)
	began := k.o.Clock.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-k.box:
			f(k.o.Clock.Now())
		case <-timer.C:
		}
		now := k.o.Clock.Now()
		out := k.m.Step(now, k.o.Out())
		for _, a := range out.Asks {
			k.o.Ask(a.Question, a.BanAsk)
		}
		for _, o := range out.Orders {
			k.order(ctx, o)
		}
		k.take(out)
		// A router that starts is not ready before it has taken out what the register says.
		if heard := !math.IsNaN(k.m.Heard()); !k.ready.Load() && (heard && len(out.Orders) == 0 || now-began > k.o.Ready) {
			if k.ready.Store(true); !heard {
				k.o.Log.Warn().Msg("keeper: no elector told the bans in time; ready with those that this router knows")
			}
		}
		k.show(now)
		timer.Reset(min(lookMost, clock.Duration(max(1, out.Wake-now))))
	}
}

// order does to a box what the register says.
func (k *Keeper) order(ctx context.Context, o Order) {
	octx, stop := context.WithTimeout(ctx, orderIn)
	defer stop()
	err := k.o.Follow(octx, o.Box, o.Out)
	k.o.Stats.Add("keeper_orders", 1)
	if err == nil {
		k.o.Log.Info().Str("box", o.Box.String()).Bool("out", o.Out).Msg("keeper: by the register")
	}
}

// take carries out what a step or an answer calls for besides.
func (k *Keeper) take(out Output) {
	for _, e := range out.Ended {
		if c := k.ends[e.Call]; c != nil {
			delete(k.ends, e.Call)
			c <- e.Err
		}
	}
	if out.Keep {
		k.keep()
	}
}

// keep writes what bans rest on, whole or not at all.
func (k *Keeper) keep() {
	if k.o.State == "" {
		return
	}
	b, err := json.Marshal(k.m.Basis())
	if err == nil {
		err = os.WriteFile(k.o.file()+".new", b, 0o600)
	}
	if err == nil {
		err = os.Rename(k.o.file()+".new", k.o.file())
	}
	if err != nil {
		k.o.Stats.Add("keeper_unkept", 1)
	}
}

func (k *Keeper) show(now float64) {
	p := &Page{Bans: []Ban{}, Here: []string{}}
	for _, box := range k.o.Out() {
		p.Here = append(p.Here, box.String())
	}
	if h := k.m.Heard(); !math.IsNaN(h) {
		p.Read = k.o.Unix.Now() - (now - h)
	}
	for _, b := range k.m.Bans() {
		p.Bans = append(p.Bans, Ban{b.Box.String(), b.Out, b.Version, b.Who, b.Why, b.At})
	}
	k.shown.Store(p)
}

// Shown returns the bans as they were read last, and when that was. It does not change.
func (k *Keeper) Shown() *Page { return k.shown.Load() }

// Ready tells whether the register has been read, or had its time to be.
func (k *Keeper) Ready() bool { return k.ready.Load() }

// Stopped is closed when Run has returned.
func (k *Keeper) Stopped() <-chan struct{} { return k.done }

// Answer takes what an elector said. It never blocks.
func (k *Keeper) Answer(a agree.BanAnswer) {
	select {
	case k.box <- func(now float64) { k.take(k.m.Hear(now, a)) }:
	default:
		k.o.Stats.Add("keeper_crowded_out", 1)
	}
}

// Call carries out a call of staff. A box is taken out here at once, and the register told
// when it can be; it is let back only once the register has taken that.
func (k *Keeper) Call(ctx context.Context, c Call) error {
	if c.At = k.o.Unix.Now(); c.Who == "" {
		c.Who = "the door of " + k.o.Name
	}
	if c.Out {
		if err := k.o.Switch(ctx, c.Box, true); err != nil {
			return err
		}
		return k.do(ctx, func(now float64) {
			k.m.Disabled(now, c)
			k.keep()
		})
	}
	end := make(chan error, 1)
	if err := k.do(ctx, func(now float64) { k.ends[k.m.Enable(now, c)] = end }); err != nil {
		return err
	}
	select {
	case err := <-end:
		if err != nil {
			return err
		}
		return k.o.Switch(ctx, c.Box, false)
	case <-ctx.Done():
		return ErrAgreement
	}
}

func (k *Keeper) do(ctx context.Context, f func(now float64)) error {
	select {
	case k.box <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
