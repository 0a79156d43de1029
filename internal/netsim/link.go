package netsim

import (
	"math/rand/v2"

	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/packetcrypto"
)

const (
	// defaultDelay and defaultJitter are the delay and the jitter of a new network, in ms. They
	// model a network within one site.
	defaultDelay  = 0.2
	defaultJitter = 0.3

	// headerBytes is the size of the IPv4 and UDP headers of a datagram.
	headerBytes = 28
)

// Link describes what happens to packets in transit. It applies to all pairs of hosts. The zero
// value delivers every packet without delay.
type Link struct {
	Loss      float64 // share of packets that are lost, from 0 to 1
	Duplicate float64 // share of packets that are delivered twice, from 0 to 1
	Delay     float64 // minimum delay, ms
	Jitter    float64 // mean of an additional, exponentially distributed delay, ms

	// Partitioned, unless nil, reports whether packets from one host to another are dropped.
	Partitioned func(from, to *Host) bool

	// ExtraDelay, unless nil, returns an additional delay of a packet, in ms.
	ExtraDelay func(packet *membership.Packet) float64
}

// partitions reports whether the link drops all packets from one host to another. It returns false
// if the argument to is nil, which means that no host listens at the destination.
func (l *Link) partitions(from, to *Host) bool {
	return l.Partitioned != nil && to != nil && l.Partitioned(from, to)
}

// drawLoss decides at random whether a packet is lost.
func (l *Link) drawLoss(rng *rand.Rand) bool {
	return l.Loss > 0 && rng.Float64() < l.Loss
}

// drawDelay returns a random delay for a packet, in ms.
func (l *Link) drawDelay(rng *rand.Rand, packet *membership.Packet) float64 {
	delay := l.Delay
	if l.Jitter > 0 {
		delay += rng.ExpFloat64() * l.Jitter
	}
	if l.ExtraDelay != nil {
		delay += l.ExtraDelay(packet)
	}
	return delay
}

// sendPackets sends the packets that a step of a host returned.
func (n *Network) sendPackets(from *Host, out *membership.Output) {
	for _, outgoing := range out.Packets {
		n.countSent(from, outgoing.Packet)
		if n.OnSend != nil {
			n.OnSend(Datagram{To: outgoing.To, Packet: *outgoing.Packet})
		}
		if n.Link.partitions(from, n.hostsByAddr[outgoing.To]) {
			continue
		}
		n.transmit(outgoing)
		if n.Rng.Float64() < n.Link.Duplicate {
			n.transmit(outgoing)
		}
	}
}

func (n *Network) countSent(from *Host, packet *membership.Packet) {
	n.encodeBuffer = packet.Append(n.encodeBuffer[:0])
	from.PacketsSent++
	from.BytesSent += int64(len(n.encodeBuffer) + packetcrypto.Overhead + headerBytes)
}

// transmit schedules the arrival of one copy of a packet, unless it is lost.
func (n *Network) transmit(outgoing membership.OutgoingPacket) {
	if n.Link.drawLoss(n.Rng) {
		return
	}
	delay := n.Link.drawDelay(n.Rng, outgoing.Packet)
	packet := *outgoing.Packet // the receiver may change its copy
	n.schedule(event{at: n.Now + delay, packet: &packet, destination: outgoing.To})
}
