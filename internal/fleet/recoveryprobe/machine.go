// Package first is the duty of trying a box again that was set aside: one router of a
// location does it, with one request, and the others wait for what it finds and then come
// in one after another. It has a machine without I/O, and its actor.
//
// It only ever delays a router's own try. Without a word of the holder for a while each
// router goes on by itself, as without the duty; nobody is let in sooner than its own rest.
package recoveryprobe

import (
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/wireformat"
	"garnetline/routing"
)

// LeaseName is the name of the duty of a location.
func LeaseName(zone string) string { return "first/" + zone }

// Settings are times, in milliseconds, and the pace of the ramp.
type Settings struct {
	ReportInterval float64 // between a router's words of what it has set aside, while there is any
	HolderTimeout  float64 // the holder's word holds for so long
	ReturnRate     float64 // routers a second that try a box once it is found well
	ResultTTL      float64 // what was found is remembered for so long
	ProbeInterval  float64 // a box is suspected at the holder so often at the most
}

// DefaultSettings is what the operators' file begins with.
func DefaultSettings() Settings {
	return Settings{ReportInterval: 200, HolderTimeout: 1000, ReturnRate: 30, ResultTTL: 60_000, ProbeInterval: 1000}
}

// MaxServers is how many boxes a word names at the most, whatever is sent.
const MaxServers = 256

// ejectionDelay is how long the holder's module has to set aside what it is to suspect, ms.
const ejectionDelay = 150.0

// ServerStatus is one box in a word.
type ServerStatus struct {
	Server    routing.ServerID
	Age       float64 // ms since it was set aside; in the holder's word, since it was found well
	Recovered bool    // the holder's: it was found well
}

// Message is what a router says: what it has set aside or, under a token, what the holder
// knows of that.
type Message struct {
	FencingToken uint64 // 0: not the holder's
	Servers      []ServerStatus
}

// Input is what a router sees by itself.
type Input struct {
	Ejected          []routing.ServerID // that its module has set aside
	FencingToken     uint64             // 0: it does not hold the duty
	ZonePeers        []membership.ID    // alive, of its location, without itself
	HolderCandidates []membership.ID    // who may hold the duty
}

// Output is what a step calls for.
type Output struct {
	EjectionExtensions map[routing.ServerID]float64 // ms from now for which a box is left alone
	Probes             []routing.ServerID
	Messages           map[membership.ID]Message
}

// Machine is one router's part. It is not safe for concurrent use.
type Machine struct {
	settings         Settings
	self             membership.ID
	ejectedAt        map[routing.ServerID]float64 // own: set aside since
	lastSentAt       float64
	nextPeerIndex    int // of the mates that are told where the holder is not known
	fence            lease.Fence
	holder           membership.ID
	holderLastSeenAt float64 // when its latest word came
	holderResults    map[routing.ServerID]probeResult
	// The holder's:
	peerReports  map[membership.ID]ejectionReport
	results      map[routing.ServerID]probeResult
	lastProbedAt map[routing.ServerID]float64
}

type probeResult struct {
	recovered bool
	at        float64 // when it was found well
}

type ejectionReport struct {
	receivedAt float64
	ejectedAt  map[routing.ServerID]float64
}

// NewMachine returns a router's part that knows of nothing.
func NewMachine(set Settings, self membership.ID) *Machine {
	return &Machine{settings: set, self: self, ejectedAt: map[routing.ServerID]float64{}, lastSentAt: math.Inf(-1), holderLastSeenAt: math.Inf(-1), fence: lease.Fence{},
		holderResults: map[routing.ServerID]probeResult{}, peerReports: map[membership.ID]ejectionReport{}, results: map[routing.ServerID]probeResult{}, lastProbedAt: map[routing.ServerID]float64{}}
}

// Step brings the machine to now.
func (m *Machine) Step(now float64, in Input) (out Output) {
	out = Output{EjectionExtensions: map[routing.ServerID]float64{}, Messages: map[membership.ID]Message{}}
	for box := range m.ejectedAt {
		if !slices.Contains(in.Ejected, box) {
			delete(m.ejectedAt, box)
			m.lastSentAt = math.Inf(-1)             // the holder is told at once
			m.results[box] = probeResult{true, now} // the holder's own try went well
		}
	}
	for _, box := range in.Ejected {
		if _, known := m.ejectedAt[box]; !known {
			m.ejectedAt[box], m.lastSentAt = now, math.Inf(-1)
		}
	}
	if in.FencingToken != 0 {
		m.coordinate(now, in, &out)
		return out
	}
	clear(m.peerReports)
	clear(m.results)
	if len(m.ejectedAt) == 0 && math.IsInf(m.lastSentAt, -1) {
		m.lastSentAt = now // nothing to say, but that there is nothing any more
		if m.holder != 0 && now-m.holderLastSeenAt <= m.settings.HolderTimeout {
			out.Messages[m.holder] = Message{}
		}
	}
	if len(m.ejectedAt) > 0 && now-m.lastSentAt >= m.settings.ReportInterval {
		m.lastSentAt = now
		w := Message{}
		for _, box := range slices.Sorted(maps.Keys(m.ejectedAt)) {
			w.Servers = append(w.Servers, ServerStatus{Server: box, Age: now - m.ejectedAt[box]})
		}
		w.Servers = w.Servers[:min(len(w.Servers), MaxServers)]
		if m.holder != 0 && now-m.holderLastSeenAt <= m.settings.HolderTimeout {
			out.Messages[m.holder] = w
		} else {
			for _, id := range in.HolderCandidates {
				if id != m.self && id != 0 {
					out.Messages[id] = w
				}
			}
			// Symptom guarded against: the holder was none of the likeliest, nobody told it of a
			// box, and all tried by themselves. So one mate after another is told too.
			if n := len(in.ZonePeers); n > 0 {
				m.nextPeerIndex++
				out.Messages[in.ZonePeers[m.nextPeerIndex%n]] = w
			}
		}
	}
	if now-m.holderLastSeenAt <= m.settings.HolderTimeout {
		m.extendEjections(now, in, &out)
	}
	return out
}

