// Package keeper has a router's side of staff's bans as the register keeps them, without
// I/O: what is to be filed, what the register says is to be taken out, and when a box may
// come back. The register has each ban in one order, with who, when and why; it outlives
// all routers. What is said between routers (words) is faster and may be forgotten.
//
// Taking out needs nobody: a ban that staff set at a door holds there at once and is filed
// when the electors can be reached. Coming back needs agreement: the register must have
// taken the enable before this router lets the box in again.
package keeper

import (
	"cmp"
	"errors"
	"maps"
	"math"
	"slices"

	"garnetline/decide"
	"garnetline/internal/fleet/agree"
	"garnetline/internal/fleet/register"
)

// Settings are times, in milliseconds.
type Settings struct {
	Every float64 // between questions, where nothing happens
	Retry float64 // a question without an answer is repeated after it
	Wait  float64 // a call of staff that has no answer ends after it
	Adopt float64 // a ban that nobody filed is filed by whoever knows of it after it
}

// Default is what the operators' file begins with.
func Default() Settings { return Settings{Every: 1000, Retry: 150, Wait: 700, Adopt: 10_000} }

// Basis is what it rests on that a box is out at this router. It outlives the process.
type Basis struct {
	Own     bool    `json:"Own"`     // staff called this router, and the register does not know yet
	Version uint64  `json:"Version"` // of the register's ban that this router knows of; 0: of none
	Who     string  `json:"Who,omitempty"`
	Why     string  `json:"Why,omitempty"`
	At      float64 `json:"At"`
}

// Call is one of staff.
type Call struct {
	Box      decide.ServerID
	Out      bool
	Who, Why string
	Version  uint64  // that staff saw; 0: whatever holds
	At       float64 // Unix ms
}

// Order is what the router is to do with a box.
type Order struct {
	Box decide.ServerID
	Out bool
}

// Ask is a question for the electors.
type Ask struct {
	Question uint64
	agree.BanAsk
}

// Ended is a call that has its answer.
type Ended struct {
	Call uint64
	Err  error
}

// Output is what a step calls for.
type Output struct {
	Asks   []Ask
	Orders []Order
	Ended  []Ended
	Keep   bool // the basis has changed, and is to be kept for the next life
	Wake   float64
}

// Errors that calls end with.
var (
	ErrAgreement = errors.New("enabling needs agreement, and no majority of the electors answers; the box stays out")
	ErrVersion   = errors.New("another call came first: look at the bans again")
)

// Machine is a router's side. It is not safe for concurrent use.
type Machine struct {
	set     Settings
	ask     uint64
	known   map[decide.ServerID]*register.Ban
	version uint64
	heard   float64 // when the register was read last; NaN: never
	basis   map[decide.ServerID]Basis
	done    map[decide.ServerID]uint64 // the register's version that was followed
	calls   map[uint64]*call
	filing  map[decide.ServerID]uint64 // questions that file a ban
	open    map[uint64]float64         // questions and when they were asked
	next    float64
	since   map[decide.ServerID]float64 // out here by a neighbour's word, and not in the register
	back    map[decide.ServerID]float64 // when one that the register has out was in here first
	tried   map[decide.ServerID]float64 // orders that are to be given again where they had no effect
}

type call struct {
	Call
	question uint64
	next     float64
	until    float64
}

// NewMachine returns a machine that knows nothing of the register. basis is what an earlier life
// kept. Questions are numbered from above first.
func NewMachine(set Settings, first uint64, basis map[decide.ServerID]Basis, now float64) *Machine {
	if basis == nil {
		basis = map[decide.ServerID]Basis{}
	}
	return &Machine{set: set, ask: first, known: map[decide.ServerID]*register.Ban{}, heard: math.NaN(), basis: basis, done: map[decide.ServerID]uint64{},
		calls: map[uint64]*call{}, filing: map[decide.ServerID]uint64{}, open: map[uint64]float64{}, next: now, tried: map[decide.ServerID]float64{}, since: map[decide.ServerID]float64{}, back: map[decide.ServerID]float64{}}
}

