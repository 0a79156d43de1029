package leaseregistry

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// randomCommand draws a command that may be valid or invalid.
func randomCommand(t *rapid.T) *Command {
	return &Command{
		Op:            Op(rapid.IntRange(0, 6).Draw(t, "op")),
		Lease:         rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "lease"),
		Holder:        membership.ID(rapid.IntRange(1, 3).Draw(t, "holder")),
		ExpectedToken: uint64(rapid.IntRange(0, 12).Draw(t, "token")),
		Server:        routing.ServerID(rapid.IntRange(0, 2).Draw(t, "server")),
		Disabled:      rapid.Bool().Draw(t, "disabled"),
		HolderLost:    rapid.Bool().Draw(t, "holder lost"),
		VoterID:       7,
		Text:          "x",
		SetAt:         5,
		Handoff:       []byte("w"),
	}
}

// checkTokens compares the token of each lease after a command with its token before the command.
// The map tokens holds the tokens before the command; checkTokens replaces them by the new tokens.
func checkTokens(t *rapid.T, state *State, command *Command, tokens map[string]uint64) {
	for name, lease := range state.Leases {
		if lease.FencingToken < tokens[name] {
			t.Fatalf("lease %s: got token %d after token %d, want no lower token", name, lease.FencingToken, tokens[name])
		}
		if lease.FencingToken != tokens[name] && command.ExpectedToken != tokens[name] {
			t.Fatalf("lease %s was changed by a command that expects token %d, but its token was %d", name, command.ExpectedToken, tokens[name])
		}
		tokens[name] = lease.FencingToken
	}
}

// For random commands, a token must only grow. A command that does not expect the current token
// must not change a lease. A rejected command must change nothing. A snapshot must restore the
// same state.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, tokens := New(), map[string]uint64{}
		for i := range uint64(rapid.IntRange(1, 60).Draw(t, "commands")) {
			command := randomCommand(t)
			decoded, ok := DecodeCommand(command.Append(nil))
			if !ok || !bytes.Equal(decoded.Append(nil), command.Append(nil)) {
				t.Fatalf("command decoded as %+v, want the one that was encoded", decoded)
			}
			before := state.Snapshot()
			err := state.Apply(i+1, decoded)
			if err != nil && !bytes.Equal(before, state.Snapshot()) {
				t.Fatalf("a command changed the state although it was rejected with %v", err)
			}
			checkTokens(t, state, command, tokens)
			restored, ok := Restore(state.Snapshot())
			if !ok || !bytes.Equal(restored.Snapshot(), state.Snapshot()) {
				t.Fatal("a snapshot is not restored to the same state")
			}
		}
	})
}

// A router that loses the lease repeatedly while others keep it must get a high loss count. If
// all routers lose the lease in turn, every count must stay low, so that no router backs off for
// long.
func TestLosses(t *testing.T) {
	state, token := New(), uint64(0)
	grant := func(to membership.ID, lost bool) *Lease {
		t.Helper()
		command := &Command{Op: OpGrant, Lease: "a", Holder: to, ExpectedToken: token, HolderLost: lost}
		if err := state.Apply(token+1, command); err != nil {
			t.Fatal(err)
		}
		token++
		return state.Leases["a"]
	}
	grant(1, false)
	for i := range 100 {
		for id, losses := range grant(membership.ID(i%8+1), true).Losses {
			if losses > 2 {
				t.Fatalf("after %d losses in turn router %d has loss count %d, want at most 2", i, id, losses)
			}
		}
	}
	for range 6 { // router 9 loses the lease each time, router 8 does not
		grant(9, false)
		grant(8, true)
	}
	if losses := state.Leases["a"].Losses[9]; losses < 6 {
		t.Errorf("router 9 lost the lease six times and has loss count %d, want at least 6", losses)
	}
}

func FuzzRestore(f *testing.F) {
	state := New()
	for i, command := range []*Command{{Op: OpGrant, Lease: "a", Holder: 3}, {Op: OpSetBan, Server: 3, Disabled: true, Text: "x"}} {
		if err := state.Apply(uint64(i+1), command); err != nil {
			f.Fatal(err)
		}
	}
	f.Add(state.Snapshot())
	f.Fuzz(func(t *testing.T, b []byte) {
		if restored, ok := Restore(b); ok {
			if _, ok := Restore(restored.Snapshot()); !ok {
				t.Fatal("cannot restore the snapshot of a restored state")
			}
		}
		DecodeCommand(b)
	})
}
