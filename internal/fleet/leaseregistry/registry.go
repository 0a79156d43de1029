// Package register is the state that electors agree on: who holds which duty under which
// token, staff's bans, and the names of the electors. It is a pure function of the
// commands that were committed, in their order: no clock, no chance. What depends on time,
// whether a lease has ended, its leader decides before it proposes.
package leaseregistry

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/wireformat"
	"garnetline/routing"
)

// Bounds of the state, whatever is asked for.
const (
	MaxLeases     = 4096
	MaxBans       = 4096
	MaxNameLen    = 64
	MaxTextLen    = 200 // of who and why
	MaxHandoffLen = 512 // of a duty's work as it is handed on
)

// Lease is one duty as it stands.
type Lease struct {
	Name         string
	Holder       membership.ID // 0: nobody
	Incarnation  uint64        // of the holder's process
	FencingToken uint64        // only grows; it is the number of the command that gave the duty
	Losses       map[membership.ID]uint64
	Handoff      []byte // what the last holder handed on
}

// Ban is one box that staff took out.
type Ban struct {
	Server        routing.ServerID
	Disabled      bool
	Version       uint64 // number of the command that set it
	SetBy, Reason string
	SetAt         float64 // Unix ms, by the clock of the router that was called
}

// State is the whole register. It is not safe for concurrent use.
type State struct {
	Leases     map[string]*Lease
	Bans       map[routing.ServerID]*Ban
	VoterNames map[uint64]string // of electors, by their number in the agreement
}

// New returns an empty register.
func New() *State {
	return &State{Leases: map[string]*Lease{}, Bans: map[routing.ServerID]*Ban{}, VoterNames: map[uint64]string{}}
}

// Op is what a command does.
type Op uint8

// The commands.
const (
	OpGrant     Op = 1 + iota // the duty to a router, if its token is still the one named
	OpRelease                 // the holder gives it up
	OpTransfer                // the holder hands it to another, with its work
	OpSetBan                  // compare and set
	OpNameVoter               // an elector's
)

// Command is one entry of the agreed log.
type Command struct {
	Op            Op
	Lease         string
	Holder        membership.ID
	Incarnation   uint64
	ExpectedToken uint64 // the one that is to be replaced, or is given up
	Handoff       []byte
	Server        routing.ServerID
	Disabled      bool
	Text          string
	Reason        string
	SetAt         float64
	VoterID       uint64
	HolderLost    bool   // Grant: the holder before had not given it up
	RequestID     uint64 // whose answer it is, for the one who asked
}

// Errors that a command may end with.
var (
	ErrTokenMismatch  = errors.New("another token holds by now")
	ErrFull           = errors.New("no room in the register")
	ErrUnknownCommand = errors.New("no such command")
)

// Apply carries out a command, whose number is index.
func (s *State) Apply(index uint64, c *Command) error {
	switch c.Op {
	case OpGrant:
		d := s.Leases[c.Lease]
		if d == nil {
			if len(s.Leases) >= MaxLeases {
				return ErrFull
			}
			if c.ExpectedToken != 0 || c.Lease == "" {
				return ErrTokenMismatch
			}
			d = &Lease{Name: c.Lease, Losses: map[membership.ID]uint64{}}
			s.Leases[c.Lease] = d
		}
		if d.FencingToken != c.ExpectedToken {
			return ErrTokenMismatch
		}
		if c.HolderLost && d.Holder != 0 {
			d.recordLoss()
		}
		d.Holder, d.Incarnation, d.FencingToken = c.Holder, c.Incarnation, index
	case OpRelease:
		d := s.Leases[c.Lease]
		if d == nil || d.FencingToken != c.ExpectedToken || d.Holder != c.Holder {
			return ErrTokenMismatch
		}
		d.Holder, d.Incarnation, d.FencingToken = 0, 0, index
		if len(c.Handoff) > 0 {
			d.Handoff = c.Handoff
		}
	case OpTransfer:
		d := s.Leases[c.Lease]
		if d == nil || d.FencingToken != c.ExpectedToken {
			return ErrTokenMismatch
		}
		d.Holder, d.Incarnation, d.FencingToken, d.Handoff = c.Holder, c.Incarnation, index, c.Handoff
	case OpSetBan:
		b := s.Bans[c.Server]
		if b == nil && len(s.Bans) >= MaxBans {
			return ErrFull
		}
		if b != nil && b.Version != c.ExpectedToken || b == nil && c.ExpectedToken != 0 {
			return ErrTokenMismatch
		}
		s.Bans[c.Server] = &Ban{c.Server, c.Disabled, index, c.Text, c.Reason, c.SetAt}
	case OpNameVoter:
		if c.Text == "" {
			delete(s.VoterNames, c.VoterID)
		} else if len(s.VoterNames) < 64 {
			s.VoterNames[c.VoterID] = c.Text
		}
	default:
		return ErrUnknownCommand
	}
	return nil
}

