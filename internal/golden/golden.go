// Package golden compares bytes with files in testdata. With it, tests notice changes of stored
// data, of wire messages, and of names that operators' scripts depend on. Only tests import it.
//
// An earlier version of the program wrote the files. Its Go identifiers had other names. A test
// therefore fails if the renaming of an identifier also changes the bytes. The command
//
//	UPDATE_GOLDEN=1 go test ./PACKAGE
//
// rewrites the files. Use it only after an intended change of the bytes. Programs of the previous
// version must be able to read the new bytes.
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

// updateVariable is the name of an environment variable. If its value is not empty, Compare
// writes the bytes in got to the file before it compares.
const updateVariable = "UPDATE_GOLDEN"

// Message is a message with a name. CompareMessages compares it with one line of a file.
type Message struct {
	Name  string
	Bytes []byte
}

// Compare fails the test if the bytes in got differ from the content of the file testdata/name. It
// returns the content of the file.
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

// CompareMessages compares the messages in got with the file testdata/name. Each line of the file
// contains the name of a message and the bytes of the message in hexadecimal. CompareMessages
// returns the messages of the file.
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
			tb.Fatalf("testdata/%s: decoding message %q: %v", name, label, err)
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
