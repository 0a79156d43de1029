package disabled

import (
	"fmt"
	"io/fs"
	"maps"
	"path/filepath"
	"strings"
	"testing"

	"garnetline/internal/golden"
	"garnetline/routing"
)

// Pins the files of disabled servers: their folder, names, sizes and modes, as a process of
// another version reads them. testdata/state is such a folder, written by an earlier version.
func TestGoldenFiles(t *testing.T) {
	state := t.TempDir()
	want := map[routing.ServerID]bool{7: true, 0xc41f7a: true, 0xffffffff: true}
	for id := range want {
		if err := NewStore(state).Set(id, true); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	err := filepath.WalkDir(state, func(path string, e fs.DirEntry, err error) error {
		if err != nil || path == state {
			return err
		}
		info, err := e.Info()
		if err != nil {
			return err
		}
		size := info.Size()
		if e.IsDir() {
			size = 0 // the file system's
		}
		fmt.Fprintf(&out, "%v %d %s\n", info.Mode(), size, strings.TrimPrefix(path, state+"/"))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "files.golden", []byte(out.String()))
	if got, err := NewStore("testdata/state").List(); err != nil || !maps.Equal(got, want) {
		t.Errorf("the earlier version's: %v, %v", got, err)
	}
}
