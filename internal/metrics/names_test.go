package metrics_test

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite testdata from what the program has now")

// counterName is what a counter may be called; a star stands for what is known at run time.
var counterName = regexp.MustCompile(`^[a-z][a-z0-9_*]*$`)

// Guards the names of all counters, which operators read in the log and on /metrics: none may
// change, come or go unnoticed. After a change that is meant:
//
//	go test ./internal/metrics -run TestCounterNames -update
func TestCounterNames(t *testing.T) {
	found := map[string]bool{}
	for _, files := range sources(t, "../..") {
		addCounterNames(files, found)
	}
	got := strings.Join(slices.Sorted(maps.Keys(found)), "\n") + "\n"
	const golden = "testdata/counters.golden"
	if *update {
		if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("counters are now\n%s\nwant\n%s", got, want)
	}
}

// sources parses the module's Go files but those of tests, by directory.
func sources(t *testing.T, root string) map[string][]*ast.File {
	t.Helper()
	byDir := map[string][]*ast.File{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		byDir[filepath.Dir(path)] = append(byDir[filepath.Dir(path)], file)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return byDir
}

// addCounterNames collects what a package passes as the first argument of Add(name, n) and
// Counter(name).
func addCounterNames(files []*ast.File, found map[string]bool) {
	declared := declarations(files)
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			method, ok := call.Fun.(*ast.SelectorExpr)
			if !ok || !(method.Sel.Name == "Add" && len(call.Args) == 2 || method.Sel.Name == "Counter" && len(call.Args) == 1) {
				return true
			}
			for _, name := range values(call.Args[0], declared, 8) {
				if counterName.MatchString(name) {
					found[name] = true
				}
			}
			return true
		})
	}
}

// declarations are the values that a package's names stand for: of constants and variables
// theirs, of functions what they return.
func declarations(files []*ast.File) map[string][]ast.Expr {
	declared := map[string][]ast.Expr{}
	for _, file := range files {
		for _, decl := range file.Decls {
			switch decl := decl.(type) {
			case *ast.GenDecl:
				for _, spec := range decl.Specs {
					if spec, ok := spec.(*ast.ValueSpec); ok && len(spec.Names) == len(spec.Values) {
						for i, name := range spec.Names {
							declared[name.Name] = []ast.Expr{spec.Values[i]}
						}
					}
				}
			case *ast.FuncDecl:
				if decl.Body == nil {
					continue
				}
				ast.Inspect(decl.Body, func(n ast.Node) bool {
					if r, ok := n.(*ast.ReturnStmt); ok && len(r.Results) == 1 {
						declared[decl.Name.Name] = append(declared[decl.Name.Name], r.Results[0])
					}
					return true
				})
			}
		}
	}
	return declared
}

// values are the strings that an expression may be, as far as the source tells; a star stands
// for what it does not.
func values(e ast.Expr, declared map[string][]ast.Expr, depth int) (all []string) {
	unknown := []string{"*"}
	if depth == 0 {
		return unknown
	}
	of := func(exprs []ast.Expr) []string {
		var all []string
		for _, e := range exprs {
			all = append(all, values(e, declared, depth-1)...)
		}
		if all == nil {
			return unknown
		}
		return all
	}
	switch e := e.(type) {
	case *ast.BasicLit:
		if s, err := strconv.Unquote(e.Value); err == nil && e.Kind == token.STRING {
			return []string{s}
		}
	case *ast.Ident:
		return of(declared[e.Name])
	case *ast.ParenExpr:
		return values(e.X, declared, depth-1)
	case *ast.BinaryExpr:
		for _, x := range values(e.X, declared, depth-1) {
			for _, y := range values(e.Y, declared, depth-1) {
				all = append(all, x+y)
			}
		}
		return all
	case *ast.CallExpr:
		if f, ok := e.Fun.(*ast.Ident); ok {
			return of(declared[f.Name])
		}
	case *ast.IndexExpr:
		return values(e.X, declared, depth-1)
	case *ast.CompositeLit:
		elements := slices.Clone(e.Elts)
		for i, x := range elements {
			if pair, ok := x.(*ast.KeyValueExpr); ok {
				elements[i] = pair.Value
			}
		}
		return of(elements)
	}
	return unknown
}
