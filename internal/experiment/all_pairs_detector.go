package experiment

import (
	"math"
	"math/rand/v2"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/netsim"
)

// allPairsDetector is the baseline failure detector. Each router pings every other router once per
// allPairsPingInterval. It marks another router as failed if no packet from that router arrived
// within allPairsTimeout. Routers do not tell each other which routers have failed. All routers know
// each other from the start.
type allPairsDetector struct {
	self         membership.Update
	peers        []membership.Update   // includes this router; in the order of the network's hosts
	indexes      map[membership.ID]int // index in peers, by router
	lastSeenAt   []float64             // ms, by index in peers
	failed       []bool                // by index in peers
	nextPingAt   float64               // ms
	lastSequence uint64
}

// Times of allPairsDetector in ms. A router is marked as failed when allPairsTimeout, which is
// seven ping intervals or 1750 ms, has passed since its last packet. A killed router sent this
// packet up to 250 ms before the kill, and the timeout is checked every 250 ms. A killed router is
// therefore marked as failed after 1.5 to 2 s, about as quickly as by the membership protocol. A
// live router is wrongly marked as failed only if seven consecutive packets are lost.
const (
	allPairsPingInterval = 250.0
	allPairsTimeout      = 7 * allPairsPingInterval

	// No router is marked as failed before this time. Until then, all routers have time to respond.
	allPairsStartTime = 2 * allPairsTimeout
)

// startAllPairs adds the given number of routers. Each router runs an allPairsDetector and knows all
// other routers.
func startAllPairs(network *netsim.Network, size int) {
	network.StartFleet(size, fleet.DefaultSettings(), netsim.MembershipAlone) // assigns names, identities and addresses
	rng := rand.New(rand.NewPCG(network.Rng.Uint64(), allPairsStream))
	var peers []membership.Update
	for _, host := range network.Hosts {
		peers = append(peers, host.Self)
	}
	for _, host := range network.Hosts {
		host.Machine = &allPairsDetector{
			self:       host.Self,
			peers:      peers,
			indexes:    indexByID(peers), // a separate map for each router, because the memory of a router is measured
			lastSeenAt: make([]float64, size),
			failed:     make([]bool, size),
			nextPingAt: rng.Float64() * allPairsPingInterval,
		}
	}
}

func indexByID(peers []membership.Update) map[membership.ID]int {
	indexes := map[membership.ID]int{}
	for index, peer := range peers {
		indexes[peer.ID] = index
	}
	return indexes
}

// Step handles a received packet, if packet is not nil. When a ping is due, it also checks the
// timeout of every other router and pings that router.
func (d *allPairsDetector) Step(now float64, packet *membership.Packet) fleet.Output {
	var out fleet.Output
	if packet != nil {
		d.receive(now, packet, &out)
	}
	if d.nextPingAt <= now {
		d.nextPingAt = now + allPairsPingInterval
		for index, peer := range d.peers {
			if peer.ID != d.self.ID {
				d.checkTimeout(now, index, &out)
				d.send(peer, membership.Ping, &out)
			}
		}
	}
	out.WakeAt = d.nextPingAt
	return out
}

func (d *allPairsDetector) receive(now float64, packet *membership.Packet, out *fleet.Output) {
	index := d.indexes[packet.From.ID]
	d.lastSeenAt[index] = now
	if d.failed[index] {
		d.failed[index] = false
		out.Events = append(out.Events, membership.Event{Kind: membership.EventBack, Update: packet.From})
	}
	if packet.Kind == membership.Ping {
		d.send(packet.From, membership.Ack, out)
	}
}

// checkTimeout marks a router as failed if no packet from it arrived within allPairsTimeout.
func (d *allPairsDetector) checkTimeout(now float64, index int, out *fleet.Output) {
	silent := now-d.lastSeenAt[index] > allPairsTimeout
	if d.failed[index] || !silent || now <= allPairsStartTime {
		return
	}
	d.failed[index] = true
	update := d.peers[index]
	update.ReportedBy = d.self.ID
	out.Events = append(out.Events, membership.Event{Kind: membership.EventFailed, Update: update})
}

func (d *allPairsDetector) send(to membership.Update, kind membership.Kind, out *fleet.Output) {
	d.lastSequence++
	packet := &membership.Packet{Kind: kind, From: d.self, Sequence: d.lastSequence}
	out.Packets = append(out.Packets, membership.OutgoingPacket{To: to.Addr, Packet: packet})
}

// Leave sends no packets: this detector does not announce departures.
func (d *allPairsDetector) Leave(float64) membership.Output {
	return membership.Output{WakeAt: math.Inf(1)}
}

// State returns the state of a router as this router sees it: Failed or Alive.
func (d *allPairsDetector) State(id membership.ID) (membership.State, bool) {
	if index, ok := d.indexes[id]; ok && d.failed[index] {
		return membership.Failed, true
	}
	return membership.Alive, true
}
