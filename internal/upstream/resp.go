package upstream

import (
	"errors"
	"fmt"
	"strconv"

	"garnetline/internal/textconn"
)

// What one answer may bring: a RESP array of four bulk strings.
const (
	maxFieldBytes = 4 << 10  // id, word or fields
	maxBodyBytes  = 240_000  // the largest object
	maxLengthLine = 32       // a length line
	maxFillWait   = 600_000  // ms; a longer wait for a source is none
	maxReadAhead  = 4 * 1024 // what textproto's reader may hold beyond it
	maxReplyBytes = maxBodyBytes + 3*maxFieldBytes + 5*maxLengthLine + maxReadAhead
)

var errMalformedReply = errors.New("not an answer")

// readLength reads a line of a RESP type and its length.
func readLength(k *textconn.Conn, kind byte, most int) (int, error) {
	line, err := k.ReadLineSlice()
	if err != nil {
		return 0, err
	}
	if len(line) < 2 || len(line) > maxLengthLine || line[0] != kind {
		return 0, fmt.Errorf("%w: want a line of %q", errMalformedReply, kind)
	}
	n, err := strconv.ParseUint(string(line[1:]), 10, 32)
	if err != nil || n > uint64(most) {
		return 0, fmt.Errorf("%w: length out of range", errMalformedReply)
	}
	return int(n), nil
}

// readBulk reads a bulk string into the connection's buffer.
func readBulk(k *textconn.Conn, most int, sized func(n int)) ([]byte, error) {
	n, err := readLength(k, '$', most)
	if err != nil {
		return nil, err
	}
	if sized != nil {
		sized(n)
	}
	b, err := k.ReadBody(n + 2)
	if err != nil {
		return nil, err
	}
	if b[n] != '\r' || b[n+1] != '\n' {
		return nil, fmt.Errorf("%w: bulk string of another length", errMalformedReply)
	}
	return b[:n], nil
}

func appendBulk(dst []byte, s string) []byte {
	return append(append(fmt.Appendf(dst, "$%d\r\n", len(s)), s...), "\r\n"...)
}
