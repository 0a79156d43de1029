package bodies

import (
	"math"
	"testing"
)

// TestInvalidClasses checks that New rejects an invalid class with an error that names the class and
// the field. New must also reject classes whose guaranteed fractions add up to more than 1.
func TestInvalidClasses(t *testing.T) {
	tests := []struct {
		name    string
		classes []Class
		want    string
	}{
		{"size", []Class{{Name: "a", PriorityWeight: 1, MaxMemoryBytes: 9}}, `bodies: class "a": memory, disk, most: expected memory and disk from 0 to most, got memory 9, disk 0 and most 0`},
		{"no weight", []Class{{Name: "a"}}, `bodies: class "a": worth: expected a finite number above 0, got 0`},
		{"infinite weight", []Class{{Name: "a", PriorityWeight: math.Inf(1)}}, `bodies: class "a": worth: expected a finite number above 0, got +Inf`},
		{"guarantee", []Class{{Name: "a", PriorityWeight: 1, GuaranteedFraction: math.NaN()}}, `bodies: class "a": guarantee: expected a number from 0 to 1, got NaN`},
		{"guarantees together", []Class{
			{Name: "a", PriorityWeight: 1, GuaranteedFraction: 0.6},
			{Name: "b", PriorityWeight: 1, GuaranteedFraction: 0.6},
		}, "bodies: guarantee: expected the guarantees of all classes to add up to at most 1, got 1.2"},
		{"name twice", []Class{{Name: "a", PriorityWeight: 1}, {Name: "a", PriorityWeight: 1}}, `bodies: classes[1]: expected a unique and non-empty name, got "a"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, err := New(Budget{}, test.classes); err == nil || err.Error() != test.want {
				t.Errorf("got error %v, want %s", err, test.want)
			}
		})
	}
}

// UpdateBudget rejects a negative limit and keeps the previous budget.
func TestInvalidBudget(t *testing.T) {
	const want = "bodies: budget: expected limits of at least 0, got MemoryBytes 5, DiskBytes 6, DiskBodies -1, DiskBytesPerSecond 2.5"
	allocator := newAllocator(t, Budget{MemoryBytes: 100}, testClasses())
	err := allocator.UpdateBudget(Budget{MemoryBytes: 5, DiskBytes: 6, DiskBodies: -1, DiskBytesPerSecond: 2.5})
	if err == nil || err.Error() != want {
		t.Errorf("got error %v, want %s", err, want)
	}
	if got := allocator.memory.Total(); got != 100 {
		t.Errorf("got a memory budget of %d bytes after the error, want 100", got)
	}
}
