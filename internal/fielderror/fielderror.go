// Package fielderror defines the error for an invalid value in a configuration. The error names
// the field as the operator's file does, so that a caller can find the line of the field without
// parsing the text of the error.
package fielderror

import (
	"fmt"
	"strconv"
)

// Error reports a field with an invalid value.
type Error struct {
	Field string // name of the field in the file
	Label string // label of a block that may occur more than once; "" for other fields
	Err   error  // cause
}

// Errorf returns an Error for a field. Format and arguments describe the cause, as in fmt.Errorf.
func Errorf(field, format string, arguments ...any) error {
	return &Error{Field: field, Err: fmt.Errorf(format, arguments...)}
}

// LabeledErrorf is like Errorf, but for a block with a label.
func LabeledErrorf(field, label, format string, arguments ...any) error {
	return &Error{Field: field, Label: label, Err: fmt.Errorf(format, arguments...)}
}

// Error returns the field, its label if there is one, and the cause.
func (e *Error) Error() string {
	if e.Label == "" {
		return e.Field + ": " + e.Err.Error()
	}
	return e.Field + " " + strconv.Quote(e.Label) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
