package simproto

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"garnetline/routing"
)

// objectDigits is the number of hexadecimal digits of an object.
const objectDigits = 16

// noObject is how the protocol writes an object that is none, besides absentValue.
const noObject = "0"

// fieldReader reads the values of one line in turn. Its first error is kept until end returns
// it; the values read after that mean nothing.
type fieldReader struct {
	line    int    // number of the line, for errors
	rest    string // what was not read yet
	hasMore bool   // there is a further value, perhaps an empty one
	err     *ParseError
}

// failf records an error about a field, unless there is an earlier one.
func (f *fieldReader) failf(field, format string, values ...any) {
	if f.err == nil {
		f.err = &ParseError{Line: f.line, Field: field, Reason: fmt.Sprintf(format, values...)}
	}
}

// end returns the first error, among them that the line has more values than were read.
func (f *fieldReader) end() error {
	if f.hasMore {
		f.failf("end of line", "too many values")
	}
	if f.err != nil {
		return f.err
	}
	return nil
}

// next reads a value as it is written. It fails if the value is missing or empty.
func (f *fieldReader) next(field string) string {
	if !f.hasMore {
		f.failf(field, "missing")
		return absentValue
	}
	var value string
	value, f.rest, f.hasMore = strings.Cut(f.rest, " ")
	if value == "" {
		f.failf(field, "empty")
	}
	return value
}

// unsigned reads a whole number up to a limit; an absent one is 0.
func (f *fieldReader) unsigned(field string, limit uint64) uint64 {
	text := f.next(field)
	if text == absentValue {
		return 0
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number > limit {
		f.failf(field, "%q is not a whole number up to %d", text, limit)
		return 0
	}
	return number
}

// index reads a place in a list, a count or a sum of bits; an absent one is 0.
func (f *fieldReader) index(field string) int { return int(f.unsigned(field, maxIndex)) }

// flag reads a true or false value; an absent one is false.
func (f *fieldReader) flag(field string) bool { return f.unsigned(field, 1) == 1 }

// duration reads a time in microseconds; an absent one is 0.
func (f *fieldReader) duration(field string) time.Duration {
	return time.Duration(f.unsigned(field, maxMicroseconds)) * time.Microsecond
}

// requestID reads the id of a request.
func (f *fieldReader) requestID() routing.RequestID {
	return routing.RequestID(f.unsigned("id", maxRequestID))
}

// serverID reads the id of a server.
func (f *fieldReader) serverID() routing.ServerID {
	return routing.ServerID(f.unsigned("server", maxServerID))
}

// float reads a number that is not negative; an absent one is 0.
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

// object reads the id of an object, in hexadecimal; an absent one is 0.
func (f *fieldReader) object(field string) routing.ObjectID {
	text := f.next(field)
	if text == absentValue || text == noObject {
		return 0
	}
	number, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != objectDigits {
		f.failf(field, "%q is not %d hex digits", text, objectDigits)
	}
	return routing.ObjectID(number)
}

// parseNonNegative parses a finite number that is not negative. With an error it returns 0.
func parseNonNegative(text string) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		return 0, fmt.Errorf("%q is not a number from 0", text)
	}
	return number, nil
}
