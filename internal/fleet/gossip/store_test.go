package gossip

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// describe is what a shelf says, as text.
func describe(s *Store) string {
	var l []string
	for b := range membership.BucketCount {
		s.ForEach(b, func(it []byte) bool { l = append(l, fmt.Sprintf("%x", it)); return true })
	}
	slices.Sort(l)
	return fmt.Sprint(s.Bans(), l, s.checksums)
}

// Several routers ban and enable as chance has it, hearing a part of each other in any
// order and more than once. Once each has heard all, they are of one mind: a box is out
// just where a ban is left whose dot no enable knew.
func TestMergeAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 3
		var shelves [n]*Store
		for i := range shelves {
			shelves[i] = New(DefaultSettings(), membership.ID(i+1), 0)
		}
		var all [][]byte
		type dotOf struct {
			box routing.ServerID
			id  string
		}
		live, knows, gone := map[dotOf]bool{}, [n]map[dotOf]bool{{}, {}, {}}, map[dotOf]bool{}
		items := map[string]dotOf{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i, box := rapid.IntRange(0, n-1).Draw(t, "router"), routing.ServerID(rapid.IntRange(1, 3).Draw(t, "box"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				for _, it := range shelves[i].SetDisabled(1, box, true) {
					w, _ := Decode(it)
					d := dotOf{box, fmt.Sprint(w.Router, w.Sequence)}
					live[d], knows[i][d], items[string(it)] = true, true, d
					all = append(all, it)
				}
			case 1:
				all = append(all, shelves[i].SetDisabled(1, box, false)...)
				for d := range knows[i] {
					if d.box == box {
						gone[d] = true
					}
				}
			default:
				if len(all) > 0 {
					it := all[rapid.IntRange(0, len(all)-1).Draw(t, "item")]
					shelves[i].Receive(1, 9, it)
					w, _ := Decode(it)
					knows[i][dotOf{w.Server, fmt.Sprint(w.Router, w.Sequence)}] = true
				}
			}
		}
		rng := rand.New(rand.NewPCG(1, 2))
		for _, s := range shelves {
			for range 2 {
				rng.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
				for _, it := range all {
					s.Receive(1, 9, it)
				}
			}
		}
		want := map[routing.ServerID]bool{}
		for d := range live {
			want[d.box] = want[d.box] || !gone[d]
		}
		for i, s := range shelves {
			if describe(s) != describe(shelves[0]) {
				t.Fatalf("of two minds:\n%s\n%s", describe(s), describe(shelves[0]))
			}
			for box, out := range want {
				if s.Disabled(box) != out {
					t.Fatalf("router %d: %v out %v, want %v", i, box, s.Disabled(box), out)
				}
			}
		}
	})
}

// A neighbour's enable is held while it is not to be taken, and taken then; one of staff
// here counts at once.
func TestRemoteEnableIsDeferred(t *testing.T) {
	a, b := New(DefaultSettings(), 1, 0), New(DefaultSettings(), 2, 0)
	ban := a.SetDisabled(0, 5, true)
	b.Receive(0, 1, ban[0])
	b.DeferEnables = true
	for _, it := range a.SetDisabled(0, 5, false) {
		b.Receive(0, 1, it)
	}
	if !b.Disabled(5) {
		t.Error("enabled while cautious")
	}
	b.TakeChanges()
	b.DeferEnables = false
	b.Step(1)
	if c := b.TakeChanges(); b.Disabled(5) || len(c) != 1 || c[0].Disabled {
		t.Errorf("not enabled when it is no longer cautious: %+v", c)
	}
	b.DeferEnables = true
	b.Receive(0, 1, a.SetDisabled(0, 6, true)[0])
	for _, it := range a.SetDisabled(0, 6, false) {
		b.Receive(0, 1, it)
	}
	b.SetDisabled(0, 6, false)
	if b.Disabled(6) {
		t.Error("staff's own enable does not count")
	}
}

// What is forgotten is not taken again from one that forgets later, and in the time
// between the sums of the two are alike.
func TestExpiredItemsStayForgotten(t *testing.T) {
	set := DefaultSettings()
	a, b := New(set, 1, 0), New(set, 2, 0)
	w := Item{Kind: Drain, Server: 4, StartedAt: 1000}
	it := a.AddLocal(0, w)
	b.Receive(5000, 1, it)
	for now := 0.0; now < 2*set.ItemRetention; now += 10_000 {
		a.Step(now)
		b.Step(now)
		b.ForEach(w.bucket(), func(it []byte) bool {
			if a.Receive(now, 2, it) {
				t.Fatalf("taken again after %.0f ms", now)
			}
			return true
		})
	}
	if a.checksums != b.checksums || len(a.items)+len(b.items) != 0 {
		t.Errorf("%d and %d left", len(a.items), len(b.items))
	}
	if a.Receive(2*set.ItemRetention, 2, it) {
		t.Error("an old packet brings it back")
	}
}

// Bans outlive the process, and a life that lost its state takes up its own numbers.
func TestExportImport(t *testing.T) {
	a := New(DefaultSettings(), 1, 0)
	a.SetDisabled(0, 5, true)
	a.SetDisabled(0, 6, true)
	a.SetDisabled(0, 6, false)
	kept, changed := a.Export()
	if _, again := a.Export(); !changed || again {
		t.Error("changed is told wrongly")
	}
	b := New(DefaultSettings(), 1, 0)
	b.Import(0, kept)
	b.Import(0, kept[:len(kept)-1])
	if describe(a) != describe(b) || !b.Disabled(5) || b.Disabled(6) {
		t.Errorf("%s, want %s", describe(b), describe(a))
	}
	if it := b.SetDisabled(0, 7, true); len(it) != 1 || b.lastSequence <= a.lastSequence {
		t.Errorf("%d dots, number %d after %d", len(it), b.lastSequence, a.lastSequence)
	}
}

func TestBounds(t *testing.T) {
	set := DefaultSettings()
	set.MaxDots, set.MaxItems = 3, 2
	s := New(set, 1, 0)
	for i := range 10 {
		w := Item{Kind: Ban, Server: 1, Router: 9, Sequence: uint64(i + 1)}
		s.Receive(0, 9, w.Append(nil))
		w = Item{Kind: Purge, Object: routing.ObjectID(i + 1), PurgedAt: 5}
		s.Receive(0, 9, w.Append(nil))
	}
	if len(s.dots) != 3 || len(s.items) != 2 || s.Rejected != 15 {
		t.Errorf("%d dots, %d words, %d refused", len(s.dots), len(s.items), s.Rejected)
	}
}

func FuzzDecode(f *testing.F) {
	for _, w := range []Item{{Kind: Ban, Server: 1, Router: 2, Sequence: 3, Removed: true}, {Kind: Drain, Server: 7, StartedAt: 1e12}, {Kind: Purge, Object: 1 << 63, PurgedAt: 1e12}} {
		f.Add(w.Append(nil))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		w, ok := Decode(b)
		if !ok {
			return
		}
		once := w.Append(nil)
		if again, ok := Decode(once); !ok || again != w || !bytes.Equal(once, again.Append(nil)) {
			t.Fatalf("%+v, then %+v", w, again)
		}
	})
}
