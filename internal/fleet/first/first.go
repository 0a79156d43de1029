// Package first is the duty of trying a box again that was set aside: one router of a
// location does it, with one request, and the others wait for what it finds and then come
// in one after another. It has a machine without I/O, and its actor.
//
// It only ever delays a router's own try. Without a word of the holder for a while each
// router goes on by itself, as without the duty; nobody is let in sooner than its own rest.
package first

import (
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/decide"
	"garnetline/internal/fleet/duty"
	"garnetline/internal/fleet/form"
	"garnetline/internal/fleet/member"
	"garnetline/internal/fleet/register"
)

// Duty is the name of the duty of a location.
func Duty(zone string) string { return "first/" + zone }

// Settings are times, in milliseconds, and the pace of the ramp.
type Settings struct {
	Say   float64 // between a router's words of what it has set aside, while there is any
	Fresh float64 // the holder's word holds for so long
	Pace  float64 // routers a second that try a box once it is found well
	Keep  float64 // what was found is remembered for so long
	Again float64 // a box is suspected at the holder so often at the most
}

// Default is what the operators' file begins with.
func Default() Settings {
	return Settings{Say: 200, Fresh: 1000, Pace: 30, Keep: 60_000, Again: 1000}
}

// MaxBoxes is how many boxes a word names at the most, whatever is sent.
const MaxBoxes = 256

// settle is how long the holder's module has to set aside what it is to suspect, ms.
const settle = 150.0

// Item is one box in a word.
type Item struct {
	Box decide.ServerID
	Ago float64 // ms since it was set aside; in the holder's word, since it was found well
	Up  bool    // the holder's: it was found well
}

// Word is what a router says: what it has set aside or, under a token, what the holder
// knows of that.
type Word struct {
	Token uint64 // 0: not the holder's
	Items []Item
}

// Input is what a router sees by itself.
type Input struct {
	Aside   []decide.ServerID // that its module has set aside
	Token   uint64            // 0: it does not hold the duty
	Mates   []member.ID       // alive, of its location, without itself
	Holders []member.ID       // who may hold the duty
}

// Output is what a step calls for.
type Output struct {
	Holds    map[decide.ServerID]float64 // ms from now for which a box is left alone
	Suspects []decide.ServerID
	Say      map[member.ID]Word
}

// Machine is one router's part. It is not safe for concurrent use.
type Machine struct {
	set    Settings
	self   member.ID
	since  map[decide.ServerID]float64 // own: set aside since
	said   float64
	turn   int // of the mates that are told where the holder is not known
	fence  duty.Fence
	holder member.ID
	heard  float64 // when its latest word came
	word   map[decide.ServerID]found
	// The holder's:
	told  map[member.ID]report
	found map[decide.ServerID]found
	tried map[decide.ServerID]float64
}

type found struct {
	up bool
	at float64 // when it was found well
}

type report struct {
	at    float64
	since map[decide.ServerID]float64
}

// NewMachine returns a router's part that knows of nothing.
func NewMachine(set Settings, self member.ID) *Machine {
	return &Machine{set: set, self: self, since: map[decide.ServerID]float64{}, said: math.Inf(-1), heard: math.Inf(-1), fence: duty.Fence{},
		word: map[decide.ServerID]found{}, told: map[member.ID]report{}, found: map[decide.ServerID]found{}, tried: map[decide.ServerID]float64{}}
}

// Step brings the machine to now.
func (m *Machine) Step(now float64, in Input) (out Output) {
	out = Output{Holds: map[decide.ServerID]float64{}, Say: map[member.ID]Word{}}
	for box := range m.since {
		if !slices.Contains(in.Aside, box) {
			delete(m.since, box)
			m.said = math.Inf(-1)           // the holder is told at once
			m.found[box] = found{true, now} // the holder's own try went well
		}
	}
	for _, box := range in.Aside {
		if _, known := m.since[box]; !known {
			m.since[box], m.said = now, math.Inf(-1)
		}
	}
	if in.Token != 0 {
		m.hold(now, in, &out)
		return out
	}
	clear(m.told)
	clear(m.found)
	if len(m.since) == 0 && math.IsInf(m.said, -1) {
		m.said = now // nothing to say, but that there is nothing any more
		if m.holder != 0 && now-m.heard <= m.set.Fresh {
			out.Say[m.holder] = Word{}
		}
	}
	if len(m.since) > 0 && now-m.said >= m.set.Say {
		m.said = now
		w := Word{}
		for _, box := range slices.Sorted(maps.Keys(m.since)) {
			w.Items = append(w.Items, Item{Box: box, Ago: now - m.since[box]})
		}
		w.Items = w.Items[:min(len(w.Items), MaxBoxes)]
		if m.holder != 0 && now-m.heard <= m.set.Fresh {
			out.Say[m.holder] = w
		} else {
			for _, id := range in.Holders {
				if id != m.self && id != 0 {
					out.Say[id] = w
				}
			}
			// Symptom guarded against: the holder was none of the likeliest, nobody told it of a
			// box, and all tried by themselves. So one mate after another is told too.
			if n := len(in.Mates); n > 0 {
				m.turn++
				out.Say[in.Mates[m.turn%n]] = w
			}
		}
	}
	if now-m.heard <= m.set.Fresh {
		m.wait(now, in, &out)
	}
	return out
}

