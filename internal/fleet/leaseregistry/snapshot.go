package leaseregistry

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/wireformat"
	"garnetline/routing"
)

// Field numbers of a snapshot, which has one field for each lease, each ban and each name of a
// voter. All field numbers in this file are stored and must not change.
const (
	snapshotLease     protowire.Number = 1
	snapshotBan       protowire.Number = 2
	snapshotVoterName protowire.Number = 3
)

// Field numbers of a lease. The loss counters are pairs of fields: the ID of a router, followed
// by the count of that router.
const (
	leaseName         protowire.Number = 1
	leaseHolder       protowire.Number = 2
	leaseIncarnation  protowire.Number = 3
	leaseFencingToken protowire.Number = 4
	leaseHandoff      protowire.Number = 5
	leaseLossRouter   protowire.Number = 6
	leaseLossCount    protowire.Number = 7
)

// Field numbers of a ban.
const (
	banServer   protowire.Number = 1 // server ID plus one, because 0 is a valid ID and zeros are not encoded
	banDisabled protowire.Number = 2
	banVersion  protowire.Number = 3
	banSetBy    protowire.Number = 4
	banReason   protowire.Number = 5
	banSetAt    protowire.Number = 6
)

// Field numbers of a voter's name.
const (
	voterID   protowire.Number = 1
	voterName protowire.Number = 2
)

// Snapshot encodes the whole state. Equal states have the same encoding.
func (s *State) Snapshot() []byte {
	w := wireformat.NewWriter(nil)
	for _, name := range slices.Sorted(maps.Keys(s.Leases)) {
		w.Message(snapshotLease, s.Leases[name].writeTo)
	}
	s.writeBans(w)
	for _, id := range slices.Sorted(maps.Keys(s.VoterNames)) {
		w.Message(snapshotVoterName, func(entry *wireformat.Writer) {
			entry.Uint(voterID, id)
			entry.String(voterName, s.VoterNames[id])
		})
	}
	return w.Encoded()
}

// BansSnapshot encodes only the operators' bans. Restore can decode the result.
func (s *State) BansSnapshot() []byte {
	w := wireformat.NewWriter(nil)
	s.writeBans(w)
	return w.Encoded()
}

func (s *State) writeBans(w *wireformat.Writer) {
	for _, server := range slices.Sorted(maps.Keys(s.Bans)) {
		w.Message(snapshotBan, s.Bans[server].writeTo)
	}
}

func (l *Lease) writeTo(w *wireformat.Writer) {
	w.String(leaseName, l.Name)
	w.Uint(leaseHolder, uint64(l.Holder))
	w.Uint(leaseIncarnation, l.Incarnation)
	w.Uint(leaseFencingToken, l.FencingToken)
	w.Bytes(leaseHandoff, l.Handoff)
	for _, id := range slices.Sorted(maps.Keys(l.Losses)) {
		w.Uint(leaseLossRouter, uint64(id))
		w.Uint(leaseLossCount, l.Losses[id])
	}
}

func (b *Ban) writeTo(w *wireformat.Writer) {
	w.Uint(banServer, uint64(b.Server)+1)
	w.Bool(banDisabled, b.Disabled)
	w.Uint(banVersion, b.Version)
	w.String(banSetBy, b.SetBy)
	w.String(banReason, b.Reason)
	w.Uint(banSetAt, uint64(b.SetAt))
}

// Restore decodes a snapshot. ok is false if the snapshot is invalid.
func Restore(snapshot []byte) (state *State, ok bool) {
	state = New()
	ok = wireformat.ParseFields(snapshot, func(field protowire.Number, _ uint64, content []byte) bool {
		switch field {
		case snapshotLease:
			return state.restoreLease(content)
		case snapshotBan:
			return state.restoreBan(content)
		case snapshotVoterName:
			return state.restoreVoterName(content)
		}
		return true
	})
	return state, ok
}

func (s *State) restoreLease(message []byte) bool {
	lease := &Lease{Losses: map[membership.ID]uint64{}}
	var lossRouter membership.ID
	ok := wireformat.ParseFields(message, func(field protowire.Number, value uint64, content []byte) bool {
		switch field {
		case leaseName:
			lease.Name = string(content)
		case leaseHolder:
			lease.Holder = membership.ID(value)
		case leaseIncarnation:
			lease.Incarnation = value
		case leaseFencingToken:
			lease.FencingToken = value
		case leaseHandoff:
			lease.Handoff = slices.Clone(content)
		case leaseLossRouter:
			lossRouter = membership.ID(value)
		case leaseLossCount:
			lease.Losses[lossRouter] = value
		}
		return true
	})
	if ok {
		s.Leases[lease.Name] = lease
	}
	return ok
}

func (s *State) restoreBan(message []byte) bool {
	ban := &Ban{}
	ok := wireformat.ParseFields(message, func(field protowire.Number, value uint64, content []byte) bool {
		switch field {
		case banServer:
			ban.Server = routing.ServerID(value - 1)
		case banDisabled:
			ban.Disabled = value != 0
		case banVersion:
			ban.Version = value
		case banSetBy:
			ban.SetBy = string(content)
		case banReason:
			ban.Reason = string(content)
		case banSetAt:
			ban.SetAt = float64(value)
		}
		return true
	})
	if ok {
		s.Bans[ban.Server] = ban
	}
	return ok
}

func (s *State) restoreVoterName(message []byte) bool {
	var id uint64
	return wireformat.ParseFields(message, func(field protowire.Number, value uint64, content []byte) bool {
		switch field {
		case voterID:
			id = value
		case voterName:
			s.VoterNames[id] = string(content)
		}
		return true
	})
}
