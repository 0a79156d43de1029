package experiment

import (
	"testing"

	"garnetline/internal/fleet/consensus"
)

// Within the bounds no two act at once; each safeguard that is switched off is found out.
func TestLeaseSafeguards(t *testing.T) {
	for seed := range uint64(4) {
		r := LeaseHandovers{Seed: seed + 1, ClockDrift: 1, Routers: 3, MaxHandovers: 500}.Run()
		if r.Violation != "" || r.Handovers < 500 || r.Rejected == 0 || r.StoppedAtWrite == 0 {
			t.Errorf("seed %d: %s; %d handovers, %d acts, %d refused, %d dropped", seed+1, r.Violation, r.Handovers, r.Writes, r.Rejected, r.StoppedAtWrite)
		}
	}
	for _, off := range Safeguards {
		found := ""
		for seed := range uint64(40) {
			if r := (LeaseHandovers{Seed: seed + 1, Without: off, ClockDrift: 1, Routers: 3, MaxHandovers: 500}.Run()); r.Violation != "" {
				found = r.Violation
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
func TestLeaseStateSearch(t *testing.T) {
	o := LeaseSearch{MaxInFlight: 2, MaxCrashes: 1, MaxTransfers: 1, MaxGrants: 3, MaxStates: 60_000}
	for _, o.Without = range SearchedSafeguards {
		r := o.Run()
		if found := r.Violation != ""; found != (o.Without != NoSafeguard) || !found && r.States < o.MaxStates {
			t.Errorf("%q off, %d states: %q by %v", o.Without, r.States, r.Violation, r.Schedule)
		}
	}
	if r := (LeaseSearch{MaxInFlight: 1, MaxGrants: 1, MaxStates: 200_000}).Run(); !r.Complete || r.Violation != "" || r.States < 1000 {
		t.Errorf("%+v", r)
	}
}

// All duties are held, a thousand handings on leave none, what electors say to each other
// does not grow with the questions, and a log stays short.
func TestRegistryWithManyLeases(t *testing.T) {
	set := consensus.DefaultSettings()
	set.SnapshotEntries, set.RetainedEntries = 200, 50
	few, err := Registry{Seed: 1, Voters: 3, Routers: 6, Leases: 4, Settings: set, TransferInterval: 20}.Run(20_000)
	if err != nil || few.LeasesHeld < 3 || len(few.TransferTimes) < 500 || Quantile(few.TransferTimes, 0.5) > 20 || few.DiskBytes > 3<<20 {
		t.Errorf("%d of 4 held, %d handed on in %.1f ms, %d bytes on the disk, %v", few.LeasesHeld, len(few.TransferTimes), Quantile(few.TransferTimes, 0.5), few.DiskBytes, err)
	}
	rate := func(duties int) float64 {
		r, err := Registry{Seed: 1, Voters: 3, Routers: 6, Leases: duties, Settings: consensus.DefaultSettings()}.Run(15_000)
		if err != nil || r.LeasesHeld != duties {
			t.Errorf("%d of %d duties held, %v", r.LeasesHeld, duties, err)
		}
		return float64(r.Messages) / float64(r.Requests)
	}
	if a, b := rate(5), rate(150); b > a/3 {
		t.Errorf("%.2f messages a question with 5 duties, %.2f with 150", a, b)
	}
}
