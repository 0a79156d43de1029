// Package netsim runs the state machines of many routers on one manual clock and a
// network of its own, deterministic from one seed: the same code as in the daemon, by
// the hundred, in one goroutine.
package netsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/packetcrypto"
)

// udpHead is what the network adds to a datagram: IPv4 and UDP.
const headerBytes = 28

// Machine is what a host runs.
type Machine interface {
	Step(now float64, p *membership.Packet) fleet.Output
	Leave(now float64) membership.Output
}

// Bare runs membership alone, without words of boxes and stance.
type MembershipOnly struct{ *membership.Machine }

// Step steps it.
func (b MembershipOnly) Step(now float64, p *membership.Packet) fleet.Output {
	return fleet.Output{Output: b.Machine.Step(now, p)}
}

// Host is one process of a router.
type Host struct {
	Machine
	Name         string
	Addr         netip.AddrPort
	Self         membership.Update
	Dead         bool
	PacketsSent  int64 // packets
	BytesSent    int64 // that it sent, sealed, with the network's heads
	pausedUntil  float64
	nextTimerAt  float64 // of its earliest timer that is in the queue
	socketBuffer []*membership.Packet
	Clock        func(now float64) float64                     // its own; nil: the network's
	OnStep       func(h *Host, now float64, out *fleet.Output) // may be nil
}

// Link decides what becomes of a packet from one host to another.
type Link struct {
	Loss        float64                            // share that is lost
	Duplicate   float64                            // share that comes twice
	Delay       float64                            // ms at the least
	Jitter      float64                            // mean of what comes on top
	Partitioned func(from, to *Host) bool          // nil: nothing is
	ExtraDelay  func(p *membership.Packet) float64 // further delay; nil: none
}

// Net is the network and its hosts.
type Network struct {
	Now          float64
	Link         Link
	Rng          *rand.Rand
	Hosts        []*Host
	Events       int64
	Tap          func(Datagram) // sees what is sent; may be nil
	hostsByAddr  map[netip.AddrPort]*Host
	events       eventQueue
	lastSequence uint64
	encodeBuffer []byte
}

// Send is a packet as it went to an address.
type Datagram struct {
	To     netip.AddrPort
	Packet membership.Packet
}

// Inject has a packet arrive now, once more or for the first time.
func (v *Network) Inject(s Datagram) {
	v.schedule(event{at: v.Now, packet: &s.Packet, destination: s.To})
}

// New returns an empty network.
func New(seed uint64) *Network {
	return &Network{Link: Link{Delay: 0.2, Jitter: 0.3}, Rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), hostsByAddr: map[netip.AddrPort]*Host{}}
}

// Addr is the address of the i-th place of the network.
func Addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7946)
}

// Fleet adds n routers of one fleet, each in its first life, that find each other by the
// address of the first.
func (v *Network) StartFleet(n int, set fleet.Settings, bare bool) {
	for i := range n {
		v.StartHost(i, fmt.Sprintf("r%03d", i), membership.ID(v.Rng.Uint64()|1), 1, set, bare)
	}
}

// Start adds a process of a router at a place, with a seat and a life.
func (v *Network) StartHost(place int, name string, seat membership.ID, life uint64, set fleet.Settings, bare bool) *Host {
	h := &Host{Name: name, Addr: Addr(place), nextTimerAt: math.Inf(1),
		Self: membership.Update{ID: seat, Revision: membership.FirstRevision(life), Name: name, Zone: fmt.Sprintf("z%d", place%3), Version: "v", Addr: Addr(place)}}
	rng := rand.New(rand.NewPCG(v.Rng.Uint64(), v.Rng.Uint64()))
	seeds := []netip.AddrPort{Addr(0), Addr(1)}
	if bare {
		h.Machine = MembershipOnly{membership.New(set.Membership, h.Self, seeds, rng, nil, v.Now)}
	} else {
		h.Machine = fleet.New(set, h.Self, seeds, rng, v.Now)
	}
	v.Hosts = append(v.Hosts, h)
	v.hostsByAddr[h.Addr] = h
	v.schedule(event{at: v.Now, host: h})
	return h
}

// Kill ends a process without a word.
func (v *Network) Kill(h *Host) {
	h.Dead = true
	if v.hostsByAddr[h.Addr] == h {
		delete(v.hostsByAddr, h.Addr)
	}
}

// Leave ends a process in order.
func (v *Network) Leave(h *Host) {
	out := h.Machine.Leave(v.Now)
	v.sendPackets(h, &out)
	v.Kill(h)
}

// Stall stops a process for a while. What comes for it waits, up to what a socket holds.
func (v *Network) Pause(h *Host, ms float64) {
	h.pausedUntil = v.Now + ms
	v.schedule(event{at: h.pausedUntil, host: h})
}

// Do steps a host by something other than the network.
func (v *Network) Step(h *Host, f func()) {
	f()
	v.stepHost(h, nil)
}

