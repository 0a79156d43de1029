// Package keeper has a router's side of staff's bans as the register keeps them, without
// I/O: what is to be filed, what the register says is to be taken out, and when a box may
// come back. The register has each ban in one order, with who, when and why; it outlives
// all routers. What is said between routers (words) is faster and may be forgotten.
//
// Taking out needs nobody: a ban that staff set at a door holds there at once and is filed
// when the electors can be reached. Coming back needs agreement: the register must have
// taken the enable before this router lets the box in again.
package bans

import (
	"cmp"
	"errors"
	"maps"
	"math"
	"slices"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/routing"
)

// Settings are times, in milliseconds.
type Settings struct {
	PollInterval  float64 // between questions, where nothing happens
	RetryInterval float64 // a question without an answer is repeated after it
	ChangeTimeout float64 // a call of staff that has no answer ends after it
	AdoptAfter    float64 // a ban that nobody filed is filed by whoever knows of it after it
}

// DefaultSettings is what the operators' file begins with.
func DefaultSettings() Settings {
	return Settings{PollInterval: 1000, RetryInterval: 150, ChangeTimeout: 700, AdoptAfter: 10_000}
}

// LocalBan is what it rests on that a box is out at this router. It outlives the process.
type LocalBan struct {
	Unregistered bool    `json:"Own"`     // staff called this router, and the register does not know yet
	Version      uint64  `json:"Version"` // of the register's ban that this router knows of; 0: of none
	SetBy        string  `json:"Who,omitempty"`
	Reason       string  `json:"Why,omitempty"`
	SetAt        float64 `json:"At"`
}

// Change is one of staff.
type Change struct {
	Server        routing.ServerID
	Disable       bool
	SetBy, Reason string
	Version       uint64  // that staff saw; 0: whatever holds
	SetAt         float64 // Unix ms
}

// Action is what the router is to do with a box.
type Action struct {
	Server  routing.ServerID
	Disable bool
}

// Request is a question for the electors.
type Request struct {
	ID uint64
	consensus.BanRequest
}

// Completion is a call that has its answer.
type Completion struct {
	ChangeID uint64
	Err      error
}

// Output is what a step calls for.
type Output struct {
	Requests    []Request
	Actions     []Action
	Completions []Completion
	Persist     bool // the basis has changed, and is to be kept for the next life
	WakeAt      float64
}

// Errors that calls end with.
var (
	ErrNoQuorum        = errors.New("enabling needs agreement, and no majority of the electors answers; the box stays out")
	ErrVersionConflict = errors.New("another call came first: look at the bans again")
)

// Machine is a router's side. It is not safe for concurrent use.
type Machine struct {
	settings          Settings
	lastRequestID     uint64
	registered        map[routing.ServerID]*leaseregistry.Ban
	registryVersion   uint64
	lastReadAt        float64 // when the register was read last; NaN: never
	local             map[routing.ServerID]LocalBan
	appliedVersions   map[routing.ServerID]uint64 // the register's version that was followed
	changes           map[uint64]*pendingChange
	registrations     map[routing.ServerID]uint64 // questions that file a ban
	openRequests      map[uint64]float64          // questions and when they were asked
	nextPollAt        float64
	unregisteredSince map[routing.ServerID]float64 // out here by a neighbour's word, and not in the register
	reenabledAt       map[routing.ServerID]float64 // when one that the register has out was in here first
	lastActionAt      map[routing.ServerID]float64 // orders that are to be given again where they had no effect
}

type pendingChange struct {
	Change
	requestID     uint64
	nextRequestAt float64
	deadline      float64
}

// NewMachine returns a machine that knows nothing of the register. basis is what an earlier life
// kept. Questions are numbered from above first.
func NewMachine(set Settings, first uint64, basis map[routing.ServerID]LocalBan, now float64) *Machine {
	if basis == nil {
		basis = map[routing.ServerID]LocalBan{}
	}
	return &Machine{settings: set, lastRequestID: first, registered: map[routing.ServerID]*leaseregistry.Ban{}, lastReadAt: math.NaN(), local: basis, appliedVersions: map[routing.ServerID]uint64{},
		changes: map[uint64]*pendingChange{}, registrations: map[routing.ServerID]uint64{}, openRequests: map[uint64]float64{}, nextPollAt: now, lastActionAt: map[routing.ServerID]float64{}, unregisteredSince: map[routing.ServerID]float64{}, reenabledAt: map[routing.ServerID]float64{}}
}

// LastReadAt tells when the register was read last; NaN: never.
func (m *Machine) LastReadAt() float64 { return m.lastReadAt }

