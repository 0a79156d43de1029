package bodies

import (
	"math"
	"testing"
)

// Classes that cannot share a budget are rejected, with an error that names class and field.
func TestInvalidClasses(t *testing.T) {
	tests := []struct {
		name    string
		classes []Class
		want    string
	}{
		{"size", []Class{{Name: "a", PriorityWeight: 1, MaxMemoryBytes: 9}}, `bodies: class "a": most: want no less than memory and disk`},
		{"no weight", []Class{{Name: "a"}}, `bodies: class "a": worth: want more than 0`},
		{"infinite weight", []Class{{Name: "a", PriorityWeight: math.Inf(1)}}, `bodies: class "a": worth: want more than 0`},
		{"guarantee", []Class{{Name: "a", PriorityWeight: 1, GuaranteedFraction: math.NaN()}}, `bodies: class "a": guarantee: want 0 to 1`},
		{"guarantees together", []Class{
			{Name: "a", PriorityWeight: 1, GuaranteedFraction: 0.6},
			{Name: "b", PriorityWeight: 1, GuaranteedFraction: 0.6},
		}, "bodies: guarantee: all classes together have more than 1"},
		{"name twice", []Class{{Name: "a", PriorityWeight: 1}, {Name: "a", PriorityWeight: 1}}, `bodies: class "a": named twice, or not at all`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, err := New(Budget{}, test.classes); err == nil || err.Error() != test.want {
				t.Errorf("got error %v, want %s", err, test.want)
			}
		})
	}
}

// A budget below zero is rejected, and the one before it stays.
func TestInvalidBudget(t *testing.T) {
	const want = "bodies: budget: {Memory:5 Disk:6 Files:-1 Write:2.5}: want no less than 0"
	allocator := newAllocator(t, Budget{MemoryBytes: 100}, testClasses())
	err := allocator.UpdateBudget(Budget{MemoryBytes: 5, DiskBytes: 6, DiskBodies: -1, DiskBytesPerSecond: 2.5})
	if err == nil || err.Error() != want {
		t.Errorf("got error %v, want %s", err, want)
	}
	if got := allocator.memory.total; got != 100 {
		t.Errorf("the memory budget is %d bytes after the error, want 100", got)
	}
}
