package lab

import "testing"

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
