package httpfront

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
)

const (
	protocolPrefix = "HTTP/1."
	protocolHTTP10 = "HTTP/1.0"
	protocolHTTP11 = "HTTP/1.1"

	continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"
)

// request is an HTTP request that was read from a connection and is not validated yet.
type request struct {
	method, path, query string
	header              textproto.MIMEHeader
	body                []byte
	closeAfter          bool    // the connection is closed after the response
	receivedAt          float64 // time in ms when its last byte arrived
	clientDeadline      float64 // time in ms at which the client stops waiting; 0: unknown
}

// readRequest reads one request. An error is either a *requestError, which is sent to the client,
// or errClientDisconnected.
func (c *conn) readRequest() (*request, error) {
	r := &request{}
	protocol, err := c.readRequestLine(r)
	if err != nil {
		return nil, err
	}
	if r.header, err = c.text.ReadMIMEHeader(); err != nil {
		return nil, c.requestReadError(err)
	}
	hosts := len(r.header["Host"])
	if hosts > 1 || protocol == protocolHTTP11 && hosts == 0 {
		return nil, badRequest("Host: want one")
	}
	r.closeAfter = headerHasToken(r.header, "Connection", "close") || protocol == protocolHTTP10
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

// readRequestLine reads the method and the target into r and returns the protocol version. It
// skips one empty line before the request.
func (c *conn) readRequestLine(r *request) (protocol string, err error) {
	line, err := c.text.ReadLine()
	if err == nil && line == "" {
		line, err = c.text.ReadLine()
	}
	if err != nil {
		return "", c.requestReadError(err)
	}
	fields := strings.Split(line, " ")
	if len(fields) != 3 || fields[0] == "" {
		return "", badRequest("malformed request line")
	}
	protocol = fields[2]
	if !strings.HasPrefix(protocol, protocolPrefix) || len(protocol) != len(protocolHTTP11) {
		return "", badRequest("malformed request line")
	}
	target, err := url.ParseRequestURI(fields[1])
	if err != nil {
		return "", badRequest("malformed target")
	}
	r.method = fields[0]
	r.path = target.EscapedPath()
	r.query = target.RawQuery
	return protocol, nil
}

// requestReadError converts the error of a read to a *requestError, or to errClientDisconnected if
// no response can reach the client.
func (c *conn) requestReadError(err error) error {
	var malformed textproto.ProtocolError
	switch {
	case c.text.LimitExceeded():
		return &requestError{status: http.StatusRequestHeaderFieldsTooLarge, message: "head too long"}
	case errors.As(err, &malformed):
		return badRequest("malformed header")
	case errors.Is(err, context.DeadlineExceeded), isTimeout(err):
		return &requestError{status: http.StatusRequestTimeout, message: "request too slow"}
	}
	return errClientDisconnected
}

// readBody reads the body, if the header announces one.
func (c *conn) readBody(r *request) error {
	encodings, lengths := r.header["Transfer-Encoding"], r.header["Content-Length"]
	switch {
	case len(encodings) > 0 && len(lengths) > 0:
		return badRequest("Content-Length and Transfer-Encoding")
	case len(encodings) > 1, len(encodings) == 1 && !strings.EqualFold(encodings[0], "chunked"):
		return &requestError{status: http.StatusNotImplemented, message: "Transfer-Encoding: unknown"}
	case len(encodings) == 1:
		return c.readChunkedBody(r)
	case len(lengths) == 0:
		return nil
	}
	length, err := strconv.ParseUint(lengths[0], 10, 63)
	if err != nil || len(lengths) > 1 {
		return badRequest("Content-Length: not a number")
	}
	if length > maxBodyBytes {
		return errBodyTooLong
	}
	return c.readSizedBody(r, int(length))
}

// readSizedBody reads a body of a known length.
func (c *conn) readSizedBody(r *request, length int) error {
	if err := c.writeContinue(r); err != nil {
		return err
	}
	c.text.LimitRead(length)
	body, err := c.text.ReadBody(length)
	if err != nil {
		return c.requestReadError(err)
	}
	// The body is copied out of the connection's read buffer. Without the copy, the client's next
	// request could overwrite the body while an attempt still sends it.
	r.body = bytes.Clone(body)
	return nil
}

// readChunkedBody reads a body with chunked transfer encoding, and discards its trailers.
func (c *conn) readChunkedBody(r *request) error {
	if err := c.writeContinue(r); err != nil {
		return err
	}
	c.text.LimitRead(maxChunkedBytes)
	chunks := io.LimitReader(httputil.NewChunkedReader(c.text.R), maxBodyBytes+1)
	var err error
	if r.body, err = io.ReadAll(chunks); err != nil {
		requestErr := c.requestReadError(err)
		if errors.Is(requestErr, errClientDisconnected) {
			return badRequest("malformed chunks")
		}
		return requestErr
	}
	if len(r.body) > maxBodyBytes {
		return errBodyTooLong
	}
	if _, err := c.text.ReadMIMEHeader(); err != nil {
		return c.requestReadError(err)
	}
	return nil
}

// writeContinue sends 100 Continue if the request's Expect header asks for it. A client that sends
// this header waits for 100 Continue before it sends the body.
func (c *conn) writeContinue(r *request) error {
	if !headerHasToken(r.header, "Expect", "100-continue") {
		return nil
	}
	message := append(c.text.WriteBuffer(), continueResponse...)
	if c.text.Flush(message, nil, minWriteTimeoutMs) != nil {
		return errClientDisconnected
	}
	return nil
}

// headerHasToken reports whether a comma-separated header contains a token, ignoring case.
func headerHasToken(header textproto.MIMEHeader, name, token string) bool {
	for _, value := range header[name] {
		for element := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(element), token) {
				return true
			}
		}
	}
	return false
}
