package gossip

import (
	"bytes"
	"testing"

	"garnetline/internal/golden"
)

// The encoding of items is the same as in the previous version, since routers of both versions
// exchange items.
func TestGoldenItems(t *testing.T) {
	items := []Item{
		{Kind: Ban, Server: 0xfffffffe, Router: 0x1122334455667788, Sequence: 3},
		{Kind: Ban, Server: 5, Router: 7, Sequence: 1 << 30, Removed: true},
		{Kind: Drain, Server: 6, StartedAt: 1_700_000_000_123},
		{Kind: Purge, Object: 0xfedcba9876543211, PurgedAt: 1_700_000_000_456},
		{Kind: Purge, Group: 12, PurgedAt: 1_700_000_000_789},
	}
	names := []string{"ban", "ban-removed", "drain", "purge-object", "purge-group"}
	var messages []golden.Message
	for i := range items {
		messages = append(messages, golden.Message{Name: names[i], Bytes: items[i].Append(nil)})
	}
	for i, m := range golden.CompareMessages(t, "items.golden", messages) {
		got, ok := Decode(m.Bytes)
		if !ok || got != items[i] {
			t.Errorf("%s: decoded %+v, want %+v", m.Name, got, items[i])
		}
	}
}

// The encoding of the bans file, which the router's next process reads, does not change.
func TestGoldenBansFile(t *testing.T) {
	store := New(DefaultSettings(), 7, 1<<24)
	store.SetDisabled(0, 5, true)
	store.SetDisabled(0, 6, true)
	store.SetDisabled(0, 6, false)
	remoteBan := Item{Kind: Ban, Server: 9, Router: 3, Sequence: 2}
	store.Receive(0, 3, remoteBan.Append(nil))
	exported, _ := store.Export()
	stored := golden.CompareMessages(t, "bans.golden", []golden.Message{{Name: "bans", Bytes: exported}})
	next := New(DefaultSettings(), 7, 2<<24)
	next.Import(0, stored[0].Bytes)
	if again, _ := next.Export(); !bytes.Equal(again, stored[0].Bytes) {
		t.Errorf("exported again after import: got %x, want %x", again, stored[0].Bytes)
	}
	if !next.Disabled(5) || next.Disabled(6) || !next.Disabled(9) {
		t.Errorf("got banned servers %v, want 5 and 9", next.Bans())
	}
}
