package leasemanager

import (
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/wireformat"
)

// The forms of what routers and electors say to each other, in protobuf's: numbers and
// strings. Bounds are those of the register.

func flagBit(on bool) uint64 {
	if on {
		return 1
	}
	return 0
}

// EncodeRequest and the three after it are the forms of a question and of its answer.
func EncodeRequest(a lease.Request) []byte {
	b := wireformat.AppendUint(nil, 1, a.ID)
	b = wireformat.AppendString(b, 2, a.Lease)
	b = wireformat.AppendUint(b, 3, a.FencingToken)
	b = wireformat.AppendUint(b, 4, flagBit(a.Release))
	b = wireformat.AppendUint(b, 5, uint64(a.TransferTo))
	return wireformat.AppendString(b, 6, string(a.Handoff))
}

func DecodeRequest(b []byte) (a lease.Request, ok bool) {
	ok = leaseregistry.DecodeFields(b, func(f protowire.Number, v uint64, in []byte) bool {
		switch f {
		case 1:
			a.ID = v
		case 2:
			a.Lease = string(in)
		case 3:
			a.FencingToken = v
		case 4:
			a.Release = v != 0
		case 5:
			a.TransferTo = membership.ID(v)
		case 6:
			a.Handoff = slices.Clone(in)
		}
		return true
	})
	return a, ok && a.Lease != "" && len(a.Lease) <= leaseregistry.MaxNameLen && len(a.Handoff) <= leaseregistry.MaxHandoffLen
}

// leaderHint is the answer of an elector that does not lead: who does, as far as it knows.
type leaderHint struct {
	RequestID uint64
	Leader    string
}

func (h leaderHint) encode() []byte {
	return wireformat.AppendString(wireformat.AppendUint(nil, 1, h.RequestID), 2, h.Leader)
}

func decodeLeaderHint(b []byte) (h leaderHint, ok bool) {
	ok = leaseregistry.DecodeFields(b, func(f protowire.Number, v uint64, in []byte) bool {
		if f == 1 {
			h.RequestID = v
		} else if f == 2 {
			h.Leader = string(in)
		}
		return true
	})
	return h, ok && h.Leader != "" && len(h.Leader) <= leaseregistry.MaxNameLen
}

func EncodeResponse(a lease.Response) []byte {
	b := wireformat.AppendUint(nil, 1, a.RequestID)
	b = wireformat.AppendString(b, 2, a.Lease)
	b = wireformat.AppendUint(b, 3, flagBit(a.Granted))
	b = wireformat.AppendUint(b, 4, a.FencingToken)
	b = wireformat.AppendUint(b, 5, uint64(a.Holder))
	b = wireformat.AppendUint(b, 6, uint64(a.Remaining))
	b = wireformat.AppendUint(b, 7, a.Losses)
	return wireformat.AppendString(b, 8, string(a.Handoff))
}

func DecodeResponse(b []byte) (a lease.Response, ok bool) {
	ok = leaseregistry.DecodeFields(b, func(f protowire.Number, v uint64, in []byte) bool {
		switch f {
		case 1:
			a.RequestID = v
		case 2:
			a.Lease = string(in)
		case 3:
			a.Granted = v != 0
		case 4:
			a.FencingToken = v
		case 5:
			a.Holder = membership.ID(v)
		case 6:
			a.Remaining = float64(min(v, 1<<40))
		case 7:
			a.Losses = v
		case 8:
			a.Handoff = slices.Clone(in)
		}
		return true
	})
	return a, ok && a.Lease != ""
}

// EncodeBanRequest is the form of what is asked about staff's bans.
func EncodeBanRequest(question uint64, a consensus.BanRequest) []byte {
	b := wireformat.AppendUint(wireformat.AppendUint(nil, 1, question), 2, a.KnownVersion)
	if a.Set != nil {
		b = wireformat.AppendString(b, 3, string(a.Set.Append(nil)))
	}
	return b
}

func decodeBanRequest(b []byte) (question uint64, a consensus.BanRequest, ok bool) {
	sets := true
	ok = leaseregistry.DecodeFields(b, func(f protowire.Number, v uint64, in []byte) bool {
		switch f {
		case 1:
			question = v
		case 2:
			a.KnownVersion = v
		case 3:
			a.Set, sets = leaseregistry.DecodeCommand(in)
			sets = sets && a.Set.Op == leaseregistry.OpSetBan && a.Set.Server>>32 == 0
		}
		return sets
	})
	if ok && a.Set != nil {
		a.Set.RequestID = question // by which the leader finds whose command it was
	}
	return question, a, ok
}

func encodeBanResponse(a consensus.BanResponse) []byte {
	b := wireformat.AppendUint(wireformat.AppendUint(nil, 1, a.RequestID), 2, a.Version)
	return wireformat.AppendString(wireformat.AppendString(b, 3, a.Rejection), 4, string(a.Bans))
}

// DecodeBanResponse reads what an elector answered.
func DecodeBanResponse(b []byte) (a consensus.BanResponse, ok bool) {
	ok = leaseregistry.DecodeFields(b, func(f protowire.Number, v uint64, in []byte) bool {
		switch f {
		case 1:
			a.RequestID = v
		case 2:
			a.Version = v
		case 3:
			a.Rejection = string(in)
		case 4:
			a.Bans = slices.Clone(in)
		}
		return true
	})
	return a, ok
}

// hello is what electors say to each other about themselves, besides raft's messages.
type hello struct {
	Name            string
	RaftID          uint64 // its number, or the one that it would begin with
	NoLog           bool   // it has no log
	Reply           bool   // it answers
	HeardFromSender bool   // Back: something came from the asker's first number once
	SenderIsVoter   bool   // Back: that number is among the voters, as far as this one knows
	JoinRequest     bool   // asks to be taken in under ID
}

func (h hello) encode() []byte {
	b := wireformat.AppendString(nil, 1, h.Name)
	b = wireformat.AppendUint(b, 2, h.RaftID)
	b = wireformat.AppendUint(b, 3, flagBit(h.NoLog)|flagBit(h.Reply)<<1|flagBit(h.HeardFromSender)<<2|flagBit(h.SenderIsVoter)<<3|flagBit(h.JoinRequest)<<4)
	return b
}

func decodeHello(b []byte) (h hello, ok bool) {
	ok = leaseregistry.DecodeFields(b, func(f protowire.Number, v uint64, in []byte) bool {
		switch f {
		case 1:
			h.Name = string(in)
		case 2:
			h.RaftID = v
		case 3:
			h.NoLog, h.Reply, h.HeardFromSender, h.SenderIsVoter, h.JoinRequest = v&1 != 0, v&2 != 0, v&4 != 0, v&8 != 0, v&16 != 0
		}
		return true
	})
	return h, ok && h.Name != "" && len(h.Name) <= leaseregistry.MaxNameLen && h.RaftID != 0
}

// voterMetadata is what an elector's log keeps of it: its number, and whom it has heard.
type voterMetadata struct {
	RaftID    uint64
	HeardFrom []uint64
}

func (o voterMetadata) encode() []byte {
	b := wireformat.AppendUint(nil, 1, o.RaftID)
	for _, id := range o.HeardFrom {
		b = wireformat.AppendUint(b, 2, id)
	}
	return b
}

func decodeVoterMetadata(b []byte) (o voterMetadata, ok bool) {
	ok = leaseregistry.DecodeFields(b, func(f protowire.Number, v uint64, _ []byte) bool {
		if f == 1 {
			o.RaftID = v
		} else if f == 2 {
			o.HeardFrom = append(o.HeardFrom, v)
		}
		return true
	})
	return o, ok
}
