package httpfront

import (
	"bytes"
	"iter"
	"strings"
)

// headerField is a header field that the server uses.
type headerField int

// The fields that the server uses. It checks the syntax of other fields and keeps nothing of them.
const (
	fieldTransactionID headerField = iota
	fieldClientTimeout
	fieldIdempotencyKey
	fieldGroup
	fieldObjectSize
	fieldHost
	fieldContentLength
	fieldTransferEncoding
	fieldIfNoneMatch
	fieldTraceParent
	fieldConnection
	fieldExpect
	fieldTrailer
	fieldCount
)

// headerFieldNames are the names of the fields on the wire. Their case does not matter.
var headerFieldNames = [fieldCount]string{
	fieldTransactionID:    "X-Txn",
	fieldClientTimeout:    "X-Ttl-Ms",
	fieldIdempotencyKey:   "X-Txn-Key",
	fieldGroup:            "X-Family",
	fieldObjectSize:       "X-Working-Set-Kb",
	fieldHost:             "Host",
	fieldContentLength:    "Content-Length",
	fieldTransferEncoding: "Transfer-Encoding",
	fieldIfNoneMatch:      "If-None-Match",
	fieldTraceParent:      "Traceparent",
	fieldConnection:       "Connection",
	fieldExpect:           "Expect",
	fieldTrailer:          "Trailer",
}

// maxValueBytes is the length of the longest value that the server keeps. No valid value is longer.
const maxValueBytes = 1024

// overlongValue replaces a longer value. It is not a valid value of any field.
const overlongValue = "\x00"

// fieldValues are the values of a field that may occur more than once.
type fieldValues struct {
	count int
	first string
}

// header holds what the server uses of the header of a request. Its size does not depend on the number
// of the fields that a client sends.
type header struct {
	fields           [fieldCount]fieldValues
	codings          transferCodings
	closeRequested   bool // a Connection field has the token close
	expectsContinue  bool // an Expect field has the token 100-continue
	expectsOther     bool // an Expect field has another expectation
	forbiddenTrailer bool // a Trailer field announces a field that must not be a trailer
}

// count returns how many times a field occurs.
func (h *header) count(field headerField) int { return h.fields[field].count }

// first returns the first value of a field, or "" if there is none.
func (h *header) first(field headerField) string { return h.fields[field].first }

// add records a value of a field.
func (h *header) add(field headerField, value []byte) {
	values := &h.fields[field]
	values.count++
	switch {
	case field == fieldConnection:
		h.closeRequested = h.closeRequested || hasToken(value, "close")
	case field == fieldExpect:
		h.addExpectations(value)
	case field == fieldTrailer:
		h.forbiddenTrailer = h.forbiddenTrailer || namesForbiddenTrailer(value)
	case field == fieldTransferEncoding:
		h.codings.add(string(value))
	case values.count == 1 && len(value) > maxValueBytes:
		values.first = overlongValue
	case values.count == 1:
		values.first = string(value)
	}
}

// addExpectations records the elements of an Expect field. An empty field expects nothing.
func (h *header) addExpectations(list []byte) {
	for expectation := range listElements(string(list)) {
		if equalFoldASCII(expectation, "100-continue") {
			h.expectsContinue = true
		} else if len(list) > 0 {
			h.expectsOther = true
		}
	}
}

// hasToken reports whether a comma-separated list contains a token, ignoring case.
func hasToken(list []byte, token string) bool {
	for element := range listElements(string(list)) {
		if equalFoldASCII(element, token) {
			return true
		}
	}
	return false
}

// listElements returns the elements of a comma-separated list without the white space around them.
func listElements(list string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for element := range strings.SplitSeq(list, ",") {
			if !yield(strings.Trim(element, " \t")) {
				return
			}
		}
	}
}

// findHeaderField returns the field with the given name. ok is false if the server does not use it.
func findHeaderField(name []byte) (field headerField, ok bool) {
	for field, known := range headerFieldNames {
		if equalFoldASCII(string(name), known) {
			return headerField(field), true
		}
	}
	return 0, false
}

// addLine parses a field line without its line end, and records the field if the server uses it.
func (h *header) addLine(line []byte) error {
	name, value, err := parseFieldLine(line)
	if err != nil {
		return err
	}
	if field, ok := findHeaderField(name); ok {
		h.add(field, value)
	}
	return nil
}

// parseFieldLine returns the name and the value of a field line without its line end.
//
// A line that begins with a space continues the one before (RFC 9112, section 5.2). It is rejected,
// since others on the way may not join the two, and would read another value.
func parseFieldLine(line []byte) (name, value []byte, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, errFoldedLine
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !validToken(name) || !validFieldValue(value) {
		return nil, nil, errMalformedHeader
	}
	return name, bytes.Trim(value, " \t"), nil
}

// validFieldValue reports whether a value has no control characters other than tabs.
func validFieldValue(value []byte) bool {
	const deleteCharacter = 0x7f
	for _, b := range value {
		if b < ' ' && b != '\t' || b == deleteCharacter {
			return false
		}
	}
	return true
}
