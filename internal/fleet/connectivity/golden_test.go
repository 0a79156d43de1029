package connectivity

import "testing"

// The admin API, metrics and the command line show the states under these names.
func TestPrintedStrings(t *testing.T) {
	for s, want := range map[State]string{Together: "together", Partial: "partial", Alone: "alone"} {
		if s.String() != want {
			t.Errorf("state %d: got name %q, want %q", s, s, want)
		}
	}
}
