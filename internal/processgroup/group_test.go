package processgroup

import "testing"

// TestCountFollowsProcesses checks that each member counts the others, also after one has left, and
// that a file that a dead process has left does not count.
func TestCountFollowsProcesses(t *testing.T) {
	dir := t.TempDir()
	join := func() *Group {
		t.Helper()
		group, err := Join(dir)
		if err != nil {
			t.Fatal(err)
		}
		return group
	}
	first := join()
	if first.Count() != 1 {
		t.Errorf("got %d processes, want 1", first.Count())
	}
	second := join()
	if first.Count() != 2 || second.Count() != 2 || first.Slot() == second.Slot() {
		t.Errorf("got %d and %d processes in slots %d and %d, want 2 and 2 in different slots", first.Count(), second.Count(), first.Slot(), second.Slot())
	}
	first.Leave()
	if second.Count() != 1 {
		t.Errorf("got %d processes after the first has left, want 1", second.Count())
	}
	third := join()
	defer third.Leave()
	defer second.Leave()
	if third.Slot() != first.Slot() || third.Count() != 2 {
		t.Errorf("got slot %d and %d processes, want the free slot %d and 2", third.Slot(), third.Count(), first.Slot())
	}
}

// TestTooManyProcesses checks that a process without a free slot is told.
func TestTooManyProcesses(t *testing.T) {
	dir := t.TempDir()
	for range MaxProcesses {
		group, err := Join(dir)
		if err != nil {
			t.Fatal(err)
		}
		defer group.Leave()
	}
	if group, err := Join(dir); err == nil {
		t.Errorf("got slot %d, want an error", group.Slot())
	}
}
