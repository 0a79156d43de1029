// Package link carries a router's knowledge of the others: one actor that owns the
// socket between routers, the node that is stepped by it, and what is kept for the next
// life. Nothing that serves a request waits for it: it publishes snapshots.
package transport

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

	"garnetline/internal/clock"
	"garnetline/internal/fleet"
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/gossip"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/packetcrypto"
	"garnetline/internal/metrics"
	"garnetline/routing"
)

const (
	queueCapacity      = 256 // packets and orders that wait; more are dropped, and counted
	bindRetryInterval  = 100.0
	minPublishInterval = 20.0 // ms between two snapshots
)

// Settings are what the operators' file says.
type Settings struct {
	FleetName        string
	ListenAddr       netip.AddrPort
	AdvertiseAddr    netip.AddrPort // port 0: the one that is listened at
	Seeds            []netip.AddrPort
	Keyring          *packetcrypto.Keyring
	Node             fleet.Settings
	PacketsPerSecond float64 // a second, at the most
	BytesPerSecond   float64 // the same, sealed
}

// Options are what a link works with.
type Options struct {
	Settings
	Name, Zone, Version string
	StateDir            string // folder that outlives the process; empty: none
	Clock               clock.Clock
	Log                 *zerolog.Logger
	Stats               *metrics.Registry
	InitialBans         []routing.ServerID // that staff set while no fleet knew
	// Receiver takes what others sent to a machine of this router. It must not block; nil:
	// there is none.
	Receiver func(from membership.ID, life uint64, ch fragment.Channel, b []byte)
}

// Transport is the actor.
type Transport struct {
	options        Options
	identity       identityFile
	incarnation    uint64
	node           *fleet.Node
	keyring        atomic.Pointer[packetcrypto.Keyring]
	packets        chan *membership.Packet
	commands       chan func(now float64)
	status         atomic.Pointer[fleet.Status]
	members        atomic.Pointer[membership.View]
	reassembler    fragment.Reassembler
	lastMessageID  uint64 // of what was carried
	done           chan struct{}
	conn           *net.UDPConn
	bound          bool
	sendBuffer     []byte
	limiter        rateLimiter
	publishPending bool
	publishedAt    float64

	mu           sync.Mutex
	changes      []gossip.Change
	changesReady chan struct{}
}

// New returns a link whose seat is taken. Run runs it.
func New(o Options) (*Transport, error) {
	l := &Transport{options: o, identity: identityFileIn(o.StateDir, o.Name), packets: make(chan *membership.Packet, queueCapacity), commands: make(chan func(float64), queueCapacity),
		done: make(chan struct{}), changesReady: make(chan struct{}, 1), limiter: rateLimiter{packetsPerSecond: o.PacketsPerSecond, bytesPerSecond: o.BytesPerSecond}}
	l.keyring.Store(o.Keyring)
	id, life, err := l.identity.startIncarnation()
	if err != nil {
		return nil, fmt.Errorf("fleet: seat: %w", err)
	}
	l.incarnation = life
	self := membership.Update{ID: id, Revision: membership.FirstRevision(life), Name: o.Name, Zone: o.Zone, Version: o.Version, Addr: o.AdvertiseAddr}
	now := o.Clock.Now()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if self.Addr.Port() == 0 { // the socket says, and so it cannot be another process's
		if err := l.bind(); err != nil {
			return nil, fmt.Errorf("fleet: listen: %w", err)
		}
		self.Addr = netip.AddrPortFrom(self.Addr.Addr(), l.conn.LocalAddr().(*net.UDPAddr).AddrPort().Port())
	}
	l.node = fleet.New(o.Node, self, o.Seeds, rng, now)
	if l.identity != "" {
		if b, err := os.ReadFile(l.identity.bansPath()); err == nil {
			l.node.Store.Import(now, b)
		}
	}
	for _, box := range o.InitialBans {
		if !l.node.Store.Disabled(box) {
			l.node.SetDisabled(now, box, true)
		}
	}
	l.publishStatus(now)
	return l, nil
}

