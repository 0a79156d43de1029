// Package ci tests the script that runs the tests. It has no code of its own.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Sources of the tests of a small module's package p.
const (
	testFileHeader = "package p\n\nimport \"testing\"\n\n"
	passingTest    = "func TestGood(t *testing.T) {}\n"
	failingTest    = "func TestRed(t *testing.T) { t.Fatal(\"red\") }\n"
	longerName     = "func TestRedder(t *testing.T) { t.Fatal(\"redder\") }\n"
	withSubtests   = "func TestSub(t *testing.T) {\n\tt.Run(\"a\", func(t *testing.T) { t.Fatal(\"a\") })\n\tt.Run(\"b\", func(*testing.T) {})\n}\n"
	doesNotCompile = "func TestRed(t *testing.T) { nothing }\n"
)

// knownFailure is a line of KNOWN-RED.txt for failingTest.
const knownFailure = "m/p TestRed | the cause | 28\n"

// Guards against a list of known failures that hides more than it names: other tests whose
// names begin alike, a test that passes again, one that is gone, lines that nobody can read.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../../.ci/go-test.sh")
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name      string
		tests     string
		knownRed  string // no file where it is empty
		wantError string // in what the script prints; empty: it passes
	}{
		{"no list, all pass", passingTest, "", ""},
		{"no list, one fails", passingTest + failingTest, "", "TestRed"},
		{"an empty list passes over nothing", passingTest + failingTest, "\n", "malformed"},
		{"listed", passingTest + failingTest, knownFailure, ""},
		{"listed without an end of line", passingTest + failingTest, strings.TrimSpace(knownFailure), ""},
		{"only what is listed", passingTest + failingTest + longerName, knownFailure, "TestRedder"},
		{"a part of a test", passingTest + withSubtests, "m/p TestSub/a | the cause | 28\n", ""},
		{"passes again", passingTest + failingTest, knownFailure + "m/p TestGood | the cause | 28\n", "passes again"},
		{"is gone", passingTest, knownFailure, "no such test"},
		{"another package", passingTest + failingTest, "m/q TestRed | the cause | 28\n", "no such package"},
		{"four", passingTest + failingTest, strings.Repeat(knownFailure, 4), "more than three"},
		{"no cause", passingTest + failingTest, "m/p TestRed | | 28\n", "malformed"},
		{"no issue", passingTest + failingTest, "m/p TestRed | the cause |\n", "malformed"},
		{"a pattern", passingTest + failingTest, "m/p Test.* | the cause | 28\n", "malformed"},
		{"does not build", doesNotCompile, knownFailure, "nothing"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			output, err := runScript(t, script, test.tests, test.knownRed)
			if passed := err == nil; passed != (test.wantError == "") || !strings.Contains(output, test.wantError) {
				t.Errorf("ended with %v, wanted %q in:\n%s", err, test.wantError, output)
			}
			if test.wantError == "" && test.knownRed != "" && !strings.Contains(output, "the cause") {
				t.Errorf("the cause is not printed:\n%s", output)
			}
		})
	}
}

// runScript runs the script in a module of one package with these tests and this list.
func runScript(t *testing.T, script, tests, knownRed string) (output string, err error) {
	t.Helper()
	module := t.TempDir()
	writeFile(t, filepath.Join(module, "go.mod"), "module m\n\ngo 1.26\n")
	writeFile(t, filepath.Join(module, "p", "p_test.go"), testFileHeader+tests)
	if knownRed != "" {
		writeFile(t, filepath.Join(module, "KNOWN-RED.txt"), knownRed)
	}
	command := exec.CommandContext(t.Context(), script)
	command.Dir = module
	combined, err := command.CombinedOutput()
	return string(combined), err
}

func writeFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
}
