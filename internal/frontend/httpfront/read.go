package httpfront

import (
	"bufio"
	"bytes"
	"context"
	"errors"

	"garnetline/internal/memorybudget"
)

const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// request is an HTTP request that was read from a connection and is not validated yet.
type request struct {
	method, path, query string
	minorVersion        int // of HTTP/1.x
	header              header
	body                []byte
	closeAfter          bool    // the connection is closed after the response
	receivedAt          float64 // time in ms when its last byte arrived
	clientDeadline      float64 // time in ms at which the client stops waiting; 0: unknown
}

// readRequest reads one request. An error is either a *requestError, which is sent to the client,
// or errClientDisconnected.
func (c *conn) readRequest() (*request, error) {
	r := &request{}
	if err := c.reserve(memorybudget.Requests, requestBytes); err != nil {
		return nil, err
	}
	if err := c.readRequestLine(r); err != nil {
		return nil, err
	}
	if err := c.readHeader(&r.header); err != nil {
		return nil, err
	}
	if err := r.checkHost(); err != nil {
		return nil, err
	}
	if r.header.expectsOther {
		return nil, errExpectationFailed
	}
	r.closeAfter = r.header.closeRequested || r.minorVersion == 0
	if err := c.readBody(r); err != nil {
		return nil, err
	}
	// The client's timeout starts when its request arrives. A pipelined request may have been read
	// ahead. Its timeout starts at the time of that read, so the time that the request waits for
	// earlier requests counts.
	if c.text.ReceivedBytes() || c.lastReadAt == 0 {
		c.lastReadAt = c.server.Clock.Now()
	}
	r.receivedAt = c.lastReadAt
	c.server.Metrics.Add("requests_read", 1)
	return r, nil
}

// readRequestLine reads the first line of a request into r. It skips one empty line before the request
// (RFC 9112, section 2.2).
func (c *conn) readRequestLine(r *request) error {
	line, err := c.readLine()
	if err == nil && len(line) == 0 {
		line, err = c.readLine()
	}
	if err != nil {
		return c.requestReadError(err)
	}
	return parseRequestLine(r, line)
}

// readLine reads a line of a head and returns it without its line end, which may be CRLF or LF (RFC 9112,
// section 2.2). At the end of the connection, or of the time, it returns what has arrived of the line. The line
// is valid until the next read.
func (c *conn) readLine() ([]byte, error) {
	line, err := c.readRawLine()
	if len(line) == 0 || err != nil && c.text.LimitExceeded() {
		return nil, err
	}
	if stripped, ok := cutCRLF(line); ok {
		return stripped, nil
	}
	return bytes.TrimSuffix(line, []byte("\n")), nil
}

// cutCRLF removes CRLF from the end of a line. ok is false if the line ends without it.
func cutCRLF(line []byte) (stripped []byte, ok bool) { return bytes.CutSuffix(line, []byte("\r\n")) }

// readRawLine reads a line up to its LF. With an error it returns what was read before.
func (c *conn) readRawLine() ([]byte, error) {
	line, err := c.text.R.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	if err := c.reserveLongLine(); err != nil {
		return nil, err
	}
	long := append(make([]byte, 0, maxHeaderBytes), line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		line, err = c.text.R.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

// readHeader reads header lines up to an empty line.
func (c *conn) readHeader(h *header) error {
	for {
		line, err := c.readLine()
		if err == nil && len(line) > 0 {
			err = h.addLine(line)
		}
		if err != nil {
			return c.requestReadError(err)
		}
		if len(line) == 0 {
			return nil
		}
	}
}

// checkHost checks that the request has one valid Host field. HTTP/1.0 needs none, and the field is empty
// where the target has no host (RFC 9112, section 3.2).
func (r *request) checkHost() error {
	hosts := r.header.count(fieldHost)
	if hosts == 0 && r.minorVersion == 0 {
		return nil
	}
	if hosts != 1 {
		return badRequest(reasonHost, "Host: want one")
	}
	if host := r.header.first(fieldHost); host != "" && !validHost(host) {
		return badRequest(reasonHost, "Host: malformed")
	}
	return nil
}

// requestReadError converts the error of a read to a *requestError, or to errClientDisconnected if
// no response can reach the client.
func (c *conn) requestReadError(err error) error {
	var rejection *requestError
	switch {
	case errors.As(err, &rejection):
		return rejection
	case c.text.LimitExceeded():
		return errHeaderTooLong
	case isTimeout(err) && c.isEvictedForMemory():
		return errOutOfMemory
	case errors.Is(err, context.DeadlineExceeded), isTimeout(err):
		return errTooSlow
	}
	return errClientDisconnected
}

// readSizedBody reads a body of a known length.
func (c *conn) readSizedBody(r *request, length int) error {
	if err := c.writeContinue(r); err != nil {
		return err
	}
	c.text.LimitRead(length)
	var err error
	if r.body, err = c.text.ReadOwnedBody(length, c.reserveBody); err != nil {
		return c.requestReadError(err)
	}
	return nil
}

// writeContinue sends 100 Continue if the request's Expect header asks for it. A client that sends
// this header waits for 100 Continue before it sends the body. One that speaks HTTP/1.0 does not know
// the response (RFC 9110, section 10.1.1).
func (c *conn) writeContinue(r *request) error {
	if !r.header.expectsContinue || r.minorVersion == 0 {
		return nil
	}
	c.text.LeaveGate()
	message := append(c.text.WriteBuffer(), continueResponse...)
	if c.text.Flush(message, minWriteTimeoutMs) != nil {
		return errClientDisconnected
	}
	return nil
}