// extendEjections leaves alone what the holder tries, or has found well a moment ago.
func (m *Machine) extendEjections(now float64, in Input, out *Output) {
	for box, since := range m.ejectedAt {
		f, named := m.holderResults[box]
		switch {
		case !named:
		case !f.recovered:
			out.EjectionExtensions[box] = m.holderLastSeenAt + m.settings.HolderTimeout - now
		case since > f.at: // it failed this router after the holder found it well: its own matter
		default:
			// The routers come in one after another, each at its place, whoever else waits.
			all := append(slices.Clone(in.ZonePeers), m.self)
			slot := f.at + 1000*float64(lease.Rank(LeaseName("ramp"), m.self, all))/m.settings.ReturnRate
			if slot > now {
				out.EjectionExtensions[box] = slot - now
			}
		}
	}
}

// coordinate is the holder's part of a step.
func (m *Machine) coordinate(now float64, in Input, out *Output) {
	m.holderLastSeenAt = math.Inf(-1)
	clear(m.holderResults)
	wanted := map[routing.ServerID]float64{} // with the latest moment at which one set it aside
	for id, r := range m.peerReports {
		if now-r.receivedAt > 3*m.settings.ReportInterval+m.settings.HolderTimeout || !slices.Contains(in.ZonePeers, id) {
			delete(m.peerReports, id)
			continue
		}
		for box, since := range r.ejectedAt {
			wanted[box] = max(wanted[box], since)
		}
	}
	for box, f := range m.results {
		if now-f.at > m.settings.ResultTTL {
			delete(m.results, box)
		}
	}
	for _, box := range slices.Sorted(maps.Keys(wanted)) {
		f, known := m.results[box]
		if known && f.recovered && wanted[box] <= f.at {
			continue
		}
		if _, mine := m.ejectedAt[box]; mine { // its own rests say when it is tried
			m.results[box] = probeResult{false, now}
			continue
		}
		switch t, was := m.lastProbedAt[box]; {
		case !was || now-t >= m.settings.ProbeInterval:
			m.lastProbedAt[box] = now
			m.results[box] = probeResult{false, now}
			out.Probes = append(out.Probes, box)
		case known && !f.recovered && now-t >= ejectionDelay: // not set aside for that: it was heard of just before
			m.results[box] = probeResult{true, now}
		}
	}
	for box := range m.lastProbedAt {
		if _, w := wanted[box]; !w && now-m.lastProbedAt[box] > m.settings.ResultTTL {
			delete(m.lastProbedAt, box)
		}
	}
	if now-m.lastSentAt < m.settings.ReportInterval/2 {
		return
	}
	m.lastSentAt = now
	for id, r := range m.peerReports {
		w := Message{FencingToken: in.FencingToken}
		for _, box := range slices.Sorted(maps.Keys(r.ejectedAt)) {
			f := m.results[box]
			w.Servers = append(w.Servers, ServerStatus{Server: box, Recovered: f.recovered, Age: now - f.at})
		}
		out.Messages[id] = w
	}
}

// HandleMessage takes another router's word. It tells whether it was taken.
func (m *Machine) HandleMessage(now float64, from membership.ID, w Message) bool {
	if w.FencingToken == 0 {
		if len(m.peerReports) >= 4096 {
			return false
		}
		r := ejectionReport{now, map[routing.ServerID]float64{}}
		for _, it := range w.Servers {
			r.ejectedAt[it.Server] = now - it.Age
		}
		if len(r.ejectedAt) == 0 {
			delete(m.peerReports, from)
			return true
		}
		if _, known := m.peerReports[from]; !known {
			m.lastSentAt = math.Inf(-1) // it is answered at once
		}
		m.peerReports[from] = r
		return true
	}
	if !m.fence.Admit("", w.FencingToken) {
		return false
	}
	m.holder, m.holderLastSeenAt = from, now
	clear(m.holderResults)
	for _, it := range w.Servers {
		m.holderResults[it.Server] = probeResult{it.Recovered, now - it.Age}
	}
	return true
}

// Append appends a word in protobuf's form.
func (w Message) Append(b []byte) []byte {
	b = wireformat.AppendUint(b, 1, w.FencingToken)
	for _, it := range w.Servers {
		up := uint64(0)
		if it.Recovered {
			up = 1
		}
		in := wireformat.AppendUint(wireformat.AppendUint(wireformat.AppendUint(nil, 1, uint64(it.Server)+1), 2, uint64(max(0, it.Age))), 3, up)
		b = wireformat.AppendString(b, 2, string(in))
	}
	return b
}

// Decode reads a word; false where it is none, or out of bounds.
func Decode(b []byte) (w Message, ok bool) {
	ok = leaseregistry.DecodeFields(b, func(f protowire.Number, v uint64, in []byte) bool {
		switch f {
		case 1:
			w.FencingToken = v
		case 2:
			var it ServerStatus
			good := leaseregistry.DecodeFields(in, func(f protowire.Number, v uint64, _ []byte) bool {
				switch f {
				case 1:
					it.Server = routing.ServerID(v - 1)
				case 2:
					it.Age = float64(min(v, 1<<40))
				case 3:
					it.Recovered = v != 0
				}
				return true
			})
			if w.Servers = append(w.Servers, it); !good || len(w.Servers) > MaxServers {
				return false
			}
		}
		return true
	})
	return w, ok
}
