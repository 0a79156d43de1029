// Package leaseregistry holds the state that the voters replicate: the holder and the fencing
// token of each lease, the operators' bans, and the names of the voters. The state is a pure
// function of the sequence of committed commands and uses neither a clock nor random numbers. The
// leader decides everything that depends on time, such as whether a lease has expired, before it
// proposes a command.
//
// Only one goroutine, that of the state's owner (package consensus), may use a State.
package leaseregistry

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// Limits of the state, which no command can exceed.
const (
	MaxLeases     = 4096
	MaxBans       = 4096
	MaxNameLen    = 64  // of a lease or voter, in bytes
	MaxTextLen    = 200 // of the name of a ban's author, and of a ban's reason, in bytes
	MaxHandoffLen = 512 // of the data that a holder leaves to its successor, in bytes

	maxVoterNames   = 64
	maxLossCounters = 16 // per lease
)

// Errors that Apply returns. Their texts are sent to routers and shown to operators, so they must
// not change.
var (
	ErrTokenMismatch  = errors.New("another token holds by now")
	ErrFull           = errors.New("no room in the register")
	ErrUnknownCommand = errors.New("no such command")
)

// Lease is the state of one lease.
type Lease struct {
	Name         string
	Holder       membership.ID            // 0 if nobody holds the lease
	Incarnation  uint64                   // identifies the holder's process; 0 if unknown, as after a transfer
	FencingToken uint64                   // log index of the command that set the holder; it only grows
	Losses       map[membership.ID]uint64 // how often each router lost the lease, decayed by recordLoss
	Handoff      []byte                   // data that the last holder left to its successor
}

// Ban records that operators disabled a server or enabled it again.
type Ban struct {
	Server        routing.ServerID
	Disabled      bool
	Version       uint64 // log index of the command that set the ban
	SetBy, Reason string
	SetAt         float64 // Unix ms by the clock of the router that received the operator's call
}

// State is the whole registry. It is not safe for concurrent use.
type State struct {
	Leases     map[string]*Lease
	Bans       map[routing.ServerID]*Ban
	VoterNames map[uint64]string // names of voters and learners, by raft ID
}

// New returns an empty registry.
func New() *State {
	return &State{Leases: map[string]*Lease{}, Bans: map[routing.ServerID]*Ban{}, VoterNames: map[uint64]string{}}
}

// Apply applies a command. The argument index is the log index of the command. It becomes the new
// token of the lease or the new version of the ban. Apply returns ErrTokenMismatch if the lease
// or ban no longer matches the command, ErrFull if a limit is reached, and ErrUnknownCommand for
// an unknown operation. If Apply returns an error, the state is unchanged.
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

// BanVersion returns the log index of the latest command that set a ban, or 0 if there was none.
func (s *State) BanVersion() uint64 {
	latest := uint64(0)
	for _, ban := range s.Bans {
		latest = max(latest, ban.Version)
	}
	return latest
}

// recordLoss increments the holder's loss counter and halves those of all other routers.
//
// Without the halving, about ninety losses spread over eight routers (eleven for each) would make
// each of these routers back off for the longest time, and nobody would hold the lease. With the
// halving, only a router that loses the lease repeatedly while others keep it reaches a high
// count. If all routers lose the lease in turn, no router reaches a high count.
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

// evictLoss removes the lowest loss counter. If several counters are equally low, it removes
// that of the router with the lowest ID.
func (l *Lease) evictLoss() {
	ids := slices.SortedFunc(maps.Keys(l.Losses), func(a, b membership.ID) int {
		return cmp.Or(cmp.Compare(l.Losses[a], l.Losses[b]), cmp.Compare(a, b))
	})
	delete(l.Losses, ids[0])
}