func (l *Transport) bind() error {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(l.options.ListenAddr))
	if err == nil {
		l.conn, l.bound = c, true
	}
	return err
}

// Run carries the node until ctx ends. It returns when the socket is given back.
func (l *Transport) Run(ctx context.Context) {
	defer close(l.done)
	var reader sync.WaitGroup
	defer func() {
		if l.conn != nil {
			l.conn.Close()
		}
		reader.Wait()
	}()
	if l.bound {
		reader.Go(l.readLoop)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for said := false; !l.bound; {
		// A predecessor that still runs has the address. It gives it back at its end.
		select {
		case <-ctx.Done():
			return
		case f := <-l.commands:
			f(l.options.Clock.Now())
			l.step(nil)
		case <-timer.C:
			l.step(nil)
			if err := l.bind(); err != nil {
				if !said {
					said = true
					l.options.Log.Warn().Err(err).Msg("fleet socket not to be had yet")
				}
				if !errors.Is(err, syscall.EADDRINUSE) {
					l.options.Stats.Add("fleet_bind_errors", 1)
				}
				timer.Reset(clock.Duration(bindRetryInterval))
				continue
			}
			reader.Go(l.readLoop)
		}
	}
	l.options.Log.Info().Str("addr", l.node.Self().Addr.String()).Str("seat", l.node.Self().ID.String()).Uint64("life", l.incarnation).Msg("fleet joined")
	wake := l.step(nil)
	for {
		timer.Reset(clock.Duration(max(0, wake-l.options.Clock.Now())))
		select {
		case p := <-l.packets:
			wake = l.step(p)
		case f := <-l.commands:
			f(l.options.Clock.Now())
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
func (l *Transport) step(p *membership.Packet) (wake float64) {
	now := l.options.Clock.Now()
	out := l.node.Step(now, p)
	l.sendPackets(now, out.Packets)
	for _, e := range out.Events {
		l.logEvent(e)
	}
	for _, x := range out.Payloads {
		if l.options.Receiver == nil {
			break
		}
		if ch, b, whole := l.reassembler.Add(now, x); whole {
			l.options.Receiver(x.From, x.Incarnation, ch, b)
		}
	}
	if out.ConnectivityChanged {
		l.options.Log.Info().Str("stance", out.Connectivity.State.String()).Int("there", out.Connectivity.Present).Int("known", out.Connectivity.Known).Msg("fleet stance")
		l.publishPending = true
	}
	if len(out.Changes) > 0 {
		l.mu.Lock()
		l.changes = append(l.changes, out.Changes...) // the shelf's bounds bound it
		l.mu.Unlock()
		select {
		case l.changesReady <- struct{}{}:
		default:
		}
		l.publishPending = true
	}
	if l.publishPending = l.publishPending || out.ViewChanged || now-l.publishedAt >= 1000; l.publishPending {
		if now-l.publishedAt >= minPublishInterval {
			l.publishStatus(now)
		} else {
			out.WakeAt = min(out.WakeAt, l.publishedAt+minPublishInterval)
		}
	}
	if b, changed := l.node.Store.Export(); changed && l.identity != "" {
		l.saveBans(b)
	}
	return out.WakeAt
}

// saveBans writes the bans for the next life, whole or not at all.
func (l *Transport) saveBans(b []byte) {
	next := l.identity.bansPath() + ".new"
	err := os.WriteFile(next, b, 0o600)
	if err == nil {
		err = os.Rename(next, l.identity.bansPath())
	}
	if err != nil {
		l.options.Stats.Add("fleet_bans_unkept", 1)
		l.options.Log.Error().Err(err).Msg("fleet bans not kept for the next start")
	}
}

// logEvent logs a change of the view.
func (l *Transport) logEvent(e membership.Event) {
	l.options.Stats.Add("fleet_"+e.Kind, 1)
	at := l.options.Log.Info()
	switch e.Kind {
	case "conflict", "full":
		at = l.options.Log.Error()
	case "failed", "superseded", "woken":
		at = l.options.Log.Warn()
	}
	at.Str("what", e.Kind).Str("member", e.Update.Name).Str("seat", e.Update.ID.String()).Str("state", e.Update.State.String()).
		Uint64("life", e.Update.Incarnation()).Str("addr", e.Update.Addr.String()).Str("by", e.Update.ReportedBy.String()).Str("cause", e.Cause).Msg("fleet member")
}

// sendPackets seals and sends, within the bounds a second.
func (l *Transport) sendPackets(now float64, sends []membership.OutgoingPacket) {
	l.sendWithReserve(now, sends, 0)
}

// sendWithReserve sends as carry does, but leaves a share of the bounds for what matters more.
//
// A prober with 60 boxes and 80 routers has more to report than may be sent: renewals, its
// elector's words and its answers to probes are not to wait for that.
func (l *Transport) sendWithReserve(now float64, sends []membership.OutgoingPacket, keep float64) {
	if !l.bound {
		return
	}
	ring := l.keyring.Load()
	var packet [membership.MaxPacketLen]byte
	for _, s := range sends {
		b := s.Packet.Append(packet[:0])
		if len(b) > membership.MaxPacketLen {
			l.options.Stats.Add("fleet_too_long", 1)
			continue
		}
		l.sendBuffer = ring.Seal(l.sendBuffer[:0], b)
		if !l.limiter.allow(now, len(l.sendBuffer), keep) {
			l.options.Stats.Add("fleet_over_budget", 1)
			continue
		}
		if _, err := l.conn.WriteToUDPAddrPort(l.sendBuffer, s.To); err != nil {
			l.options.Stats.Add("fleet_send_errors", 1)
			continue
		}
		l.options.Stats.Add("fleet_packets_out", 1)
		l.options.Stats.Add("fleet_bytes_out", int64(len(l.sendBuffer)))
	}
}

// readLoop opens what the socket brings and hands it to the actor, until the socket closes.
func (l *Transport) readLoop() {
	sealed := make([]byte, membership.MaxPacketLen+packetcrypto.Overhead+1) // one more shows what is too long
	var open []byte
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(sealed)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.options.Stats.Add("fleet_read_errors", 1)
			continue
		}
		l.options.Stats.Add("fleet_packets_in", 1)
		l.options.Stats.Add("fleet_bytes_in", int64(n))
		if open, err = l.keyring.Load().Open(open[:0], sealed[:n]); err == nil {
			var p *membership.Packet
			if p, err = membership.Decode(open); err == nil {
				select {
				case l.packets <- p:
				default:
					l.options.Stats.Add("fleet_crowded_out", 1)
				}
				continue
			}
		}
		l.options.Stats.Add(rejectionCounter(err), 1)
	}
}

// rejectionCounter is the counter of what is not taken.
func rejectionCounter(err error) string {
	switch {
	case errors.Is(err, packetcrypto.ErrForeignPacket):
		return "fleet_strangers"
	case errors.Is(err, packetcrypto.ErrVersionMismatch):
		return "fleet_other_versions"
	case errors.Is(err, packetcrypto.ErrFleetMismatch):
		return "fleet_other_fleets"
	case errors.Is(err, packetcrypto.ErrNoMatchingKey):
		return "fleet_unopened"
	}
	return "fleet_broken_packets"
}

// leave tells the others, unless a successor has this router's seat already.
func (l *Transport) leave() {
	now := l.options.Clock.Now()
	if l.identity.latestIncarnation() > l.incarnation {
		l.options.Log.Info().Msg("fleet seat handed to a successor")
		return
	}
	out := l.node.Leave(now)
	l.sendPackets(now, out.Packets)
	l.options.Log.Info().Msg("fleet left")
}

// publishStatus replaces the snapshot.
func (l *Transport) publishStatus(now float64) {
	v := l.node.View()
	l.members.Store(v)
	s := fleet.NewStatus(v, l.node.Connectivity(), l.options.FleetName)
	s.At, s.Bound = now, l.bound
	for _, b := range l.node.Store.Bans() {
		s.Bans = append(s.Bans, b.String())
	}
	l.status.Store(s)
	l.publishPending, l.publishedAt = false, now
}

// Status returns the latest snapshot, which does not change. It allocates nothing.
func (l *Transport) Status() *fleet.Status { return l.status.Load() }

// Members returns the latest view as the state machines have it. It does not change.
func (l *Transport) Members() *membership.View { return l.members.Load() }

// SetReceiver sets who takes what others send to a machine of this router. It is called
// before Run.
func (l *Transport) SetReceiver(f func(from membership.ID, life uint64, ch fragment.Channel, b []byte)) {
	l.options.Receiver = f
}

// Send sends something to a machine of another router. It may get lost, and never blocks.
func (l *Transport) Send(to membership.ID, ch fragment.Channel, b []byte) {
	l.enqueue(func(now float64) {
		l.lastMessageID++
		for _, x := range fragment.Split(l.lastMessageID, ch, b) {
			out := l.node.SendPayload(now, to, x)
			keep := 0.0
			if ch == fragment.LoadReport {
				keep = loadReportReserve
			}
			l.sendWithReserve(now, out.Packets, keep)
		}
	})
}

// Stopped is closed when the actor has ended.
func (l *Transport) Stopped() <-chan struct{} { return l.done }

// enqueue has the actor do something. What finds no room is counted: it never blocks.
func (l *Transport) enqueue(f func(now float64)) {
	select {
	case l.commands <- f:
	default:
		l.options.Stats.Add("fleet_orders_dropped", 1)
	}
}

// SetDisabled tells the fleet that staff took a box out at this router's door, or back. It
// waits for room in the mailbox: the link waits for nobody.
func (l *Transport) SetDisabled(box routing.ServerID, out bool) {
	select {
	case l.commands <- func(now float64) { l.node.SetDisabled(now, box, out) }:
	case <-l.done:
	}
}

// Broadcast tells the fleet what this router's change log told.
func (l *Transport) Broadcast(w gossip.Item) {
	l.enqueue(func(now float64) { l.node.Publish(now, w) })
}

// Reload goes over to other keys and addresses to join at.
func (l *Transport) Reload(s Settings) {
	l.keyring.Store(s.Keyring)
	l.enqueue(func(float64) { l.node.SetSeeds(s.Seeds) })
}

// ChangesReady tells that there are changes.
func (l *Transport) ChangesReady() <-chan struct{} { return l.changesReady }

// TakeChanges returns what the others' words have changed since the last call.
func (l *Transport) TakeChanges() []gossip.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.changes
	l.changes = nil
	return c
}

// rateLimiter bounds what is sent a second; a second's worth may go at once.
type rateLimiter struct {
	packetsPerSecond, bytesPerSecond     float64 // a second
	packetTokens, byteTokens, refilledAt float64
}

// loadReportReserve is the share of the bounds that reports of the load of boxes leave untouched: the
// next one says more than one that was dropped.
const loadReportReserve = 0.25

// allow takes a packet's room, if keep of a second's worth is left after it.
func (b *rateLimiter) allow(now float64, n int, keep float64) bool {
	if b.refilledAt == 0 {
		b.packetTokens, b.byteTokens = b.packetsPerSecond, b.bytesPerSecond
	}
	if d := (now - b.refilledAt) / 1000; b.refilledAt != 0 && d > 0 {
		b.packetTokens, b.byteTokens = min(b.packetsPerSecond, b.packetTokens+d*b.packetsPerSecond), min(b.bytesPerSecond, b.byteTokens+d*b.bytesPerSecond)
	}
	b.refilledAt = now
	if b.packetTokens-1 < keep*b.packetsPerSecond || b.byteTokens-float64(n) < keep*b.bytesPerSecond {
		return false
	}
	b.packetTokens, b.byteTokens = b.packetTokens-1, b.byteTokens-float64(n)
	return true
}
