package simproto

import "fmt"

// messageField is the Field of a ParseError that concerns a whole line rather than a single value.
const messageField = "message"

// ParseError reports input that does not follow the protocol. Reader returns a *ParseError.
type ParseError struct {
	Line   int    // line number, starting at 1
	Field  string // name of the field, or path of the setting
	Reason string // what is wrong with the value of Field
}

// Error returns the line, the field and the reason.
func (e *ParseError) Error() string {
	return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Reason)
}
