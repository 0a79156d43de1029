package words

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"garnetline/decide"
	"garnetline/internal/fleet/member"
)

// told is what a shelf says, as text.
func told(s *Shelf) string {
	var l []string
	for b := range member.Buckets {
		s.Each(b, func(it []byte) bool { l = append(l, fmt.Sprintf("%x", it)); return true })
	}
	slices.Sort(l)
	return fmt.Sprint(s.Bans(), l, s.sums)
}

// Several routers ban and enable as chance has it, hearing a part of each other in any
// order and more than once. Once each has heard all, they are of one mind: a box is out
// just where a ban is left whose dot no enable knew.
func TestMergeAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 3
		var shelves [n]*Shelf
		for i := range shelves {
			shelves[i] = New(Default(), member.ID(i+1), 0)
		}
		var all [][]byte
		type dotOf struct {
			box decide.ServerID
			id  string
		}
		live, knows, gone := map[dotOf]bool{}, [n]map[dotOf]bool{{}, {}, {}}, map[dotOf]bool{}
		items := map[string]dotOf{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i, box := rapid.IntRange(0, n-1).Draw(t, "router"), decide.ServerID(rapid.IntRange(1, 3).Draw(t, "box"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				for _, it := range shelves[i].Switch(1, box, true) {
					w, _ := Read(it)
					d := dotOf{box, fmt.Sprint(w.Seat, w.N)}
					live[d], knows[i][d], items[string(it)] = true, true, d
					all = append(all, it)
				}
			case 1:
				all = append(all, shelves[i].Switch(1, box, false)...)
				for d := range knows[i] {
					if d.box == box {
						gone[d] = true
					}
				}
			default:
				if len(all) > 0 {
					it := all[rapid.IntRange(0, len(all)-1).Draw(t, "item")]
					shelves[i].Take(1, 9, it)
					w, _ := Read(it)
					knows[i][dotOf{w.Box, fmt.Sprint(w.Seat, w.N)}] = true
				}
			}
		}
		rng := rand.New(rand.NewPCG(1, 2))
		for _, s := range shelves {
			for range 2 {
				rng.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
				for _, it := range all {
					s.Take(1, 9, it)
				}
			}
		}
		want := map[decide.ServerID]bool{}
		for d := range live {
			want[d.box] = want[d.box] || !gone[d]
		}
		for i, s := range shelves {
			if told(s) != told(shelves[0]) {
				t.Fatalf("of two minds:\n%s\n%s", told(s), told(shelves[0]))
			}
			for box, out := range want {
				if s.Out(box) != out {
					t.Fatalf("router %d: %v out %v, want %v", i, box, s.Out(box), out)
				}
			}
		}
	})
}

// A neighbour's enable is held while it is not to be taken, and taken then; one of staff
// here counts at once.
func TestEnableIsHeld(t *testing.T) {
	a, b := New(Default(), 1, 0), New(Default(), 2, 0)
	ban := a.Switch(0, 5, true)
	b.Take(0, 1, ban[0])
	b.Cautious = true
	for _, it := range a.Switch(0, 5, false) {
		b.Take(0, 1, it)
	}
	if !b.Out(5) {
		t.Error("enabled while cautious")
	}
	b.Changes()
	b.Cautious = false
	b.Step(1)
	if c := b.Changes(); b.Out(5) || len(c) != 1 || c[0].Out {
		t.Errorf("not enabled when it is no longer cautious: %+v", c)
	}
	b.Cautious = true
	b.Take(0, 1, a.Switch(0, 6, true)[0])
	for _, it := range a.Switch(0, 6, false) {
		b.Take(0, 1, it)
	}
	b.Switch(0, 6, false)
	if b.Out(6) {
		t.Error("staff's own enable does not count")
	}
}

// What is forgotten is not taken again from one that forgets later, and in the time
// between the sums of the two are alike.
func TestForgetting(t *testing.T) {
	set := Default()
	a, b := New(set, 1, 0), New(set, 2, 0)
	w := Word{Kind: Drain, Box: 4, Started: 1000}
	it := a.Heard(0, w)
	b.Take(5000, 1, it)
	for now := 0.0; now < 2*set.KeepWords; now += 10_000 {
		a.Step(now)
		b.Step(now)
		b.Each(w.bucket(), func(it []byte) bool {
			if a.Take(now, 2, it) {
				t.Fatalf("taken again after %.0f ms", now)
			}
			return true
		})
	}
	if a.sums != b.sums || len(a.rest)+len(b.rest) != 0 {
		t.Errorf("%d and %d left", len(a.rest), len(b.rest))
	}
	if a.Take(2*set.KeepWords, 2, it) {
		t.Error("an old packet brings it back")
	}
}

// Bans outlive the process, and a life that lost its state takes up its own numbers.
func TestExportImport(t *testing.T) {
	a := New(Default(), 1, 0)
	a.Switch(0, 5, true)
	a.Switch(0, 6, true)
	a.Switch(0, 6, false)
	kept, changed := a.Export()
	if _, again := a.Export(); !changed || again {
		t.Error("changed is told wrongly")
	}
	b := New(Default(), 1, 0)
	b.Import(0, kept)
	b.Import(0, kept[:len(kept)-1])
	if told(a) != told(b) || !b.Out(5) || b.Out(6) {
		t.Errorf("%s, want %s", told(b), told(a))
	}
	if it := b.Switch(0, 7, true); len(it) != 1 || b.n <= a.n {
		t.Errorf("%d dots, number %d after %d", len(it), b.n, a.n)
	}
}

func TestBounds(t *testing.T) {
	set := Default()
	set.MaxDots, set.MaxWords = 3, 2
	s := New(set, 1, 0)
	for i := range 10 {
		w := Word{Kind: Ban, Box: 1, Seat: 9, N: uint64(i + 1)}
		s.Take(0, 9, w.Append(nil))
		w = Word{Kind: Purge, Object: decide.ObjectID(i + 1), At: 5}
		s.Take(0, 9, w.Append(nil))
	}
	if len(s.dots) != 3 || len(s.rest) != 2 || s.Refused != 15 {
		t.Errorf("%d dots, %d words, %d refused", len(s.dots), len(s.rest), s.Refused)
	}
}

func FuzzRead(f *testing.F) {
	for _, w := range []Word{{Kind: Ban, Box: 1, Seat: 2, N: 3, Removed: true}, {Kind: Drain, Box: 7, Started: 1e12}, {Kind: Purge, Object: 1 << 63, At: 1e12}} {
		f.Add(w.Append(nil))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		w, ok := Read(b)
		if !ok {
			return
		}
		once := w.Append(nil)
		if again, ok := Read(once); !ok || again != w || !bytes.Equal(once, again.Append(nil)) {
			t.Fatalf("%+v, then %+v", w, again)
		}
	})
}
