package bodies

import (
	"slices"
	"testing"
)

// Indexes of the classes that testClasses returns.
const (
	solutionClass = iota
	uploadClass
	noteClass
)

func testClasses() []Class {
	return []Class{
		{Name: "solution", MaxMemoryBytes: 40, MaxDiskBytes: 200, MaxBytes: 300, PriorityWeight: 3, GuaranteedFraction: 0.25},
		{Name: "upload", MaxMemoryBytes: 20, MaxDiskBytes: 100, MaxBytes: 400, PriorityWeight: 1},
		{Name: "note", MaxMemoryBytes: 10, MaxBytes: 10, PriorityWeight: 1, GuaranteedFraction: 0.1},
	}
}

func newAllocator(tb testing.TB, budget Budget, classes []Class) *Allocator {
	tb.Helper()
	allocator, err := New(budget, classes)
	if err != nil {
		tb.Fatal(err)
	}
	return allocator
}

// bodyState holds everything that later decisions about a body depend on.
type bodyState struct {
	location           Location
	received, reserved int64
	firstByteSent      bool
	closed             bool
}

// Steps that the owner of a body takes in a stateSearch.
const (
	stepGrowByOne = iota
	stepGrowByTwo
	stepSendFirstByte
	stepDiskFails
	stepClose
	stepCount
)

// stateSearch visits every state of one body that its owner can reach by a sequence of steps.
type stateSearch struct {
	t    *testing.T
	seen map[bodyState]bool
}

// visit replays the steps for a body with the given announced size. If they lead to a new state, it
// continues from there with every possible step.
func (s *stateSearch) visit(announced int64, steps []int) {
	s.t.Helper()
	state := s.replay(announced, steps)
	if s.seen[state] {
		return
	}
	s.seen[state] = true
	for step := range stepCount {
		s.visit(announced, append(slices.Clone(steps), step))
	}
}

// replay applies the steps to a new body and returns its final state. After each step it checks
// that the body is not repeatable if sentUnretained is true. After the last step it checks that a
// body that is closed or not retained has no reservation.
func (s *stateSearch) replay(announced int64, steps []int) bodyState {
	s.t.Helper()
	const now = 1000.0
	classes := []Class{{Name: "a", MaxMemoryBytes: 2, MaxDiskBytes: 5, MaxBytes: 7, PriorityWeight: 1}}
	allocator := newAllocator(s.t, Budget{MemoryBytes: 4, DiskBytes: 8, DiskBodies: 1, DiskBytesPerSecond: 1e9}, classes)
	body, action := allocator.Admit(now, 0, announced)
	if body == nil {
		s.t.Fatalf("%d bytes announced: got action %v, want an admitted body", announced, action)
	}
	sentUnretained := false // whether, after any step so far, the first byte was sent and the body was not retained
	for _, step := range steps {
		switch step {
		case stepGrowByOne, stepGrowByTwo:
			if allocator.Grow(now, body, int64(step+1)).endsRequest() {
				allocator.Close(body)
			}
		case stepSendFirstByte:
			body.FirstByteSent = true
		case stepDiskFails:
			allocator.DiskFailed(body)
		case stepClose:
			allocator.Close(body)
		}
		sentUnretained = sentUnretained || body.FirstByteSent && body.Location == NotRetained
		if sentUnretained && body.Repeatable() {
			s.t.Fatalf("%d bytes announced, steps %v: got a repeatable body, want one that is not", announced, steps)
		}
	}
	usage := allocator.Usage()
	if (body.closed || body.Location == NotRetained) && usage != (Usage{}) {
		s.t.Fatalf("%d bytes announced, steps %v: got %+v reserved for a body that is not retained, want nothing", announced, steps, usage)
	}
	return bodyState{body.Location, body.Received, body.reserved, body.FirstByteSent, body.closed}
}

// TestReachableStatesOfOneBody visits every reachable state of a small body. A body that was sent
// while it was not retained must not be repeatable. A body that is closed or not retained must not
// have a reservation.
func TestReachableStatesOfOneBody(t *testing.T) {
	const wantStates = 54
	search := &stateSearch{t: t, seen: map[bodyState]bool{}}
	for _, announced := range []int64{-1, 1, 4, 7} {
		search.visit(announced, nil)
	}
	if got := len(search.seen); got != wantStates {
		t.Errorf("got %d states, want %d", got, wantStates)
	}
}

// When all classes try to borrow, that is, to use more than their guaranteed capacity, the class
// with the highest priority weight gets the largest part of the capacity that is not guaranteed,
// even if other classes borrow first. The guaranteed capacity of each class stays reserved for
// that class.
func TestHighestPriorityWeightBorrowsMost(t *testing.T) {
	const (
		total              = 1000
		guaranteed         = 350 // guaranteed to solutions and notes together
		guaranteedSolution = 250
		lentToSolutions    = 300
	)
	allocator := newAllocator(t, Budget{MemoryBytes: total}, testClasses())
	for range 100 {
		allocator.Admit(0, uploadClass, 20)
	}
	if got := allocator.Usage().MemoryBytes; got == 0 || got > total-guaranteed {
		t.Errorf("uploads use %d of %d bytes, want more than 0 used and at least %d unused", got, total, guaranteed)
	}
	for range 100 {
		allocator.Admit(0, solutionClass, 40)
	}
	if got, want := allocator.memory.Used(solutionClass), int64(guaranteedSolution+lentToSolutions); got < want {
		t.Errorf("solutions use %d bytes, want at least %d", got, want)
	}
}
