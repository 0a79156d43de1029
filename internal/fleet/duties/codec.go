package duties

import (
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/agree"
	"garnetline/internal/fleet/duty"
	"garnetline/internal/fleet/form"
	"garnetline/internal/fleet/member"
	"garnetline/internal/fleet/register"
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
func EncodeRequest(a duty.Request) []byte {
	b := form.AppendUint(nil, 1, a.ID)
	b = form.AppendString(b, 2, a.Lease)
	b = form.AppendUint(b, 3, a.FencingToken)
	b = form.AppendUint(b, 4, flagBit(a.Release))
	b = form.AppendUint(b, 5, uint64(a.TransferTo))
	return form.AppendString(b, 6, string(a.Handoff))
}

func DecodeRequest(b []byte) (a duty.Request, ok bool) {
	ok = register.DecodeFields(b, func(f protowire.Number, v uint64, in []byte) bool {
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
			a.TransferTo = member.ID(v)
		case 6:
			a.Handoff = slices.Clone(in)
		}
		return true
	})
	return a, ok && a.Lease != "" && len(a.Lease) <= register.MaxNameLen && len(a.Handoff) <= register.MaxHandoffLen
}

// leaderHint is the answer of an elector that does not lead: who does, as far as it knows.
type leaderHint struct {
	RequestID uint64
	Leader    string
}

func (h leaderHint) encode() []byte {
	return form.AppendString(form.AppendUint(nil, 1, h.RequestID), 2, h.Leader)
}

func decodeLeaderHint(b []byte) (h leaderHint, ok bool) {
	ok = register.DecodeFields(b, func(f protowire.Number, v uint64, in []byte) bool {
		if f == 1 {
			h.RequestID = v
		} else if f == 2 {
			h.Leader = string(in)
		}
		return true
	})
	return h, ok && h.Leader != "" && len(h.Leader) <= register.MaxNameLen
}

func EncodeResponse(a duty.Response) []byte {
	b := form.AppendUint(nil, 1, a.RequestID)
	b = form.AppendString(b, 2, a.Lease)
	b = form.AppendUint(b, 3, flagBit(a.Granted))
	b = form.AppendUint(b, 4, a.FencingToken)
	b = form.AppendUint(b, 5, uint64(a.Holder))
	b = form.AppendUint(b, 6, uint64(a.Remaining))
	b = form.AppendUint(b, 7, a.Losses)
	return form.AppendString(b, 8, string(a.Handoff))
}

func DecodeResponse(b []byte) (a duty.Response, ok bool) {
	ok = register.DecodeFields(b, func(f protowire.Number, v uint64, in []byte) bool {
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
			a.Holder = member.ID(v)
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
func EncodeBanRequest(question uint64, a agree.BanRequest) []byte {
	b := form.AppendUint(form.AppendUint(nil, 1, question), 2, a.KnownVersion)
	if a.Set != nil {
		b = form.AppendString(b, 3, string(a.Set.Append(nil)))
	}
	return b
}

func decodeBanRequest(b []byte) (question uint64, a agree.BanRequest, ok bool) {
	sets := true
	ok = register.DecodeFields(b, func(f protowire.Number, v uint64, in []byte) bool {
		switch f {
		case 1:
			question = v
		case 2:
			a.KnownVersion = v
		case 3:
			a.Set, sets = register.DecodeCommand(in)
			sets = sets && a.Set.Op == register.OpSetBan && a.Set.Server>>32 == 0
		}
		return sets
	})
	if ok && a.Set != nil {
		a.Set.RequestID = question // by which the leader finds whose command it was
	}
	return question, a, ok
}

func encodeBanResponse(a agree.BanResponse) []byte {
	b := form.AppendUint(form.AppendUint(nil, 1, a.RequestID), 2, a.Version)
	return form.AppendString(form.AppendString(b, 3, a.Rejection), 4, string(a.Bans))
}

// DecodeBanResponse reads what an elector answered.
func DecodeBanResponse(b []byte) (a agree.BanResponse, ok bool) {
	ok = register.DecodeFields(b, func(f protowire.Number, v uint64, in []byte) bool {
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
	b := form.AppendString(nil, 1, h.Name)
	b = form.AppendUint(b, 2, h.RaftID)
	b = form.AppendUint(b, 3, flagBit(h.NoLog)|flagBit(h.Reply)<<1|flagBit(h.HeardFromSender)<<2|flagBit(h.SenderIsVoter)<<3|flagBit(h.JoinRequest)<<4)
	return b
}

func decodeHello(b []byte) (h hello, ok bool) {
	ok = register.DecodeFields(b, func(f protowire.Number, v uint64, in []byte) bool {
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
	return h, ok && h.Name != "" && len(h.Name) <= register.MaxNameLen && h.RaftID != 0
}

// voterMetadata is what an elector's log keeps of it: its number, and whom it has heard.
type voterMetadata struct {
	RaftID    uint64
	HeardFrom []uint64
}

func (o voterMetadata) encode() []byte {
	b := form.AppendUint(nil, 1, o.RaftID)
	for _, id := range o.HeardFrom {
		b = form.AppendUint(b, 2, id)
	}
	return b
}

func decodeVoterMetadata(b []byte) (o voterMetadata, ok bool) {
	ok = register.DecodeFields(b, func(f protowire.Number, v uint64, _ []byte) bool {
		if f == 1 {
			o.RaftID = v
		} else if f == 2 {
			o.HeardFrom = append(o.HeardFrom, v)
		}
		return true
	})
	return o, ok
}
