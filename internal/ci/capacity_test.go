package ci

import (
	"go/ast"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Files that a tuned value stands in: its declaration, and the record of its runs.
const (
	constantsFile = "routing/constants.go"
	capacityPage  = "docs/capacity.md"
)

// tunedValues returns the constants of a file by name, each with its value as it is written.
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

// Each tuned value of the decision module has a row on the capacity page, with its present value.
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
				t.Errorf("%s: no row that begins with %q", capacityPage, row)
			}
		}
	}
	if checked < 60 {
		t.Errorf("got %d constants in %s, want 60 or more", checked, constantsFile)
	}
}
