package disabled

import (
	"maps"
	"os"
	"path/filepath"
	"testing"

	"garnetline/routing"
)

// TestStore checks the servers that a successor process reads. It also checks that List returns an
// error for a directory that cannot be read. If List returned no servers instead, the router would
// send requests to every disabled server.
func TestStore(t *testing.T) {
	state := t.TempDir()
	store := NewStore(state)
	want := map[routing.ServerID]bool{}
	for _, step := range []struct {
		id       routing.ServerID
		disabled bool
	}{{7, true}, {8, true}, {7, true}, {7, false}, {7, false}, {0xffffffff, true}} {
		if err := store.Set(step.id, step.disabled); err != nil {
			t.Fatal(err)
		}
		if want[step.id] = true; !step.disabled {
			delete(want, step.id)
		}
		if err := os.WriteFile(filepath.Join(string(store), "other"), nil, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := NewStore(state).List(); err != nil || !maps.Equal(got, want) {
			t.Fatalf("got %v, error %v; want %v", got, err, want)
		}
	}
	if got, err := NewStore("").List(); err != nil || len(got) != 0 || NewStore("").Set(7, true) != nil {
		t.Errorf("without a state directory: got %v, error %v; want no servers and no error", got, err)
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Store(file).List(); err == nil {
		t.Error("list of a file that is not a directory: got no error, want one")
	}
}
