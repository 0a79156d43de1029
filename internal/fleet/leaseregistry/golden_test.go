package leaseregistry

import (
	"bytes"
	"reflect"
	"testing"

	"garnetline/internal/fleet/membership"
	"garnetline/internal/golden"
	"garnetline/routing"
)

// goldenCommand is a command with its name in the golden file.
type goldenCommand struct {
	name    string
	command *Command
}

// appliedCommands returns the commands that lead to goldenState, in order.
func appliedCommands() []goldenCommand {
	return []goldenCommand{
		{"grant", &Command{Op: OpGrant, Lease: "probe/edge", Holder: 0x1122334455667788, Incarnation: 77, RequestID: 1 << 62}},
		{"grant-again", &Command{Op: OpGrant, Lease: "probe/edge", Holder: 9, Incarnation: 78, ExpectedToken: 1, HolderLost: true, RequestID: 5}},
		{"move", &Command{Op: OpTransfer, Lease: "probe/edge", Holder: 11, ExpectedToken: 2, Handoff: []byte("\x00work\xff"), RequestID: 6}},
		{"grant-first", &Command{Op: OpGrant, Lease: "first/north", Holder: 11, Incarnation: 3, RequestID: 7}},
		{"release", &Command{Op: OpRelease, Lease: "first/north", Holder: 11, ExpectedToken: 4, Handoff: []byte("w"), RequestID: 8}},
		{"ban", &Command{Op: OpSetBan, Server: routing.ServerID(0), Disabled: true, Text: "ann", Reason: "disk \u00fc", SetAt: 1_700_000_000_123, RequestID: 9}},
		{"unban", &Command{Op: OpSetBan, Server: routing.ServerID(0xfffffffe), Text: "bob", SetAt: 1, RequestID: 10}},
		{"name", &Command{Op: OpNameVoter, VoterID: 0xdeadbeefcafef00d, Text: "r01"}},
	}
}

// goldenCommands returns the applied commands, and one command that sets every field.
func goldenCommands() []goldenCommand {
	return append(appliedCommands(), goldenCommand{"all-fields", &Command{
		Op: OpGrant, Lease: "d", Holder: 2, Incarnation: 3, ExpectedToken: 4, Handoff: []byte("5"), Server: 6, Disabled: true,
		Text: "7", Reason: "8", SetAt: 9, VoterID: 10, HolderLost: true, RequestID: 11,
	}})
}

func goldenState(t *testing.T) *State {
	t.Helper()
	state := New()
	for i, applied := range appliedCommands() {
		if err := state.Apply(uint64(i+1), applied.command); err != nil {
			t.Fatalf("%s: %v", applied.name, err)
		}
	}
	return state
}

// Commands are stored in the log, so every version must encode and decode them in the same way.
func TestGoldenCommands(t *testing.T) {
	var encoded []golden.Message
	for _, c := range goldenCommands() {
		encoded = append(encoded, golden.Message{Name: c.name, Bytes: c.command.Append(nil)})
	}
	stored := golden.CompareMessages(t, "commands.golden", encoded)
	for i, c := range goldenCommands() {
		if got, ok := DecodeCommand(stored[i].Bytes); !ok || !reflect.DeepEqual(got, c.command) {
			t.Errorf("%s: decoded as %+v, want %+v", c.name, got, c.command)
		}
	}
}

// Voters store snapshots and send them to each other, and they send the bans to routers, so the
// encoding of both must not change.
func TestGoldenSnapshot(t *testing.T) {
	state := goldenState(t)
	stored := golden.CompareMessages(t, "snapshot.golden", []golden.Message{
		{Name: "snapshot", Bytes: state.Snapshot()},
		{Name: "bans", Bytes: state.BansSnapshot()},
	})
	got, ok := Restore(stored[0].Bytes)
	if !ok || !bytes.Equal(got.Snapshot(), stored[0].Bytes) {
		t.Error("the stored snapshot is not restored to the same state")
	}
	lease := got.Leases["probe/edge"]
	if lease == nil || lease.Holder != 11 || lease.FencingToken != 3 || lease.Losses[membership.ID(0x1122334455667788)] != 1 || string(lease.Handoff) != "\x00work\xff" {
		t.Errorf("got lease %+v, want holder 11, token 3, one loss and the handoff", lease)
	}
	if !reflect.DeepEqual(got, state) {
		t.Errorf("restored as %+v, want the state that was encoded", got)
	}
	bans, ok := Restore(stored[1].Bytes)
	if !ok || !reflect.DeepEqual(bans.Bans, state.Bans) {
		t.Errorf("bans restored as %+v, want those that were encoded", bans)
	}
}

// The text of a rejection is sent to the router whose ban was not set and is shown to operators, so
// it must not change.
func TestGoldenRejections(t *testing.T) {
	texts := ""
	for _, err := range []error{ErrTokenMismatch, ErrFull, ErrUnknownCommand} {
		texts += err.Error() + "\n"
	}
	golden.Compare(t, "rejections.golden", []byte(texts))
}
