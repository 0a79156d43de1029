package register

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"garnetline/decide"
	"garnetline/internal/fleet/member"
)

// Whatever the commands, a token only grows, no command without the present token changes
// a duty or a ban, bounds hold, and a snapshot is the state.
func TestAnyCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, tokens := New(), map[string]uint64{}
		for i := range uint64(rapid.IntRange(1, 60).Draw(t, "commands")) {
			c := &Command{Op: Op(rapid.IntRange(0, 6).Draw(t, "op")), Duty: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "duty"),
				Who: member.ID(rapid.IntRange(1, 3).Draw(t, "who")), Token: uint64(rapid.IntRange(0, 12).Draw(t, "token")),
				Box: decide.ServerID(rapid.IntRange(0, 2).Draw(t, "box")), Out: rapid.Bool().Draw(t, "out"), Lost: rapid.Bool().Draw(t, "lost"),
				Number: 7, Text: "x", At: 5, Work: []byte("w")}
			read, ok := Read(c.Append(nil))
			if !ok || !bytes.Equal(read.Append(nil), c.Append(nil)) {
				t.Fatalf("read as %+v", read)
			}
			before := s.Snapshot()
			err := s.Apply(i+1, read)
			if err != nil && !bytes.Equal(before, s.Snapshot()) {
				t.Fatalf("%v, and changed all the same", err)
			}
			for name, d := range s.Duties {
				if d.Token < tokens[name] {
					t.Fatalf("%s: token %d after %d", name, d.Token, tokens[name])
				}
				if d.Token != tokens[name] && c.Token != tokens[name] {
					t.Fatalf("%s changed by a command with token %d, not %d", name, c.Token, tokens[name])
				}
				tokens[name] = d.Token
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
	give := func(to member.ID, lost bool) *Duty {
		if err := s.Apply(token+1, &Command{Op: Grant, Duty: "a", Who: to, Token: token, Lost: lost}); err != nil {
			t.Fatal(err)
		}
		token++
		return s.Duties["a"]
	}
	give(1, false)
	for i := range 100 {
		for id, n := range give(member.ID(i%8+1), true).Losses {
			if n > 2 {
				t.Fatalf("after %d losses in turn router %d has %d", i, id, n)
			}
		}
	}
	for range 6 { // 9 flaps; 8 hands it back in order
		give(9, false)
		give(8, true)
	}
	if n := s.Duties["a"].Losses[9]; n < 6 {
		t.Errorf("one that lost it six times has %d", n)
	}
}

func FuzzRestore(f *testing.F) {
	s := New()
	s.Apply(1, &Command{Op: Grant, Duty: "a", Who: 3})
	s.Apply(2, &Command{Op: SetBan, Box: 3, Out: true, Text: "x"})
	f.Add(s.Snapshot())
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, ok := Restore(b); ok {
			if _, ok := Restore(s.Snapshot()); !ok {
				t.Fatal("its own snapshot cannot be read")
			}
		}
		Read(b)
	})
}