// BanVersion is the number of the latest command that set a ban; 0: there was none.
func (s *State) BanVersion() (v uint64) {
	for _, b := range s.Bans {
		v = max(v, b.Version)
	}
	return v
}

// recordLoss counts a loss of the holder. Those of all others count half from then on.
//
// Symptom guarded against: after some ninety losses among eight routers each of them
// stayed away for the longest time, and the duty was nobody's. One that flaps while
// others hold it is told from them; where all lose in turn, none is.
func (d *Lease) recordLoss() {
	for id, n := range d.Losses {
		switch {
		case id == d.Holder:
		case n < 2:
			delete(d.Losses, id)
		default:
			d.Losses[id] = n / 2
		}
	}
	if d.Losses[d.Holder]++; len(d.Losses) > 16 {
		d.evictLoss()
	}
}

// evictLoss drops the one that lost the duty least often.
func (d *Lease) evictLoss() {
	ids := slices.SortedFunc(maps.Keys(d.Losses), func(a, b membership.ID) int {
		return cmp.Or(cmp.Compare(d.Losses[a], d.Losses[b]), cmp.Compare(a, b))
	})
	delete(d.Losses, ids[0])
}

// Append appends a command in protobuf's form.
func (c *Command) Append(b []byte) []byte {
	w := fieldWriter{b}
	w.number(1, uint64(c.Op))
	w.text(2, c.Lease)
	w.number(3, uint64(c.Holder))
	w.number(4, c.Incarnation)
	w.number(5, c.ExpectedToken)
	w.text(6, string(c.Handoff))
	w.number(7, uint64(c.Server))
	w.flag(8, c.Disabled)
	w.text(9, c.Text)
	w.text(10, c.Reason)
	w.number(11, uint64(c.SetAt))
	w.number(12, c.VoterID)
	w.flag(13, c.HolderLost)
	w.number(14, c.RequestID)
	return w.b
}

// DecodeCommand reads a command; false where it is none, or out of bounds.
func DecodeCommand(b []byte) (*Command, bool) {
	c := &Command{}
	ok := DecodeFields(b, func(f protowire.Number, v uint64, in []byte) bool {
		switch f {
		case 1:
			c.Op = Op(min(v, 255))
		case 2:
			c.Lease = string(in)
		case 3:
			c.Holder = membership.ID(v)
		case 4:
			c.Incarnation = v
		case 5:
			c.ExpectedToken = v
		case 6:
			c.Handoff = slices.Clone(in)
		case 7:
			c.Server = routing.ServerID(v)
		case 8:
			c.Disabled = v != 0
		case 9:
			c.Text = string(in)
		case 10:
			c.Reason = string(in)
		case 11:
			c.SetAt = float64(min(v, 1<<50))
		case 12:
			c.VoterID = v
		case 13:
			c.HolderLost = v != 0
		case 14:
			c.RequestID = v
		}
		return true
	})
	return c, ok && len(c.Lease) <= MaxNameLen && len(c.Text) <= MaxTextLen && len(c.Reason) <= MaxTextLen && len(c.Handoff) <= MaxHandoffLen
}

type fieldWriter struct{ b []byte }

func (w *fieldWriter) number(f protowire.Number, v uint64) { w.b = wireformat.AppendUint(w.b, f, v) }

func (w *fieldWriter) flag(f protowire.Number, on bool) {
	if on {
		w.number(f, 1)
	}
}

