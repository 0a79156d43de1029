// Package golden compares what is written now with fixtures in testdata, to the byte. Only
// tests import it.
//
// The fixtures were written by the program before its identifiers were renamed. They are
// rewritten with
//
//	go test PACKAGE -update
//
// which is right only where a wire or a stored form is changed on purpose, in a way that
// routers of the version before read.
package golden

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the fixtures in testdata")

// Message is one named message of a fixture.
type Message struct {
	Name  string
	Bytes []byte
}

// Compare fails the test unless got is what testdata/file holds, and returns what it holds.
func Compare(t testing.TB, file string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs:\n%s\nwant\n%s", file, got, want)
	}
	return want
}

// CompareMessages is Compare for messages, one a line: its name and its bytes in
// hexadecimal. It returns those of the file.
func CompareMessages(t testing.TB, file string, got []Message) []Message {
	t.Helper()
	var text bytes.Buffer
	for _, m := range got {
		fmt.Fprintf(&text, "%s %x\n", m.Name, m.Bytes)
	}
	var want []Message
	lines := bufio.NewScanner(bytes.NewReader(Compare(t, file, text.Bytes())))
	for lines.Scan() {
		name, digits, _ := strings.Cut(lines.Text(), " ")
		b, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatalf("%s: %s: %v", file, name, err)
		}
		want = append(want, Message{Name: name, Bytes: b})
	}
	return want
}
