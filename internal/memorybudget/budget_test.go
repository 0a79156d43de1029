package memorybudget

import (
	"errors"
	"testing"
	"time"

	"garnetline/internal/metrics"
)

const patience = 10 * time.Second

// TestUnreadResponsesLeaveRoomForRequests checks that accounts which are filled up do not use the
// guaranteed part of the others, and that refusals are counted.
func TestUnreadResponsesLeaveRoomForRequests(t *testing.T) {
	registry := metrics.New()
	budget := New(1000, registry)
	for _, filled := range []Account{Responses, Bodies, ReadAhead} {
		for budget.Reserve(filled, 10, 0) == nil {
		}
	}
	for _, needed := range []Account{Connections, Requests} {
		if err := budget.Reserve(needed, 50, 0); err != nil {
			t.Errorf("got %v, want room for %v", err, needed)
		}
	}
	var exhausted *ExhaustedError
	if err := budget.Reserve(ReadAhead, 10, 0); !errors.As(err, &exhausted) || exhausted.Account != ReadAhead {
		t.Errorf("got %v, want an ExhaustedError of read-ahead", err)
	}
	if refused := registry.Counter("memory_refused_read_ahead").Load(); refused != 2 || budget.Usage().Refused() != 4 {
		t.Errorf("got %d refusals of read-ahead in %+v, want 2 of 4", refused, budget.Usage())
	}
}

// TestReserveWaitsForRelease checks that a reservation signals pressure and waits for memory.
func TestReserveWaitsForRelease(t *testing.T) {
	budget := New(160, metrics.New())
	held := budget.NewReservation()
	if err := held.Grow(Bodies, 60, 0); err != nil {
		t.Fatal(err)
	}
	reserved := make(chan error, 1)
	go func() { reserved <- budget.Reserve(Bodies, 60, patience) }()
	<-budget.Pressure()
	held.Release()
	if err := <-reserved; err != nil {
		t.Errorf("got %v, want the released memory", err)
	}
	if used := budget.Usage().Accounts[Bodies].Bytes; used != 60 {
		t.Errorf("got %d bytes in use, want 60", used)
	}
}

// TestShrunkBudgetRefuses checks that a budget which shrinks below what is in use grants nothing until
// enough is released.
func TestShrunkBudgetRefuses(t *testing.T) {
	budget := New(0, metrics.New())
	held := budget.NewReservation()
	if err := held.Grow(Bodies, 100, 0); err != nil {
		t.Fatal(err)
	}
	budget.Resize(100)
	if budget.Reserve(Connections, 1, 0) == nil {
		t.Error("got memory beyond the budget")
	}
	held.Shrink(Bodies, 20)
	if err := budget.Reserve(Connections, 20, 0); err != nil {
		t.Error(err)
	}
}
