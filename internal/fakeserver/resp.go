package fakeserver

import (
	"bufio"
	"fmt"
	"io"
)

// Limits of the commands that routers send.
const (
	maxArguments    = 16
	maxStringLength = 1 << 26 // bytes
)

// crlfSize is the size in bytes of the CRLF that ends a bulk string.
const crlfSize = 2

// lengthError reports an array or a bulk string whose length cannot be read or is out of bounds.
type lengthError struct {
	element string // "array" or "string"
	length  int
	err     error // nil if the length is out of bounds
}

func (e *lengthError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("length of a RESP %s is out of bounds: %d (an array has 0 to %d elements, a string 0 to %d bytes)",
			e.element, e.length, maxArguments, maxStringLength)
	}
	return fmt.Sprintf("cannot read the length of a RESP %s: %v", e.element, e.err)
}

func (e *lengthError) Unwrap() error { return e.err }

// readCommand reads one command: a RESP array of bulk strings.
func readCommand(reader *bufio.Reader) ([]string, error) {
	count, err := readLength(reader, "array", "*%d\r\n", maxArguments)
	if err != nil {
		return nil, err
	}
	arguments := make([]string, 0, count)
	for range count {
		argument, err := readBulkString(reader)
		if err != nil {
			return nil, err
		}
		arguments = append(arguments, argument)
	}
	return arguments, nil
}

func readBulkString(reader *bufio.Reader) (string, error) {
	length, err := readLength(reader, "string", "$%d\r\n", maxStringLength)
	if err != nil {
		return "", err
	}
	text := make([]byte, length+crlfSize)
	if _, err := io.ReadFull(reader, text); err != nil {
		return "", err
	}
	return string(text[:length]), nil
}

// readLength reads a line that holds the length of an array or a bulk string. It returns a
// *lengthError if it cannot read the length, or if the length is negative or greater than limit.
func readLength(reader *bufio.Reader, element, format string, limit int) (int, error) {
	var length int
	if _, err := fmt.Fscanf(reader, format, &length); err != nil {
		return 0, &lengthError{element: element, err: err}
	}
	if length < 0 || length > limit {
		return 0, &lengthError{element: element, length: length}
	}
	return length, nil
}

// Answer returns the answer to the request with the given ID, encoded as a RESP array of bulk
// strings.
func Answer(id, status, fields, body string) string {
	return "*4\r\n" + bulkString(id) + bulkString(status) + bulkString(fields) + bulkString(body)
}

func bulkString(text string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(text), text) }
