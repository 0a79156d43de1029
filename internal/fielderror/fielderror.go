// Package fielderror is the error of a configuration value that cannot be used. It names the
// field in the terms of the file that the operator wrote, so that a caller can point to the
// line without reading the error's text.
package fielderror

import (
	"fmt"
	"strconv"
)

// Error reports a field that cannot be used.
type Error struct {
	Field string // as the file names it
	Label string // of a block that may stand several times; "" for others
	Err   error  // why
}

// Errorf returns an Error of a field. Format and arguments say why, as in fmt.Errorf.
func Errorf(field, format string, arguments ...any) error {
	return &Error{Field: field, Err: fmt.Errorf(format, arguments...)}
}

// LabeledErrorf is Errorf for a block with a label.
func LabeledErrorf(field, label, format string, arguments ...any) error {
	return &Error{Field: field, Label: label, Err: fmt.Errorf(format, arguments...)}
}

// Error returns the field and the cause in one line.
func (e *Error) Error() string {
	if e.Label == "" {
		return e.Field + ": " + e.Err.Error()
	}
	return e.Field + " " + strconv.Quote(e.Label) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
