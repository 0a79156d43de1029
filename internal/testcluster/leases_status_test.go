package testcluster

import (
	"encoding/json"
	"fmt"
	"testing"

	"garnetline/internal/fleet/leasemanager"
)

// TestLeaseStatusHasTheKeysOfTheAdminAPI checks that the fields of LeaseStatus have the JSON keys
// of the daemon's page. If a key changed only in the daemon, a field would stay empty without an
// error. A test that waits for a value of the field could then fail or pass wrongly.
func TestLeaseStatusHasTheKeysOfTheAdminAPI(t *testing.T) {
	page, err := json.Marshal(map[string]any{
		"register": leasemanager.Status{
			Voter:        true,
			Leader:       "r01",
			Leading:      true,
			Voters:       []string{"r00", "r01"},
			Learners:     []string{"r02"},
			Term:         7,
			AppliedIndex: 8,
			Fault:        "disk full",
			Leases:       []leasemanager.LeaseStatus{{Name: "probe/edge", Holder: "r00", FencingToken: 9}},
		},
		"held": []leasemanager.Lease{{Name: "first/edge", FencingToken: 10}},
	})
	if err != nil {
		t.Fatal(err)
	}
	var status LeaseStatus
	if err := json.Unmarshal(page, &status); err != nil {
		t.Fatal(err)
	}
	const want = "{{true true r01 disk full [r00 r01] [r02] 7 8 [{probe/edge r00 9}]} [{first/edge 10}]}"
	if got := fmt.Sprint(status); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