// Bans returns the register's bans as they were read last, by box.
func (m *Machine) Bans() (l []leaseregistry.Ban) {
	for _, b := range m.registered {
		l = append(l, *b)
	}
	slices.SortFunc(l, func(a, b leaseregistry.Ban) int { return cmp.Compare(a.Server, b.Server) })
	return l
}

// LocalBans returns what is to be kept for the next life. It is the machine's own.
func (m *Machine) LocalBans() map[routing.ServerID]LocalBan { return m.local }

// RecordDisabled notes that staff took a box out at this router, which holds already.
func (m *Machine) RecordDisabled(now float64, c Change) {
	m.local[c.Server] = LocalBan{Unregistered: true, SetBy: c.SetBy, Reason: c.Reason, SetAt: c.SetAt}
	delete(m.registrations, c.Server)
	m.nextPollAt = now
}

// RequestEnable has the register take that a box may come back. How that ended is told under the
// number that it returns.
func (m *Machine) RequestEnable(now float64, c Change) (number uint64) {
	m.lastRequestID++
	number = m.lastRequestID
	m.changes[number] = &pendingChange{Change: c, nextRequestAt: now, deadline: now + m.settings.ChangeTimeout}
	return number
}

// addRequest makes a question, which sets a ban where c is given.
func (m *Machine) addRequest(now float64, c *leaseregistry.Command, out *Output) uint64 {
	m.lastRequestID++
	if len(m.openRequests) >= 64 {
		delete(m.openRequests, slices.Min(slices.Collect(maps.Keys(m.openRequests))))
	}
	m.openRequests[m.lastRequestID] = now
	out.Requests = append(out.Requests, Request{m.lastRequestID, consensus.BanRequest{KnownVersion: m.registryVersion, Set: c}})
	return m.lastRequestID
}

// Step brings the machine to now. local are the boxes that are out at this router now,
// for whatever reason.
func (m *Machine) Step(now float64, local []routing.ServerID) (out Output) {
	m.reconcile(now, local, &out)
	for _, n := range slices.Sorted(maps.Keys(m.changes)) {
		c := m.changes[n]
		switch {
		case now >= c.deadline:
			delete(m.changes, n)
			out.Completions = append(out.Completions, Completion{n, ErrNoQuorum})
		case now >= c.nextRequestAt:
			c.nextRequestAt = now + m.settings.RetryInterval
			if math.IsNaN(m.lastReadAt) { // which version it replaces is not known yet
				m.addRequest(now, nil, &out)
				break
			}
			c.requestID = m.addRequest(now, m.command(c.Change), &out)
		}
	}
	if now >= m.nextPollAt {
		m.nextPollAt = now + m.settings.PollInterval
		asked := false
		if !math.IsNaN(m.lastReadAt) {
			for _, box := range local {
				if m.needsRegistration(now, box) {
					b := m.local[box]
					m.registrations[box] = m.addRequest(now, m.command(Change{Server: box, Disable: true, SetBy: b.SetBy, Reason: b.Reason, SetAt: b.SetAt}), &out)
					asked = true
				}
			}
		}
		if !asked {
			m.addRequest(now, nil, &out)
		}
		if asked || math.IsNaN(m.lastReadAt) || now-m.lastReadAt > m.settings.PollInterval+m.settings.RetryInterval {
			m.nextPollAt = now + m.settings.RetryInterval
		}
	}
	out.WakeAt = m.nextPollAt
	for _, c := range m.changes {
		out.WakeAt = min(out.WakeAt, c.nextRequestAt, c.deadline)
	}
	return out
}

// needsRegistration tells whether a box that is out here is to be told to the register. What another
// router's word took out that one files, with who and why; only if it does not, others do.
func (m *Machine) needsRegistration(now float64, box routing.ServerID) bool {
	if b, ours := m.local[box]; ours {
		return b.Unregistered
	}
	if r := m.registered[box]; r != nil && r.Disabled {
		delete(m.unregisteredSince, box)
		return false
	}
	if _, seen := m.unregisteredSince[box]; !seen {
		m.unregisteredSince[box] = now
	}
	return now-m.unregisteredSince[box] >= m.settings.AdoptAfter
}

func (m *Machine) command(c Change) *leaseregistry.Command {
	version := c.Version
	if b := m.registered[c.Server]; version == 0 && b != nil {
		version = b.Version
	}
	cut := func(s string) string { return s[:min(len(s), leaseregistry.MaxTextLen)] }
	return &leaseregistry.Command{Op: leaseregistry.OpSetBan, Server: c.Server, Disabled: c.Disable, ExpectedToken: version, Text: cut(c.SetBy), Reason: cut(c.Reason), SetAt: c.SetAt}
}

