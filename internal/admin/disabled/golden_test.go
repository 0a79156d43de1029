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

// TestGoldenFiles compares the directory, names, sizes and modes of the stored files with a golden
// file, because other versions of the program read the files too. testdata/state is a state
// directory that an earlier version wrote.
func TestGoldenFiles(t *testing.T) {
	state := t.TempDir()
	want := map[routing.ServerID]bool{7: true, 0xc41f7a: true, 0xffffffff: true}
	for id := range want {
		if err := NewStore(state).Set(id, true); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	err := filepath.WalkDir(state, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || path == state {
			return err
		}
		info, err := entry.Info()
		if err != nil {
			return err
		}
		size := info.Size()
		if entry.IsDir() {
			size = 0 // the size of a directory depends on the file system
		}
		fmt.Fprintf(&out, "%v %d %s\n", info.Mode(), size, strings.TrimPrefix(path, state+"/"))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "files.golden", []byte(out.String()))
	if got, err := NewStore("testdata/state").List(); err != nil || !maps.Equal(got, want) {
		t.Errorf("servers stored by an earlier version: got %v, error %v", got, err)
	}
}
