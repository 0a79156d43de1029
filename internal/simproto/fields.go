package simproto

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"garnetline/routing"
)

// objectDigits is the number of hexadecimal digits in an object ID.
const objectDigits = 16

// noObject is an object ID in the protocol that means "no object". An absentValue means the same.
const noObject = "0"

// fieldReader reads the values of one line in order. It keeps the first error, which its method
// named end returns. Values that were read after an error must not be used.
type fieldReader struct {
	line    int    // line number, for errors
	rest    string // unread part of the line
	hasMore bool   // whether rest holds another value, possibly empty
	err     *ParseError
}

// failf records an error about a field. If an earlier error is recorded, failf does nothing.
func (f *fieldReader) failf(field, format string, values ...any) {
	if f.err == nil {
		f.err = &ParseError{Line: f.line, Field: field, Reason: fmt.Sprintf(format, values...)}
	}
}

// end returns the first error of the line. If the line has unread values, that is also an error.
func (f *fieldReader) end() error {
	if f.hasMore {
		f.failf("end of line", "expected no more values, got %q", f.rest)
	}
	if f.err != nil {
		return f.err
	}
	return nil
}

// next returns the next value as text. It records an error if the value is missing or empty.
func (f *fieldReader) next(field string) string {
	if !f.hasMore {
		f.failf(field, "expected a value, got the end of the line")
		return absentValue
	}
	var value string
	value, f.rest, f.hasMore = strings.Cut(f.rest, " ")
	if value == "" {
		f.failf(field, "expected a value or %q, got an empty string", absentValue)
	}
	return value
}

// unsigned reads an unsigned integer of at most limit. An absent value is 0.
func (f *fieldReader) unsigned(field string, limit uint64) uint64 {
	text := f.next(field)
	if text == absentValue {
		return 0
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number > limit {
		f.failf(field, "expected a whole number from 0 to %[2]d, got %[1]q", text, limit)
		return 0
	}
	return number
}

// index reads a list index, a count or a bit set. An absent value is 0.
func (f *fieldReader) index(field string) int { return int(f.unsigned(field, maxIndex)) }

// flag reads a boolean, written as 0 or 1. An absent value is false.
func (f *fieldReader) flag(field string) bool { return f.unsigned(field, 1) == 1 }

// duration reads a duration or a time, written in microseconds. An absent value is 0.
func (f *fieldReader) duration(field string) time.Duration {
	return time.Duration(f.unsigned(field, maxMicroseconds)) * time.Microsecond
}

// requestID reads the ID of a request.
func (f *fieldReader) requestID() routing.RequestID {
	return routing.RequestID(f.unsigned("id", maxRequestID))
}

// serverID reads the ID of a server.
func (f *fieldReader) serverID() routing.ServerID {
	return routing.ServerID(f.unsigned("server", maxServerID))
}

// float reads a finite non-negative number. An absent value is 0.
func (f *fieldReader) float(field string) float64 {
	text := f.next(field)
	if text == absentValue {
		return 0
	}
	number, err := parseNonNegative(text)
	if err != nil {
		f.failf(field, "%v", err)
	}
	return number
}

// object reads the ID of an object, written in hexadecimal. An absent value is 0.
func (f *fieldReader) object(field string) routing.ObjectID {
	text := f.next(field)
	if text == absentValue || text == noObject {
		return 0
	}
	number, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != objectDigits {
		f.failf(field, "expected an object ID of %[2]d hexadecimal digits, got %[1]q", text, objectDigits)
	}
	return routing.ObjectID(number)
}

// parseNonNegative parses a finite non-negative number. If it returns an error, the number is 0.
func parseNonNegative(text string) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		return 0, fmt.Errorf("expected a finite non-negative number, got %q", text)
	}
	return number, nil
}
