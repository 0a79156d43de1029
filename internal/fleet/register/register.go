// Package register is the state that electors agree on: who holds which duty under which
// token, staff's bans, and the names of the electors. It is a pure function of the
// commands that were committed, in their order: no clock, no chance. What depends on time,
// whether a lease has ended, its leader decides before it proposes.
package register

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/decide"
	"garnetline/internal/fleet/form"
	"garnetline/internal/fleet/member"
)

// Bounds of the state, whatever is asked for.
const (
	MaxDuties = 4096
	MaxBans   = 4096
	MaxName   = 64
	MaxText   = 200 // of who and why
	MaxWork   = 512 // of a duty's work as it is handed on
)

// Duty is one duty as it stands.
type Duty struct {
	Name   string
	Holder member.ID // 0: nobody
	Life   uint64    // of the holder's process
	Token  uint64    // only grows; it is the number of the command that gave the duty
	Losses map[member.ID]uint64
	Work   []byte // what the last holder handed on
}

// Ban is one box that staff took out.
type Ban struct {
	Box      decide.ServerID
	Out      bool
	Version  uint64 // number of the command that set it
	Who, Why string
	At       float64 // Unix ms, by the clock of the router that was called
}

// State is the whole register. It is not safe for concurrent use.
type State struct {
	Duties map[string]*Duty
	Bans   map[decide.ServerID]*Ban
	Names  map[uint64]string // of electors, by their number in the agreement
}

// New returns an empty register.
func New() *State {
	return &State{Duties: map[string]*Duty{}, Bans: map[decide.ServerID]*Ban{}, Names: map[uint64]string{}}
}

// Op is what a command does.
type Op uint8

// The commands.
const (
	Grant   Op = 1 + iota // the duty to a router, if its token is still the one named
	Release               // the holder gives it up
	Move                  // the holder hands it to another, with its work
	SetBan                // compare and set
	Name                  // an elector's
)

// Command is one entry of the agreed log.
type Command struct {
	Op       Op
	Duty     string
	Who      member.ID
	Life     uint64
	Token    uint64 // the one that is to be replaced, or is given up
	Work     []byte
	Box      decide.ServerID
	Out      bool
	Text     string
	Why      string
	At       float64
	Number   uint64
	Lost     bool   // Grant: the holder before had not given it up
	Question uint64 // whose answer it is, for the one who asked
}

// Errors that a command may end with.
var (
	ErrToken = errors.New("another token holds by now")
	ErrFull  = errors.New("no room in the register")
	ErrBad   = errors.New("no such command")
)