// Run goes on until a moment.
func (v *Network) Run(until float64) {
	for len(v.events) > 0 && v.events[0].at <= until {
		e := v.events.pop()
		v.Now = e.at
		v.Events++
		h := e.host
		if e.packet != nil {
			if h = v.hostsByAddr[e.destination]; h == nil || h.Dead {
				continue // nobody is there, as on a real network
			}
		} else if h.nextTimerAt <= e.at {
			h.nextTimerAt = math.Inf(1)
		}
		switch {
		case h.Dead:
		case v.Now < h.pausedUntil:
			if e.packet != nil && len(h.socketBuffer) < 200 {
				h.socketBuffer = append(h.socketBuffer, e.packet)
			}
		default:
			for _, p := range h.socketBuffer {
				v.stepHost(h, p)
			}
			h.socketBuffer = h.socketBuffer[:0]
			v.stepHost(h, e.packet)
		}
	}
	v.Now = until
}

// Until goes on in steps until a condition holds, and tells whether it did by then.
func (v *Network) RunUntil(limit, step float64, ok func() bool) bool {
	for !ok() {
		if v.Now >= limit {
			return false
		}
		v.Run(v.Now + step)
	}
	return true
}

func (v *Network) stepHost(h *Host, p *membership.Packet) {
	now := v.Now
	if h.Clock != nil {
		now = h.Clock(now)
	}
	out := h.Machine.Step(now, p)
	v.sendPackets(h, &out.Output)
	if h.OnStep != nil {
		h.OnStep(h, v.Now, &out)
	}
	// One timer a host: a later one is set when it fires.
	if at := v.Now + max(out.WakeAt-now, 0.05); at < h.nextTimerAt {
		h.nextTimerAt = at
		v.schedule(event{at: at, host: h})
	}
}

// carry sends what a host wants sent.
func (v *Network) sendPackets(h *Host, out *membership.Output) {
	for _, s := range out.Packets {
		v.encodeBuffer = s.Packet.Append(v.encodeBuffer[:0])
		h.PacketsSent++
		if v.Tap != nil {
			v.Tap(Datagram{s.To, *s.Packet})
		}
		h.BytesSent += int64(len(v.encodeBuffer) + packetcrypto.Overhead + headerBytes)
		to := v.hostsByAddr[s.To]
		if v.Link.Partitioned != nil && to != nil && v.Link.Partitioned(h, to) {
			continue
		}
		for n := 0; n < 2; n++ {
			if n == 1 && v.Rng.Float64() >= v.Link.Duplicate {
				break
			}
			if v.Link.Loss > 0 && v.Rng.Float64() < v.Link.Loss {
				continue
			}
			late := v.Link.Delay
			if v.Link.Jitter > 0 {
				late += v.Rng.ExpFloat64() * v.Link.Jitter
			}
			if v.Link.ExtraDelay != nil {
				late += v.Link.ExtraDelay(s.Packet)
			}
			p := *s.Packet // what a host does with it is nobody else's matter
			v.schedule(event{at: v.Now + late, packet: &p, destination: s.To})
		}
	}
}

// event is a packet that arrives, or a timer.
type event struct {
	at          float64
	sequence    uint64 // what was pushed first goes first
	host        *Host
	packet      *membership.Packet
	destination netip.AddrPort
}

func (v *Network) schedule(e event) {
	v.lastSequence++
	e.sequence = v.lastSequence
	v.events.push(e)
}

// heap is the queue of events, a binary heap of values: container/heap would box each.
type eventQueue []event

func (q eventQueue) less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q *eventQueue) push(e event) {
	h := append(*q, e)
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if !h.less(i, up) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
	*q = h
}

func (q *eventQueue) pop() event {
	h := *q
	e := h[0]
	last := len(h) - 1
	h[0] = h[last]
	h[last] = event{}
	h = h[:last]
	for i := 0; ; {
		c := 2*i + 1
		if c >= len(h) {
			break
		}
		if c+1 < len(h) && h.less(c+1, c) {
			c++
		}
		if !h.less(c, i) {
			break
		}
		h[c], h[i] = h[i], h[c]
		i = c
	}
	*q = h
	return e
}

// Alike tells whether all hosts that live hold the same routers as there, and nobody else.
func (v *Network) Converged() bool {
	var want [membership.BucketCount]uint32
	first := true
	live := 0
	for _, h := range v.Hosts {
		if !h.Dead {
			live++
		}
	}
	for _, h := range v.Hosts {
		if h.Dead {
			continue
		}
		m := h.Membership()
		if first {
			want, first = m.Checksums(), false
		}
		if m.Checksums() != want || m.PresentCount() != live {
			return false
		}
	}
	return true
}

// Member returns a host's machine of membership.
func (h *Host) Membership() *membership.Machine {
	switch m := h.Machine.(type) {
	case MembershipOnly:
		return m.Machine
	case *fleet.Node:
		return m.Machine
	}
	return nil
}

// viewer is a machine that can be asked how it sees a router.
type stateMachine interface {
	State(membership.ID) (membership.State, bool)
}

// SeenAs counts how the others that live see a host.
func (v *Network) StateCounts(x *Host) (n [4]int) {
	for _, h := range v.Hosts {
		if h != x && !h.Dead {
			if s, known := h.Machine.(stateMachine).State(x.Self.ID); known {
				n[s]++
			}
		}
	}
	return n
}
