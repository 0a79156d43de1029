package leaseregistry

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// Whatever the commands, a token only grows, no command without the present token changes
// a duty or a ban, bounds hold, and a snapshot is the state.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, tokens := New(), map[string]uint64{}
		for i := range uint64(rapid.IntRange(1, 60).Draw(t, "commands")) {
			c := &Command{Op: Op(rapid.IntRange(0, 6).Draw(t, "op")), Lease: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "duty"),
				Holder: membership.ID(rapid.IntRange(1, 3).Draw(t, "who")), ExpectedToken: uint64(rapid.IntRange(0, 12).Draw(t, "token")),
				Server: routing.ServerID(rapid.IntRange(0, 2).Draw(t, "box")), Disabled: rapid.Bool().Draw(t, "out"), HolderLost: rapid.Bool().Draw(t, "lost"),
				VoterID: 7, Text: "x", SetAt: 5, Handoff: []byte("w")}
			read, ok := DecodeCommand(c.Append(nil))
			if !ok || !bytes.Equal(read.Append(nil), c.Append(nil)) {
				t.Fatalf("read as %+v", read)
			}
			before := s.Snapshot()
			err := s.Apply(i+1, read)
			if err != nil && !bytes.Equal(before, s.Snapshot()) {
				t.Fatalf("%v, and changed all the same", err)
			}
			for name, d := range s.Leases {
				if d.FencingToken < tokens[name] {
					t.Fatalf("%s: token %d after %d", name, d.FencingToken, tokens[name])
				}
				if d.FencingToken != tokens[name] && c.ExpectedToken != tokens[name] {
					t.Fatalf("%s changed by a command with token %d, not %d", name, c.ExpectedToken, tokens[name])
				}
				tokens[name] = d.FencingToken
			}
			again, ok := Restore(s.Snapshot())
			if !ok || !bytes.Equal(again.Snapshot(), s.Snapshot()) {
				t.Fatal("a snapshot is another state")
			}
		}
	})
}

// A router that flaps while others hold the duty is told from them; where all lose it in
// turn none stays away for long.
func TestLosses(t *testing.T) {
	s, token := New(), uint64(0)
	give := func(to membership.ID, lost bool) *Lease {
		if err := s.Apply(token+1, &Command{Op: OpGrant, Lease: "a", Holder: to, ExpectedToken: token, HolderLost: lost}); err != nil {
			t.Fatal(err)
		}
		token++
		return s.Leases["a"]
	}
	give(1, false)
	for i := range 100 {
		for id, n := range give(membership.ID(i%8+1), true).Losses {
			if n > 2 {
				t.Fatalf("after %d losses in turn router %d has %d", i, id, n)
			}
		}
	}
	for range 6 { // 9 flaps; 8 hands it back in order
		give(9, false)
		give(8, true)
	}
	if n := s.Leases["a"].Losses[9]; n < 6 {
		t.Errorf("one that lost it six times has %d", n)
	}
}

func FuzzRestore(f *testing.F) {
	s := New()
	s.Apply(1, &Command{Op: OpGrant, Lease: "a", Holder: 3})
	s.Apply(2, &Command{Op: OpSetBan, Server: 3, Disabled: true, Text: "x"})
	f.Add(s.Snapshot())
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, ok := Restore(b); ok {
			if _, ok := Restore(s.Snapshot()); !ok {
				t.Fatal("its own snapshot cannot be read")
			}
		}
		DecodeCommand(b)
	})
}
