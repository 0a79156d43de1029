// Package netsim simulates a network of routers. The routers run the same state machines of the
// fleet as the daemon. All routers share one virtual clock and one goroutine. The seed of a run
// determines every packet. The package is for tests and experiments.
//
// The recorded results of experiments depend on the order in which random numbers are drawn. A
// change of this package must not add, remove or reorder draws.
package netsim

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/membership"
)

const (
	// randomStream is the second half of the random number generator's initial state. The seed is
	// the first half.
	randomStream uint64 = 0x9e3779b97f4a7c15

	// hostPort is the UDP port of all hosts.
	hostPort = 7946

	// zoneCount is the number of zones. The number of a host's slot (see Addr) determines its zone.
	zoneCount = 3
)

// Network is a simulated network with its hosts. It is not safe for concurrent use.
type Network struct {
	Now    float64 // ms since the start of the run
	Link   Link    // may be changed between two calls of Run
	Rng    *rand.Rand
	Hosts  []*Host // all hosts that were ever started, including dead hosts
	Events int64   // number of packets and timers handled so far

	// OnSend, unless nil, is called with each packet that a host sends, including packets that are lost.
	OnSend func(Datagram)

	hostsByAddr  map[netip.AddrPort]*Host // the live process that listens at each address
	events       eventQueue
	lastSequence uint64 // sequence number of the event that was scheduled last
	encodeBuffer []byte
}

// Datagram is a packet with its destination address.
type Datagram struct {
	To     netip.AddrPort
	Packet membership.Packet
}

// New returns a network without hosts. The network loses no packets, and delays each packet by half
// a millisecond on average.
func New(seed uint64) *Network {
	return &Network{
		Link:        Link{Delay: defaultDelay, Jitter: defaultJitter},
		Rng:         rand.New(rand.NewPCG(seed, randomStream)),
		hostsByAddr: map[netip.AddrPort]*Host{},
	}
}

// Addr returns the address of a slot. A slot is a place on the network where at most one process
// listens at a time.
func Addr(slot int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, 1, byte(slot >> 8), byte(slot)})
	return netip.AddrPortFrom(ip, hostPort)
}

// StartFleet starts the given number of routers, each in its first incarnation. The first router is
// in slot 0, the next router in slot 1, and so on. Each router joins the fleet through the addresses
// of the first two slots.
func (n *Network) StartFleet(routers int, settings fleet.Settings, protocols Protocols) {
	for slot := range routers {
		name := fmt.Sprintf("r%03d", slot)
		id := membership.ID(n.Rng.Uint64() | 1) // not 0, which means that there is no router
		n.StartHost(slot, name, id, 1, settings, protocols)
	}
}

// StartHost starts a process of a router in a slot and returns the process. If another process
// already runs in the slot, that older process receives no further packets.
func (n *Network) StartHost(slot int, name string, id membership.ID, incarnation uint64, settings fleet.Settings, protocols Protocols) *Host {
	self := membership.Update{
		ID:       id,
		Revision: membership.FirstRevision(incarnation),
		Name:     name,
		Zone:     fmt.Sprintf("z%d", slot%zoneCount),
		Version:  "v",
		Addr:     Addr(slot),
	}
	rng := rand.New(rand.NewPCG(n.Rng.Uint64(), n.Rng.Uint64()))
	seeds := []netip.AddrPort{Addr(0), Addr(1)}
	host := newHost(self)
	if protocols == MembershipAlone {
		host.Machine = MembershipOnly{membership.New(settings.Membership, self, seeds, rng, nil, n.Now)}
	} else {
		host.Machine = fleet.New(settings, self, seeds, rng, n.Now)
	}
	n.Hosts = append(n.Hosts, host)
	n.hostsByAddr[host.Addr] = host
	n.schedule(event{at: n.Now, host: host})
	return host
}

// Kill ends a process as a crash would: the process sends no further packets.
func (n *Network) Kill(host *Host) {
	host.Dead = true
	if n.hostsByAddr[host.Addr] == host {
		delete(n.hostsByAddr, host.Addr)
	}
}

// Leave shuts a process down gracefully: the process first notifies its peers.
func (n *Network) Leave(host *Host) {
	out := host.Leave(n.Now)
	n.sendPackets(host, &out)
	n.Kill(host)
}

// Pause stops a process for the given duration in ms, as SIGSTOP would. Packets to the process are
// buffered, up to the size of the socket buffer.
func (n *Network) Pause(host *Host, duration float64) {
	host.pausedUntil = n.Now + duration
	n.schedule(event{at: host.pausedUntil, host: host})
}

// Step calls the function action, which may change the state of the host. Then it steps the host.
func (n *Network) Step(host *Host, action func()) {
	action()
	n.stepHost(host, nil)
}

// Inject delivers a datagram at the current time. The same datagram may have been delivered before.
func (n *Network) Inject(datagram Datagram) {
	n.schedule(event{at: n.Now, packet: &datagram.Packet, destination: datagram.To})
}

// Run handles all events up to endTime, in ms, and sets the clock to endTime.
func (n *Network) Run(endTime float64) {
	for len(n.events) > 0 && n.events[0].at <= endTime {
		next := n.events.pop()
		n.Now = next.at
		n.Events++
		if next.packet != nil {
			n.handlePacket(next)
		} else {
			n.handleTimer(next)
		}
	}
	n.Now = endTime
}

// RunUntil runs the network until the condition holds or the clock reaches the deadline. It checks
// the condition at the start and after each interval, and reports whether the condition holds. Both
// times are in ms.
func (n *Network) RunUntil(deadline, interval float64, condition func() bool) bool {
	for !condition() {
		if n.Now >= deadline {
			return false
		}
		n.Run(n.Now + interval)
	}
	return true
}

// handlePacket passes a packet to the process that listens at its destination. The packet is lost
// if no process listens there.
func (n *Network) handlePacket(arrival event) {
	if host := n.hostsByAddr[arrival.destination]; host != nil {
		n.stepUnlessPaused(host, arrival.packet)
	}
}

func (n *Network) handleTimer(timer event) {
	timer.host.clearTimer(timer.at)
	n.stepUnlessPaused(timer.host, nil)
}

// stepUnlessPaused steps a host. The packet is nil if a timer fired. A paused host buffers the
// packet, and handles it at the first event after the pause. A dead host does nothing.
func (n *Network) stepUnlessPaused(host *Host, packet *membership.Packet) {
	switch {
	case host.Dead:
	case n.Now < host.pausedUntil:
		host.buffer(packet)
	default:
		for _, buffered := range host.socketBuffer {
			n.stepHost(host, buffered)
		}
		host.socketBuffer = host.socketBuffer[:0]
		n.stepHost(host, packet)
	}
}

func (n *Network) stepHost(host *Host, packet *membership.Packet) {
	hostNow := host.localTime(n.Now)
	out := host.Step(hostNow, packet)
	n.sendPackets(host, &out.Output)
	if host.OnStep != nil {
		host.OnStep(host, n.Now, &out)
	}
	wakeAt := n.Now + max(out.WakeAt-hostNow, minTimerDelay)
	if host.setTimer(wakeAt) {
		n.schedule(event{at: wakeAt, host: host})
	}
}

// schedule adds an event to the queue. Events with the same time are handled in the order in which
// they were scheduled.
func (n *Network) schedule(scheduled event) {
	n.lastSequence++
	scheduled.sequence = n.lastSequence
	n.events.push(scheduled)
}
