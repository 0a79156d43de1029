// Package golden compares bytes with files in testdata, for tests that pin stored forms,
// messages on a wire, and names that operators' scripts rest on. Only tests import it.
//
// The files were written by the program before its identifiers were renamed. They are
// written anew with
//
//	UPDATE_GOLDEN=1 go test ./PACKAGE
//
// which is right only where such a form is changed on purpose, in a way that programs of the
// version before can read.
package golden

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// updateVariable is the environment variable with which Compare writes the files first.
const updateVariable = "UPDATE_GOLDEN"

// Message is one named message of a file that CompareMessages reads.
type Message struct {
	Name  string
	Bytes []byte
}

// Compare fails the test unless got is what testdata/name holds, to the byte. It returns what
// the file holds.
func Compare(tb testing.TB, name string, got []byte) []byte {
	tb.Helper()
	if os.Getenv(updateVariable) != "" {
		write(tb, name, got)
	}
	want := Read(tb, name)
	if !bytes.Equal(got, want) {
		tb.Errorf("%s differs (%d bytes, want %d):\ngot\n%s\nwant\n%s", name, len(got), len(want), got, want)
	}
	return want
}

// CompareMessages is Compare for messages, one a line: its name and its bytes in
// hexadecimal. It returns the messages of the file.
func CompareMessages(tb testing.TB, name string, got []Message) []Message {
	tb.Helper()
	var text bytes.Buffer
	for _, message := range got {
		fmt.Fprintf(&text, "%s %x\n", message.Name, message.Bytes)
	}
	var want []Message
	lines := bufio.NewScanner(bytes.NewReader(Compare(tb, name, text.Bytes())))
	for lines.Scan() {
		label, digits, _ := strings.Cut(lines.Text(), " ")
		content, err := hex.DecodeString(digits)
		if err != nil {
			tb.Fatalf("%s: %s: %v", name, label, err)
		}
		want = append(want, Message{Name: label, Bytes: content})
	}
	return want
}

// Read returns what testdata/name holds.
func Read(tb testing.TB, name string) []byte {
	tb.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		tb.Fatal(err)
	}
	return content
}

func write(tb testing.TB, name string, content []byte) {
	tb.Helper()
	path := filepath.Join("testdata", name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		tb.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		tb.Fatal(err)
	}
}
