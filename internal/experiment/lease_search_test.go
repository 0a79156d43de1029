package experiment

import (
	"cmp"
	"testing"
)

// With all safeguards, two routers cannot act under the lease at the same time in any visited state.
// If one safeguard is off, the search finds a state in which they can. The limit on visited states is
// the same in all searches.
func TestSearchFindsMissingSafeguard(t *testing.T) {
	for _, safeguard := range SearchedSafeguards {
		t.Run(cmp.Or(string(safeguard), "none"), func(t *testing.T) {
			search := LeaseSearch{Without: safeguard, MaxInFlight: 2, MaxCrashes: 1, MaxTransfers: 1, MaxGrants: 3, MaxStates: 60_000}
			result := search.Run()
			found := result.Violation != ""
			wantFound := safeguard != NoSafeguard
			if found != wantFound {
				t.Errorf("got violation %q with schedule %v in %d states, want a violation: %t", result.Violation, result.Schedule, result.States, wantFound)
			}
			if !found && result.States < search.MaxStates {
				t.Errorf("visited %d states, want at least %d", result.States, search.MaxStates)
			}
		})
	}
}

// With small bounds a search visits all reachable states.
func TestSearchVisitsAllStates(t *testing.T) {
	result := LeaseSearch{MaxInFlight: 1, MaxGrants: 1, MaxStates: 200_000}.Run()
	if !result.Complete || result.Violation != "" || result.States < 1000 {
		t.Errorf("got complete %t, violation %q, %d states; want a complete search of at least 1000 without a violation", result.Complete, result.Violation, result.States)
	}
}

func TestJoinSchedule(t *testing.T) {
	tests := map[string]struct {
		moves []string
		want  string
	}{
		"no moves":          {nil, ""},
		"different moves":   {[]string{"a", "b", "a"}, "a, b, a"},
		"repeated moves":    {[]string{"a", "a", "b"}, "a 2 times, b"},
		"repeated at last":  {[]string{"a", "b", "b", "b"}, "a, b 3 times"},
		"one move repeated": {[]string{"a", "a"}, "a 2 times"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := joinSchedule(test.moves); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
