package routing

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// Limits of every source file of the package that is no test.
const (
	maxFileLines     = 499
	maxFunctionLines = 59
	maxLineColumns   = 110
)

// decisionFiles choose, wait, retry, reject or hold a tuned value.
var decisionFiles = []string{
	"admission.go", "constants.go", "endpoints.go", "guard.go", "hotkeys.go", "limiter.go", "outlier.go", "retry.go",
	"router.go", "selection.go", "slowstart.go", "transfertime.go",
}

// mechanismFiles hold types, records and arithmetic, and decide nothing.
var mechanismFiles = []string{
	"actions.go", "bounded.go", "decay.go", "doc.go", "events.go", "inflight.go", "records.go", "rendezvous.go",
	"settings.go",
}

// sourceFiles returns the names of the package's files that are no tests.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	all, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(all, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}

// policyFiles returns the paths that deploy/balancer.toml names as policy.
func policyFiles(t *testing.T) []string {
	t.Helper()
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("deploy/balancer.toml names no policy files")
	}
	var paths []string
	for quoted := range strings.SplitSeq(string(list[1]), ", ") {
		path, err := strconv.Unquote(quoted)
		if err != nil {
			t.Fatalf("policy in deploy/balancer.toml: %s: %v", quoted, err)
		}
		paths = append(paths, path)
	}
	return paths
}

// Every file of the package is known to decide or not to, and deploy/balancer.toml names those that
// do as policy, and no others.
func TestPolicyFilesDecide(t *testing.T) {
	files := sourceFiles(t)
	listed := slices.Concat(decisionFiles, mechanismFiles)
	slices.Sort(listed)
	if !slices.Equal(files, listed) {
		t.Errorf("files of the package %v, want %v", files, listed)
	}
	var want []string
	for _, name := range decisionFiles {
		want = append(want, "routing/"+name)
	}
	got := policyFiles(t)
	slices.Sort(want)
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("deploy/balancer.toml names %v as policy, want %v", got, want)
	}
}

// No file, function or line of the package is longer than a reader can take in at once.
func TestSourceFilesKeepTheirLimits(t *testing.T) {
	for _, name := range sourceFiles(t) {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			checkLines(t, string(text))
			checkFunctions(t, name, text)
		})
	}
}

func checkLines(t *testing.T, text string) {
	t.Helper()
	count := 0
	for line := range strings.Lines(text) {
		count++
		columns := len([]rune(strings.ReplaceAll(line, "\t", " ")))
		if columns > maxLineColumns {
			t.Errorf("line %d has %d columns, want at most %d", count, columns, maxLineColumns)
		}
	}
	if count > maxFileLines {
		t.Errorf("%d lines, want at most %d", count, maxFileLines)
	}
}

func checkFunctions(t *testing.T, name string, text []byte) {
	t.Helper()
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, name, text, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok {
			continue
		}
		first := fileSet.Position(function.Pos()).Line
		last := fileSet.Position(function.End()).Line
		if lines := last - first + 1; lines > maxFunctionLines {
			t.Errorf("%s has %d lines, want at most %d", function.Name.Name, lines, maxFunctionLines)
		}
	}
}

// No tuned value hides in a decision: the numbers in the decision files are 0 and 1, all others are
// constants of constants.go, each with a comment.
func TestTunedValuesAreDocumentedConstants(t *testing.T) {
	for _, name := range decisionFiles {
		t.Run(name, func(t *testing.T) {
			file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments|parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			if name == "constants.go" {
				checkConstantComments(t, file)
				return
			}
			ast.Inspect(file, func(node ast.Node) bool {
				literal, ok := node.(*ast.BasicLit)
				isNumber := ok && (literal.Kind == token.INT || literal.Kind == token.FLOAT)
				if isNumber && literal.Value != "0" && literal.Value != "1" && literal.Value != "0.0" {
					t.Errorf("the number %s stands in a decision, want a constant of constants.go", literal.Value)
				}
				return true
			})
		})
	}
}

// checkConstantComments wants a comment above the first constant of each paragraph.
func checkConstantComments(t *testing.T, file *ast.File) {
	t.Helper()
	for _, declaration := range file.Decls {
		group, ok := declaration.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		endOfPrevious := token.NoPos
		for _, spec := range group.Specs {
			constant, ok := spec.(*ast.ValueSpec)
			if !ok {
				t.Fatalf("%T in a group of constants", spec)
			}
			sameParagraph := endOfPrevious != token.NoPos && constant.Doc == nil && constant.Pos()-endOfPrevious <= paragraphGap
			if constant.Doc == nil && !sameParagraph {
				t.Errorf("%s has no comment with its unit and origin", constant.Names[0].Name)
			}
			endOfPrevious = constant.End()
		}
	}
}

// paragraphGap is the most bytes between two constants of one paragraph: a line end and a tab.
const paragraphGap = 2
