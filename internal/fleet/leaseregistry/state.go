// Package leaseregistry is the state that the voters agree on: who holds which lease under
// which fencing token, operators' bans, and the names of the voters. It is a pure function of
// the committed commands in their order, without clock or chance: what depends on time, such
// as whether a lease has expired, the leader decides before it proposes a command.
//
// A State belongs to one goroutine, that of its owner (package consensus).
package leaseregistry

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// Limits of the state, whatever is asked for.
const (
	MaxLeases     = 4096
	MaxBans       = 4096
	MaxNameLen    = 64  // of a lease or voter, in bytes
	MaxTextLen    = 200 // of who set a ban, and of why, in bytes
	MaxHandoffLen = 512 // of what a holder hands to its successor, in bytes

	maxVoterNames   = 64
	maxLossCounters = 16 // of one lease
)

// Errors that Apply returns. Their texts are sent to routers and shown to operators.
var (
	ErrTokenMismatch  = errors.New("another token holds by now")
	ErrFull           = errors.New("no room in the register")
	ErrUnknownCommand = errors.New("no such command")
)

// Lease is the state of one lease.
type Lease struct {
	Name         string
	Holder       membership.ID // 0: nobody
	Incarnation  uint64        // of the holder's process; 0: not known yet, after a transfer
	FencingToken uint64        // only grows; the index of the command that changed the holder
	Losses       map[membership.ID]uint64
	Handoff      []byte // what the last holder left to its successor
}

// Ban is the state of one server that operators disabled or enabled again.
type Ban struct {
	Server        routing.ServerID
	Disabled      bool
	Version       uint64 // index of the command that set it
	SetBy, Reason string
	SetAt         float64 // Unix ms, by the clock of the router that was called
}

// State is the whole registry. It is not safe for concurrent use.
type State struct {
	Leases     map[string]*Lease
	Bans       map[routing.ServerID]*Ban
	VoterNames map[uint64]string // of voters and learners, by their raft IDs
}

// New returns an empty registry.
func New() *State {
	return &State{Leases: map[string]*Lease{}, Bans: map[routing.ServerID]*Ban{}, VoterNames: map[uint64]string{}}
}

// Apply applies a command, whose index in the log becomes the new token or version. It
// changes nothing if it returns an error: ErrTokenMismatch if what the command expects does
// not hold any more, ErrFull, or ErrUnknownCommand.
func (s *State) Apply(index uint64, command *Command) error {
	switch command.Op {
	case OpGrant:
		return s.grant(index, command)
	case OpRelease:
		return s.release(index, command)
	case OpTransfer:
		return s.transfer(index, command)
	case OpSetBan:
		return s.setBan(index, command)
	case OpNameVoter:
		s.nameVoter(command)
		return nil
	default:
		return ErrUnknownCommand
	}
}

func (s *State) grant(index uint64, command *Command) error {
	lease := s.Leases[command.Lease]
	if lease == nil {
		if len(s.Leases) >= MaxLeases {
			return ErrFull
		}
		if command.ExpectedToken != 0 || command.Lease == "" {
			return ErrTokenMismatch
		}
		lease = &Lease{Name: command.Lease, Losses: map[membership.ID]uint64{}}
		s.Leases[command.Lease] = lease
	}
	if lease.FencingToken != command.ExpectedToken {
		return ErrTokenMismatch
	}
	if command.HolderLost && lease.Holder != 0 {
		lease.recordLoss()
	}
	lease.Holder, lease.Incarnation, lease.FencingToken = command.Holder, command.Incarnation, index
	return nil
}

func (s *State) release(index uint64, command *Command) error {
	lease := s.Leases[command.Lease]
	if lease == nil || lease.FencingToken != command.ExpectedToken || lease.Holder != command.Holder {
		return ErrTokenMismatch
	}
	lease.Holder, lease.Incarnation, lease.FencingToken = 0, 0, index
	if len(command.Handoff) > 0 {
		lease.Handoff = command.Handoff
	}
	return nil
}

func (s *State) transfer(index uint64, command *Command) error {
	lease := s.Leases[command.Lease]
	if lease == nil || lease.FencingToken != command.ExpectedToken {
		return ErrTokenMismatch
	}
	lease.Holder, lease.Incarnation, lease.FencingToken = command.Holder, command.Incarnation, index
	lease.Handoff = command.Handoff
	return nil
}

func (s *State) setBan(index uint64, command *Command) error {
	ban := s.Bans[command.Server]
	if ban == nil && len(s.Bans) >= MaxBans {
		return ErrFull
	}
	version := uint64(0)
	if ban != nil {
		version = ban.Version
	}
	if command.ExpectedToken != version {
		return ErrTokenMismatch
	}
	s.Bans[command.Server] = &Ban{
		Server:   command.Server,
		Disabled: command.Disabled,
		Version:  index,
		SetBy:    command.Text,
		Reason:   command.Reason,
		SetAt:    command.SetAt,
	}
	return nil
}

func (s *State) nameVoter(command *Command) {
	if command.Text == "" {
		delete(s.VoterNames, command.VoterID)
		return
	}
	if len(s.VoterNames) < maxVoterNames {
		s.VoterNames[command.VoterID] = command.Text
	}
}

// BanVersion returns the index of the latest command that set a ban; 0: there was none.
func (s *State) BanVersion() uint64 {
	latest := uint64(0)
	for _, ban := range s.Bans {
		latest = max(latest, ban.Version)
	}
	return latest
}

// recordLoss counts that the holder lost the lease, and halves the counts of all others.
//
// Symptom guarded against: after some ninety losses among eight routers each of them backed
// off for the longest time, and nobody held the lease. A router that flaps while others hold
// the lease stands out; where all lose it in turn, none does.
func (l *Lease) recordLoss() {
	for id, losses := range l.Losses {
		if id == l.Holder {
			continue
		}
		if losses < 2 {
			delete(l.Losses, id)
			continue
		}
		l.Losses[id] = losses / 2
	}
	l.Losses[l.Holder]++
	if len(l.Losses) > maxLossCounters {
		l.evictLoss()
	}
}

// evictLoss forgets the router that lost the lease least often.
func (l *Lease) evictLoss() {
	ids := slices.SortedFunc(maps.Keys(l.Losses), func(a, b membership.ID) int {
		return cmp.Or(cmp.Compare(l.Losses[a], l.Losses[b]), cmp.Compare(a, b))
	})
	delete(l.Losses, ids[0])
}
