package bodies

import (
	"strings"
	"testing"

	"garnetline/internal/fuzzutil"
)

func classes() []Class {
	return []Class{{Name: "solution", MaxMemoryBytes: 40, MaxDiskBytes: 200, MaxBytes: 300, PriorityWeight: 3, GuaranteedFraction: 0.25},
		{Name: "upload", MaxMemoryBytes: 20, MaxDiskBytes: 100, MaxBytes: 400, PriorityWeight: 1}, {Name: "note", MaxMemoryBytes: 10, MaxBytes: 10, PriorityWeight: 1, GuaranteedFraction: 0.1}}
}

func newAllocator(t testing.TB, b Budget) *Allocator {
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
func FuzzAllocatorAccounting(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 24, 800)
	f.Fuzz(func(t *testing.T, steps []byte) {
		budget := Budget{MemoryBytes: 100, DiskBytes: 300, DiskBodies: 3, DiskBytesPerSecond: 200}
		k, now := newAllocator(t, budget), 0.0
		var open []*Body
		once := map[*Body]bool{}
		for i := 0; i+1 < len(steps) && i < 3000; i += 2 {
			x := int64(steps[i+1])
			m0, d0, f0 := k.Used()
			switch op := steps[i] % 8; {
			case op < 3:
				class := int(x % 3)
				size := []int64{-1, x % 50, 2 * x}[x/3%3]
				own := k.memory.guaranteed(class)-k.memory.used[class] >= size && m0+size <= budget.MemoryBytes
				b, step := k.Admit(now, class, size)
				if (step == Reject) != (size > k.classes[class].MaxBytes) || (b == nil) != (step == Reject) {
					t.Fatalf("%d bytes of class %d: %v", size, class, step)
				}
				if size > 0 && own && size <= k.classes[class].MaxMemoryBytes && b.Location != InMemory {
					t.Fatalf("%d bytes within the guaranteed part are kept in %v", size, b.Location)
				}
				if b != nil {
					open = append(open, b)
				}
			case op < 6 && len(open) > 0:
				b := open[int(x)%len(open)]
				place, kept := b.Location, b.Repeatable()
				switch step := k.Grow(now, b, 1+x%60); {
				case step == Continue && b.Location != place, step == MoveToDisk && (place != InMemory || b.Location != OnDisk),
					step == StopRetaining && (b.Location != NotRetained || b.Repeatable() == b.FirstByteSent), step == Reject && b.FirstByteSent, step == Abort && !b.FirstByteSent:
					t.Fatalf("%v took a body from %v to %v, left %v", step, place, b.Location, b.FirstByteSent)
				case step >= Reject:
					k.Close(b)
				}
				if once[b] && b.Repeatable() || !kept && b.Repeatable() {
					t.Fatal("what could be sent once may be sent again")
				}
			case op == 6 && len(open) > 0:
				b := open[int(x)%len(open)]
				switch {
				case x%3 == 0:
					b.FirstByteSent = true
				case x%3 == 1 && k.DiskFailed(b) == StopRetaining && b.Location != NotRetained:
					t.Fatal("kept though its files cannot be used")
				default:
					k.Close(b)
					k.Close(b)
				}
				once[b] = once[b] || !b.Repeatable()
			case op == 7:
				if now += float64(x) * 10; x%5 == 0 {
					budget = Budget{MemoryBytes: 20 + x, DiskBytes: 2 * x, DiskBodies: x % 4, DiskBytesPerSecond: float64(x)}
					if err := k.UpdateBudget(budget); err != nil {
						t.Fatal(err)
					}
				}
			}
			m, d, n := k.Used()
			if m > max(m0, budget.MemoryBytes) || d > max(d0, budget.DiskBytes) || n > max(f0, budget.DiskBodies) {
				t.Fatalf("%d, %d, %d are used after %d, %d, %d, of %+v", m, d, n, m0, d0, f0, budget)
			}
			var wantM, wantD, wantN int64
			for _, b := range open {
				switch b.Location {
				case InMemory:
					wantM += b.reserved
				case OnDisk:
					wantD, wantN = wantD+b.reserved, wantN+1
				}
			}
			if m != wantM || d != wantD || n != wantN {
				t.Fatalf("%d, %d, %d are booked, bodies hold %d, %d, %d", m, d, n, wantM, wantD, wantN)
			}
		}
		for _, b := range open {
			k.Close(b)
		}
		if m, d, n := k.Used(); m != 0 || d != 0 || n != 0 || k.memory.borrowed != 0 || k.disk.borrowed != 0 || k.diskBodies.borrowed != 0 {
			t.Errorf("%d, %d, %d are used in the end", m, d, n)
		}
	})
}

// Every state of one body that steps of its owner can reach, at small size: none lets a
// byte that has left be sent again from a body that is not kept, and none loses room.
func TestReachableStatesOfOneBody(t *testing.T) {
	type state struct {
		place       Location
		size, held  int64
		left, ended bool
	}
	seen := map[state]bool{}
	var walk func(path []int)
	walk = func(path []int) {
		k, _ := New(Budget{MemoryBytes: 4, DiskBytes: 8, DiskBodies: 1, DiskBytesPerSecond: 1e9}, []Class{{Name: "a", MaxMemoryBytes: 2, MaxDiskBytes: 5, MaxBytes: 7, PriorityWeight: 1}})
		b, _ := k.Admit(1000, 0, int64(path[0]))
		left := false // its first byte left while, or before, it was not kept
		for _, op := range path[1:] {
			switch op {
			case 0, 1:
				if step := k.Grow(1000, b, int64(op+1)); step >= Reject {
					k.Close(b)
				}
			case 2:
				b.FirstByteSent = true
			case 3:
				k.DiskFailed(b)
			case 4:
				k.Close(b)
			}
			left = left || b.FirstByteSent && b.Location == NotRetained
			if left && b.Repeatable() {
				t.Fatalf("%v: may be sent again", path)
			}
		}
		if m, d, n := k.Used(); (b.closed || b.Location == NotRetained) && m+d+n > 0 {
			t.Fatalf("%v: holds %d, %d, %d", path, m, d, n)
		}
		s := state{b.Location, b.Received, b.reserved, b.FirstByteSent, b.closed}
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
func TestPriorityAndPolicyTable(t *testing.T) {
	k := newAllocator(t, Budget{MemoryBytes: 1000})
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
	if err := WritePolicyTable(&out, classes(), map[string]Idempotency{"solution": IdempotentWithKey, "note": NonIdempotent}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"solution 201 to 300 bytes nowhere failed", "within the key's window", "note 1 to 10 bytes memory failed"} {
		if !strings.Contains(strings.Join(strings.Fields(out.String()), " "), want) {
			t.Errorf("%q is not in\n%s", want, out.String())
		}
	}
	for _, bad := range [][]Class{{{Name: "a", PriorityWeight: 1, MaxMemoryBytes: 9}}, {{Name: "a"}}, {{Name: "a", PriorityWeight: 1, GuaranteedFraction: 0.6}, {Name: "b", PriorityWeight: 1, GuaranteedFraction: 0.6}}, {{Name: "a", PriorityWeight: 1}, {Name: "a", PriorityWeight: 1}}} {
		if _, err := New(Budget{}, bad); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
}
