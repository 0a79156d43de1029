package connectivity

import "testing"

// The admin API, metrics and the command line show states in these words.
func TestPrintedStrings(t *testing.T) {
	for s, want := range map[State]string{Together: "together", Partial: "partial", Alone: "alone"} {
		if s.String() != want {
			t.Errorf("state %d is %q, want %q", s, s, want)
		}
	}
}
