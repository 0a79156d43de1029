package leaseregistry

import (
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/wireformat"
	"garnetline/routing"
)

// Op is the operation of a command. Its values are stored and must not change.
type Op uint8

// The operations.
const (
	OpGrant     Op = 1 + iota // grants a lease if its token is still ExpectedToken
	OpRelease                 // releases the holder's lease; nobody holds the lease afterwards
	OpTransfer                // transfers the holder's lease to another router
	OpSetBan                  // sets a server's ban if its version is still ExpectedToken
	OpNameVoter               // sets or removes the name of a voter
)

// Command is the content of one log entry. Op determines which of the other fields are used.
type Command struct {
	Op            Op
	Lease         string
	Holder        membership.ID    // the new holder; OpRelease: the router that releases the lease
	Incarnation   uint64           // identifies the holder's process
	ExpectedToken uint64           // token of the lease or version of the ban before the command; 0: no lease or ban yet
	Handoff       []byte           // OpRelease, OpTransfer: data for the next holder
	Server        routing.ServerID // OpSetBan: the server that the ban is about
	Disabled      bool             // OpSetBan: whether the server is disabled
	Text          string           // OpSetBan: who set the ban; OpNameVoter: the name, or empty to remove it
	Reason        string           // OpSetBan: why the ban was set
	SetAt         float64          // OpSetBan: when the ban was set, in Unix ms
	VoterID       uint64           // OpNameVoter: the raft ID
	HolderLost    bool             // OpGrant: the previous holder lost the lease without a release
	RequestID     uint64           // ID of the request that caused the command; 0: no request did
}

// Field numbers of an encoded command. They are stored and must not change.
const (
	fieldOp            protowire.Number = 1
	fieldLease         protowire.Number = 2
	fieldHolder        protowire.Number = 3
	fieldIncarnation   protowire.Number = 4
	fieldExpectedToken protowire.Number = 5
	fieldHandoff       protowire.Number = 6
	fieldServer        protowire.Number = 7
	fieldDisabled      protowire.Number = 8
	fieldText          protowire.Number = 9
	fieldReason        protowire.Number = 10
	fieldSetAt         protowire.Number = 11
	fieldVoterID       protowire.Number = 12
	fieldHolderLost    protowire.Number = 13
	fieldRequestID     protowire.Number = 14
)

// Upper bounds of decoded numbers: of an operation, so that it fits into Op, and of a time in Unix
// ms, so that its conversion to float64 is exact.
const (
	maxOp     = 255
	maxUnixMs = 1 << 50
)

// Append appends the command to b, encoded as a protobuf message.
func (c *Command) Append(b []byte) []byte {
	w := wireformat.NewWriter(b)
	w.Uint(fieldOp, uint64(c.Op))
	w.String(fieldLease, c.Lease)
	w.Uint(fieldHolder, uint64(c.Holder))
	w.Uint(fieldIncarnation, c.Incarnation)
	w.Uint(fieldExpectedToken, c.ExpectedToken)
	w.Bytes(fieldHandoff, c.Handoff)
	w.Uint(fieldServer, uint64(c.Server))
	w.Bool(fieldDisabled, c.Disabled)
	w.String(fieldText, c.Text)
	w.String(fieldReason, c.Reason)
	w.Uint(fieldSetAt, uint64(c.SetAt))
	w.Uint(fieldVoterID, c.VoterID)
	w.Bool(fieldHolderLost, c.HolderLost)
	w.Uint(fieldRequestID, c.RequestID)
	return w.Encoded()
}

// DecodeCommand decodes a command. ok is false if b is not a valid message or if the command
// exceeds a limit.
func DecodeCommand(b []byte) (command *Command, ok bool) {
	command = &Command{}
	ok = wireformat.ParseFields(b, command.setField)
	return command, ok && command.withinLimits()
}

func (c *Command) withinLimits() bool {
	return len(c.Lease) <= MaxNameLen && len(c.Text) <= MaxTextLen && len(c.Reason) <= MaxTextLen && len(c.Handoff) <= MaxHandoffLen
}

func (c *Command) setField(field protowire.Number, value uint64, content []byte) bool {
	switch field {
	case fieldOp:
		c.Op = Op(min(value, maxOp))
	case fieldLease:
		c.Lease = string(content)
	case fieldHolder:
		c.Holder = membership.ID(value)
	case fieldIncarnation:
		c.Incarnation = value
	case fieldExpectedToken:
		c.ExpectedToken = value
	case fieldHandoff:
		c.Handoff = slices.Clone(content)
	case fieldServer:
		c.Server = routing.ServerID(value)
	case fieldDisabled:
		c.Disabled = value != 0
	case fieldText:
		c.Text = string(content)
	case fieldReason:
		c.Reason = string(content)
	case fieldSetAt:
		c.SetAt = float64(min(value, maxUnixMs))
	case fieldVoterID:
		c.VoterID = value
	case fieldHolderLost:
		c.HolderLost = value != 0
	case fieldRequestID:
		c.RequestID = value
	}
	return true
}
