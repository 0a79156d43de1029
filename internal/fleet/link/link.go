// Package link carries a router's knowledge of the others: one actor that owns the
// socket between routers, the node that is stepped by it, and what is kept for the next
// life. Nothing that serves a request waits for it: it publishes snapshots.
package link

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/fleet"
	"garnetline/internal/fleet/carry"
	"garnetline/internal/fleet/member"
	"garnetline/internal/fleet/seal"
	"garnetline/internal/fleet/words"
	"garnetline/internal/stats"
)

const (
	mailbox    = 256 // packets and orders that wait; more are dropped, and counted
	bindEvery  = 100.0
	publishMin = 20.0 // ms between two snapshots
)

// Settings are what the operators' file says.
type Settings struct {
	Fleet     string
	Listen    netip.AddrPort
	Advertise netip.AddrPort // port 0: the one that is listened at
	Join      []netip.AddrPort
	Ring      *seal.Ring
	Node      fleet.Settings
	Packets   float64 // a second, at the most
	Bytes     float64 // the same, sealed
}

// Options are what a link works with.
type Options struct {
	Settings
	Name, Zone, Version string
	State               string // folder that outlives the process; empty: none
	Clock               clock.Clock
	Log                 *zerolog.Logger
	Stats               *stats.Set
	Bans                []decide.ServerID // that staff set while no fleet knew
	// Deliver takes what others sent to a machine of this router. It must not block; nil:
	// there is none.
	Deliver func(from member.ID, life uint64, ch carry.Channel, b []byte)
}

// Link is the actor.
type Link struct {
	o      Options
	seat   seat
	life   uint64
	node   *fleet.Node
	ring   atomic.Pointer[seal.Ring]
	in     chan *member.Packet
	orders chan func(now float64)
	view   atomic.Pointer[fleet.Status]
	raw    atomic.Pointer[member.View]
	joiner carry.Joiner
	sent   uint64 // of what was carried
	done   chan struct{}
	conn   *net.UDPConn
	bound  bool
	room   []byte
	budget budget
	moved  bool
	shown  float64

	mu      sync.Mutex
	changes []words.Change
	nudge   chan struct{}
}

// New returns a link whose seat is taken. Run runs it.
func New(o Options) (*Link, error) {
	l := &Link{o: o, seat: seatIn(o.State, o.Name), in: make(chan *member.Packet, mailbox), orders: make(chan func(float64), mailbox),
		done: make(chan struct{}), nudge: make(chan struct{}, 1), budget: budget{packets: o.Packets, bytes: o.Bytes}}
	l.ring.Store(o.Ring)
	id, life, err := l.seat.take()
	if err != nil {
		return nil, fmt.Errorf("fleet: seat: %w", err)
	}
	l.life = life
	self := member.Word{ID: id, Inc: member.Incarnation(life), Name: o.Name, Zone: o.Zone, Version: o.Version, Addr: o.Advertise}
	now := o.Clock.Now()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if self.Addr.Port() == 0 { // the socket says, and so it cannot be another process's
		if err := l.bind(); err != nil {
			return nil, fmt.Errorf("fleet: listen: %w", err)
		}
		self.Addr = netip.AddrPortFrom(self.Addr.Addr(), l.conn.LocalAddr().(*net.UDPAddr).AddrPort().Port())
	}
	l.node = fleet.New(o.Node, self, o.Join, rng, now)
	if l.seat != "" {
		if b, err := os.ReadFile(l.seat.words()); err == nil {
			l.node.Shelf.Import(now, b)
		}
	}
	for _, box := range o.Bans {
		if !l.node.Shelf.Out(box) {
			l.node.Switch(now, box, true)
		}
	}
	l.publish(now)
	return l, nil
}

func (l *Link) bind() error {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(l.o.Listen))
	if err == nil {
		l.conn, l.bound = c, true
	}
	return err
}

