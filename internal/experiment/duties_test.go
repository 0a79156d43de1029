package experiment

import (
	"testing"

	"garnetline/internal/fleet/consensus"
)

// Within the bounds no two act at once; each safeguard that is switched off is found out.
func TestLeases(t *testing.T) {
	for seed := range uint64(4) {
		r := Leases{Seed: seed + 1, Drift: 1, Routers: 3, Until: 500}.Run()
		if r.Broken != "" || r.Handovers < 500 || r.Refused == 0 || r.Dropped == 0 {
			t.Errorf("seed %d: %s; %d handovers, %d acts, %d refused, %d dropped", seed+1, r.Broken, r.Handovers, r.Acts, r.Refused, r.Dropped)
		}
	}
	for _, off := range Safeguards {
		found := ""
		for seed := range uint64(40) {
			if r := (Leases{Seed: seed + 1, Off: off, Drift: 1, Routers: 3, Until: 500}.Run()); r.Broken != "" {
				found = r.Broken
				break
			}
		}
		if found == "" {
			t.Errorf("%s is off, and nothing shows it", off)
		}
		t.Logf("%s off: %s", off, found)
	}
}

// The states of two routers and a register are visited one after another, and no two can
// act in any; each safeguard that is switched off is found out within fewer. All states of
// a small bound are few enough to be visited whole.
func TestStatesOfALease(t *testing.T) {
	o := LeaseSearch{Air: 2, Crashes: 1, Gives: 1, Grants: 3, Most: 60_000}
	for _, o.Off = range Searched {
		r := o.Run()
		if found := r.Broken != ""; found != (o.Off != None) || !found && r.States < o.Most {
			t.Errorf("%q off, %d states: %q by %v", o.Off, r.States, r.Broken, r.Schedule)
		}
	}
	if r := (LeaseSearch{Air: 1, Grants: 1, Most: 200_000}).Run(); !r.Whole || r.Broken != "" || r.States < 1000 {
		t.Errorf("%+v", r)
	}
}

// All duties are held, a thousand handings on leave none, what electors say to each other
// does not grow with the questions, and a log stays short.
func TestRegisterOfManyDuties(t *testing.T) {
	set := consensus.DefaultSettings()
	set.SnapshotEntries, set.RetainedEntries = 200, 50
	few, err := Register{Seed: 1, Electors: 3, Routers: 6, Duties: 4, Set: set, Move: 20}.Run(20_000)
	if err != nil || few.Held < 3 || len(few.Moved) < 500 || Quantile(few.Moved, 0.5) > 20 || few.Disk > 3<<20 {
		t.Errorf("%d of 4 held, %d handed on in %.1f ms, %d bytes on the disk, %v", few.Held, len(few.Moved), Quantile(few.Moved, 0.5), few.Disk, err)
	}
	rate := func(duties int) float64 {
		r, err := Register{Seed: 1, Electors: 3, Routers: 6, Duties: duties, Set: consensus.DefaultSettings()}.Run(15_000)
		if err != nil || r.Held != duties {
			t.Errorf("%d of %d duties held, %v", r.Held, duties, err)
		}
		return float64(r.Messages) / float64(r.Asks)
	}
	if a, b := rate(5), rate(150); b > a/3 {
		t.Errorf("%.2f messages a question with 5 duties, %.2f with 150", a, b)
	}
}
