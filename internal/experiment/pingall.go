package experiment

import (
	"math"
	"math/rand/v2"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/netsim"
)

// plain is the plainest detector, as a baseline: each router pings each other once a
// period and holds one for failed that has not answered for long enough. It tells nobody.
// All are known from the start.
type plain struct {
	self   membership.Update
	peers  []membership.Update
	heard  []float64
	failed []bool
	next   float64
	place  map[membership.ID]int
	count  uint64
}

// Its times: a killed router is failed after 1 to 1.75 s, about as quickly as with the
// others, and with loss seven in a row must be lost.
const (
	plainPeriod = 250.0
	plainWait   = 7 * plainPeriod
)

// pingAll adds n routers that all know each other.
func pingAll(v *netsim.Network, n int) {
	v.StartFleet(n, fleet.DefaultSettings(), true) // for names, seats and addresses
	rng := rand.New(rand.NewPCG(v.Rng.Uint64(), 1))
	var all []membership.Update
	for _, h := range v.Hosts {
		all = append(all, h.Self)
	}
	for i, h := range v.Hosts {
		p := &plain{self: all[i], peers: all, heard: make([]float64, n), failed: make([]bool, n), next: rng.Float64() * plainPeriod, place: map[membership.ID]int{}}
		for j, w := range all {
			p.place[w.ID] = j
		}
		h.Machine = p
	}
}

// Step pings when it is time, answers, and judges.
func (p *plain) Step(now float64, in *membership.Packet) (out fleet.Output) {
	send := func(to membership.Update, k membership.Kind) {
		p.count++
		out.Packets = append(out.Packets, membership.OutgoingPacket{To: to.Addr, Packet: &membership.Packet{Kind: k, From: p.self, Sequence: p.count}})
	}
	if in != nil {
		j := p.place[in.From.ID]
		p.heard[j] = now
		if p.failed[j] {
			p.failed[j] = false
			out.Events = append(out.Events, membership.Event{Kind: "back", Update: in.From})
		}
		if in.Kind == membership.Ping {
			send(in.From, membership.Ack)
		}
	}
	if p.next <= now {
		p.next = now + plainPeriod
		for j, w := range p.peers {
			if w.ID == p.self.ID {
				continue
			}
			if !p.failed[j] && now-p.heard[j] > plainWait && now > 2*plainWait {
				p.failed[j] = true
				w.ReportedBy = p.self.ID
				out.Events = append(out.Events, membership.Event{Kind: "failed", Update: w})
			}
			send(w, membership.Ping)
		}
	}
	out.WakeAt = p.next
	return out
}

// Leave says nothing.
func (p *plain) Leave(float64) membership.Output { return membership.Output{WakeAt: math.Inf(1)} }

// State tells how a router is seen.
func (p *plain) State(id membership.ID) (membership.State, bool) {
	if j, ok := p.place[id]; ok && p.failed[j] {
		return membership.Failed, true
	}
	return membership.Alive, true
}
