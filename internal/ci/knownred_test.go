// Package ci contains checks of the repository: of the script that runs the tests, and of the
// sources and pages. It contains tests only.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Test sources for package p of the small module that runScript writes.
const (
	testFileHeader = "package p\n\nimport \"testing\"\n\n"
	passingTest    = "func TestGood(t *testing.T) {}\n"
	failingTest    = "func TestRed(t *testing.T) { t.Fatal(\"red\") }\n"
	longerName     = "func TestRedder(t *testing.T) { t.Fatal(\"redder\") }\n"
	withSubtests   = "func TestSub(t *testing.T) {\n\tt.Run(\"a\", func(t *testing.T) { t.Fatal(\"a\") })\n\tt.Run(\"b\", func(*testing.T) {})\n}\n"
	doesNotCompile = "func TestRed(t *testing.T) { nothing }\n"
)

// knownFailure is a line of KNOWN-RED.txt that lists failingTest as a known failure.
const knownFailure = "m/p TestRed | go test, no seed | the cause | 28\n"

// The list of known failures must hide the listed failures only. The script must still report
// failing tests whose names only begin with a listed name, listed tests that pass again or no
// longer exist, and malformed lines.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../../.ci/go-test.sh")
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name      string
		tests     string
		knownRed  string // content of KNOWN-RED.txt; empty: the file does not exist
		wantError string // text that the script's output must contain; empty: the script must succeed
	}{
		{"no list, all pass", passingTest, "", ""},
		{"no list, one fails", passingTest + failingTest, "", "TestRed"},
		{"an empty line is malformed", passingTest + failingTest, "\n", "malformed"},
		{"listed", passingTest + failingTest, knownFailure, ""},
		{"listed without an end of line", passingTest + failingTest, strings.TrimSpace(knownFailure), ""},
		{"a longer name is not listed", passingTest + failingTest + longerName, knownFailure, "TestRedder"},
		{"a subtest", passingTest + withSubtests, "m/p TestSub/a | go test, no seed | the cause | 28\n", ""},
		{"passes again", passingTest + failingTest, knownFailure + "m/p TestGood | go test, no seed | the cause | 28\n", "passes again"},
		{"no longer exists", passingTest, knownFailure, "no such test"},
		{"another package", passingTest + failingTest, "m/q TestRed | go test, no seed | the cause | 28\n", "no such package"},
		{"four lines", passingTest + failingTest, strings.Repeat(knownFailure, 4), "more than three"},
		{"no cause", passingTest + failingTest, "m/p TestRed | go test, no seed | | 28\n", "malformed"},
		{"no command", passingTest + failingTest, "m/p TestRed | | the cause | 28\n", "malformed"},
		{"the older form", passingTest + failingTest, "m/p TestRed | the cause | 28\n", "malformed"},
		{"no issue", passingTest + failingTest, "m/p TestRed | go test, no seed | the cause |\n", "malformed"},
		{"a pattern", passingTest + failingTest, "m/p Test.* | go test, no seed | the cause | 28\n", "malformed"},
		{"does not build", doesNotCompile, knownFailure, "nothing"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			output, err := runScript(t, script, test.tests, test.knownRed)
			if passed := err == nil; passed != (test.wantError == "") || !strings.Contains(output, test.wantError) {
				t.Errorf("got error %v, want the text %q in the output:\n%s", err, test.wantError, output)
			}
			if test.wantError == "" && test.knownRed != "" && !strings.Contains(output, "the cause") {
				t.Errorf("got output without the cause of the known failure:\n%s", output)
			}
		})
	}
}

// runScript runs the script in a new module with a single package. The package contains the given
// tests, and the module contains the given list of known failures.
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