// wait leaves alone what the holder tries, or has found well a moment ago.
func (m *Machine) wait(now float64, in Input, out *Output) {
	for box, since := range m.since {
		f, named := m.word[box]
		switch {
		case !named:
		case !f.up:
			out.Holds[box] = m.heard + m.set.Fresh - now
		case since > f.at: // it failed this router after the holder found it well: its own matter
		default:
			// The routers come in one after another, each at its place, whoever else waits.
			all := append(slices.Clone(in.Mates), m.self)
			slot := f.at + 1000*float64(duty.Rank(Duty("ramp"), m.self, all))/m.set.Pace
			if slot > now {
				out.Holds[box] = slot - now
			}
		}
	}
}

// hold is the holder's part of a step.
func (m *Machine) hold(now float64, in Input, out *Output) {
	m.heard = math.Inf(-1)
	clear(m.word)
	wanted := map[decide.ServerID]float64{} // with the latest moment at which one set it aside
	for id, r := range m.told {
		if now-r.at > 3*m.set.Say+m.set.Fresh || !slices.Contains(in.Mates, id) {
			delete(m.told, id)
			continue
		}
		for box, since := range r.since {
			wanted[box] = max(wanted[box], since)
		}
	}
	for box, f := range m.found {
		if now-f.at > m.set.Keep {
			delete(m.found, box)
		}
	}
	for _, box := range slices.Sorted(maps.Keys(wanted)) {
		f, known := m.found[box]
		if known && f.up && wanted[box] <= f.at {
			continue
		}
		if _, mine := m.since[box]; mine { // its own rests say when it is tried
			m.found[box] = found{false, now}
			continue
		}
		switch t, was := m.tried[box]; {
		case !was || now-t >= m.set.Again:
			m.tried[box] = now
			m.found[box] = found{false, now}
			out.Suspects = append(out.Suspects, box)
		case known && !f.up && now-t >= settle: // not set aside for that: it was heard of just before
			m.found[box] = found{true, now}
		}
	}
	for box := range m.tried {
		if _, w := wanted[box]; !w && now-m.tried[box] > m.set.Keep {
			delete(m.tried, box)
		}
	}
	if now-m.said < m.set.Say/2 {
		return
	}
	m.said = now
	for id, r := range m.told {
		w := Word{Token: in.Token}
		for _, box := range slices.Sorted(maps.Keys(r.since)) {
			f := m.found[box]
			w.Items = append(w.Items, Item{Box: box, Up: f.up, Ago: now - f.at})
		}
		out.Say[id] = w
	}
}

// Hear takes another router's word. It tells whether it was taken.
func (m *Machine) Hear(now float64, from member.ID, w Word) bool {
	if w.Token == 0 {
		if len(m.told) >= 4096 {
			return false
		}
		r := report{now, map[decide.ServerID]float64{}}
		for _, it := range w.Items {
			r.since[it.Box] = now - it.Ago
		}
		if len(r.since) == 0 {
			delete(m.told, from)
			return true
		}
		if _, known := m.told[from]; !known {
			m.said = math.Inf(-1) // it is answered at once
		}
		m.told[from] = r
		return true
	}
	if !m.fence.Pass("", w.Token) {
		return false
	}
	m.holder, m.heard = from, now
	clear(m.word)
	for _, it := range w.Items {
		m.word[it.Box] = found{it.Up, now - it.Ago}
	}
	return true
}

// Append appends a word in protobuf's form.
func (w Word) Append(b []byte) []byte {
	b = form.Number(b, 1, w.Token)
	for _, it := range w.Items {
		up := uint64(0)
		if it.Up {
			up = 1
		}
		in := form.Number(form.Number(form.Number(nil, 1, uint64(it.Box)+1), 2, uint64(max(0, it.Ago))), 3, up)
		b = form.Text(b, 2, string(in))
	}
	return b
}

// Read reads a word; false where it is none, or out of bounds.
func Read(b []byte) (w Word, ok bool) {
	ok = register.Fields(b, func(f protowire.Number, v uint64, in []byte) bool {
		switch f {
		case 1:
			w.Token = v
		case 2:
			var it Item
			good := register.Fields(in, func(f protowire.Number, v uint64, _ []byte) bool {
				switch f {
				case 1:
					it.Box = decide.ServerID(v - 1)
				case 2:
					it.Ago = float64(min(v, 1<<40))
				case 3:
					it.Up = v != 0
				}
				return true
			})
			if w.Items = append(w.Items, it); !good || len(w.Items) > MaxBoxes {
				return false
			}
		}
		return true
	})
	return w, ok
}
