package leaseregistry

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// Only a wanted change of a stored form calls for `go test ./PACKAGE -run Golden -update`,
// which writes the files of testdata anew.
var update = flag.Bool("update", false, "write the golden files of testdata")

// compareGolden compares lines with a file of testdata.
func compareGolden(t *testing.T, file string, lines []string) {
	t.Helper()
	got := strings.Join(lines, "\n") + "\n"
	path := "testdata/" + file
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: encoded as\n%s\nstored as\n%s", file, got, want)
	}
}

// goldenBytes reads the bytes of each line of a file of testdata, by the name before them.
func goldenBytes(t *testing.T, file string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	byName := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		if byName[name], err = hex.DecodeString(digits); err != nil {
			t.Fatal(err)
		}
	}
	return byName
}

// goldenCommands are one command of each kind, and one with every field.
func goldenCommands() (names []string, commands map[string]*Command) {
	commands = map[string]*Command{
		"grant":       {Op: OpGrant, Lease: "probe/edge", Holder: 0x1122334455667788, Incarnation: 77, RequestID: 1 << 62},
		"grant-again": {Op: OpGrant, Lease: "probe/edge", Holder: 9, Incarnation: 78, ExpectedToken: 1, HolderLost: true, RequestID: 5},
		"move":        {Op: OpTransfer, Lease: "probe/edge", Holder: 11, ExpectedToken: 2, Handoff: []byte("\x00work\xff"), RequestID: 6},
		"grant-first": {Op: OpGrant, Lease: "first/north", Holder: 11, Incarnation: 3, RequestID: 7},
		"release":     {Op: OpRelease, Lease: "first/north", Holder: 11, ExpectedToken: 4, Handoff: []byte("w"), RequestID: 8},
		"ban":         {Op: OpSetBan, Server: routing.ServerID(0), Disabled: true, Text: "ann", Reason: "disk \u00fc", SetAt: 1_700_000_000_123, RequestID: 9},
		"unban":       {Op: OpSetBan, Server: routing.ServerID(0xfffffffe), Text: "bob", SetAt: 1, RequestID: 10},
		"name":        {Op: OpNameVoter, VoterID: 0xdeadbeefcafef00d, Text: "r01"},
		"all-fields": {Op: OpGrant, Lease: "d", Holder: 2, Incarnation: 3, ExpectedToken: 4, Handoff: []byte("5"), Server: 6, Disabled: true, Text: "7", Reason: "8",
			SetAt: 9, VoterID: 10, HolderLost: true, RequestID: 11},
	}
	return []string{"grant", "grant-again", "move", "grant-first", "release", "ban", "unban", "name", "all-fields"}, commands
}

// goldenState is a register after the first eight of these commands.
func goldenState(t *testing.T) *State {
	t.Helper()
	state := New()
	names, commands := goldenCommands()
	for i, name := range names[:8] {
		if err := state.Apply(uint64(i+1), commands[name]); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	return state
}

// Commands are entries of the agreed log, and stay readable by all versions.
func TestGoldenCommands(t *testing.T) {
	names, commands := goldenCommands()
	var lines []string
	for _, name := range names {
		lines = append(lines, fmt.Sprintf("%s %x", name, commands[name].Append(nil)))
	}
	compareGolden(t, "commands.golden", lines)
	for name, stored := range goldenBytes(t, "commands.golden") {
		if got, ok := DecodeCommand(stored); !ok || !reflect.DeepEqual(got, commands[name]) {
			t.Errorf("%s: read as %+v, want %+v", name, got, commands[name])
		}
	}
}

// A snapshot is stored by electors and sent between them; the part with the bans is sent
// to routers.
func TestGoldenSnapshot(t *testing.T) {
	state := goldenState(t)
	compareGolden(t, "snapshot.golden", []string{fmt.Sprintf("snapshot %x", state.Snapshot()), fmt.Sprintf("bans %x", state.BansSnapshot())})
	stored := goldenBytes(t, "snapshot.golden")
	got, ok := Restore(stored["snapshot"])
	if !ok || !bytes.Equal(got.Snapshot(), stored["snapshot"]) {
		t.Error("the stored snapshot is read as another state")
	}
	if d := got.Leases["probe/edge"]; d == nil || d.Holder != 11 || d.FencingToken != 3 || d.Losses[membership.ID(0x1122334455667788)] != 1 || string(d.Handoff) != "\x00work\xff" {
		t.Errorf("%+v", d)
	}
	if !reflect.DeepEqual(got, state) {
		t.Errorf("read as %+v", got)
	}
	bans, ok := Restore(stored["bans"])
	if !ok || !reflect.DeepEqual(bans.Bans, state.Bans) {
		t.Errorf("bans read as %+v", bans)
	}
}

// Why a ban was not set is sent to the router that asked, and shown to operators.
func TestGoldenRejections(t *testing.T) {
	compareGolden(t, "rejections.golden", []string{ErrTokenMismatch.Error(), ErrFull.Error(), ErrUnknownCommand.Error()})
}
