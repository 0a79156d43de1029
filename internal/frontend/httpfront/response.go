package httpfront

import (
	"fmt"
	"strconv"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/routing"
)

// requestError is an answer that the front gives by itself.
type requestError struct {
	status    int // 0: the client has gone, nothing is owed
	message   string
	allow     string
	largeBody bool // the client may have much to send yet
}

var errClientDisconnected = &requestError{}

// writeResponse writes a final answer.
func (c *conn) writeResponse(r *request, a dispatch.Response) bool {
	switch a.Kind {
	case dispatch.Served:
		head := "Content-Type: application/octet-stream\r\n"
		if a.ETag != "" {
			head += "ETag: \"" + a.ETag + "\"\r\n"
		}
		return c.writeMessage(r, 200, head, a.Body)
	case dispatch.NotModified:
		head := ""
		if a.ETag != "" {
			head = "ETag: \"" + a.ETag + "\"\r\n"
		}
		return c.writeMessage(r, 304, head, nil)
	case dispatch.Rejected:
		head := "Content-Type: text/plain\r\n"
		if a.RetryAfter > 0 {
			head += fmt.Sprintf("X-Throttle-Ms: %d\r\n", int64(a.RetryAfter))
		}
		return c.writeMessage(r, 503, head, []byte("refused: a retry is harmless\n"))
	}
	if a.Kind == dispatch.DuplicateID {
		return c.writeError(r, &requestError{status: 409, message: "X-Txn: another request with it is open"})
	}
	return c.writeMessage(r, 502, "Content-Type: text/plain\r\n", []byte("failed\n"))
}

// writeError answers by the front's own word.
func (c *conn) writeError(r *request, p *requestError) bool {
	head := "Content-Type: text/plain\r\n"
	if p.allow != "" {
		head += "Allow: " + p.allow + "\r\n"
	}
	return c.writeMessage(r, p.status, head, []byte(p.message+"\n"))
}

// rejectUnread answers what could not be read to its end, and lets the client read
// that before the connection is closed.
//
// Symptom guarded against: a connection that is closed with unread bytes is
// reset, and the reset overtakes the answer. What it still sends is dropped for
// a time that counts from the connection's start, however it sends.
func (c *conn) rejectUnread(p *requestError) {
	if c.writeError(&request{closeAfter: true}, p) {
		within := c.remaining(lingerTimeoutMs)
		if p.largeBody {
			within = c.remaining(largeBodyLingerTimeoutMs)
		}
		c.linger(within)
	}
}

var reasonPhrases = map[int]string{200: "OK", 304: "Not Modified", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable"}

// writeTimeout is how long an answer may take to be written: a client that waits reads as its
// link lets it, up to the longest time that any class is waited for.
func (c *conn) writeTimeout(r *request) float64 {
	if r.clientDeadline == 0 { // no request for the core: nobody told how long it is waited for
		return minWriteTimeoutMs
	}
	return max(minWriteTimeoutMs, min(r.clientDeadline-c.server.Clock.Now(), clock.Millis(routing.MaxDeadline(c.server.Classes()))))
}

// writeMessage writes one whole answer.
func (c *conn) writeMessage(r *request, status int, head string, body []byte) bool {
	out := fmt.Appendf(c.text.WriteBuffer(), "HTTP/1.1 %d %s\r\n%s", status, reasonPhrases[status], head)
	if status != 304 {
		out = fmt.Appendf(out, "Content-Length: %d\r\n", len(body))
	}
	if !c.keepAlive(r) {
		r.closeAfter = true
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "\r\n"...)
	if r.method == "HEAD" {
		body = nil
	}
	err := c.text.Flush(out, body, c.writeTimeout(r))
	c.text.ShrinkWriteBuffer()
	c.text.ShrinkReadBuffer()
	c.server.Metrics.Add("http_"+strconv.Itoa(status), 1)
	c.server.Metrics.Add("bytes_answered", int64(len(body)))
	return err == nil
}