func (w *fieldWriter) text(f protowire.Number, s string) { w.b = wireformat.AppendString(w.b, f, s) }

// DecodeFields calls f with each field of a message of numbers and strings, until it says no.
func DecodeFields(b []byte, f func(n protowire.Number, v uint64, in []byte) bool) bool {
	for len(b) > 0 {
		n, t, k := protowire.ConsumeTag(b)
		if k < 0 {
			return false
		}
		b = b[k:]
		var v uint64
		var in []byte
		switch t {
		case protowire.VarintType:
			v, k = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			in, k = protowire.ConsumeBytes(b)
		default:
			return false
		}
		if k < 0 || !f(n, v, in) {
			return false
		}
		b = b[k:]
	}
	return true
}

// Snapshot is the whole state as bytes, the same for equal states.
func (s *State) Snapshot() []byte {
	w := fieldWriter{}
	for _, name := range slices.Sorted(maps.Keys(s.Leases)) {
		d := s.Leases[name]
		in := fieldWriter{}
		in.text(1, d.Name)
		in.number(2, uint64(d.Holder))
		in.number(3, d.Incarnation)
		in.number(4, d.FencingToken)
		in.text(5, string(d.Handoff))
		for _, id := range slices.Sorted(maps.Keys(d.Losses)) {
			in.number(6, uint64(id))
			in.number(7, d.Losses[id])
		}
		w.text(1, string(in.b))
	}
	w.bans(s.Bans)
	for _, n := range slices.Sorted(maps.Keys(s.VoterNames)) {
		in := fieldWriter{}
		in.number(1, n)
		in.text(2, s.VoterNames[n])
		w.text(3, string(in.b))
	}
	return w.b
}

// bans are written alike in a snapshot and in an answer.
func (w *fieldWriter) bans(of map[routing.ServerID]*Ban) {
	for _, box := range slices.Sorted(maps.Keys(of)) {
		b := of[box]
		in := fieldWriter{}
		in.number(1, uint64(b.Server)+1) // 0 is a box too
		in.flag(2, b.Disabled)
		in.number(3, b.Version)
		in.text(4, b.SetBy)
		in.text(5, b.Reason)
		in.number(6, uint64(b.SetAt))
		w.text(2, string(in.b))
	}
}

// BansSnapshot is the part of a snapshot that tells staff's bans. Restore reads it.
func (s *State) BansSnapshot() []byte {
	w := fieldWriter{}
	w.bans(s.Bans)
	return w.b
}

// Restore reads a snapshot.
func Restore(b []byte) (*State, bool) {
	s := New()
	ok := DecodeFields(b, func(f protowire.Number, _ uint64, in []byte) bool {
		switch f {
		case 1:
			d := &Lease{Losses: map[membership.ID]uint64{}}
			var who membership.ID
			if !DecodeFields(in, func(f protowire.Number, v uint64, in []byte) bool {
				switch f {
				case 1:
					d.Name = string(in)
				case 2:
					d.Holder = membership.ID(v)
				case 3:
					d.Incarnation = v
				case 4:
					d.FencingToken = v
				case 5:
					d.Handoff = slices.Clone(in)
				case 6:
					who = membership.ID(v)
				case 7:
					d.Losses[who] = v
				}
				return true
			}) {
				return false
			}
			s.Leases[d.Name] = d
		case 2:
			b := &Ban{}
			if !DecodeFields(in, func(f protowire.Number, v uint64, in []byte) bool {
				switch f {
				case 1:
					b.Server = routing.ServerID(v - 1)
				case 2:
					b.Disabled = v != 0
				case 3:
					b.Version = v
				case 4:
					b.SetBy = string(in)
				case 5:
					b.Reason = string(in)
				case 6:
					b.SetAt = float64(v)
				}
				return true
			}) {
				return false
			}
			s.Bans[b.Server] = b
		case 3:
			var n uint64
			return DecodeFields(in, func(f protowire.Number, v uint64, in []byte) bool {
				if f == 1 {
					n = v
				} else if f == 2 {
					s.VoterNames[n] = string(in)
				}
				return true
			})
		}
		return true
	})
	return s, ok
}
