package atomicfile

import (
	"os"
	"path/filepath"
	"testing"
)

// A file is made, replaced and, where the new content cannot be written, left as it was.
func TestReplace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	for _, content := range []string{"first", "the second one", ""} {
		if err := Replace(path, []byte(content)); err != nil {
			t.Fatal(err)
		}
		got, err := os.ReadFile(path)
		if err != nil || string(got) != content {
			t.Errorf("%q, %v, want %q", got, err, content)
		}
	}
	info, err := os.Stat(path)
	if err != nil || info.Mode().Perm() != ownerOnly {
		t.Errorf("mode %v, %v", info, err)
	}
	if err := Replace(path, []byte("kept")); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(path+temporarySuffix, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Replace(path, []byte("lost")); err == nil {
		t.Error("no error, though the new content has no place")
	}
	if got, err := os.ReadFile(path); err != nil || string(got) != "kept" {
		t.Errorf("%q, %v after a failure", got, err)
	}
}
