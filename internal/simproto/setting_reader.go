package simproto

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// settingReader reads settings by their paths. Its first error is kept in fields, with the path as
// the field.
type settingReader struct {
	values map[string]string
	fields *fieldReader
}

// value returns the value of a path, and whether there is one.
func (s settingReader) value(path string) (value string, present bool) {
	value = s.values[path]
	return value, value != "" && value != absentValue
}

// list returns the values of a list; an absent one is nil.
func (s settingReader) list(path string) []string {
	value, present := s.value(path)
	if !present {
		return nil
	}
	return strings.Split(value, ",")
}

// word returns the place of a value among words; an absent one is the first.
func (s settingReader) word(path string, words []string) int {
	value, present := s.value(path)
	if !present {
		return 0
	}
	place := slices.Index(words, value)
	if place < 0 {
		s.fields.failf(path, "unknown word %q", value)
		return 0
	}
	return place
}

// integer returns a whole number from -1, or the default if it is absent.
func (s settingReader) integer(path string, absent int) int {
	value, present := s.value(path)
	if !present {
		return absent
	}
	return s.parseInteger(path, value)
}

// float returns a number that is not negative; an absent one is 0.
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

// duration returns a time that the settings give in microseconds; an absent one is 0.
func (s settingReader) duration(path string) time.Duration {
	value, present := s.value(path)
	if !present {
		return 0
	}
	return s.parseDuration(path, value)
}

// boolean returns true or false; an absent value is false.
func (s settingReader) boolean(path string) bool {
	value, present := s.value(path)
	return present && s.parseBoolean(path, value)
}

// parseInteger parses a whole number from -1, the mark of a place that there is not.
func (s settingReader) parseInteger(path, value string) int {
	number, err := strconv.ParseInt(value, 10, 32)
	if err != nil || number < -1 {
		s.fields.failf(path, "%q is not a whole number", value)
		return 0
	}
	return int(number)
}

// parseDuration parses a time in microseconds.
func (s settingReader) parseDuration(path, value string) time.Duration {
	number, err := strconv.ParseUint(value, 10, 64)
	if err != nil || number > maxMicroseconds {
		s.fields.failf(path, "%q is not a time in microseconds", value)
		return 0
	}
	return time.Duration(number) * time.Microsecond
}

// parseBoolean parses one of the two forms of true and false.
func (s settingReader) parseBoolean(path, value string) bool {
	switch value {
	case "true", "1":
		return true
	case "false", "0":
		return false
	}
	s.fields.failf(path, "%q is not true or false", value)
	return false
}
