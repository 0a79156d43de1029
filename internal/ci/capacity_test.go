package ci

import (
	"go/ast"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Files about the tuned values: constantsFile declares them, and capacityPage records the runs that
// support them.
const (
	constantsFile = "routing/constants.go"
	capacityPage  = "docs/capacity.md"
)

// tunedValues maps the name of each constant in a file to the source text of its value.
func tunedValues(t *testing.T, file sourceFile) map[string]string {
	t.Helper()
	source, err := os.ReadFile(filepath.Join(moduleRoot, filepath.FromSlash(file.path)))
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]string{}
	ast.Inspect(file.tree, func(node ast.Node) bool {
		declaration, ok := node.(*ast.GenDecl)
		if !ok || declaration.Tok != token.CONST {
			return true
		}
		for _, spec := range declaration.Specs {
			constant := spec.(*ast.ValueSpec)
			value := constant.Values[0]
			start, end := file.set.Position(value.Pos()).Offset, file.set.Position(value.End()).Offset
			values[constant.Names[0].Name] = string(source[start:end])
		}
		return false
	})
	return values
}

// The capacity page has a row for each constant in constantsFile, with the constant's current
// value.
func TestCapacityPageHasEachTunedValue(t *testing.T) {
	page := strings.Join(readPage(t, capacityPage), "\n")
	checked := 0
	for _, file := range parseModule(t) {
		if file.path != constantsFile {
			continue
		}
		for name, value := range tunedValues(t, file) {
			checked++
			if row := "| `" + name + "` | `" + value + "` | "; !strings.Contains(page, row) {
				t.Errorf("%s: got no row that begins with %q, want one", capacityPage, row)
			}
		}
	}
	if checked < 60 {
		t.Errorf("got %d constants in %s, want 60 or more", checked, constantsFile)
	}
}