// Run carries the node until ctx ends. It returns when the socket is given back.
func (l *Link) Run(ctx context.Context) {
	defer close(l.done)
	var reader sync.WaitGroup
	defer func() {
		if l.conn != nil {
			l.conn.Close()
		}
		reader.Wait()
	}()
	if l.bound {
		reader.Go(l.read)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for said := false; !l.bound; {
		// A predecessor that still runs has the address. It gives it back at its end.
		select {
		case <-ctx.Done():
			return
		case f := <-l.orders:
			f(l.o.Clock.Now())
			l.step(nil)
		case <-timer.C:
			l.step(nil)
			if err := l.bind(); err != nil {
				if !said {
					said = true
					l.o.Log.Warn().Err(err).Msg("fleet socket not to be had yet")
				}
				if !errors.Is(err, syscall.EADDRINUSE) {
					l.o.Stats.Add("fleet_bind_errors", 1)
				}
				timer.Reset(clock.Duration(bindEvery))
				continue
			}
			reader.Go(l.read)
		}
	}
	l.o.Log.Info().Str("addr", l.node.Self().Addr.String()).Str("seat", l.node.Self().ID.String()).Uint64("life", l.life).Msg("fleet joined")
	wake := l.step(nil)
	for {
		timer.Reset(clock.Duration(max(0, wake-l.o.Clock.Now())))
		select {
		case p := <-l.in:
			wake = l.step(p)
		case f := <-l.orders:
			f(l.o.Clock.Now())
			wake = l.step(nil)
		case <-timer.C:
			wake = l.step(nil)
		case <-ctx.Done():
			l.leave()
			return
		}
	}
}

// step steps the node and carries out what that calls for.
func (l *Link) step(p *member.Packet) (wake float64) {
	now := l.o.Clock.Now()
	out := l.node.Step(now, p)
	l.carry(now, out.Sends)
	for _, e := range out.Events {
		l.event(e)
	}
	for _, x := range out.Loads {
		if l.o.Deliver == nil {
			break
		}
		if ch, b, whole := l.joiner.Take(now, x); whole {
			l.o.Deliver(x.From, x.Life, ch, b)
		}
	}
	if out.Swung {
		l.o.Log.Info().Str("stance", out.Stance.Stance.String()).Int("there", out.Stance.There).Int("known", out.Stance.Known).Msg("fleet stance")
		l.moved = true
	}
	if len(out.Changes) > 0 {
		l.mu.Lock()
		l.changes = append(l.changes, out.Changes...) // the shelf's bounds bound it
		l.mu.Unlock()
		select {
		case l.nudge <- struct{}{}:
		default:
		}
		l.moved = true
	}
	if l.moved = l.moved || out.Moved || now-l.shown >= 1000; l.moved {
		if now-l.shown >= publishMin {
			l.publish(now)
		} else {
			out.Wake = min(out.Wake, l.shown+publishMin)
		}
	}
	if b, changed := l.node.Shelf.Export(); changed && l.seat != "" {
		l.keep(b)
	}
	return out.Wake
}

// keep writes the bans for the next life, whole or not at all.
func (l *Link) keep(b []byte) {
	next := l.seat.words() + ".new"
	err := os.WriteFile(next, b, 0o600)
	if err == nil {
		err = os.Rename(next, l.seat.words())
	}
	if err != nil {
		l.o.Stats.Add("fleet_bans_unkept", 1)
		l.o.Log.Error().Err(err).Msg("fleet bans not kept for the next start")
	}
}

// event logs a change of the view.
func (l *Link) event(e member.Event) {
	l.o.Stats.Add("fleet_"+e.What, 1)
	at := l.o.Log.Info()
	switch e.What {
	case "conflict", "full":
		at = l.o.Log.Error()
	case "failed", "superseded", "woken":
		at = l.o.Log.Warn()
	}
	at.Str("what", e.What).Str("member", e.Word.Name).Str("seat", e.Word.ID.String()).Str("state", e.Word.State.String()).
		Uint64("life", e.Word.Life()).Str("addr", e.Word.Addr.String()).Str("by", e.Word.By.String()).Str("cause", e.Cause).Msg("fleet member")
}

// carry seals and sends, within the bounds a second.
func (l *Link) carry(now float64, sends []member.Send) { l.carryKeeping(now, sends, 0) }

// carryKeeping sends as carry does, but leaves a share of the bounds for what matters more.
//
// A prober with 60 boxes and 80 routers has more to report than may be sent: renewals, its
// elector's words and its answers to probes are not to wait for that.
func (l *Link) carryKeeping(now float64, sends []member.Send, keep float64) {
	if !l.bound {
		return
	}
	ring := l.ring.Load()
	var packet [member.MaxPacket]byte
	for _, s := range sends {
		b := s.Packet.Append(packet[:0])
		if len(b) > member.MaxPacket {
			l.o.Stats.Add("fleet_too_long", 1)
			continue
		}
		l.room = ring.Seal(l.room[:0], b)
		if !l.budget.take(now, len(l.room), keep) {
			l.o.Stats.Add("fleet_over_budget", 1)
			continue
		}
		if _, err := l.conn.WriteToUDPAddrPort(l.room, s.To); err != nil {
			l.o.Stats.Add("fleet_send_errors", 1)
			continue
		}
		l.o.Stats.Add("fleet_packets_out", 1)
		l.o.Stats.Add("fleet_bytes_out", int64(len(l.room)))
	}
}

// read opens what the socket brings and hands it to the actor, until the socket closes.
func (l *Link) read() {
	sealed := make([]byte, member.MaxPacket+seal.Overhead+1) // one more shows what is too long
	var open []byte
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(sealed)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.o.Stats.Add("fleet_read_errors", 1)
			continue
		}
		l.o.Stats.Add("fleet_packets_in", 1)
		l.o.Stats.Add("fleet_bytes_in", int64(n))
		if open, err = l.ring.Load().Open(open[:0], sealed[:n]); err == nil {
			var p *member.Packet
			if p, err = member.Decode(open); err == nil {
				select {
				case l.in <- p:
				default:
					l.o.Stats.Add("fleet_crowded_out", 1)
				}
				continue
			}
		}
		l.o.Stats.Add(refusal(err), 1)
	}
}

