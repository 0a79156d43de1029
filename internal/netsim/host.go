package netsim

import (
	"math"
	"net/netip"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/membership"
)

const (
	// socketBufferPackets is the maximum number of packets in the socket buffer of a paused process.
	socketBufferPackets = 200

	// minTimerDelay is the minimum delay of a timer, in ms. It makes the clock advance even if a
	// state machine always asks for an immediate step.
	minTimerDelay = 0.05
)

// Machine is the state machine that a host runs.
type Machine interface {
	// Step advances the machine to the time now, in ms of the host's clock. It handles the packet
	// if packet is not nil.
	Step(now float64, packet *membership.Packet) fleet.Output
	// Leave returns the packets to send before a graceful shutdown.
	Leave(now float64) membership.Output
	// State returns the state in which the machine sees a router, and whether it knows the router.
	State(id membership.ID) (state membership.State, known bool)
}

// Protocols selects the state machines that a host runs.
type Protocols int

const (
	// AllProtocols selects the state machines of the daemon: membership, gossip about servers, and
	// connectivity.
	AllProtocols Protocols = iota
	// MembershipAlone selects only the state machine of the membership protocol.
	MembershipAlone
)

// MembershipOnly is a Machine that runs only the membership protocol, without gossip about servers
// and without connectivity.
type MembershipOnly struct{ *membership.Machine }

// Step steps the membership machine.
func (m MembershipOnly) Step(now float64, packet *membership.Packet) fleet.Output {
	return fleet.Output{Output: m.Machine.Step(now, packet)}
}

// Host is one process of a router.
type Host struct {
	Machine
	Name        string
	Addr        netip.AddrPort
	Self        membership.Update // the update with which the process started
	Dead        bool              // the process was killed or shut down; set by Network
	PacketsSent int64
	BytesSent   int64 // including encryption and the headers of IP and UDP

	// Clock, unless nil, converts the network's time to the time of the host's own clock. Both are
	// in ms.
	Clock func(now float64) float64

	// OnStep, unless nil, is called after each step with the network's time and the output of the
	// step.
	OnStep func(host *Host, now float64, out *fleet.Output)

	pausedUntil  float64              // ms of the network's time
	nextTimerAt  float64              // ms of the network's time; time of the host's earliest timer, infinite if there is none
	socketBuffer []*membership.Packet // packets that arrived while the process is paused
}

func newHost(self membership.Update) *Host {
	return &Host{Name: self.Name, Addr: self.Addr, Self: self, nextTimerAt: math.Inf(1)}
}

// Membership returns the host's membership machine, or nil if the host runs a Machine without the
// membership protocol.
func (h *Host) Membership() *membership.Machine {
	switch machine := h.Machine.(type) {
	case MembershipOnly:
		return machine.Machine
	case *fleet.Node:
		return machine.Machine
	}
	return nil
}

func (h *Host) localTime(now float64) float64 {
	if h.Clock == nil {
		return now
	}
	return h.Clock(now)
}

// setTimer records a timer for the given time and reports whether the caller must schedule the
// timer's event. It returns false if a timer of the host is already scheduled for the same time or
// an earlier time. The step at that timer sets the next timer.
func (h *Host) setTimer(timerAt float64) bool {
	if timerAt >= h.nextTimerAt {
		return false
	}
	h.nextTimerAt = timerAt
	return true
}

// clearTimer records that the timer for the given time has fired.
func (h *Host) clearTimer(timerAt float64) {
	if h.nextTimerAt <= timerAt {
		h.nextTimerAt = math.Inf(1)
	}
}

// buffer stores a packet until the pause ends. It drops the packet if the socket buffer is full,
// and ignores a nil packet.
func (h *Host) buffer(packet *membership.Packet) {
	if packet != nil && len(h.socketBuffer) < socketBufferPackets {
		h.socketBuffer = append(h.socketBuffer, packet)
	}
}
