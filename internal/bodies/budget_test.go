package bodies

import (
	"math"
	"testing"
)

// New rejects classes that cannot share a budget. The error names the class and the field.
func TestInvalidClasses(t *testing.T) {
	tests := []struct {
		name    string
		classes []Class
		want    string
	}{
		{"size", []Class{{Name: "a", PriorityWeight: 1, MaxMemoryBytes: 9}}, `bodies: class "a": most: expected at least 0 and no less than memory and disk`},
		{"no weight", []Class{{Name: "a"}}, `bodies: class "a": worth: expected a finite number above 0`},
		{"infinite weight", []Class{{Name: "a", PriorityWeight: math.Inf(1)}}, `bodies: class "a": worth: expected a finite number above 0`},
		{"guarantee", []Class{{Name: "a", PriorityWeight: 1, GuaranteedFraction: math.NaN()}}, `bodies: class "a": guarantee: expected a number from 0 to 1`},
		{"guarantees together", []Class{
			{Name: "a", PriorityWeight: 1, GuaranteedFraction: 0.6},
			{Name: "b", PriorityWeight: 1, GuaranteedFraction: 0.6},
		}, "bodies: guarantee: expected a sum of at most 1 over all classes"},
		{"name twice", []Class{{Name: "a", PriorityWeight: 1}, {Name: "a", PriorityWeight: 1}}, `bodies: class "a": expected a unique and non-empty name`},
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
	const want = "bodies: budget: {Memory:5 Disk:6 Files:-1 Write:2.5}: expected no negative number"
	allocator := newAllocator(t, Budget{MemoryBytes: 100}, testClasses())
	err := allocator.UpdateBudget(Budget{MemoryBytes: 5, DiskBytes: 6, DiskBodies: -1, DiskBytesPerSecond: 2.5})
	if err == nil || err.Error() != want {
		t.Errorf("got error %v, want %s", err, want)
	}
	if got := allocator.memory.total; got != 100 {
		t.Errorf("got a memory budget of %d bytes after the error, want 100", got)
	}
}
