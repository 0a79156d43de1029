package simproto

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// settingReader reads settings by their paths. It records the first error in its fieldReader, with
// the path as ParseError.Field.
type settingReader struct {
	values map[string]string
	fields *fieldReader
}

// value returns the value at a path, and whether it is present. An empty value and absentValue count
// as absent.
func (s settingReader) value(path string) (value string, present bool) {
	value = s.values[path]
	return value, value != "" && value != absentValue
}

// list returns the elements of a comma-separated list. An absent list is nil.
func (s settingReader) list(path string) []string {
	value, present := s.value(path)
	if !present {
		return nil
	}
	return strings.Split(value, ",")
}

// enum returns the index of a value in names. An absent value has the index 0.
func (s settingReader) enum(path string, names []string) int {
	value, present := s.value(path)
	if !present {
		return 0
	}
	index := slices.Index(names, value)
	if index < 0 {
		s.fields.failf(path, "unknown value %q, expected one of %q", value, names)
		return 0
	}
	return index
}

// integer returns an integer of at least -1, or defaultValue if the setting is absent.
func (s settingReader) integer(path string, defaultValue int) int {
	value, present := s.value(path)
	if !present {
		return defaultValue
	}
	return s.parseInteger(path, value)
}

// float returns a finite non-negative number. An absent value is 0.
func (s settingReader) float(path string) float64 {
	value, present := s.value(path)
	if !present {
		return 0
	}
	number, err := parseNonNegative(value)
	if err != nil {
		s.fields.failf(path, "%v", err)
	}
	return number
}

// duration returns a duration, which the settings give in microseconds. An absent value is 0.
func (s settingReader) duration(path string) time.Duration {
	value, present := s.value(path)
	if !present {
		return 0
	}
	return s.parseDuration(path, value)
}

// boolean returns a boolean. An absent value is false.
func (s settingReader) boolean(path string) bool {
	value, present := s.value(path)
	return present && s.parseBoolean(path, value)
}

// parseInteger parses an integer of at least -1. In a setting that names a server kind, -1 means
// that there are no servers of this kind.
func (s settingReader) parseInteger(path, value string) int {
	number, err := strconv.ParseInt(value, 10, 32)
	if err != nil || number < -1 {
		s.fields.failf(path, "expected a 32-bit integer of at least -1, got %q", value)
		return 0
	}
	return int(number)
}

// parseDuration parses a duration in whole microseconds, from 0 to maxMicroseconds.
func (s settingReader) parseDuration(path, value string) time.Duration {
	number, err := strconv.ParseUint(value, 10, 64)
	if err != nil || number > maxMicroseconds {
		s.fields.failf(path, "expected a duration from 0 to %d whole microseconds, got %q", uint64(maxMicroseconds), value)
		return 0
	}
	return time.Duration(number) * time.Microsecond
}

// parseBoolean parses a boolean, written as "true", "false", "1" or "0".
func (s settingReader) parseBoolean(path, value string) bool {
	switch value {
	case "true", "1":
		return true
	case "false", "0":
		return false
	}
	s.fields.failf(path, "expected true, false, 1 or 0, got %q", value)
	return false
}
