package upstream

import (
	"errors"
	"fmt"
	"strconv"

	"garnetline/internal/textconn"
)

// Limits for a reply, in bytes. A reply is a RESP array of four bulk strings.
const (
	maxFieldBytes = 4 << 10  // maximum size of each of the id, the status and the fields
	maxBodyBytes  = 240_000  // maximum size of the body, which is the size of the largest object
	maxLengthLine = 32       // maximum size of the line with the type and length of a value
	maxReadAhead  = 4 * 1024 // bytes that textproto's reader may buffer after the end of the reply
	maxReplyBytes = maxBodyBytes + 3*maxFieldBytes + 5*maxLengthLine + maxReadAhead
)

// Type bytes of the RESP values that a reply contains.
const (
	arrayType      = '*'
	bulkStringType = '$'
)

// crlf ends each line and each bulk string.
const crlf = "\r\n"

// errMalformedReply reports that the received bytes are not a valid reply. The connection must not
// be used again.
var errMalformedReply = errors.New("upstream: malformed reply")

// readLength reads the first line of a RESP value and returns the length in that line. It returns
// an error if the value has another type than valueType, or if the length is above limit.
func readLength(conn *textconn.Conn, valueType byte, limit int) (int, error) {
	line, err := conn.ReadCRLFLine()
	if err != nil {
		if errors.Is(err, textconn.ErrMalformedLine) {
			err = fmt.Errorf("%w: %w", errMalformedReply, err)
		}
		return 0, err
	}
	if len(line) < 2 || len(line) > maxLengthLine || line[0] != valueType {
		return 0, fmt.Errorf("%w: expected a length line of 2 to %d bytes that begins with %q, got %d bytes", errMalformedReply, maxLengthLine, valueType, len(line))
	}
	n, err := strconv.ParseUint(string(line[1:]), 10, 32)
	if err != nil || n > uint64(limit) {
		return 0, fmt.Errorf("%w: expected a length from 0 to %d after %q, got %d bytes", errMalformedReply, limit, valueType, len(line)-1)
	}
	return int(n), nil
}

// readBulk reads a bulk string of at most limit bytes. The returned slice is valid until the next
// read.
func readBulk(conn *textconn.Conn, limit int) ([]byte, error) {
	n, err := readLength(conn, bulkStringType, limit)
	if err != nil {
		return nil, err
	}
	content, err := conn.ReadBody(n + len(crlf))
	if err != nil {
		return nil, err
	}
	return content[:n], checkBulkEnd(n, content[n:])
}

// readBulkEnd reads the end of a bulk string of n bytes.
func readBulkEnd(conn *textconn.Conn, n int) error {
	end, err := conn.ReadBody(len(crlf))
	if err != nil {
		return err
	}
	return checkBulkEnd(n, end)
}

// checkBulkEnd returns an error unless a bulk string of n bytes ends with CRLF.
func checkBulkEnd(n int, end []byte) error {
	if string(end) != crlf {
		return fmt.Errorf("%w: expected CRLF after the %d bytes of a bulk string, got %q", errMalformedReply, n, end)
	}
	return nil
}

// appendBulkHead appends the first line of a bulk string of n bytes.
func appendBulkHead(dst []byte, n int) []byte {
	dst = append(dst, bulkStringType)
	dst = strconv.AppendInt(dst, int64(n), 10)
	return append(dst, crlf...)
}

// appendArray appends the first line of an array of n values.
func appendArray(dst []byte, n int) []byte {
	dst = append(dst, arrayType)
	dst = strconv.AppendInt(dst, int64(n), 10)
	return append(dst, crlf...)
}

// appendBulk appends a bulk string.
func appendBulk(dst []byte, content string) []byte {
	dst = appendBulkHead(dst, len(content))
	dst = append(dst, content...)
	return append(dst, crlf...)
}
