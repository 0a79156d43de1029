package bodies

import (
	"slices"
	"testing"
)

// Indices of the classes of testClasses.
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

// bodyState is all that decides what can happen to a body.
type bodyState struct {
	location           Location
	received, reserved int64
	firstByteSent      bool
	closed             bool
}

// The steps of a body's owner in stateSearch.
const (
	stepGrowByOne = iota
	stepGrowByTwo
	stepSendFirstByte
	stepDiskFails
	stepClose
	stepCount
)

// stateSearch visits every state of one body that steps of its owner can reach.
type stateSearch struct {
	t    *testing.T
	seen map[bodyState]bool
}

// visit replays the steps after an announced size, and goes on from a state that is new.
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

// replay applies the steps to a new body, checks it after each, and returns its state.
func (s *stateSearch) replay(announced int64, steps []int) bodyState {
	s.t.Helper()
	const now = 1000.0
	classes := []Class{{Name: "a", MaxMemoryBytes: 2, MaxDiskBytes: 5, MaxBytes: 7, PriorityWeight: 1}}
	allocator := newAllocator(s.t, Budget{MemoryBytes: 4, DiskBytes: 8, DiskBodies: 1, DiskBytesPerSecond: 1e9}, classes)
	body, action := allocator.Admit(now, 0, announced)
	if body == nil {
		s.t.Fatalf("%d bytes announced: %v, want to be admitted", announced, action)
	}
	sentUnretained := false // its first byte was sent while, or before, it was not retained
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
			s.t.Fatalf("%d bytes announced, steps %v: repeatable, want not", announced, steps)
		}
	}
	usage := allocator.Usage()
	if (body.closed || body.Location == NotRetained) && usage != (Usage{}) {
		s.t.Fatalf("%d bytes announced, steps %v: %+v is reserved for a body that is not retained", announced, steps, usage)
	}
	return bodyState{body.Location, body.Received, body.reserved, body.FirstByteSent, body.closed}
}

// No state of one body, at small sizes, lets a body be sent again that was sent without being
// retained, and none loses a reservation.
func TestReachableStatesOfOneBody(t *testing.T) {
	const wantStates = 54
	search := &stateSearch{t: t, seen: map[bodyState]bool{}}
	for _, announced := range []int64{-1, 1, 4, 7} {
		search.visit(announced, nil)
	}
	if got := len(search.seen); got != wantStates {
		t.Errorf("%d states, want %d", got, wantStates)
	}
}

// What is lent goes to the highest priority weight when all classes want it, also if others come
// first, and leaves the guarantees.
func TestHighestPriorityWeightBorrowsMost(t *testing.T) {
	const (
		total              = 1000
		guaranteed         = 350 // to solutions and notes
		guaranteedSolution = 250
		lentToSolutions    = 300
	)
	allocator := newAllocator(t, Budget{MemoryBytes: total}, testClasses())
	for range 100 {
		allocator.Admit(0, uploadClass, 20)
	}
	if got := allocator.Usage().MemoryBytes; got == 0 || got > total-guaranteed {
		t.Errorf("uploads use %d of %d bytes, want some, and %d left", got, total, guaranteed)
	}
	for range 100 {
		allocator.Admit(0, solutionClass, 40)
	}
	if got, want := allocator.memory.used[solutionClass], int64(guaranteedSolution+lentToSolutions); got < want {
		t.Errorf("solutions use %d bytes, want at least %d", got, want)
	}
}
