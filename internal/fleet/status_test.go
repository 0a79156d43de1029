package fleet

import (
	"encoding/json"
	"net/netip"
	"reflect"
	"testing"

	"garnetline/internal/fleet/connectivity"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/golden"
)

// The admin API encodes the status of a fleet with the JSON keys of the golden file.
func TestGoldenStatus(t *testing.T) {
	self := membership.Update{ID: 0xab, Revision: membership.FirstRevision(4) + 1, Name: "r1", Zone: "north", Version: "1.2", Addr: netip.MustParseAddrPort("10.1.2.3:7946")}
	suspect := membership.Update{ID: 0xcd, Revision: membership.FirstRevision(2) + 3, State: membership.Suspect, ReportedBy: 0xab, Name: "r2", Zone: "south", Version: "1.1", Addr: netip.MustParseAddrPort("[fd00::2]:7946")}
	failed := membership.Update{ID: 0xef, Revision: membership.FirstRevision(1), State: membership.Failed, ReportedBy: 0x99, Name: "r3", Addr: netip.MustParseAddrPort("10.1.2.4:7946")}
	view := &membership.View{At: 1_700_000_000_000, Self: self.ID, Present: 2, Alive: 1, HealthScore: 3, Conflicts: 1, Superseded: true, Silence: 12, Members: []membership.Member{
		{Update: self, LastReceivedAt: 1_700_000_000_000, Direct: true, Self: true},
		{Update: suspect, StateSince: 1_699_999_999_000, LastReceivedAt: 1_699_999_998_000, Direct: true},
		{Update: failed, StateSince: 1_699_999_000_000.5},
	}}
	status := NewStatus(view, connectivity.Status{State: connectivity.Partial, Since: 1_699_999_999_500, Present: 2, Known: 3}, "garnetline")
	status.Bound = true
	status.Bans = append(status.Bans, "5")
	status.DeferredEnables = append(status.DeferredEnables, "5")
	status.StaleWatch = &WatchStatus{Since: 1_699_999_990_000, Reason: "silent"}
	encoded, err := json.MarshalIndent(status, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	stored := golden.Compare(t, "status.json", append(encoded, '\n'))
	read := &Status{}
	if err := json.Unmarshal(stored, read); err != nil || !reflect.DeepEqual(read, status) {
		t.Errorf("golden status read back: error %v, got %+v, want %+v", err, read, status)
	}
}
