package recoveryprobe

import (
	"context"
	"slices"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/metrics"
	"garnetline/routing"
)

const (
	stepInterval     = 50 * time.Millisecond
	mailboxSize      = 256
	holderCandidates = 2 // routers that are told where the holder is not known
)

// Options are what the actor works with. No function may block.
type Options struct {
	Settings
	Zone            string
	Self            membership.ID
	Valid           func(duty string) (token uint64, ok bool)
	LastKnownHolder func(duty string) membership.ID // the holder, by the register's latest answer
	Ejected         func() []routing.ServerID
	ExtendEjection  func(id routing.ServerID, ms float64)
	RequireProbe    func(id routing.ServerID)
	ZonePeers       func() []membership.ID
	Send            func(to membership.ID, ch fragment.Channel, b []byte)
	Clock           clock.Clock // the boot clock
	Metrics         *metrics.Registry
}

// Coordinator is the actor.
type Coordinator struct {
	options Options
	machine *Machine
	mailbox chan received
	done    chan struct{}
}

type received struct {
	from    membership.ID
	message Message
}

// New returns a trier that has not begun.
func New(o Options) *Coordinator {
	return &Coordinator{options: o, machine: NewMachine(o.Settings, o.Self), mailbox: make(chan received, mailboxSize), done: make(chan struct{})}
}

// Run plays this router's part until ctx ends.
func (t *Coordinator) Run(ctx context.Context) {
	defer close(t.done)
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-t.mailbox:
			if !t.machine.HandleMessage(t.options.Clock.Now(), h.from, h.message) {
				t.options.Metrics.Add("first_words_refused", 1)
			}
		case <-tick.C:
			t.step()
		}
	}
}

func (t *Coordinator) step() {
	in := Input{Ejected: t.options.Ejected(), ZonePeers: t.options.ZonePeers()}
	if token, ok := t.options.Valid(LeaseName(t.options.Zone)); ok {
		in.FencingToken = token
	}
	in.HolderCandidates = append(lease.TopRanked(LeaseName(t.options.Zone), append(slices.Clone(in.ZonePeers), t.options.Self), holderCandidates), t.options.LastKnownHolder(LeaseName(t.options.Zone)))
	out := t.machine.Step(t.options.Clock.Now(), in)
	for id, ms := range out.EjectionExtensions {
		t.options.ExtendEjection(id, ms)
		t.options.Metrics.Add("first_holds", 1)
	}
	for _, id := range out.Probes {
		t.options.RequireProbe(id)
		t.options.Metrics.Add("first_suspects", 1)
	}
	for id, w := range out.Messages {
		ch := fragment.EjectionReport
		if w.FencingToken != 0 {
			// At the write: a holder that was stopped says nothing under a lease that ended.
			if now, ok := t.options.Valid(LeaseName(t.options.Zone)); !ok || now != w.FencingToken {
				t.options.Metrics.Add("first_held_back", 1)
				continue
			}
			ch = fragment.ProbeResult
		}
		t.options.Send(id, ch, w.Append(nil))
	}
}

// Stopped is closed when Run has returned.
func (t *Coordinator) Stopped() <-chan struct{} { return t.done }

// Receive takes what another router said. It never blocks.
func (t *Coordinator) Receive(from membership.ID, ch fragment.Channel, b []byte) {
	w, ok := Decode(b)
	if !ok || (w.FencingToken != 0) != (ch == fragment.ProbeResult) {
		t.options.Metrics.Add("first_words_refused", 1)
		return
	}
	select {
	case t.mailbox <- received{from, w}:
	default:
		t.options.Metrics.Add("first_crowded_out", 1)
	}
}
