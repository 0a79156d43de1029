package disabled

import (
	"maps"
	"os"
	"path/filepath"
	"testing"

	"garnetline/routing"
)

// Guards what a successor reads, and that a folder that cannot be read is an error
// and not a folder without marks, which would enable every server.
func TestStore(t *testing.T) {
	state := t.TempDir()
	store := NewStore(state)
	want := map[routing.ServerID]bool{}
	for _, step := range []struct {
		id routing.ServerID
		on bool
	}{{7, true}, {8, true}, {7, true}, {7, false}, {7, false}, {0xffffffff, true}} {
		if err := store.Set(step.id, step.on); err != nil {
			t.Fatal(err)
		}
		if want[step.id] = true; !step.on {
			delete(want, step.id)
		}
		if err := os.WriteFile(filepath.Join(string(store), "other"), nil, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := NewStore(state).List(); err != nil || !maps.Equal(got, want) {
			t.Fatalf("%v, %v; want %v", got, err, want)
		}
	}
	if got, err := NewStore("").List(); err != nil || len(got) != 0 || NewStore("").Set(7, true) != nil {
		t.Errorf("without a folder: %v, %v", got, err)
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Store(file).List(); err == nil {
		t.Error("what is no folder was read as an empty one")
	}
}
