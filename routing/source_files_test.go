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

// Limits for all source files of the package except test files.
const (
	maxFileLines     = 499
	maxFunctionLines = 59
	maxLineColumns   = 110
)

// decisionFiles are the files that hold routing decisions or tuned values.
var decisionFiles = []string{
	"admission.go", "constants.go", "endpoints.go", "guard.go", "hotkeys.go", "limiter.go", "outlier.go", "retry.go",
	"router.go", "selection.go", "slowstart.go", "transfertime.go",
}

// mechanismFiles are the files that hold types, records and arithmetic, but no decisions.
var mechanismFiles = []string{
	"actions.go", "bounded.go", "decay.go", "doc.go", "events.go", "inflight.go", "records.go", "rendezvous.go",
	"settings.go",
}

// sourceFiles returns the names of the package's Go files, without test files.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	all, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(all, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}

// policyFiles returns the paths that the policy entry of deploy/balancer.toml lists.
func policyFiles(t *testing.T) []string {
	t.Helper()
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("expected a policy list in deploy/balancer.toml, found none")
	}
	var paths []string
	for quoted := range strings.SplitSeq(string(list[1]), ", ") {
		path, err := strconv.Unquote(quoted)
		if err != nil {
			t.Fatalf("policy list in deploy/balancer.toml: expected a quoted path, got %s: %v", quoted, err)
		}
		paths = append(paths, path)
	}
	return paths
}

// TestPolicyFilesDecide checks that every source file of the package is listed in either decisionFiles or
// mechanismFiles. It also checks that the policy entry of deploy/balancer.toml lists exactly the decision
// files.
func TestPolicyFilesDecide(t *testing.T) {
	files := sourceFiles(t)
	listed := slices.Concat(decisionFiles, mechanismFiles)
	slices.Sort(listed)
	if !slices.Equal(files, listed) {
		t.Errorf("got source files %v in the package, want the decision and mechanism files %v", files, listed)
	}
	var want []string
	for _, name := range decisionFiles {
		want = append(want, "routing/"+name)
	}
	got := policyFiles(t)
	slices.Sort(want)
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("got policy files %v in deploy/balancer.toml, want %v", got, want)
	}
}

// TestSourceFilesKeepTheirLimits checks that the files, functions and lines of the package do not exceed
// their maximum lengths.
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
			t.Errorf("line %d: got %d columns, want at most %d", count, columns, maxLineColumns)
		}
	}
	if count > maxFileLines {
		t.Errorf("got %d lines, want at most %d", count, maxFileLines)
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
			t.Errorf("function %s: got %d lines, want at most %d", function.Name.Name, lines, maxFunctionLines)
		}
	}
}

// TestTunedValuesAreDocumentedConstants checks that the decision files contain no numbers except 0 and 1.
// All other numbers must be constants in constants.go with a comment.
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
					t.Errorf("got the number %s in a decision file, want a constant in constants.go", literal.Value)
				}
				return true
			})
		})
	}
}

// checkConstantComments checks that the first constant of each paragraph has a comment. A paragraph is a
// sequence of constants without empty lines or comments between them.
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
				t.Fatalf("got %T in a group of constants, want *ast.ValueSpec", spec)
			}
			sameParagraph := endOfPrevious != token.NoPos && constant.Doc == nil && constant.Pos()-endOfPrevious <= paragraphGap
			if constant.Doc == nil && !sameParagraph {
				t.Errorf("got no comment on constant %s, want one with its unit and reason", constant.Names[0].Name)
			}
			endOfPrevious = constant.End()
		}
	}
}

// paragraphGap is the maximum number of bytes between two constants that count as one paragraph because
// they are on successive lines: a newline and a tab.
const paragraphGap = 2
