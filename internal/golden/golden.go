// Package golden compares bytes with files in testdata, for tests that pin stored data, wire
// messages, and names that operators' scripts depend on. Only tests import it.
//
// The files come from a version of the program with other Go identifiers, so a test fails if an
// outer form changes together with an identifier. The command
//
//	UPDATE_GOLDEN=1 go test ./PACKAGE
//
// rewrites the files. Use it only for an intended change of such a form, which programs of the
// previous version must be able to read.
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

// updateVariable is the environment variable that makes Compare write the files before it compares.
const updateVariable = "UPDATE_GOLDEN"

// Message is one named message of a file that CompareMessages compares.
type Message struct {
	Name  string
	Bytes []byte
}

// Compare fails the test unless got equals the content of testdata/name. It returns the content of
// the file.
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

// CompareMessages compares messages with the file testdata/name, which has one message per line:
// its name and its bytes in hexadecimal. It returns the messages of the file.
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

// Read returns the content of testdata/name. It ends the test if the file cannot be read.
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
