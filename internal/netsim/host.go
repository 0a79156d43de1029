package netsim

import (
	"math"
	"net/netip"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/membership"
)

const (
	// socketBufferPackets is how many packets the socket buffer of a paused process holds.
	socketBufferPackets = 200

	// minTimerDelay, in ms, keeps a machine that always wants to be stepped at once from
	// holding the clock still.
	minTimerDelay = 0.05
)

// Machine is the state machine that a host runs.
type Machine interface {
	// Step brings the machine to now, in ms of the host's clock, and handles a packet, which
	// may be nil.
	Step(now float64, packet *membership.Packet) fleet.Output
	// Leave returns what to send before an orderly shutdown.
	Leave(now float64) membership.Output
	// State returns how the machine sees a router, and whether it knows it.
	State(id membership.ID) (state membership.State, known bool)
}

// Protocols says which state machines a host runs.
type Protocols int

const (
	// AllProtocols are those of a daemon: membership, gossip about servers, and connectivity.
	AllProtocols Protocols = iota
	// MembershipAlone is the membership protocol without the others.
	MembershipAlone
)

// MembershipOnly is a Machine that runs the membership protocol alone, without gossip about
// servers and without connectivity.
type MembershipOnly struct{ *membership.Machine }

// Step steps the membership protocol.
func (m MembershipOnly) Step(now float64, packet *membership.Packet) fleet.Output {
	return fleet.Output{Output: m.Machine.Step(now, packet)}
}

// Host is one process of a router.
type Host struct {
	Machine
	Name        string
	Addr        netip.AddrPort
	Self        membership.Update // as the process started
	Dead        bool              // killed or shut down; set by Network
	PacketsSent int64
	BytesSent   int64 // with encryption and the headers of IP and UDP

	// Clock, unless nil, converts the network's time to that of the host's own clock, both
	// in ms.
	Clock func(now float64) float64

	// OnStep, unless nil, is called after each step with the network's time and what the
	// step called for.
	OnStep func(host *Host, now float64, out *fleet.Output)

	pausedUntil  float64              // ms
	nextTimerAt  float64              // ms, of the earliest timer in the queue; infinite without one
	socketBuffer []*membership.Packet // arrived while the process is paused
}

func newHost(self membership.Update) *Host {
	return &Host{Name: self.Name, Addr: self.Addr, Self: self, nextTimerAt: math.Inf(1)}
}

// Membership returns the host's membership machine, or nil for a host that runs another
// protocol.
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

// setTimer notes a timer and reports whether it is to be scheduled. Each host has one timer in
// the queue: a later one is set again by the step that the earlier one causes.
func (h *Host) setTimer(at float64) bool {
	if at >= h.nextTimerAt {
		return false
	}
	h.nextTimerAt = at
	return true
}

// clearTimer notes that a timer of time at has fired.
func (h *Host) clearTimer(at float64) {
	if h.nextTimerAt <= at {
		h.nextTimerAt = math.Inf(1)
	}
}

// buffer keeps a packet, unless it is nil or the socket buffer is full.
func (h *Host) buffer(packet *membership.Packet) {
	if packet != nil && len(h.socketBuffer) < socketBufferPackets {
		h.socketBuffer = append(h.socketBuffer, packet)
	}
}
