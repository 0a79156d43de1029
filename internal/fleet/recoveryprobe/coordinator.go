package recoveryprobe

import (
	"context"
	"slices"
	"time"

	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/zonelease"
	"garnetline/routing"
)

const (
	stepInterval     = 50 * time.Millisecond
	mailboxSize      = 256
	holderCandidates = 2 // number of highest-ranked routers that receive reports while the lease holder is unknown
)

// Options are the settings and the dependencies of a Coordinator. None of the functions may block.
type Options struct {
	zonelease.Options
	Settings
	Self membership.ID

	// LastKnownHolder returns a lease's holder according to the latest response of the lease
	// registry, or 0 if the holder is not known.
	LastKnownHolder func(leaseName string) membership.ID
	// Ejected returns the servers that this router's outlier detection has ejected.
	Ejected func() []routing.ServerID
	// ExtendEjection keeps an ejected server ejected for the given duration from now, in ms.
	ExtendEjection func(server routing.ServerID, duration float64)
	// RequireProbe ejects a server until one request to it has succeeded.
	RequireProbe func(server routing.ServerID)
}

// Coordinator runs a Machine: it sends the Machine's messages, and tells the routing module which
// servers to keep ejected and which to probe.
type Coordinator struct {
	options   Options
	leaseName string
	machine   *Machine // owned by Run
	mailbox   chan receivedMessage
	done      chan struct{}
}

// receivedMessage is a message with its sender.
type receivedMessage struct {
	from    membership.ID
	message Message
}

// New returns a Coordinator. Run starts it.
func New(options Options) *Coordinator {
	return &Coordinator{
		options:   options,
		leaseName: LeaseName(options.Zone),
		machine:   NewMachine(options.Settings, options.Self),
		mailbox:   make(chan receivedMessage, mailboxSize),
		done:      make(chan struct{}),
	}
}

// Run runs the Machine until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-c.mailbox:
			if !c.machine.HandleMessage(c.options.Clock.Now(), received.from, received.message) {
				c.options.Metrics.Add("first_words_refused", 1)
			}
		case <-ticker.C:
			c.step()
		}
	}
}

func (c *Coordinator) step() {
	out := c.machine.Step(c.options.Clock.Now(), c.input())
	for server, duration := range out.EjectionExtensions {
		c.options.ExtendEjection(server, duration)
		c.options.Metrics.Add("first_holds", 1)
	}
	for _, server := range out.Probes {
		c.options.RequireProbe(server)
		c.options.Metrics.Add("first_suspects", 1)
	}
	for to, message := range out.Messages {
		c.send(to, message)
	}
}

func (c *Coordinator) input() Input {
	peers := c.options.ZonePeers()
	routers := append(slices.Clone(peers), c.options.Self)
	candidates := lease.TopRanked(c.leaseName, routers, holderCandidates)
	fencingToken, ok := c.options.Valid(c.leaseName)
	if !ok {
		fencingToken = 0
	}
	return Input{
		Ejected:          c.options.Ejected(),
		FencingToken:     fencingToken,
		ZonePeers:        peers,
		HolderCandidates: append(candidates, c.options.LastKnownHolder(c.leaseName)),
	}
}

func (c *Coordinator) send(to membership.ID, message Message) {
	if message.FencingToken == 0 {
		c.options.Send(to, fragment.EjectionReport, message.Append(nil))
		return
	}
	// Check the lease again right before the send. The process may have been paused since the
	// step, and a router must not send results after its lease has ended.
	if current, ok := c.options.Valid(c.leaseName); !ok || current != message.FencingToken {
		c.options.Metrics.Add("first_held_back", 1)
		return
	}
	c.options.Send(to, fragment.ProbeResult, message.Append(nil))
}

// Stopped returns a channel that is closed when Run has returned.
func (c *Coordinator) Stopped() <-chan struct{} { return c.done }

// Receive queues another router's message for Run. It never blocks. It drops and counts the message
// if the message is malformed or on the wrong channel, or if the mailbox is full.
func (c *Coordinator) Receive(from membership.ID, channel fragment.Channel, encoded []byte) {
	message, ok := Decode(encoded)
	fromHolder := message.FencingToken != 0
	if !ok || fromHolder != (channel == fragment.ProbeResult) {
		c.options.Metrics.Add("first_words_refused", 1)
		return
	}
	select {
	case c.mailbox <- receivedMessage{from: from, message: message}:
	default:
		c.options.Metrics.Add("first_crowded_out", 1)
	}
}