// Apply carries out a command, whose number is index.
func (s *State) Apply(index uint64, c *Command) error {
	switch c.Op {
	case Grant:
		d := s.Duties[c.Duty]
		if d == nil {
			if len(s.Duties) >= MaxDuties {
				return ErrFull
			}
			if c.Token != 0 || c.Duty == "" {
				return ErrToken
			}
			d = &Duty{Name: c.Duty, Losses: map[member.ID]uint64{}}
			s.Duties[c.Duty] = d
		}
		if d.Token != c.Token {
			return ErrToken
		}
		if c.Lost && d.Holder != 0 {
			d.lost()
		}
		d.Holder, d.Life, d.Token = c.Who, c.Life, index
	case Release:
		d := s.Duties[c.Duty]
		if d == nil || d.Token != c.Token || d.Holder != c.Who {
			return ErrToken
		}
		d.Holder, d.Life, d.Token = 0, 0, index
		if len(c.Work) > 0 {
			d.Work = c.Work
		}
	case Move:
		d := s.Duties[c.Duty]
		if d == nil || d.Token != c.Token {
			return ErrToken
		}
		d.Holder, d.Life, d.Token, d.Work = c.Who, c.Life, index, c.Work
	case SetBan:
		b := s.Bans[c.Box]
		if b == nil && len(s.Bans) >= MaxBans {
			return ErrFull
		}
		if b != nil && b.Version != c.Token || b == nil && c.Token != 0 {
			return ErrToken
		}
		s.Bans[c.Box] = &Ban{c.Box, c.Out, index, c.Text, c.Why, c.At}
	case Name:
		if c.Text == "" {
			delete(s.Names, c.Number)
		} else if len(s.Names) < 64 {
			s.Names[c.Number] = c.Text
		}
	default:
		return ErrBad
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

// lost counts a loss of the holder. Those of all others count half from then on.
//
// Symptom guarded against: after some ninety losses among eight routers each of them
// stayed away for the longest time, and the duty was nobody's. One that flaps while
// others hold it is told from them; where all lose in turn, none is.
func (d *Duty) lost() {
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
		d.forget()
	}
}

// forget drops the one that lost the duty least often.
func (d *Duty) forget() {
	ids := slices.SortedFunc(maps.Keys(d.Losses), func(a, b member.ID) int {
		return cmp.Or(cmp.Compare(d.Losses[a], d.Losses[b]), cmp.Compare(a, b))
	})
	delete(d.Losses, ids[0])
}

// Append appends a command in protobuf's form.
func (c *Command) Append(b []byte) []byte {
	w := writer{b}
	w.num(1, uint64(c.Op))
	w.text(2, c.Duty)
	w.num(3, uint64(c.Who))
	w.num(4, c.Life)
	w.num(5, c.Token)
	w.text(6, string(c.Work))
	w.num(7, uint64(c.Box))
	w.flag(8, c.Out)
	w.text(9, c.Text)
	w.text(10, c.Why)
	w.num(11, uint64(c.At))
	w.num(12, c.Number)
	w.flag(13, c.Lost)
	w.num(14, c.Question)
	return w.b
}

// Read reads a command; false where it is none, or out of bounds.
func Read(b []byte) (*Command, bool) {
	c := &Command{}
	ok := Fields(b, func(f protowire.Number, v uint64, in []byte) bool {
		switch f {
		case 1:
			c.Op = Op(min(v, 255))
		case 2:
			c.Duty = string(in)
		case 3:
			c.Who = member.ID(v)
		case 4:
			c.Life = v
		case 5:
			c.Token = v
		case 6:
			c.Work = slices.Clone(in)
		case 7:
			c.Box = decide.ServerID(v)
		case 8:
			c.Out = v != 0
		case 9:
			c.Text = string(in)
		case 10:
			c.Why = string(in)
		case 11:
			c.At = float64(min(v, 1<<50))
		case 12:
			c.Number = v
		case 13:
			c.Lost = v != 0
		case 14:
			c.Question = v
		}
		return true
	})
	return c, ok && len(c.Duty) <= MaxName && len(c.Text) <= MaxText && len(c.Why) <= MaxText && len(c.Work) <= MaxWork
}

type writer struct{ b []byte }

func (w *writer) num(f protowire.Number, v uint64) { w.b = form.Number(w.b, f, v) }

func (w *writer) flag(f protowire.Number, on bool) {
	if on {
		w.num(f, 1)
	}
}

func (w *writer) text(f protowire.Number, s string) { w.b = form.Text(w.b, f, s) }

// Fields calls f with each field of a message of numbers and strings, until it says no.
func Fields(b []byte, f func(n protowire.Number, v uint64, in []byte) bool) bool {
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
	w := writer{}
	for _, name := range slices.Sorted(maps.Keys(s.Duties)) {
		d := s.Duties[name]
		in := writer{}
		in.text(1, d.Name)
		in.num(2, uint64(d.Holder))
		in.num(3, d.Life)
		in.num(4, d.Token)
		in.text(5, string(d.Work))
		for _, id := range slices.Sorted(maps.Keys(d.Losses)) {
			in.num(6, uint64(id))
			in.num(7, d.Losses[id])
		}
		w.text(1, string(in.b))
	}
	w.bans(s.Bans)
	for _, n := range slices.Sorted(maps.Keys(s.Names)) {
		in := writer{}
		in.num(1, n)
		in.text(2, s.Names[n])
		w.text(3, string(in.b))
	}
	return w.b
}

// bans are written alike in a snapshot and in an answer.
func (w *writer) bans(of map[decide.ServerID]*Ban) {
	for _, box := range slices.Sorted(maps.Keys(of)) {
		b := of[box]
		in := writer{}
		in.num(1, uint64(b.Box)+1) // 0 is a box too
		in.flag(2, b.Out)
		in.num(3, b.Version)
		in.text(4, b.Who)
		in.text(5, b.Why)
		in.num(6, uint64(b.At))
		w.text(2, string(in.b))
	}
}

// BansAlone is the part of a snapshot that tells staff's bans. Restore reads it.
func (s *State) BansAlone() []byte {
	w := writer{}
	w.bans(s.Bans)
	return w.b
}

// Restore reads a snapshot.
func Restore(b []byte) (*State, bool) {
	s := New()
	ok := Fields(b, func(f protowire.Number, _ uint64, in []byte) bool {
		switch f {
		case 1:
			d := &Duty{Losses: map[member.ID]uint64{}}
			var who member.ID
			if !Fields(in, func(f protowire.Number, v uint64, in []byte) bool {
				switch f {
				case 1:
					d.Name = string(in)
				case 2:
					d.Holder = member.ID(v)
				case 3:
					d.Life = v
				case 4:
					d.Token = v
				case 5:
					d.Work = slices.Clone(in)
				case 6:
					who = member.ID(v)
				case 7:
					d.Losses[who] = v
				}
				return true
			}) {
				return false
			}
			s.Duties[d.Name] = d
		case 2:
			b := &Ban{}
			if !Fields(in, func(f protowire.Number, v uint64, in []byte) bool {
				switch f {
				case 1:
					b.Box = decide.ServerID(v - 1)
				case 2:
					b.Out = v != 0
				case 3:
					b.Version = v
				case 4:
					b.Who = string(in)
				case 5:
					b.Why = string(in)
				case 6:
					b.At = float64(v)
				}
				return true
			}) {
				return false
			}
			s.Bans[b.Box] = b
		case 3:
			var n uint64
			return Fields(in, func(f protowire.Number, v uint64, in []byte) bool {
				if f == 1 {
					n = v
				} else if f == 2 {
					s.Names[n] = string(in)
				}
				return true
			})
		}
		return true
	})
	return s, ok
}
