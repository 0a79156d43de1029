package leaseregistry

import (
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/wireformat"
	"garnetline/routing"
)

// Op is what a command does. The numbers are stored.
type Op uint8

// The operations.
const (
	OpGrant     Op = 1 + iota // grants a lease whose token is still the expected one
	OpRelease                 // releases the holder's lease to nobody
	OpTransfer                // transfers the holder's lease to another router
	OpSetBan                  // sets a ban whose version is still the expected one
	OpNameVoter               // names a voter, or forgets its name
)

// Command is one entry of the log. Which fields count depends on Op.
type Command struct {
	Op            Op
	Lease         string
	Holder        membership.ID    // who shall hold the lease; OpRelease: who releases it
	Incarnation   uint64           // of the holder's process
	ExpectedToken uint64           // the lease's token or the ban's version before; 0: there is none
	Handoff       []byte           // OpRelease, OpTransfer
	Server        routing.ServerID // OpSetBan
	Disabled      bool             // OpSetBan
	Text          string           // OpSetBan: who set it; OpNameVoter: the name, empty to forget it
	Reason        string           // OpSetBan
	SetAt         float64          // OpSetBan: Unix ms
	VoterID       uint64           // OpNameVoter: the raft ID
	HolderLost    bool             // OpGrant: the holder before had not released the lease
	RequestID     uint64           // of the request that the command answers
}

// Field numbers of a command. They are stored and do not change.
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

// Bounds of decoded numbers, which keep what is converted exact.
const (
	maxOp     = 255
	maxUnixMs = 1 << 50
)

// Append appends the command in protobuf's encoding.
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

// DecodeCommand decodes a command; ok is false if it is none, or exceeds a limit.
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
