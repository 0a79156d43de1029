// Package golden compares bytes with files in testdata, for tests that pin stored forms and
// messages between routers. Only tests import it.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// updateVariable is the environment variable with which Compare writes the files instead:
//
//	GOLDEN_UPDATE=1 go test ./internal/PACKAGE/
const updateVariable = "GOLDEN_UPDATE"

// Compare fails the test unless got is what testdata/name holds, to the byte.
func Compare(t testing.TB, name string, got []byte) {
	t.Helper()
	if os.Getenv(updateVariable) != "" {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path(name), got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s differs (%d bytes, want %d):\ngot  %q\nwant %q", name, len(got), len(want), got, want)
	}
}

// Read returns what testdata/name holds.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(path(name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func path(name string) string { return filepath.Join("testdata", name) }
