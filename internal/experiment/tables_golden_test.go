package experiment

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/golden"
)

// The table of each experiment that runs on a virtual clock is the same to the byte for the
// same seed. The heap of the process, which is measured, is left out.
// UPDATE_GOLDEN=1 rewrites testdata.
func TestTables(t *testing.T) {
	for name, table := range map[string]func(testing.TB, io.Writer){
		"register.md": registerTable,
		"worth.md":    func(_ testing.TB, w io.Writer) { WorthTable(w) },
		"worth.txt":   func(_ testing.TB, w io.Writer) { worthRows(w) },
		"members.md":  membersTable,
		"states.md":   statesTable,
	} {
		t.Run(name, func(t *testing.T) {
			var text bytes.Buffer
			table(t, &text)
			golden.Compare(t, name, text.Bytes())
		})
	}
}

func registerTable(tb testing.TB, w io.Writer) {
	set := consensus.DefaultSettings()
	for _, run := range []Register{
		{Seed: 1, Electors: 3, Routers: 6, Duties: 4, Set: set, Move: 20},
		{Seed: 2, Electors: 5, Routers: 10, Duties: 40, Set: set, Move: 50, Drop: 2000},
	} {
		result, err := run.Run(15_000)
		if err != nil {
			tb.Fatal(err)
		}
		result.Heap = nil
		fmt.Fprintln(w, run.Row(result))
	}
}

func worthRows(w io.Writer) {
	for _, way := range WorthWays {
		for _, spacing := range Spacings {
			for _, single := range []bool{false, true} {
				o := Worth{Seed: 4, Routers: 5, Boxes: 6, Way: way, Spacing: spacing, Single: single}
				r := o.Run()
				fmt.Fprintf(w, "%s, %s, %t: %v %v %v %v %v %v %v %v %v\n", way, spacing, single,
					r.Probes, r.PerBox, r.Packets, r.Bytes, r.Age, r.Error, r.Stale, r.Twice, r.Gap)
			}
		}
	}
}

func membersTable(_ testing.TB, w io.Writer) {
	o := Members{Sizes: []int{3, 8}, Seeds: 2, Kills: 2, Calm: 5000, Rough: 20_000, Losses: []float64{0, 0.2}}
	all := o.Run(io.Discard)
	for _, r := range all {
		r.Memory = 0
	}
	Table(w, all)
}

func statesTable(_ testing.TB, w io.Writer) {
	for _, off := range Searched {
		search := LeaseSearch{Off: off, Air: 2, Crashes: 1, Gives: 1, Grants: 2, Most: 5000}
		result := search.Run()
		fmt.Fprintln(w, search.Row(result))
		for _, step := range result.Schedule {
			fmt.Fprintln(w, "  ", step)
		}
	}
}
