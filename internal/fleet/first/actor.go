package first

import (
	"context"
	"slices"
	"time"

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/fleet/carry"
	"garnetline/internal/fleet/duty"
	"garnetline/internal/fleet/member"
	"garnetline/internal/stats"
)

const (
	look    = 50 * time.Millisecond
	mailbox = 256
	likely  = 2 // routers that are told where the holder is not known
)

// Options are what the actor works with. No function may block.
type Options struct {
	Settings
	Zone    string
	Self    member.ID
	May     func(duty string) (token uint64, ok bool)
	Known   func(duty string) member.ID // the holder, by the register's latest answer
	Aside   func() []decide.ServerID
	Hold    func(id decide.ServerID, ms float64)
	Suspect func(id decide.ServerID)
	Mates   func() []member.ID
	Carry   func(to member.ID, ch carry.Channel, b []byte)
	Clock   clock.Clock // the boot clock
	Stats   *stats.Set
}

// Trier is the actor.
type Trier struct {
	o    Options
	m    *Machine
	box  chan heard
	done chan struct{}
}

type heard struct {
	from member.ID
	w    Word
}

// New returns a trier that has not begun.
func New(o Options) *Trier {
	return &Trier{o: o, m: NewMachine(o.Settings, o.Self), box: make(chan heard, mailbox), done: make(chan struct{})}
}

// Run plays this router's part until ctx ends.
func (t *Trier) Run(ctx context.Context) {
	defer close(t.done)
	tick := time.NewTicker(look)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-t.box:
			if !t.m.Hear(t.o.Clock.Now(), h.from, h.w) {
				t.o.Stats.Add("first_words_refused", 1)
			}
		case <-tick.C:
			t.step()
		}
	}
}

func (t *Trier) step() {
	in := Input{Aside: t.o.Aside(), Mates: t.o.Mates()}
	if token, ok := t.o.May(Duty(t.o.Zone)); ok {
		in.Token = token
	}
	in.Holders = append(duty.First(Duty(t.o.Zone), append(slices.Clone(in.Mates), t.o.Self), likely), t.o.Known(Duty(t.o.Zone)))
	out := t.m.Step(t.o.Clock.Now(), in)
	for id, ms := range out.Holds {
		t.o.Hold(id, ms)
		t.o.Stats.Add("first_holds", 1)
	}
	for _, id := range out.Suspects {
		t.o.Suspect(id)
		t.o.Stats.Add("first_suspects", 1)
	}
	for id, w := range out.Say {
		ch := carry.Aside
		if w.Token != 0 {
			// At the write: a holder that was stopped says nothing under a lease that ended.
			if now, ok := t.o.May(Duty(t.o.Zone)); !ok || now != w.Token {
				t.o.Stats.Add("first_held_back", 1)
				continue
			}
			ch = carry.Tried
		}
		t.o.Carry(id, ch, w.Append(nil))
	}
}

// Stopped is closed when Run has returned.
func (t *Trier) Stopped() <-chan struct{} { return t.done }

// Heard takes what another router said. It never blocks.
func (t *Trier) Heard(from member.ID, ch carry.Channel, b []byte) {
	w, ok := Read(b)
	if !ok || (w.Token != 0) != (ch == carry.Tried) {
		t.o.Stats.Add("first_words_refused", 1)
		return
	}
	select {
	case t.box <- heard{from, w}:
	default:
		t.o.Stats.Add("first_crowded_out", 1)
	}
}