// Heard tells when the register was read last; NaN: never.
func (m *Machine) Heard() float64 { return m.heard }

// Bans returns the register's bans as they were read last, by box.
func (m *Machine) Bans() (l []register.Ban) {
	for _, b := range m.known {
		l = append(l, *b)
	}
	slices.SortFunc(l, func(a, b register.Ban) int { return cmp.Compare(a.Box, b.Box) })
	return l
}

// Basis returns what is to be kept for the next life. It is the machine's own.
func (m *Machine) Basis() map[decide.ServerID]Basis { return m.basis }

// Disabled notes that staff took a box out at this router, which holds already.
func (m *Machine) Disabled(now float64, c Call) {
	m.basis[c.Box] = Basis{Own: true, Who: c.Who, Why: c.Why, At: c.At}
	delete(m.filing, c.Box)
	m.next = now
}

// Enable has the register take that a box may come back. How that ended is told under the
// number that it returns.
func (m *Machine) Enable(now float64, c Call) (number uint64) {
	m.ask++
	number = m.ask
	m.calls[number] = &call{Call: c, next: now, until: now + m.set.Wait}
	return number
}

// question makes a question, which sets a ban where c is given.
func (m *Machine) question(now float64, c *register.Command, out *Output) uint64 {
	m.ask++
	if len(m.open) >= 64 {
		delete(m.open, slices.Min(slices.Collect(maps.Keys(m.open))))
	}
	m.open[m.ask] = now
	out.Asks = append(out.Asks, Ask{m.ask, agree.BanAsk{Since: m.version, Set: c}})
	return m.ask
}

// Step brings the machine to now. local are the boxes that are out at this router now,
// for whatever reason.
func (m *Machine) Step(now float64, local []decide.ServerID) (out Output) {
	m.follow(now, local, &out)
	for _, n := range slices.Sorted(maps.Keys(m.calls)) {
		c := m.calls[n]
		switch {
		case now >= c.until:
			delete(m.calls, n)
			out.Ended = append(out.Ended, Ended{n, ErrAgreement})
		case now >= c.next:
			c.next = now + m.set.Retry
			if math.IsNaN(m.heard) { // which version it replaces is not known yet
				m.question(now, nil, &out)
				break
			}
			c.question = m.question(now, m.command(c.Call), &out)
		}
	}
	if now >= m.next {
		m.next = now + m.set.Every
		asked := false
		if !math.IsNaN(m.heard) {
			for _, box := range local {
				if m.unfiled(now, box) {
					b := m.basis[box]
					m.filing[box] = m.question(now, m.command(Call{Box: box, Out: true, Who: b.Who, Why: b.Why, At: b.At}), &out)
					asked = true
				}
			}
		}
		if !asked {
			m.question(now, nil, &out)
		}
		if asked || math.IsNaN(m.heard) || now-m.heard > m.set.Every+m.set.Retry {
			m.next = now + m.set.Retry
		}
	}
	out.Wake = m.next
	for _, c := range m.calls {
		out.Wake = min(out.Wake, c.next, c.until)
	}
	return out
}

// unfiled tells whether a box that is out here is to be told to the register. What another
// router's word took out that one files, with who and why; only if it does not, others do.
func (m *Machine) unfiled(now float64, box decide.ServerID) bool {
	if b, ours := m.basis[box]; ours {
		return b.Own
	}
	if r := m.known[box]; r != nil && r.Out {
		delete(m.since, box)
		return false
	}
	if _, seen := m.since[box]; !seen {
		m.since[box] = now
	}
	return now-m.since[box] >= m.set.Adopt
}

func (m *Machine) command(c Call) *register.Command {
	version := c.Version
	if b := m.known[c.Box]; version == 0 && b != nil {
		version = b.Version
	}
	cut := func(s string) string { return s[:min(len(s), register.MaxText)] }
	return &register.Command{Op: register.SetBan, Box: c.Box, Out: c.Out, Token: version, Text: cut(c.Who), Why: cut(c.Why), At: c.At}
}

