package bodies

import (
	"strings"
	"testing"

	"garnetline/internal/fuzzutil"
)

func classes() []Class {
	return []Class{{Name: "solution", Memory: 40, Disk: 200, Most: 300, Worth: 3, Guarantee: 0.25},
		{Name: "upload", Memory: 20, Disk: 100, Most: 400, Worth: 1}, {Name: "note", Memory: 10, Most: 10, Worth: 1, Guarantee: 0.1}}
}

func newKeeper(t testing.TB, b Budget) *Keeper {
	t.Helper()
	k, err := New(b, classes())
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// FuzzKeeper checks by random steps, also with budgets that shrink, that what is booked
// is what open bodies hold, that nothing new goes beyond a budget, that a class has its
// guaranteed part whatever others hold, that what cannot be repeated stays so, and that
// all comes back to zero.
func FuzzKeeper(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 24, 800)
	f.Fuzz(func(t *testing.T, steps []byte) {
		budget := Budget{Memory: 100, Disk: 300, Files: 3, Write: 200}
		k, now := newKeeper(t, budget), 0.0
		var open []*Body
		once := map[*Body]bool{}
		for i := 0; i+1 < len(steps) && i < 3000; i += 2 {
			x := int64(steps[i+1])
			m0, d0, f0 := k.Used()
			switch op := steps[i] % 8; {
			case op < 3:
				class := int(x % 3)
				size := []int64{-1, x % 50, 2 * x}[x/3%3]
				own := k.memory.own(class)-k.memory.used[class] >= size && m0+size <= budget.Memory
				b, step := k.Admit(now, class, size)
				if (step == Refuse) != (size > k.classes[class].Most) || (b == nil) != (step == Refuse) {
					t.Fatalf("%d bytes of class %d: %v", size, class, step)
				}
				if size > 0 && own && size <= k.classes[class].Memory && b.Place != Memory {
					t.Fatalf("%d bytes within the guaranteed part are kept in %v", size, b.Place)
				}
				if b != nil {
					open = append(open, b)
				}
			case op < 6 && len(open) > 0:
				b := open[int(x)%len(open)]
				place, kept := b.Place, b.Repeatable()
				switch step := k.Grow(now, b, 1+x%60); {
				case step == Go && b.Place != place, step == Spill && (place != Memory || b.Place != Files),
					step == Drop && (b.Place != Nowhere || b.Repeatable() == b.Left), step == Refuse && b.Left, step == Abort && !b.Left:
					t.Fatalf("%v took a body from %v to %v, left %v", step, place, b.Place, b.Left)
				case step >= Refuse:
					k.Close(b)
				}
				if once[b] && b.Repeatable() || !kept && b.Repeatable() {
					t.Fatal("what could be sent once may be sent again")
				}
			case op == 6 && len(open) > 0:
				b := open[int(x)%len(open)]
				switch {
				case x%3 == 0:
					b.Left = true
				case x%3 == 1 && k.Failed(b) == Drop && b.Place != Nowhere:
					t.Fatal("kept though its files cannot be used")
				default:
					k.Close(b)
					k.Close(b)
				}
				once[b] = once[b] || !b.Repeatable()
			case op == 7:
				if now += float64(x) * 10; x%5 == 0 {
					budget = Budget{Memory: 20 + x, Disk: 2 * x, Files: x % 4, Write: float64(x)}
					if err := k.Adopt(budget); err != nil {
						t.Fatal(err)
					}
				}
			}
			m, d, n := k.Used()
			if m > max(m0, budget.Memory) || d > max(d0, budget.Disk) || n > max(f0, budget.Files) {
				t.Fatalf("%d, %d, %d are used after %d, %d, %d, of %+v", m, d, n, m0, d0, f0, budget)
			}
			var wantM, wantD, wantN int64
			for _, b := range open {
				switch b.Place {
				case Memory:
					wantM += b.held
				case Files:
					wantD, wantN = wantD+b.held, wantN+1
				}
			}
			if m != wantM || d != wantD || n != wantN {
				t.Fatalf("%d, %d, %d are booked, bodies hold %d, %d, %d", m, d, n, wantM, wantD, wantN)
			}
		}
		for _, b := range open {
			k.Close(b)
		}
		if m, d, n := k.Used(); m != 0 || d != 0 || n != 0 || k.memory.lent != 0 || k.disk.lent != 0 || k.files.lent != 0 {
			t.Errorf("%d, %d, %d are used in the end", m, d, n)
		}
	})
}

