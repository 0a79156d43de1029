package ci

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Size limits of the source, in lines. The linter limits functions outside test files to 60 lines.
const (
	maxTestFunctionLines = 100
	maxFileLines         = 500 // for files that are not test files
)

// moduleRoot is the path of the module's root directory, relative to the directory of this package.
const moduleRoot = "../.."

// sourceFile is a parsed Go file of the module.
type sourceFile struct {
	path string // relative to the module's root, with slashes
	set  *token.FileSet
	tree *ast.File
}

// parseModule parses all Go files of the module.
func parseModule(t *testing.T) []sourceFile {
	t.Helper()
	var files []sourceFile
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "journal") {
			return filepath.SkipDir
		}
		if entry.IsDir() || filepath.Ext(path) != ".go" {
			return nil
		}
		set := token.NewFileSet()
		tree, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution|parser.ParseComments)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(moduleRoot, path)
		files = append(files, sourceFile{path: filepath.ToSlash(relative), set: set, tree: tree})
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func (f sourceFile) isTest() bool { return strings.HasSuffix(f.path, "_test.go") }

func (f sourceFile) line(position token.Pos) int { return f.set.Position(position).Line }

// functions returns the functions and methods that the file declares.
func (f sourceFile) functions() []*ast.FuncDecl {
	var found []*ast.FuncDecl
	for _, declaration := range f.tree.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok {
			found = append(found, function)
		}
	}
	return found
}

// declared returns the names that the file declares at package level. It returns methods and fields
// as Type.Name.
func (f sourceFile) declared() map[string]bool {
	names := map[string]bool{}
	for _, declaration := range f.tree.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			names[functionName(declaration)] = true
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				addSpec(names, spec)
			}
		}
	}
	return names
}

func addSpec(names map[string]bool, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.TypeSpec:
		names[spec.Name.Name] = true
		if structure, ok := spec.Type.(*ast.StructType); ok {
			for _, field := range structure.Fields.List {
				for _, name := range field.Names {
					names[spec.Name.Name+"."+name.Name] = true
				}
			}
		}
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			names[name.Name] = true
		}
	}
}

// functionName returns the name of a function, or Type.Name for a method.
func functionName(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return function.Name.Name
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if named, ok := receiver.(*ast.Ident); ok {
		return named.Name + "." + function.Name.Name
	}
	return function.Name.Name
}

func TestSourceStaysWithinLimits(t *testing.T) {
	for _, file := range parseModule(t) {
		if !file.isTest() {
			if lines := file.line(file.tree.FileEnd); lines > maxFileLines {
				t.Errorf("%s: got %d lines, want at most %d", file.path, lines, maxFileLines)
			}
			continue
		}
		for _, function := range file.functions() {
			if lines := file.line(function.End()) - file.line(function.Pos()) + 1; lines > maxTestFunctionLines {
				t.Errorf("%s: %s has %d lines, want at most %d", file.path, functionName(function), lines, maxTestFunctionLines)
			}
		}
	}
}

var (
	inlineCode = regexp.MustCompile("`([^`]+)`")
	sourcePath = regexp.MustCompile(`^[a-z_0-9/]+\.go$`)
	identifier = regexp.MustCompile(`^[A-Za-z_]\w*(\.[A-Za-z_]\w*)?$`)
	testName   = regexp.MustCompile(`^(Test|Fuzz|Benchmark)[A-Z]\w*$`)
)

// readPage returns the lines of a page of the documentation.
func readPage(t *testing.T, path string) []string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(moduleRoot, filepath.FromSlash(path)))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(string(page), "\n")
}

// In the tables of the on-call page, a row may name a Go file. The file must declare each
// identifier that follows in the row.
func TestOnCallPageNamesExist(t *testing.T) {
	declared := map[string]map[string]bool{}
	for _, file := range parseModule(t) {
		declared[file.path] = file.declared()
	}
	checked := 0
	for _, line := range readPage(t, "docs/on-call.md") {
		if !strings.HasPrefix(line, "|") {
			continue
		}
		var inFile map[string]bool
		var path string
		for _, match := range inlineCode.FindAllStringSubmatch(line, -1) {
			switch code := match[1]; {
			case sourcePath.MatchString(code):
				path = code
				inFile = declared[code]
				if inFile == nil {
					t.Errorf("file %s does not exist in the module; it is named in the row: %s", code, line)
				}
			case inFile != nil && identifier.MatchString(code):
				checked++
				if !inFile[code] {
					t.Errorf("%s does not declare %s", path, code)
				}
			}
		}
	}
	if checked < 30 {
		t.Errorf("got %d names on the on-call page, want at least 30", checked)
	}
}

// Each test that a page of the documentation names must exist.
func TestDocumentedTestsExist(t *testing.T) {
	tests := map[string]bool{}
	for _, file := range parseModule(t) {
		for _, function := range file.functions() {
			tests[function.Name.Name] = true
		}
	}
	checked := 0
	for _, page := range []string{
		"docs/design/endings.md", "docs/design/invariants.md", "docs/design/members.md", "docs/design/duties.md",
		"docs/design/fleet.md", "docs/design/tracing.md", "docs/on-call.md", "ARCHITECTURE.md",
	} {
		for number, line := range readPage(t, page) {
			for _, match := range inlineCode.FindAllStringSubmatch(line, -1) {
				if !testName.MatchString(match[1]) {
					continue
				}
				checked++
				if !tests[match[1]] {
					t.Errorf("%s:%d: test %s does not exist", page, number+1, match[1])
				}
			}
		}
	}
	if checked < 50 {
		t.Errorf("got %d names of tests on the pages, want at least 50", checked)
	}
}
