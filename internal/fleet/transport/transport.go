// Package transport connects a router with the others of its fleet by UDP: it owns the
// socket, the fleet.Node that packets and time step, and the files for the router's next
// process.
//
// One goroutine, Transport.Run, owns all of that. The other methods may be called by any
// goroutine; nothing that serves a request waits for them, but for SetDisabled, which waits
// for room in a queue. What is known is published as snapshots.
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

	"garnetline/internal/atomicfile"
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
	queueCapacity     = 256   // packets, and commands, that wait; more are dropped and counted
	bindRetryInterval = 100.0 // ms
)

// Settings are what the operators' file says.
type Settings struct {
	FleetName        string
	ListenAddr       netip.AddrPort
	AdvertiseAddr    netip.AddrPort // port 0: the one that is listened at
	Seeds            []netip.AddrPort
	Keyring          *packetcrypto.Keyring
	Node             fleet.Settings
	PacketsPerSecond float64 // sent, at the most
	BytesPerSecond   float64 // sent, encrypted, at the most
}

// Receiver is called with a message of another router's state machine. It must not block.
type Receiver func(from membership.ID, incarnation uint64, channel fragment.Channel, message []byte)

// Options are what a Transport works with.
type Options struct {
	Settings
	Name, Zone, Version string
	StateDir            string // outlives the process; empty: there is none
	Clock               clock.Clock
	Log                 *zerolog.Logger
	Metrics             *metrics.Registry
	InitialBans         []routing.ServerID // set by operators while no fleet knew
	Receiver            Receiver           // nil: messages are dropped
}

// Transport connects a router with the others of its fleet.
type Transport struct {
	options     Options
	identity    identityFile
	incarnation uint64
	keyring     atomic.Pointer[packetcrypto.Keyring]
	packets     chan *membership.Packet
	commands    chan func(now float64)
	status      atomic.Pointer[fleet.Status]
	members     atomic.Pointer[membership.View]
	done        chan struct{}

	// Owned by Run.
	node           *fleet.Node
	reassembler    fragment.Reassembler
	lastMessageID  uint64
	conn           *net.UDPConn
	bound          bool
	sendBuffer     []byte
	limiter        rateLimiter
	publishPending bool
	publishedAt    float64

	mu           sync.Mutex
	changes      []gossip.Change // guarded by mu
	changesReady chan struct{}
}

// New returns a transport after it has begun an incarnation of the router's identity. Run
// runs it.
func New(options Options) (*Transport, error) {
	t := &Transport{
		options:      options,
		identity:     identityFileIn(options.StateDir, options.Name),
		packets:      make(chan *membership.Packet, queueCapacity),
		commands:     make(chan func(float64), queueCapacity),
		done:         make(chan struct{}),
		changesReady: make(chan struct{}, 1),
		limiter:      rateLimiter{packetsPerSecond: options.PacketsPerSecond, bytesPerSecond: options.BytesPerSecond},
	}
	t.keyring.Store(options.Keyring)
	id, incarnation, err := t.identity.startIncarnation()
	if err != nil {
		return nil, fmt.Errorf("fleet: identity file: %w", err)
	}
	t.incarnation = incarnation
	self := membership.Update{
		ID:       id,
		Revision: membership.FirstRevision(incarnation),
		Name:     options.Name,
		Zone:     options.Zone,
		Version:  options.Version,
		Addr:     options.AdvertiseAddr,
	}
	now := t.now()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if self.Addr.Port() == 0 { // the socket determines it, and so it cannot be another process's
		if err := t.bind(); err != nil {
			return nil, fmt.Errorf("fleet: listen: %w", err)
		}
		self.Addr = netip.AddrPortFrom(self.Addr.Addr(), t.conn.LocalAddr().(*net.UDPAddr).AddrPort().Port())
	}
	t.node = fleet.New(options.Node, self, options.Seeds, rng, now)
	t.restoreBans(now)
	t.publishStatus(now)
	return t, nil
}

func (t *Transport) now() float64 { return t.options.Clock.Now() }

func (t *Transport) bind() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(t.options.ListenAddr))
	if err == nil {
		t.conn = conn
		t.bound = true
	}
	return err
}