// Every state of one body that steps of its owner can reach, at small size: none lets a
// byte that has left be sent again from a body that is not kept, and none loses room.
func TestEveryStateOfOneBody(t *testing.T) {
	type state struct {
		place       Place
		size, held  int64
		left, ended bool
	}
	seen := map[state]bool{}
	var walk func(path []int)
	walk = func(path []int) {
		k, _ := New(Budget{Memory: 4, Disk: 8, Files: 1, Write: 1e9}, []Class{{Name: "a", Memory: 2, Disk: 5, Most: 7, Worth: 1}})
		b, _ := k.Admit(1000, 0, int64(path[0]))
		left := false // its first byte left while, or before, it was not kept
		for _, op := range path[1:] {
			switch op {
			case 0, 1:
				if step := k.Grow(1000, b, int64(op+1)); step >= Refuse {
					k.Close(b)
				}
			case 2:
				b.Left = true
			case 3:
				k.Failed(b)
			case 4:
				k.Close(b)
			}
			left = left || b.Left && b.Place == Nowhere
			if left && b.Repeatable() {
				t.Fatalf("%v: may be sent again", path)
			}
		}
		if m, d, n := k.Used(); (b.ended || b.Place == Nowhere) && m+d+n > 0 {
			t.Fatalf("%v: holds %d, %d, %d", path, m, d, n)
		}
		s := state{b.Place, b.Size, b.held, b.Left, b.ended}
		if seen[s] {
			return
		}
		seen[s] = true
		for op := range 5 {
			walk(append(append([]int(nil), path...), op))
		}
	}
	for _, size := range []int{-1, 1, 4, 7} {
		walk([]int{size})
	}
	if t.Logf("%d states", len(seen)); len(seen) != 54 {
		t.Errorf("%d states, want 54", len(seen))
	}
}

// The room that is lent goes to what is worth most when all want it, and the table says
// what each class does.
func TestWorthAndTable(t *testing.T) {
	k := newKeeper(t, Budget{Memory: 1000})
	for range 100 {
		k.Admit(0, 1, 20)
	}
	m, _, _ := k.Used()
	if own := int64(0.35 * 1000); m == 0 || m > 1000-own {
		t.Errorf("uploads have %d of 1000", m)
	}
	for range 100 {
		k.Admit(0, 0, 40)
	}
	if got := k.memory.used[0]; got < 250+300 {
		t.Errorf("solutions have %d though what was lent to them is worth more", got)
	}
	var out strings.Builder
	if err := Table(&out, classes(), map[string]Effect{"solution": Keyed, "note": Unsafe}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"solution 201 to 300 bytes nowhere failed", "within the key's window", "note 1 to 10 bytes memory failed"} {
		if !strings.Contains(strings.Join(strings.Fields(out.String()), " "), want) {
			t.Errorf("%q is not in\n%s", want, out.String())
		}
	}
	for _, bad := range [][]Class{{{Name: "a", Worth: 1, Memory: 9}}, {{Name: "a"}}, {{Name: "a", Worth: 1, Guarantee: 0.6}, {Name: "b", Worth: 1, Guarantee: 0.6}}, {{Name: "a", Worth: 1}, {Name: "a", Worth: 1}}} {
		if _, err := New(Budget{}, bad); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
}
