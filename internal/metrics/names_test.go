package metrics_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"garnetline/internal/golden"
)

// counterName matches a valid counter name. A star stands for a part that is known only at run
// time.
var counterName = regexp.MustCompile(`^[a-z][a-z0-9_*]*$`)

// TestCounterNames compares the names of all counters with a golden file, so that no name is
// changed, added or removed by accident. Operators read these names in the log and on /metrics. The
// test collects the names from the sources of the module, where they are arguments of Registry.Add
// and Registry.Counter.
func TestCounterNames(t *testing.T) {
	names := map[string]bool{}
	for _, files := range sources(t, "../..") {
		addCounterNames(files, names)
	}
	got := strings.Join(slices.Sorted(maps.Keys(names)), "\n") + "\n"
	golden.Compare(t, "counters.golden", []byte(got))
}

// sources parses the module's Go files, except those of tests, and returns them by directory.
func sources(t *testing.T, root string) map[string][]*ast.File {
	t.Helper()
	byDir := map[string][]*ast.File{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
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

// addCounterNames collects the counter names of a package. It sets names[name] to true for each name
// that the files pass as the first argument of Add(name, n) or Counter(name).
func addCounterNames(files []*ast.File, names map[string]bool) {
	declared := declarations{}
	for _, file := range files {
		declared.addFile(file)
	}
	for _, file := range files {
		ast.Inspect(file, func(node ast.Node) bool {
			if argument := counterArgument(node); argument != nil {
				for _, name := range declared.values(argument, maxDepth) {
					if counterName.MatchString(name) {
						names[name] = true
					}
				}
			}
			return true
		})
	}
}

// counterArgument returns the expression of the counter's name if node is a call of Add or
// Counter, and nil otherwise.
func counterArgument(node ast.Node) ast.Expr {
	call, ok := node.(*ast.CallExpr)
	if !ok {
		return nil
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return nil
	}
	isAdd := method.Sel.Name == "Add" && len(call.Args) == 2
	isCounter := method.Sel.Name == "Counter" && len(call.Args) == 1
	if !isAdd && !isCounter {
		return nil
	}
	return call.Args[0]
}

// declarations maps each name that a package declares to expressions. The expression of a constant
// or variable is its value. The expressions of a function or method are the results that it returns.
type declarations map[string][]ast.Expr

func (d declarations) addFile(file *ast.File) {
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.GenDecl:
			d.addValues(decl)
		case *ast.FuncDecl:
			d.addResults(decl)
		}
	}
}

func (d declarations) addValues(decl *ast.GenDecl) {
	for _, spec := range decl.Specs {
		value, ok := spec.(*ast.ValueSpec)
		if !ok || len(value.Names) != len(value.Values) {
			continue
		}
		for i, name := range value.Names {
			d[name.Name] = []ast.Expr{value.Values[i]}
		}
	}
}

func (d declarations) addResults(function *ast.FuncDecl) {
	if function.Body == nil {
		return
	}
	ast.Inspect(function.Body, func(node ast.Node) bool {
		if result, ok := node.(*ast.ReturnStmt); ok && len(result.Results) == 1 {
			d[function.Name.Name] = append(d[function.Name.Name], result.Results[0])
		}
		return true
	})
}

const (
	// unknownPart replaces a part of a name that is known only at run time.
	unknownPart = "*"
	// maxDepth limits how many nested expressions are followed, since declarations can be recursive.
	maxDepth = 8
)

// values returns the possible values of a string expression. It replaces each part that the source
// does not show by unknownPart.
func (d declarations) values(expr ast.Expr, depth int) []string {
	if depth == 0 {
		return []string{unknownPart}
	}
	switch expr := expr.(type) {
	case *ast.BasicLit:
		if text, err := strconv.Unquote(expr.Value); err == nil && expr.Kind == token.STRING {
			return []string{text}
		}
	case *ast.Ident:
		return d.valuesOfAll(d[expr.Name], depth)
	case *ast.ParenExpr:
		return d.values(expr.X, depth-1)
	case *ast.BinaryExpr:
		return concatenations(d.values(expr.X, depth-1), d.values(expr.Y, depth-1))
	case *ast.CallExpr:
		if function, ok := expr.Fun.(*ast.Ident); ok {
			return d.valuesOfAll(d[function.Name], depth)
		}
	case *ast.IndexExpr:
		return d.values(expr.X, depth-1)
	case *ast.CompositeLit:
		return d.valuesOfAll(elements(expr), depth)
	}
	return []string{unknownPart}
}

func (d declarations) valuesOfAll(exprs []ast.Expr, depth int) []string {
	if len(exprs) == 0 {
		return []string{unknownPart}
	}
	var all []string
	for _, expr := range exprs {
		all = append(all, d.values(expr, depth-1)...)
	}
	return all
}

// concatenations returns each string of first followed by each string of second.
func concatenations(first, second []string) []string {
	var all []string
	for _, prefix := range first {
		for _, suffix := range second {
			all = append(all, prefix+suffix)
		}
	}
	return all
}

// elements returns the elements of a composite literal. If an element has a key, only its value is
// returned.
func elements(literal *ast.CompositeLit) []ast.Expr {
	elements := slices.Clone(literal.Elts)
	for i, element := range elements {
		if pair, ok := element.(*ast.KeyValueExpr); ok {
			elements[i] = pair.Value
		}
	}
	return elements
}
