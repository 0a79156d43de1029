package bans

import (
	"encoding/json"
	"io"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/rs/zerolog"

	"garnetline/internal/clock"
	"garnetline/internal/golden"
	"garnetline/internal/metrics"
	"garnetline/routing"
)

// The format of the state file does not change, since other releases read the file: it keeps the
// JSON keys of the first release. UPDATE_GOLDEN=1 rewrites testdata.
func TestStateFileFormat(t *testing.T) {
	folder := t.TempDir()
	logger := zerolog.New(io.Discard)
	options := Options{StateDir: folder, Clock: clock.NewBoot(), Log: &logger, Metrics: metrics.New()}
	bans := map[routing.ServerID]LocalBan{
		7:       {Unregistered: true, SetBy: "ada", Reason: "disk \"errors\"", SetAt: 1_700_000_000_123},
		9:       {Version: 12},
		1 << 33: {Unregistered: true, SetBy: "the door of r01", SetAt: 1_700_000_000_456.5},
	}
	manager := New(options)
	maps.Copy(manager.machine.localBans, bans)
	manager.persist()
	path := filepath.Join(folder, "garnetline-bans.json")
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "garnetline-bans.json", written)
	if err := os.WriteFile(path, golden.Read(t, "garnetline-bans.json"), 0o600); err != nil {
		t.Fatal(err)
	}
	if read := New(options).machine.LocalBans(); !reflect.DeepEqual(read, bans) {
		t.Errorf("golden state file read back: got %+v, want the bans that were stored", read)
	}
}

// The JSON keys of the status do not change, since operators' scripts read them.
// UPDATE_GOLDEN=1 rewrites testdata.
func TestStatusJSON(t *testing.T) {
	status := Status{
		ReadAt: 1_700_000_000_500.25,
		Bans: []Ban{
			{Server: routing.ServerID(7).String(), Disabled: true, Version: 12, SetBy: "ada", Reason: "disk", SetAt: 1_700_000_000_123},
			{Server: routing.ServerID(9).String(), Version: 13},
		},
		DisabledHere: []string{routing.ServerID(7).String()},
	}
	text, err := json.MarshalIndent(status, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "status.json", text)
	var read Status
	if err := json.Unmarshal(golden.Read(t, "status.json"), &read); err != nil || !reflect.DeepEqual(read, status) {
		t.Errorf("golden status read back: got %+v, error %v, want the status that was encoded", read, err)
	}
}
