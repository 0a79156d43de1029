package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"garnetline/routing"
)

// fields takes the values of one line in turn. The first error sticks.
type fields struct {
	line int
	rest string
	more bool
	err  error
}

func (f *fields) fail(field, why string) {
	if f.err == nil {
		f.err = &Error{f.line, field, why}
	}
}

// end returns the first error, or that values are left over.
func (f *fields) end() error {
	if f.more {
		f.fail("end of line", "too many values")
	}
	return f.err
}

func (f *fields) nextValue(field string) string {
	if !f.more {
		f.fail(field, "missing")
		return absentValue
	}
	var value string
	value, f.rest, f.more = strings.Cut(f.rest, " ")
	if value == "" {
		f.fail(field, "empty")
	}
	return value
}

// unsigned reads a whole number up to a limit; an absent one is 0.
func (f *fields) unsigned(field string, limit uint64) uint64 {
	value := f.nextValue(field)
	if value == absentValue {
		return 0
	}
	number, err := strconv.ParseUint(value, 10, 64)
	if err != nil || number > limit {
		f.fail(field, fmt.Sprintf("%q is not a whole number up to %d", value, limit))
		return 0
	}
	return number
}

// index reads a small whole number; an absent one is 0.
func (f *fields) index(field string) int { return int(f.unsigned(field, maxIndex)) }

// duration reads a time in microseconds; an absent one is 0.
func (f *fields) duration(field string) time.Duration {
	return time.Duration(f.unsigned(field, maxMicroseconds)) * time.Microsecond
}

// float reads a number that is not negative; an absent one is 0.
func (f *fields) float(field string) float64 {
	value := f.nextValue(field)
	if value == absentValue {
		return 0
	}
	number, ok := parseNonNegative(value)
	if !ok {
		f.fail(field, fmt.Sprintf("%q is not a number from 0", value))
	}
	return number
}

// parseNonNegative reads a finite number from 0.
func parseNonNegative(text string) (float64, bool) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		return 0, false
	}
	return number, true
}

// object reads 16 hexadecimal digits; 0 and an absent one are no object.
func (f *fields) object(field string) routing.ObjectID {
	const digits = 16
	value := f.nextValue(field)
	if value == absentValue || value == "0" {
		return 0
	}
	id, err := strconv.ParseUint(value, 16, 64)
	if err != nil || len(value) != digits {
		f.fail(field, fmt.Sprintf("%q is not 16 hex digits", value))
	}
	return routing.ObjectID(id)
}

func (f *fields) requestID() routing.RequestID {
	return routing.RequestID(f.unsigned("id", maxRequestID))
}

func (f *fields) serverID() routing.ServerID {
	return routing.ServerID(f.unsigned("server", maxServerID))
}

var results = map[string]routing.Result{
	"served":          routing.Served,
	"server_error":    routing.ServerError,
	"turned_away":     routing.Rejected,
	"no_answer":       routing.TimedOut,
	"no_connection":   routing.ConnectFailed,
	"connection_lost": routing.ConnectionLost,
	"called_off":      routing.Canceled,
	"not_sent":        routing.NotSent,
	"not_stored":      routing.NotCached,
}

func (f *fields) result(field string) routing.Result {
	value := f.nextValue(field)
	result, ok := results[value]
	if !ok {
		f.fail(field, fmt.Sprintf("unknown status %q", value))
	}
	return result
}

// load reads a load report, whose values come in the order of names.
func (f *fields) load(field string, names []string) routing.LoadReport {
	nan := math.NaN()
	load := routing.LoadReport{Inflight: nan, CPUUtilization: nan, HitRatio: nan, LinkUtilization: nan}
	list := f.nextValue(field)
	if list == absentValue {
		return load
	}
	values := strings.Split(list, ",")
	if len(values) != len(names) {
		f.fail(field, fmt.Sprintf("%d values, want %d", len(values), len(names)))
		return load
	}
	for i, value := range values {
		if value == absentValue {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
			f.fail(field, fmt.Sprintf("%q is not a number", value))
			return load
		}
		switch names[i] {
		case "active":
			load.Inflight = number
		case "cpu":
			load.CPUUtilization = number
		case "x0":
			load.HitRatio = number
		case "x1":
			load.LinkUtilization = number
		}
	}
	return load
}
