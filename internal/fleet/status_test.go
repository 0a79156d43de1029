package fleet

import (
	"encoding/json"
	"net/netip"
	"reflect"
	"testing"

	"garnetline/internal/fleet/member"
	"garnetline/internal/fleet/stance"
	"garnetline/internal/golden"
)

// The admin API shows a fleet under these keys.
func TestGoldenStatus(t *testing.T) {
	self := member.Word{ID: 0xab, Inc: member.Incarnation(4) + 1, Name: "r1", Zone: "north", Version: "1.2", Addr: netip.MustParseAddrPort("10.1.2.3:7946")}
	suspect := member.Word{ID: 0xcd, Inc: member.Incarnation(2) + 3, State: member.Suspect, By: 0xab, Name: "r2", Zone: "south", Version: "1.1", Addr: netip.MustParseAddrPort("[fd00::2]:7946")}
	failed := member.Word{ID: 0xef, Inc: member.Incarnation(1), State: member.Failed, By: 0x99, Name: "r3", Addr: netip.MustParseAddrPort("10.1.2.4:7946")}
	v := &member.View{At: 1_700_000_000_000, Self: self.ID, There: 2, Alive: 1, Health: 3, Conflicts: 1, Yielded: true, Silence: 12, Members: []member.Member{
		{Word: self, Heard: 1_700_000_000_000, Direct: true, Self: true},
		{Word: suspect, Since: 1_699_999_999_000, Heard: 1_699_999_998_000, Direct: true},
		{Word: failed, Since: 1_699_999_000_000.5},
	}}
	s := Show(v, stance.Reading{Stance: stance.Partial, Since: 1_699_999_999_500, There: 2, Known: 3}, "garnetline")
	s.Bound = true
	s.Bans = append(s.Bans, "5")
	b, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	stored := golden.Compare(t, "status.json", append(b, '\n'))
	read := &Status{}
	if err := json.Unmarshal(stored, read); err != nil || !reflect.DeepEqual(read, s) {
		t.Errorf("%v: %+v, want %+v", err, read, s)
	}
}
