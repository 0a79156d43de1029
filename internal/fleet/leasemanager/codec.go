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

// This file encodes and decodes the messages between routers and voters and the metadata in a
// voter's log. All of them are protobuf messages of numbers and strings. Their field numbers
// must not change. The decoders reject messages that exceed the registry's limits.

// maxRemainingMs bounds a decoded duration in ms, so that its conversion to float64 is exact.
const maxRemainingMs = 1 << 40

// Field numbers of a lease request.
const (
	requestID           protowire.Number = 1
	requestLease        protowire.Number = 2
	requestFencingToken protowire.Number = 3
	requestRelease      protowire.Number = 4
	requestTransferTo   protowire.Number = 5
	requestHandoff      protowire.Number = 6
)

// EncodeRequest encodes a router's request about a lease.
func EncodeRequest(request lease.Request) []byte {
	w := wireformat.NewWriter(nil)
	w.Uint(requestID, request.ID)
	w.String(requestLease, request.Lease)
	w.Uint(requestFencingToken, request.FencingToken)
	w.Bool(requestRelease, request.Release)
	w.Uint(requestTransferTo, uint64(request.TransferTo))
	w.Bytes(requestHandoff, request.Handoff)
	return w.Encoded()
}

// DecodeRequest decodes a router's request about a lease. ok is false if the payload is invalid.
func DecodeRequest(payload []byte) (request lease.Request, ok bool) {
	ok = wireformat.ParseFields(payload, func(field protowire.Number, value uint64, content []byte) bool {
		switch field {
		case requestID:
			request.ID = value
		case requestLease:
			request.Lease = string(content)
		case requestFencingToken:
			request.FencingToken = value
		case requestRelease:
			request.Release = value != 0
		case requestTransferTo:
			request.TransferTo = membership.ID(value)
		case requestHandoff:
			request.Handoff = slices.Clone(content)
		}
		return true
	})
	withinLimits := request.Lease != "" && len(request.Lease) <= leaseregistry.MaxNameLen && len(request.Handoff) <= leaseregistry.MaxHandoffLen
	return request, ok && withinLimits
}

// Field numbers of a lease response.
const (
	responseRequestID    protowire.Number = 1
	responseLease        protowire.Number = 2
	responseGranted      protowire.Number = 3
	responseFencingToken protowire.Number = 4
	responseHolder       protowire.Number = 5
	responseRemaining    protowire.Number = 6
	responseLosses       protowire.Number = 7
	responseHandoff      protowire.Number = 8
)

// EncodeResponse encodes a voter's response or notice about a lease.
func EncodeResponse(response lease.Response) []byte {
	w := wireformat.NewWriter(nil)
	w.Uint(responseRequestID, response.RequestID)
	w.String(responseLease, response.Lease)
	w.Bool(responseGranted, response.Granted)
	w.Uint(responseFencingToken, response.FencingToken)
	w.Uint(responseHolder, uint64(response.Holder))
	w.Uint(responseRemaining, uint64(response.Remaining))
	w.Uint(responseLosses, response.Losses)
	w.Bytes(responseHandoff, response.Handoff)
	return w.Encoded()
}

// DecodeResponse decodes a voter's response or notice about a lease. ok is false if the payload is
// invalid.
func DecodeResponse(payload []byte) (response lease.Response, ok bool) {
	ok = wireformat.ParseFields(payload, func(field protowire.Number, value uint64, content []byte) bool {
		switch field {
		case responseRequestID:
			response.RequestID = value
		case responseLease:
			response.Lease = string(content)
		case responseGranted:
			response.Granted = value != 0
		case responseFencingToken:
			response.FencingToken = value
		case responseHolder:
			response.Holder = membership.ID(value)
		case responseRemaining:
			response.Remaining = float64(min(value, maxRemainingMs))
		case responseLosses:
			response.Losses = value
		case responseHandoff:
			response.Handoff = slices.Clone(content)
		}
		return true
	})
	return response, ok && response.Lease != ""
}

// leaderHint is the response of a voter that does not lead. It names the leader that the
// responding voter knows.
type leaderHint struct {
	RequestID uint64
	Leader    string // name of the leading voter
}

// Field numbers of a leader hint.
const (
	hintRequestID protowire.Number = 1
	hintLeader    protowire.Number = 2
)

func (h leaderHint) encode() []byte {
	w := wireformat.NewWriter(nil)
	w.Uint(hintRequestID, h.RequestID)
	w.String(hintLeader, h.Leader)
	return w.Encoded()
}

func decodeLeaderHint(payload []byte) (hint leaderHint, ok bool) {
	ok = wireformat.ParseFields(payload, func(field protowire.Number, value uint64, content []byte) bool {
		switch field {
		case hintRequestID:
			hint.RequestID = value
		case hintLeader:
			hint.Leader = string(content)
		}
		return true
	})
	return hint, ok && hint.Leader != "" && len(hint.Leader) <= leaseregistry.MaxNameLen
}

// Field numbers of a request about operators' bans.
const (
	banRequestID           protowire.Number = 1
	banRequestKnownVersion protowire.Number = 2
	banRequestSet          protowire.Number = 3 // an encoded leaseregistry.Command
)

// EncodeBanRequest encodes a router's request about operators' bans.
func EncodeBanRequest(requestID uint64, request consensus.BanRequest) []byte {
	w := wireformat.NewWriter(nil)
	w.Uint(banRequestID, requestID)
	w.Uint(banRequestKnownVersion, request.KnownVersion)
	if request.Set != nil {
		w.Bytes(banRequestSet, request.Set.Append(nil))
	}
	return w.Encoded()
}