// refusal is the counter of what is not taken.
func refusal(err error) string {
	switch {
	case errors.Is(err, seal.ErrStranger):
		return "fleet_strangers"
	case errors.Is(err, seal.ErrVersion):
		return "fleet_other_versions"
	case errors.Is(err, seal.ErrFleet):
		return "fleet_other_fleets"
	case errors.Is(err, seal.ErrKey):
		return "fleet_unopened"
	}
	return "fleet_broken_packets"
}

// leave tells the others, unless a successor has this router's seat already.
func (l *Link) leave() {
	now := l.o.Clock.Now()
	if l.seat.latest() > l.life {
		l.o.Log.Info().Msg("fleet seat handed to a successor")
		return
	}
	out := l.node.Leave(now)
	l.carry(now, out.Sends)
	l.o.Log.Info().Msg("fleet left")
}

// publish replaces the snapshot.
func (l *Link) publish(now float64) {
	v := l.node.View()
	l.raw.Store(v)
	s := fleet.Show(v, l.node.Reading(), l.o.Fleet)
	s.At, s.Bound = now, l.bound
	for _, b := range l.node.Shelf.Bans() {
		s.Bans = append(s.Bans, b.String())
	}
	l.view.Store(s)
	l.moved, l.shown = false, now
}

// View returns the latest snapshot, which does not change. It allocates nothing.
func (l *Link) View() *fleet.Status { return l.view.Load() }

// Members returns the latest view as the state machines have it. It does not change.
func (l *Link) Members() *member.View { return l.raw.Load() }

// Deliver sets who takes what others send to a machine of this router. It is called
// before Run.
func (l *Link) Deliver(f func(from member.ID, life uint64, ch carry.Channel, b []byte)) {
	l.o.Deliver = f
}

// Carry sends something to a machine of another router. It may get lost, and never blocks.
func (l *Link) Carry(to member.ID, ch carry.Channel, b []byte) {
	l.order(func(now float64) {
		l.sent++
		for _, x := range carry.Split(l.sent, ch, b) {
			out := l.node.Send(now, to, x)
			keep := 0.0
			if ch == carry.Report {
				keep = spare
			}
			l.carryKeeping(now, out.Sends, keep)
		}
	})
}

// Stopped is closed when the actor has ended.
func (l *Link) Stopped() <-chan struct{} { return l.done }

// order has the actor do something. What finds no room is counted: it never blocks.
func (l *Link) order(f func(now float64)) {
	select {
	case l.orders <- f:
	default:
		l.o.Stats.Add("fleet_orders_dropped", 1)
	}
}

// Switch tells the fleet that staff took a box out at this router's door, or back. It
// waits for room in the mailbox: the link waits for nobody.
func (l *Link) Switch(box decide.ServerID, out bool) {
	select {
	case l.orders <- func(now float64) { l.node.Switch(now, box, out) }:
	case <-l.done:
	}
}

// Heard tells the fleet what this router's change log told.
func (l *Link) Heard(w words.Word) {
	l.order(func(now float64) { l.node.Heard(now, w) })
}

// Reload goes over to other keys and addresses to join at.
func (l *Link) Reload(s Settings) {
	l.ring.Store(s.Ring)
	l.order(func(float64) { l.node.Reseed(s.Join) })
}

// Nudge tells that there are changes.
func (l *Link) Nudge() <-chan struct{} { return l.nudge }

// Changes returns what the others' words have changed since the last call.
func (l *Link) Changes() []words.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.changes
	l.changes = nil
	return c
}

// budget bounds what is sent a second; a second's worth may go at once.
type budget struct {
	packets, bytes float64 // a second
	np, nb, at     float64
}

// spare is the share of the bounds that reports of the load of boxes leave untouched: the
// next one says more than one that was dropped.
const spare = 0.25

// take takes a packet's room, if keep of a second's worth is left after it.
func (b *budget) take(now float64, n int, keep float64) bool {
	if b.at == 0 {
		b.np, b.nb = b.packets, b.bytes
	}
	if d := (now - b.at) / 1000; b.at != 0 && d > 0 {
		b.np, b.nb = min(b.packets, b.np+d*b.packets), min(b.bytes, b.nb+d*b.bytes)
	}
	b.at = now
	if b.np-1 < keep*b.packets || b.nb-float64(n) < keep*b.bytes {
		return false
	}
	b.np, b.nb = b.np-1, b.nb-float64(n)
	return true
}