// stillDisabled tells whether the register was asked again after a box that it has out came back
// here by a neighbour's word, and has it out still.
//
// Symptom guarded against: an enable took away the neighbours' word of a ban that was filed
// right after it. The box was in again at some routers for good, and out in the register.
func (m *Machine) stillDisabled(now float64, box routing.ServerID) bool {
	at, seen := m.reenabledAt[box]
	if !seen {
		m.reenabledAt[box] = now
	}
	return seen && m.lastReadAt > at
}

// reconcile compares what is out here with the register, as it was read last.
//
// Symptom guarded against: a router that had read the register before staff enabled a box
// took it out again on that old reading, when the enable came to it by a neighbour's word.
// So each version is followed once, and again only on a later reading; one that takes out
// is undone by a later one.
func (m *Machine) reconcile(now float64, local []routing.ServerID, out *Output) {
	for _, box := range slices.Sorted(maps.Keys(m.registered)) {
		r := m.registered[box]
		is := slices.Contains(local, box)
		if is || !r.Disabled {
			delete(m.reenabledAt, box)
		}
		b, ours := m.local[box]
		if ours && b.Unregistered {
			continue // until it is filed this router's own call rules
		}
		switch {
		case r.Disabled && is && b.Version != r.Version:
			m.local[box] = LocalBan{Version: r.Version}
			m.appliedVersions[box], out.Persist = r.Version, true
		case r.Disabled && !is && (m.appliedVersions[box] < r.Version || m.stillDisabled(now, box)):
			m.addAction(now, Action{box, true}, out)
		case !r.Disabled && is && ours && b.Version != 0 && b.Version < r.Version:
			m.addAction(now, Action{box, false}, out)
		case !r.Disabled && !is:
			if m.appliedVersions[box] = r.Version; ours {
				delete(m.local, box)
				out.Persist = true
			}
		}
	}
	for _, box := range slices.Sorted(maps.Keys(m.local)) {
		// An enable that did not know of this router's call took it back before it was filed:
		// of a ban and an enable that do not know of each other the ban holds.
		if m.local[box].Unregistered && !slices.Contains(local, box) {
			m.addAction(now, Action{box, true}, out)
		}
	}
	for box := range m.unregisteredSince {
		if !slices.Contains(local, box) {
			delete(m.unregisteredSince, box)
		}
	}
}

// addAction gives an order, and again after a while where it had no effect: the list may not
// have the box yet.
func (m *Machine) addAction(now float64, o Action, out *Output) {
	if m.lastActionAt[o.Server]+m.settings.RetryInterval <= now {
		m.lastActionAt[o.Server] = now
		out.Actions = append(out.Actions, o)
	}
}

// HandleResponse takes an elector's answer.
func (m *Machine) HandleResponse(now float64, a consensus.BanResponse) (out Output) {
	asked, mine := m.openRequests[a.RequestID]
	if !mine || a.Version < m.registryVersion {
		return out // of an earlier life, or overtaken
	}
	delete(m.openRequests, a.RequestID)
	if a.Bans != nil || a.Version == 0 {
		s, ok := leaseregistry.Restore(a.Bans)
		if !ok {
			return out
		}
		m.registered, m.registryVersion = s.Bans, a.Version
	}
	if a.Version != m.registryVersion {
		return out // it took this router for one that knows more
	}
	if math.IsNaN(m.lastReadAt) {
		m.lastReadAt, m.nextPollAt = asked, now
	}
	m.lastReadAt = max(m.lastReadAt, asked)
	for box, q := range m.registrations {
		if q != a.RequestID {
			continue
		}
		delete(m.registrations, box)
		if r := m.registered[box]; r != nil && r.Disabled { // as it was filed, or another did before
			m.local[box] = LocalBan{Version: r.Version}
			m.appliedVersions[box], out.Persist = r.Version, true
		} else {
			m.nextPollAt = now // it was overtaken by an enable that did not know of it: on top of that
		}
	}
	for n, c := range m.changes {
		if c.requestID != a.RequestID {
			continue
		}
		r := m.registered[c.Server]
		switch {
		case r != nil && r.Disabled == c.Disable && a.Rejection == "", r != nil && !r.Disabled && c.Version == 0:
			delete(m.changes, n)
			out.Completions = append(out.Completions, Completion{ChangeID: n})
			m.appliedVersions[c.Server] = r.Version
			delete(m.local, c.Server)
			out.Persist = true
		case c.Version != 0:
			delete(m.changes, n)
			out.Completions = append(out.Completions, Completion{n, ErrVersionConflict})
		default: // another version by now
			c.nextRequestAt = now
		}
	}
	return out
}
