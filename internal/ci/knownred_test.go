// Package ci tests the script that runs the tests.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a list of known failures that hides more than it names: other tests whose
// names begin alike, a test that is well again, one that is gone, lines nobody can read.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../../.ci/go-test.sh")
	if err != nil {
		t.Fatal(err)
	}
	const (
		head   = "package p\n\nimport \"testing\"\n\n"
		good   = "func TestGood(t *testing.T) {}\n"
		red    = "func TestRed(t *testing.T) { t.Fatal(\"red\") }\n"
		longer = "func TestRedder(t *testing.T) { t.Fatal(\"redder\") }\n"
		sub    = "func TestSub(t *testing.T) {\n\tt.Run(\"a\", func(t *testing.T) { t.Fatal(\"a\") })\n\tt.Run(\"b\", func(*testing.T) {})\n}\n"
		line   = "m/p TestRed | the cause | 28\n"
	)
	for _, c := range []struct{ name, tests, list, want string }{ // want "": passes
		{"no list, all pass", good, "", ""},
		{"no list, one fails", good + red, "", "TestRed"},
		{"an empty list passes over nothing", good + red, "\n", "malformed"},
		{"listed", good + red, line, ""},
		{"listed without an end of line", good + red, strings.TrimSpace(line), ""},
		{"only what is listed", good + red + longer, line, "TestRedder"},
		{"a part of a test", good + sub, "m/p TestSub/a | the cause | 28\n", ""},
		{"passes again", good + red, line + "m/p TestGood | the cause | 28\n", "passes again"},
		{"is gone", good, line, "no such test"},
		{"another package", good + red, "m/q TestRed | the cause | 28\n", "no such package"},
		{"four", good + red, strings.Repeat(line, 4), "more than three"},
		{"no cause", good + red, "m/p TestRed | | 28\n", "malformed"},
		{"no issue", good + red, "m/p TestRed | the cause |\n", "malformed"},
		{"a pattern", good + red, "m/p Test.* | the cause | 28\n", "malformed"},
		{"does not build", "func TestRed(t *testing.T) { nothing }\n", line, "nothing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			files := map[string]string{"go.mod": "module m\n\ngo 1.26\n", "p/p_test.go": head + c.tests}
			if c.list != "" {
				files["KNOWN-RED.txt"] = c.list
			}
			for name, text := range files {
				path := filepath.Join(dir, name)
				if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			cmd := exec.CommandContext(t.Context(), script)
			cmd.Dir = dir
			out, err := cmd.CombinedOutput()
			if (err == nil) != (c.want == "") || !strings.Contains(string(out), c.want) {
				t.Errorf("ended with %v, wanted %q in:\n%s", err, c.want, out)
			}
			if c.want == "" && c.list != "" && !strings.Contains(string(out), "the cause") {
				t.Errorf("the cause is not printed:\n%s", out)
			}
		})
	}
}