// Run runs the transport until ctx ends. It returns when the socket is closed.
func (t *Transport) Run(ctx context.Context) {
	defer close(t.done)
	var reader sync.WaitGroup
	defer func() {
		if t.conn != nil {
			_ = t.conn.Close() // its readers end, which is all that matters
		}
		reader.Wait()
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	if !t.bound && !t.waitForSocket(ctx, timer) {
		return
	}
	reader.Go(t.readLoop)
	self := t.node.Self()
	t.options.Log.Info().Str("addr", self.Addr.String()).Str("router_id", self.ID.String()).Uint64("incarnation", t.incarnation).Msg("fleet transport started")
	t.serve(ctx, timer)
}

// waitForSocket binds the socket. A predecessor that still runs has the address; it closes
// its socket at its end. It returns false where ctx ended first.
func (t *Transport) waitForSocket(ctx context.Context, timer *time.Timer) bool {
	logged := false
	for !t.bound {
		select {
		case <-ctx.Done():
			return false
		case command := <-t.commands:
			command(t.now())
			t.step(nil)
		case <-timer.C:
			t.step(nil)
			err := t.bind()
			if err == nil {
				continue
			}
			if !logged {
				logged = true
				t.options.Log.Warn().Err(err).Str("addr", t.options.ListenAddr.String()).Msg("fleet socket not available yet, retrying")
			}
			if !errors.Is(err, syscall.EADDRINUSE) {
				t.options.Metrics.Add(counterBindErrors, 1)
			}
			timer.Reset(clock.Duration(bindRetryInterval))
		}
	}
	return true
}

// serve steps the node by packets, commands and its timer, and leaves the fleet when ctx
// ends.
func (t *Transport) serve(ctx context.Context, timer *time.Timer) {
	wakeAt := t.step(nil)
	for {
		timer.Reset(clock.Duration(max(0, wakeAt-t.now())))
		select {
		case p := <-t.packets:
			wakeAt = t.step(p)
		case command := <-t.commands:
			command(t.now())
			wakeAt = t.step(nil)
		case <-timer.C:
			wakeAt = t.step(nil)
		case <-ctx.Done():
			t.leave()
			return
		}
	}
}

// step steps the node with a packet, which may be nil, and carries out what that calls for.
// It returns when to step next.
func (t *Transport) step(p *membership.Packet) (wakeAt float64) {
	now := t.now()
	out := t.node.Step(now, p)
	t.sendPackets(now, out.Packets)
	for _, event := range out.Events {
		t.logEvent(event)
	}
	t.deliver(now, out.Payloads)
	if out.ConnectivityChanged {
		t.options.Log.Info().Str("connectivity", out.Connectivity.State.String()).Int("present", out.Connectivity.Present).Int("known", out.Connectivity.Known).Msg("fleet connectivity changed")
		t.publishPending = true
	}
	if len(out.Changes) > 0 {
		t.notifyChanges(out.Changes)
		t.publishPending = true
	}
	wakeAt = t.publishIfDue(now, out.ViewChanged, out.WakeAt)
	if bans, changed := t.node.Store.Export(); changed && t.identity != "" {
		t.saveBans(bans)
	}
	return wakeAt
}

// deliver hands complete messages of other routers to the receiver.
func (t *Transport) deliver(now float64, payloads []membership.Payload) {
	if t.options.Receiver == nil {
		return
	}
	for _, payload := range payloads {
		if channel, message, complete := t.reassembler.Add(now, payload); complete {
			t.options.Receiver(payload.From, payload.Incarnation, channel, message)
		}
	}
}

// leave tells the others that this router leaves, unless a successor has its identity
// already.
func (t *Transport) leave() {
	now := t.now()
	if t.identity.latestIncarnation() > t.incarnation {
		t.options.Log.Info().Uint64("incarnation", t.incarnation).Msg("fleet identity taken over by a later process")
		return
	}
	out := t.node.Leave(now)
	t.sendPackets(now, out.Packets)
	t.options.Log.Info().Msg("fleet left")
}

// logEvent logs and counts a change of the view.
func (t *Transport) logEvent(event membership.Event) {
	t.options.Metrics.Add(eventCounterPrefix+event.Kind, 1)
	line := t.options.Log.Info()
	switch event.Kind {
	case membership.EventConflict, membership.EventFull:
		line = t.options.Log.Error()
	case membership.EventFailed, membership.EventSuperseded, membership.EventStalled:
		line = t.options.Log.Warn()
	}
	update := event.Update
	line.Str("what", event.Kind). // the test cluster looks for it
					Str("member", update.Name).
					Str("router_id", update.ID.String()).
					Str("state", update.State.String()).
					Uint64("incarnation", update.Incarnation()).
					Str("addr", update.Addr.String()).
					Str("reported_by", update.ReportedBy.String()).
					Str("cause", event.Cause).
					Msg("fleet member changed")
}

// restoreBans loads the bans of the process before, and adds those that operators set while
// no fleet knew.
func (t *Transport) restoreBans(now float64) {
	if t.identity != "" {
		if bans, err := os.ReadFile(t.identity.gossipedBansPath()); err == nil {
			t.node.Store.Import(now, bans)
		}
	}
	for _, server := range t.options.InitialBans {
		if !t.node.Store.Disabled(server) {
			t.node.SetDisabled(now, server, true)
		}
	}
}

// saveBans replaces the file of the bans for the next process, as a whole or not at all.
func (t *Transport) saveBans(bans []byte) {
	if err := atomicfile.Replace(t.identity.gossipedBansPath(), bans); err != nil {
		t.options.Metrics.Add(counterBansNotSaved, 1)
		t.options.Log.Error().Err(err).Msg("fleet bans not saved for the next start")
	}
}
