// Package transport connects a router with the other routers of its fleet by UDP. It owns the
// socket, the fleet.Node that packets and timers advance, and the files for the router's next
// process.
//
// The goroutine that calls Transport.Run owns all of these. Any goroutine may call the other
// methods. None of them blocks except SetDisabled, which waits while the command queue is full.
// Readers get the state of the fleet as immutable snapshots.
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
	queueCapacity     = 256   // capacity of the packet queue and of the command queue
	bindRetryInterval = 100.0 // ms
)

// Settings are the operators' settings of the fleet.
type Settings struct {
	FleetName        string
	ListenAddr       netip.AddrPort
	AdvertiseAddr    netip.AddrPort // port 0: the port of the bound socket
	Seeds            []netip.AddrPort
	Keyring          *packetcrypto.Keyring
	Node             fleet.Settings
	PacketsPerSecond float64 // limit of the packets sent
	BytesPerSecond   float64 // limit of the encrypted bytes sent
}

// Receiver handles a message from a state machine of another router. It must not block.
type Receiver func(from membership.ID, incarnation uint64, channel fragment.Channel, message []byte)

// Options are the settings and the dependencies of a Transport.
type Options struct {
	Settings
	Name, Zone, Version string
	StateDir            string // a folder that outlives the process; empty: nothing is stored
	Clock               clock.Clock
	Log                 *zerolog.Logger
	Metrics             *metrics.Registry
	InitialBans         []routing.ServerID // bans that operators set while the router was in no fleet
	Receiver            Receiver           // nil: messages are dropped
}

// Transport connects a router with the other routers of its fleet.
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

// New starts the next incarnation of the router's identity and returns its transport, which Run
// runs. It returns an error if the identity file cannot be updated. If the port of AdvertiseAddr
// is 0, New binds the socket to learn its port, and returns an error if the bind fails.
func New(options Options) (*Transport, error) {
	t := &Transport{
		options:      options,
		identity:     newIdentityFile(options.StateDir, options.Name),
		packets:      make(chan *membership.Packet, queueCapacity),
		commands:     make(chan func(float64), queueCapacity),
		done:         make(chan struct{}),
		changesReady: make(chan struct{}, 1),
		limiter:      rateLimiter{packetsPerSecond: options.PacketsPerSecond, bytesPerSecond: options.BytesPerSecond},
	}
	t.keyring.Store(options.Keyring)
	id, incarnation, err := t.identity.startIncarnation()
	if err != nil {
		return nil, fmt.Errorf("fleet: update identity file: %w", err)
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
	if self.Addr.Port() == 0 { // the port is known only after the bind; no previous process can hold this port
		if err := t.bind(); err != nil {
			return nil, fmt.Errorf("fleet: bind UDP socket: %w", err)
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

// Run runs the transport until ctx ends. It returns after the socket is closed.
func (t *Transport) Run(ctx context.Context) {
	defer close(t.done)
	var reader sync.WaitGroup
	defer func() {
		if t.conn != nil {
			_ = t.conn.Close() // ends readLoop; an error of Close has no consequence
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

// waitForSocket retries until the socket is bound. The bind fails while the router's previous
// process still runs and holds the address. waitForSocket returns false if ctx ends first.
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

// serve steps the node for each packet, command and timer, and leaves the fleet when ctx ends.
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

// step steps the node with a packet, which may be nil, and carries out the output. It returns
// the latest time of the next step.
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

// deliver reassembles the messages of other routers and calls the receiver with each
// complete message.
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

// leave tells the other routers that this router leaves, unless a later process of the router
// has taken over its identity.
func (t *Transport) leave() {
	now := t.now()
	if t.identity.latestIncarnation() > t.incarnation {
		t.options.Log.Info().Uint64("incarnation", t.incarnation).Msg("fleet identity taken over by a later process")
		return
	}
	out := t.node.Leave(now)
	t.sendPackets(now, out.Packets)
	t.options.Log.Info().Msg("this router left the fleet")
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
	line.Str("what", event.Kind). // the test cluster searches the log for this field
					Str("member", update.Name).
					Str("router_id", update.ID.String()).
					Str("state", update.State.String()).
					Uint64("incarnation", update.Incarnation()).
					Str("addr", update.Addr.String()).
					Str("reported_by", update.ReportedBy.String()).
					Str("cause", event.Cause).
					Msg("fleet member changed")
}

// restoreBans loads the bans that the previous process stored, and adds the bans that operators
// set while the router was in no fleet.
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

// saveBans atomically replaces the file from which the next process restores the bans.
func (t *Transport) saveBans(bans []byte) {
	if err := atomicfile.Replace(t.identity.gossipedBansPath(), bans); err != nil {
		t.options.Metrics.Add(counterBansNotSaved, 1)
		t.options.Log.Error().Err(err).Msg("fleet bans not saved for the next start")
	}
}
