package httpfront

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http/httputil"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
)

// request is a parsed request.
type request struct {
	method, path, query string
	header              textproto.MIMEHeader
	body                []byte
	closeAfter          bool // the client wants the connection closed
	receivedAt          float64
	clientDeadline      float64 // its client waits until then; 0: not told
}

// readRequest reads one request.
func (c *conn) readRequest() (*request, *requestError) {
	r := &request{}
	line, err := c.text.ReadLine()
	if err == nil && line == "" { // one empty line before a request is let pass
		line, err = c.text.ReadLine()
	}
	if err != nil {
		return nil, c.readFailure(err)
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[2], "HTTP/1.") || len(parts[2]) != 8 {
		return nil, &requestError{status: 400, message: "malformed request line"}
	}
	u, err := url.ParseRequestURI(parts[1])
	if err != nil {
		return nil, &requestError{status: 400, message: "malformed target"}
	}
	r.method, r.path, r.query = parts[0], u.EscapedPath(), u.RawQuery
	if r.header, err = c.text.ReadMIMEHeader(); err != nil {
		return nil, c.readFailure(err)
	}
	if len(r.header["Host"]) > 1 || parts[2] == "HTTP/1.1" && len(r.header["Host"]) == 0 {
		return nil, &requestError{status: 400, message: "Host: want one"}
	}
	r.closeAfter = headerHasToken(r.header, "Connection", "close") || parts[2] == "HTTP/1.0"
	if bad := c.readBody(r); bad != nil {
		return nil, bad
	}
	// Symptom guarded against: a request that waited behind another one on its connection
	// was given the time that its client had when it sent it, not what was left of that.
	if c.text.ReceivedBytes() || c.lastReadAt == 0 {
		c.lastReadAt = c.server.Clock.Now()
	}
	r.receivedAt = c.lastReadAt
	c.server.Metrics.Add("requests_read", 1)
	return r, nil
}

// readFailure tells what a failed read means for the client.
func (c *conn) readFailure(err error) *requestError {
	var text textproto.ProtocolError
	switch {
	case c.text.LimitExceeded():
		return &requestError{status: 431, message: "head too long"}
	case errors.As(err, &text):
		return &requestError{status: 400, message: "malformed header"}
	case errors.Is(err, context.DeadlineExceeded), isTimeout(err):
		return &requestError{status: 408, message: "request too slow"}
	}
	return errClientDisconnected
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// readBody reads what the head announces.
func (c *conn) readBody(r *request) *requestError {
	te, cl := r.header["Transfer-Encoding"], r.header["Content-Length"]
	switch {
	case len(te) > 0 && len(cl) > 0:
		return &requestError{status: 400, message: "Content-Length and Transfer-Encoding"}
	case len(te) > 0:
		if len(te) != 1 || !strings.EqualFold(te[0], "chunked") {
			return &requestError{status: 501, message: "Transfer-Encoding: unknown"}
		}
		return c.readChunkedBody(r)
	case len(cl) == 0:
		return nil
	}
	n, err := strconv.ParseUint(cl[0], 10, 63)
	if err != nil || len(cl) > 1 {
		return &requestError{status: 400, message: "Content-Length: not a number"}
	}
	if n > maxBodyBytes {
		return &requestError{status: 413, message: "body too long", largeBody: true}
	}
	if bad := c.writeContinue(r); bad != nil {
		return bad
	}
	c.text.LimitRead(int(n))
	b, err := c.text.ReadBody(int(n))
	if err != nil {
		return c.readFailure(err)
	}
	// A copy: an attempt may still be written when the client's next request
	// is read into the buffer.
	r.body = bytes.Clone(b)
	return nil
}

// readChunkedBody reads a body in chunks.
func (c *conn) readChunkedBody(r *request) *requestError {
	if bad := c.writeContinue(r); bad != nil {
		return bad
	}
	c.text.LimitRead(8*maxBodyBytes + maxHeaderBytes) // chunks may be small, and each has a line of its own
	var err error
	if r.body, err = io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.text.R), maxBodyBytes+1)); err != nil {
		if bad := c.readFailure(err); bad != errClientDisconnected {
			return bad
		}
		return &requestError{status: 400, message: "malformed chunks"}
	}
	if len(r.body) > maxBodyBytes {
		return &requestError{status: 413, message: "body too long", largeBody: true}
	}
	if _, err := c.text.ReadMIMEHeader(); err != nil { // trailers
		return c.readFailure(err)
	}
	return nil
}

// writeContinue tells a client that waits for it to send its body.
func (c *conn) writeContinue(r *request) *requestError {
	if !headerHasToken(r.header, "Expect", "100-continue") {
		return nil
	}
	if c.text.Flush(append(c.text.WriteBuffer(), "HTTP/1.1 100 Continue\r\n\r\n"...), nil, minWriteTimeoutMs) != nil {
		return errClientDisconnected
	}
	return nil
}

// headerHasToken tells whether a header holds a word in its list.
func headerHasToken(h textproto.MIMEHeader, name, word string) bool {
	for _, v := range h[name] {
		for w := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(w), word) {
				return true
			}
		}
	}
	return false
}
