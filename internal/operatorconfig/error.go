package operatorconfig

import (
	"errors"
	"fmt"
	"regexp"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"garnetline/internal/fielderror"
)

// ConfigError reports the first error in an operators' file.
type ConfigError struct {
	File  string // path of the file; "" in an error of CheckReload
	Line  int    // line of the field, or of the block if the field has none; 0 if unknown
	Block string // name of the block; "" if the file could not be parsed or decoded
	Field string // field that Err names if Err is a fielderror.Error; "" otherwise
	Err   error  // cause
}

// Error returns the file, line, block and cause in one line.
func (e *ConfigError) Error() string {
	text := e.Err.Error()
	if e.Block != "" {
		text = e.Block + ": " + text
	}
	switch {
	case e.Line > 0:
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, text)
	case e.File != "":
		return e.File + ": " + text
	}
	return text
}

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

var lineBreaks = regexp.MustCompile(`\s*\n\s*`)

// parseError returns the first error in diagnostics as a ConfigError.
func parseError(diagnostics hcl.Diagnostics) error {
	for _, diagnostic := range diagnostics {
		if diagnostic.Severity != hcl.DiagError {
			continue
		}
		detail := lineBreaks.ReplaceAllString(diagnostic.Detail, " ")
		result := &ConfigError{Err: fmt.Errorf("%s: %s", diagnostic.Summary, detail)}
		if subject := diagnostic.Subject; subject != nil {
			result.File = subject.Filename
			result.Line = subject.Start.Line
		}
		return result
	}
	return diagnostics
}

// blockError returns a ConfigError for err, which validate returned for block. If err is a
// fielderror.Error and the block sets the invalid field, the error has the line of the field.
// Otherwise it has the line of the block.
func blockError(file *hcl.File, path, block string, err error) error {
	result := &ConfigError{File: path, Block: block, Err: err}
	var invalid *fielderror.Error
	if errors.As(err, &invalid) {
		result.Field = invalid.Field
	}
	body, ok := file.Body.(*hclsyntax.Body)
	if !ok {
		return result
	}
	for _, candidate := range body.Blocks {
		if candidate.Type != block {
			continue
		}
		result.Line = candidate.TypeRange.Start.Line
		if attribute := candidate.Body.Attributes[result.Field]; attribute != nil {
			result.Line = attribute.NameRange.Start.Line
		}
		break
	}
	return result
}