// stillOut tells whether the register was asked again after a box that it has out came back
// here by a neighbour's word, and has it out still.
//
// Symptom guarded against: an enable took away the neighbours' word of a ban that was filed
// right after it. The box was in again at some routers for good, and out in the register.
func (m *Machine) stillOut(now float64, box decide.ServerID) bool {
	at, seen := m.back[box]
	if !seen {
		m.back[box] = now
	}
	return seen && m.heard > at
}

// follow compares what is out here with the register, as it was read last.
//
// Symptom guarded against: a router that had read the register before staff enabled a box
// took it out again on that old reading, when the enable came to it by a neighbour's word.
// So each version is followed once, and again only on a later reading; one that takes out
// is undone by a later one.
func (m *Machine) follow(now float64, local []decide.ServerID, out *Output) {
	for _, box := range slices.Sorted(maps.Keys(m.known)) {
		r := m.known[box]
		is := slices.Contains(local, box)
		if is || !r.Out {
			delete(m.back, box)
		}
		b, ours := m.basis[box]
		if ours && b.Own {
			continue // until it is filed this router's own call rules
		}
		switch {
		case r.Out && is && b.Version != r.Version:
			m.basis[box] = Basis{Version: r.Version}
			m.done[box], out.Keep = r.Version, true
		case r.Out && !is && (m.done[box] < r.Version || m.stillOut(now, box)):
			m.order(now, Order{box, true}, out)
		case !r.Out && is && ours && b.Version != 0 && b.Version < r.Version:
			m.order(now, Order{box, false}, out)
		case !r.Out && !is:
			if m.done[box] = r.Version; ours {
				delete(m.basis, box)
				out.Keep = true
			}
		}
	}
	for _, box := range slices.Sorted(maps.Keys(m.basis)) {
		// An enable that did not know of this router's call took it back before it was filed:
		// of a ban and an enable that do not know of each other the ban holds.
		if m.basis[box].Own && !slices.Contains(local, box) {
			m.order(now, Order{box, true}, out)
		}
	}
	for box := range m.since {
		if !slices.Contains(local, box) {
			delete(m.since, box)
		}
	}
}

// order gives an order, and again after a while where it had no effect: the list may not
// have the box yet.
func (m *Machine) order(now float64, o Order, out *Output) {
	if m.tried[o.Box]+m.set.Retry <= now {
		m.tried[o.Box] = now
		out.Orders = append(out.Orders, o)
	}
}

// Hear takes an elector's answer.
func (m *Machine) Hear(now float64, a agree.BanAnswer) (out Output) {
	asked, mine := m.open[a.Question]
	if !mine || a.Version < m.version {
		return out // of an earlier life, or overtaken
	}
	delete(m.open, a.Question)
	if a.Bans != nil || a.Version == 0 {
		s, ok := register.Restore(a.Bans)
		if !ok {
			return out
		}
		m.known, m.version = s.Bans, a.Version
	}
	if a.Version != m.version {
		return out // it took this router for one that knows more
	}
	if math.IsNaN(m.heard) {
		m.heard, m.next = asked, now
	}
	m.heard = max(m.heard, asked)
	for box, q := range m.filing {
		if q != a.Question {
			continue
		}
		delete(m.filing, box)
		if r := m.known[box]; r != nil && r.Out { // as it was filed, or another did before
			m.basis[box] = Basis{Version: r.Version}
			m.done[box], out.Keep = r.Version, true
		} else {
			m.next = now // it was overtaken by an enable that did not know of it: on top of that
		}
	}
	for n, c := range m.calls {
		if c.question != a.Question {
			continue
		}
		r := m.known[c.Box]
		switch {
		case r != nil && r.Out == c.Out && a.Refused == "", r != nil && !r.Out && c.Version == 0:
			delete(m.calls, n)
			out.Ended = append(out.Ended, Ended{Call: n})
			m.done[c.Box] = r.Version
			delete(m.basis, c.Box)
			out.Keep = true
		case c.Version != 0:
			delete(m.calls, n)
			out.Ended = append(out.Ended, Ended{n, ErrVersion})
		default: // another version by now
			c.next = now
		}
	}
	return out
}
