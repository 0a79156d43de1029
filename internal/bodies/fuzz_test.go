package bodies

import (
	"testing"

	"garnetline/internal/fuzzutil"
	"garnetline/internal/quota"
)

const fuzzMaxSteps = 1500

// allocatorModel tracks the bodies of an allocator and checks the invariants of its accounting.
type allocatorModel struct {
	t            *testing.T
	allocator    *Allocator
	budget       Budget
	now          float64        // ms
	bodies       []*Body        // all admitted bodies, including closed bodies
	unrepeatable map[*Body]bool // bodies that were not repeatable after a step
}

// FuzzAllocatorAccounting applies random steps, some of which shrink the budget. It checks these
// invariants:
//   - The reserved capacity is the sum of the reservations of all open bodies.
//   - New reservations do not exceed a budget.
//   - Each class gets its guarantee, no matter how much other classes use.
//   - A body that is not repeatable never becomes repeatable.
//   - Nothing is reserved after all bodies are closed.
func FuzzAllocatorAccounting(f *testing.F) {
	fuzzutil.AddRandomSeeds(f, 24, 800)
	f.Fuzz(func(t *testing.T, steps []byte) {
		budget := Budget{MemoryBytes: 100, DiskBytes: 300, DiskBodies: 3, DiskBytesPerSecond: 200}
		model := &allocatorModel{
			t:            t,
			allocator:    newAllocator(t, budget, testClasses()),
			budget:       budget,
			unrepeatable: map[*Body]bool{},
		}
		for i := 0; i+1 < len(steps) && i < 2*fuzzMaxSteps; i += 2 {
			before := model.allocator.Usage()
			model.step(steps[i], int64(steps[i+1]))
			model.checkUsage(before)
		}
		model.closeAll()
	})
}

func (m *allocatorModel) step(operation byte, argument int64) {
	switch operation %= 8; {
	case operation < 3:
		m.admit(argument)
	case operation < 6 && len(m.bodies) > 0:
		m.grow(m.bodies[int(argument)%len(m.bodies)], 1+argument%60)
	case operation == 6 && len(m.bodies) > 0:
		m.sendFailOrClose(m.bodies[int(argument)%len(m.bodies)], argument%3)
	case operation == 7:
		m.now += float64(argument) * 10
		if argument%5 == 0 {
			m.updateBudget(argument)
		}
	}
}

// admit admits a body whose size is unknown, small or arbitrary.
func (m *allocatorModel) admit(argument int64) {
	m.t.Helper()
	class := int(argument % 3)
	size := []int64{-1, argument % 50, 2 * argument}[argument/3%3]
	policy := m.allocator.classes[class]
	memory := &m.allocator.memory
	fitsGuarantee := memory.Guaranteed(class)-memory.Used(class) >= size && memory.UsedByAll()+size <= m.budget.MemoryBytes
	body, action := m.allocator.Admit(m.now, class, size)
	if rejected := action == Reject; rejected != (size > policy.MaxBytes) || (body == nil) != rejected {
		m.t.Fatalf("%d bytes of class %s: got action %v, want Reject only above %d bytes", size, policy.Name, action, policy.MaxBytes)
	}
	if size > 0 && fitsGuarantee && size <= policy.MaxMemoryBytes && body.Location != InMemory {
		m.t.Fatalf("%d bytes of class %s within its guarantee: got location %v, want memory", size, policy.Name, body.Location)
	}
	if body != nil {
		m.bodies = append(m.bodies, body)
	}
}

func (m *allocatorModel) grow(body *Body, more int64) {
	m.t.Helper()
	location, repeatable := body.Location, body.Repeatable()
	action := m.allocator.Grow(m.now, body, more)
	if !allowedAction(action, location, body) {
		m.t.Fatalf("%v moved a body from %v to %v, first byte sent: %t, repeatable: %t",
			action, location, body.Location, body.FirstByteSent, body.Repeatable())
	}
	if action.endsRequest() {
		m.allocator.Close(body)
	}
	if body.Repeatable() && (m.unrepeatable[body] || !repeatable) {
		m.t.Fatal("got a repeatable body that was not repeatable before")
	}
}

// allowedAction reports whether an action is consistent with a body's location before the action and
// with its state after it.
func allowedAction(action Action, before Location, body *Body) bool {
	switch action {
	case Continue:
		return body.Location == before
	case MoveToDisk:
		return before == InMemory && body.Location == OnDisk
	case StopRetaining:
		return body.Location == NotRetained && body.Repeatable() != body.FirstByteSent
	case Reject:
		return !body.FirstByteSent
	case Abort:
		return body.FirstByteSent
	}
	return false
}

// sendFailOrClose sends the first byte of a body (operation 0), reports a failed disk and closes the
// body (1), or only closes the body (2).
func (m *allocatorModel) sendFailOrClose(body *Body, operation int64) {
	m.t.Helper()
	if operation == 0 {
		body.FirstByteSent = true
	} else {
		if operation == 1 && m.allocator.DiskFailed(body) == StopRetaining && body.Location != NotRetained {
			m.t.Fatalf("got location %v for a body after its disk failed, want not retained", body.Location)
		}
		m.allocator.Close(body)
		m.allocator.Close(body)
	}
	m.unrepeatable[body] = m.unrepeatable[body] || !body.Repeatable()
}

func (m *allocatorModel) updateBudget(argument int64) {
	m.t.Helper()
	m.budget = Budget{
		MemoryBytes:        20 + argument,
		DiskBytes:          2 * argument,
		DiskBodies:         argument % 4,
		DiskBytesPerSecond: float64(argument),
	}
	if err := m.allocator.UpdateBudget(m.budget); err != nil {
		m.t.Fatal(err)
	}
}

// checkUsage compares the reserved capacity with the budget and with the reservations of the bodies.
// Only capacity that was reserved before the budget shrank may exceed the budget.
func (m *allocatorModel) checkUsage(before Usage) {
	m.t.Helper()
	got := m.allocator.Usage()
	if got.MemoryBytes > max(before.MemoryBytes, m.budget.MemoryBytes) ||
		got.DiskBytes > max(before.DiskBytes, m.budget.DiskBytes) ||
		got.DiskBodies > max(before.DiskBodies, m.budget.DiskBodies) {
		m.t.Fatalf("got %+v reserved, want no more than the previous %+v or the budget %+v", got, before, m.budget)
	}
	var want Usage
	for _, body := range m.bodies {
		switch body.Location {
		case InMemory:
			want.MemoryBytes += body.reserved
		case OnDisk:
			want.DiskBytes += body.reserved
			want.DiskBodies++
		case NotRetained:
		}
	}
	if got != want {
		m.t.Fatalf("got %+v reserved, want the %+v that bodies hold", got, want)
	}
}

func (m *allocatorModel) closeAll() {
	m.t.Helper()
	for _, body := range m.bodies {
		m.allocator.Close(body)
	}
	if got := m.allocator.Usage(); got != (Usage{}) {
		m.t.Errorf("got %+v reserved after all bodies were closed, want nothing", got)
	}
	for name, reserved := range map[string]quota.Quota{"memory": m.allocator.memory, "disk": m.allocator.disk, "disk bodies": m.allocator.diskBodies} {
		if reserved.Borrowed() != 0 {
			m.t.Errorf("got %d of %s borrowed after all bodies were closed, want 0", reserved.Borrowed(), name)
		}
	}
}
