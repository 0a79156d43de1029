package operatorconfig

import (
	"fmt"
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"regexp"
)

// firstError is the first of what was found, as one line.
func firstError(diags hcl.Diagnostics) error {
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			at := ""
			if d.Subject != nil {
				at = fmt.Sprintf("%s:%d: ", d.Subject.Filename, d.Subject.Start.Line)
			}
			return fmt.Errorf("%s%s: %s", at, d.Summary, lineBreaks.ReplaceAllString(d.Detail, " "))
		}
	}
	return diags
}

var (
	lineBreaks   = regexp.MustCompile(`\s*\n\s*`)
	leadingField = regexp.MustCompile(`^[a-z_]+`)
)

// position is where a field that cannot be used stands: file, line and block.
func position(f *hcl.File, path, block string, err error) string {
	for _, b := range f.Body.(*hclsyntax.Body).Blocks {
		if b.Type != block {
			continue
		}
		line := b.TypeRange.Start.Line
		if a := b.Body.Attributes[leadingField.FindString(err.Error())]; a != nil {
			line = a.NameRange.Start.Line
		}
		return fmt.Sprintf("%s:%d: %s", path, line, block)
	}
	return path + ": " + block
}
