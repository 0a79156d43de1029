package atomicfile

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards that Replace creates a file, replaces its content, and keeps the old content if the new
// content cannot be written.
func TestReplace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	for _, content := range []string{"first", "the second one", ""} {
		if err := Replace(path, []byte(content)); err != nil {
			t.Fatal(err)
		}
		got, err := os.ReadFile(path)
		if err != nil || string(got) != content {
			t.Errorf("got content %q and error %v, want %q", got, err, content)
		}
	}
	info, err := os.Stat(path)
	if err != nil || info.Mode().Perm() != ownerOnly {
		t.Errorf("got file info %v and error %v, want a file that only its owner can access", info, err)
	}
	if err := Replace(path, []byte("kept")); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(path+temporarySuffix, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Replace(path, []byte("lost")); err == nil {
		t.Error("got no error, want an error because the temporary file cannot be written")
	}
	if got, err := os.ReadFile(path); err != nil || string(got) != "kept" {
		t.Errorf("got content %q and error %v after a failed Replace, want the old content", got, err)
	}
}