func decodeBanRequest(payload []byte) (requestID uint64, request consensus.BanRequest, ok bool) {
	ok = wireformat.ParseFields(payload, func(field protowire.Number, value uint64, content []byte) bool {
		switch field {
		case banRequestID:
			requestID = value
		case banRequestKnownVersion:
			request.KnownVersion = value
		case banRequestSet:
			command, valid := leaseregistry.DecodeCommand(content)
			request.Set = command
			return valid && isBanCommand(command)
		}
		return true
	})
	if ok && request.Set != nil {
		request.Set.RequestID = requestID // the leader uses it to find the request when the command is applied
	}
	return requestID, request, ok
}

// isBanCommand reports whether a command sets a ban and its server ID fits into 32 bits.
func isBanCommand(command *leaseregistry.Command) bool {
	return command.Op == leaseregistry.OpSetBan && command.Server>>32 == 0
}

// Field numbers of a response about operators' bans.
const (
	banResponseRequestID protowire.Number = 1
	banResponseVersion   protowire.Number = 2
	banResponseRejection protowire.Number = 3
	banResponseBans      protowire.Number = 4
)

func encodeBanResponse(response consensus.BanResponse) []byte {
	w := wireformat.NewWriter(nil)
	w.Uint(banResponseRequestID, response.RequestID)
	w.Uint(banResponseVersion, response.Version)
	w.String(banResponseRejection, response.Rejection)
	w.Bytes(banResponseBans, response.Bans)
	return w.Encoded()
}

// DecodeBanResponse decodes a voter's response about operators' bans. ok is false if the payload is
// invalid.
func DecodeBanResponse(payload []byte) (response consensus.BanResponse, ok bool) {
	ok = wireformat.ParseFields(payload, func(field protowire.Number, value uint64, content []byte) bool {
		switch field {
		case banResponseRequestID:
			response.RequestID = value
		case banResponseVersion:
			response.Version = value
		case banResponseRejection:
			response.Rejection = string(content)
		case banResponseBans:
			response.Bans = slices.Clone(content)
		}
		return true
	})
	return response, ok
}

// hello is a message between voters. A voter sends hellos to find the other voters, to reply to
// their hellos and to ask to join the registry. Hellos are independent of raft's messages.
type hello struct {
	Name            string // name of the voter that the hello describes
	RaftID          uint64 // raft ID of that voter; before it has started, the ID that it would start with
	NoLog           bool   // the voter has no log
	Reply           bool   // the hello is a reply to another hello
	HeardFromSender bool   // with Reply: the replying voter has received raft messages from the RaftID in the hello that it replies to
	SenderIsVoter   bool   // with Reply: the replying voter knows the RaftID in the hello that it replies to as a voter
	JoinRequest     bool   // the voter asks to be added under RaftID
}

// Field numbers of a hello, and the bits of its flags.
const (
	helloName   protowire.Number = 1
	helloRaftID protowire.Number = 2
	helloFlags  protowire.Number = 3

	helloNoLog           = 1 << 0
	helloReply           = 1 << 1
	helloHeardFromSender = 1 << 2
	helloSenderIsVoter   = 1 << 3
	helloJoinRequest     = 1 << 4
)

func (h hello) flags() uint64 {
	flags := uint64(0)
	for _, flag := range []struct {
		set bool
		bit uint64
	}{
		{h.NoLog, helloNoLog},
		{h.Reply, helloReply},
		{h.HeardFromSender, helloHeardFromSender},
		{h.SenderIsVoter, helloSenderIsVoter},
		{h.JoinRequest, helloJoinRequest},
	} {
		if flag.set {
			flags |= flag.bit
		}
	}
	return flags
}

func (h *hello) setFlags(flags uint64) {
	h.NoLog = flags&helloNoLog != 0
	h.Reply = flags&helloReply != 0
	h.HeardFromSender = flags&helloHeardFromSender != 0
	h.SenderIsVoter = flags&helloSenderIsVoter != 0
	h.JoinRequest = flags&helloJoinRequest != 0
}

func (h hello) encode() []byte {
	w := wireformat.NewWriter(nil)
	w.String(helloName, h.Name)
	w.Uint(helloRaftID, h.RaftID)
	w.Uint(helloFlags, h.flags())
	return w.Encoded()
}

func decodeHello(payload []byte) (received hello, ok bool) {
	ok = wireformat.ParseFields(payload, func(field protowire.Number, value uint64, content []byte) bool {
		switch field {
		case helloName:
			received.Name = string(content)
		case helloRaftID:
			received.RaftID = value
		case helloFlags:
			received.setFlags(value)
		}
		return true
	})
	withinLimits := received.Name != "" && len(received.Name) <= leaseregistry.MaxNameLen && received.RaftID != 0
	return received, ok && withinLimits
}

// voterMetadata is the metadata that a voter keeps in its log.
type voterMetadata struct {
	RaftID    uint64
	HeardFrom []uint64 // raft IDs from which the voter received raft messages
}

// Field numbers of the metadata.
const (
	metadataRaftID    protowire.Number = 1
	metadataHeardFrom protowire.Number = 2 // repeated
)

func (v voterMetadata) encode() []byte {
	w := wireformat.NewWriter(nil)
	w.Uint(metadataRaftID, v.RaftID)
	for _, id := range v.HeardFrom {
		w.Uint(metadataHeardFrom, id)
	}
	return w.Encoded()
}

func decodeVoterMetadata(stored []byte) (metadata voterMetadata, ok bool) {
	ok = wireformat.ParseFields(stored, func(field protowire.Number, value uint64, _ []byte) bool {
		switch field {
		case metadataRaftID:
			metadata.RaftID = value
		case metadataHeardFrom:
			metadata.HeardFrom = append(metadata.HeardFrom, value)
		}
		return true
	})
	return metadata, ok
}
