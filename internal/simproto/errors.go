package simproto

import "fmt"

// messageField is the Field of a ParseError about a whole line rather than one of its values.
const messageField = "message"

// ParseError reports input that does not follow the protocol. Reader returns it as a pointer.
type ParseError struct {
	Line   int    // number of the line, counted from 1
	Field  string // name of the value on the line, or path of the setting
	Reason string
}

// Error returns the line, the field and what is wrong with it.
func (e *ParseError) Error() string {
	return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Reason)
}
