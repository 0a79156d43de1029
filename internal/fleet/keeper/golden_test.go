package keeper

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/rs/zerolog"

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/golden"
	"garnetline/internal/stats"
)

// The file that bans rest on is read by later releases and written as it always was: by
// the routers' names of servers, with the keys of the first release.
// UPDATE_GOLDEN=1 rewrites testdata.
func TestStateFileFormat(t *testing.T) {
	folder := t.TempDir()
	logger := zerolog.New(io.Discard)
	options := Options{State: folder, Clock: clock.NewBoot(), Log: &logger, Stats: stats.New()}
	bans := map[decide.ServerID]Basis{
		7:       {Own: true, Who: "ada", Why: "disk \"errors\"", At: 1_700_000_000_123},
		9:       {Version: 12},
		1 << 33: {Own: true, Who: "the door of r01", At: 1_700_000_000_456.5},
	}
	k := New(options)
	for id, basis := range bans {
		k.m.basis[id] = basis
	}
	k.keep()
	path := filepath.Join(folder, "garnetline-bans.json")
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "garnetline-bans.json", written)
	if err := os.WriteFile(path, golden.Read(t, "garnetline-bans.json"), 0o600); err != nil {
		t.Fatal(err)
	}
	if read := New(options).m.Basis(); !reflect.DeepEqual(read, bans) {
		t.Errorf("read back: %+v", read)
	}
}

// Operators' scripts read this JSON. UPDATE_GOLDEN=1 rewrites testdata.
func TestStatusJSON(t *testing.T) {
	page := Page{
		Read: 1_700_000_000_500.25,
		Bans: []Ban{
			{Box: decide.ServerID(7).String(), Out: true, Version: 12, Who: "ada", Why: "disk", At: 1_700_000_000_123},
			{Box: decide.ServerID(9).String(), Version: 13},
		},
		Here: []string{decide.ServerID(7).String()},
	}
	text, err := json.MarshalIndent(page, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "status.json", text)
	var read Page
	if err := json.Unmarshal(golden.Read(t, "status.json"), &read); err != nil || !reflect.DeepEqual(read, page) {
		t.Errorf("read back: %+v, %v", read, err)
	}
}
