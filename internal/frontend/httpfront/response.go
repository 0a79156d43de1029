package httpfront

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
	"garnetline/internal/memorybudget"
	"garnetline/routing"
)

// Header lines of responses.
const (
	contentTypeText   = "Content-Type: text/plain\r\n"
	contentTypeObject = "Content-Type: application/octet-stream\r\n"
)

// Bodies of responses to requests that the dispatcher did not serve.
const (
	rejectedBody = "refused: a retry is harmless\n"
	failedBody   = "failed\n"
)

// errClientDisconnected reports that the connection ended before the request was complete. No
// response can be sent in that case.
var errClientDisconnected = errors.New("client disconnected before its request was complete")

// reasonPhrases maps each status in use to its reason phrase. Some phrases differ from those of
// net/http.
var reasonPhrases = map[int]string{
	http.StatusOK:                          "OK",
	http.StatusNotModified:                 "Not Modified",
	http.StatusBadRequest:                  "Bad Request",
	http.StatusNotFound:                    "Not Found",
	http.StatusMethodNotAllowed:            "Method Not Allowed",
	http.StatusRequestTimeout:              "Request Timeout",
	http.StatusConflict:                    "Conflict",
	http.StatusRequestEntityTooLarge:       "Content Too Large",
	http.StatusExpectationFailed:           "Expectation Failed",
	http.StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	http.StatusNotImplemented:              "Not Implemented",
	http.StatusBadGateway:                  "Bad Gateway",
	http.StatusServiceUnavailable:          "Service Unavailable",
}

// writeResponse writes the dispatcher's response to a request. It returns false if the
// response could not be written.
func (c *conn) writeResponse(r *request, response dispatch.Response) bool {
	c.held.Add(response.Memory.Bytes(memorybudget.Responses))
	defer response.Memory.Release()
	c.rejected = response.Kind == dispatch.Rejected
	switch response.Kind {
	case dispatch.Served:
		return c.writeMessage(r, http.StatusOK, withEntityTag(contentTypeObject, response.ETag), response.Body)
	case dispatch.NotModified:
		return c.writeMessage(r, http.StatusNotModified, withEntityTag("", response.ETag), nil)
	case dispatch.Rejected:
		header := contentTypeText
		if response.RetryAfter > 0 {
			header += fmt.Sprintf("X-Throttle-Ms: %d\r\n", int64(response.RetryAfter))
		}
		return c.writeMessage(r, http.StatusServiceUnavailable, header, []byte(rejectedBody))
	case dispatch.DuplicateID:
		duplicate := &requestError{status: http.StatusConflict, reason: reasonDuplicateID, message: "X-Txn: another request with it is open"}
		return c.writeError(r, duplicate)
	default:
		return c.writeMessage(r, http.StatusBadGateway, contentTypeText, []byte(failedBody))
	}
}

// withEntityTag appends an ETag line to header lines. It returns header unchanged if tag is empty.
func withEntityTag(header, tag string) string {
	if tag == "" {
		return header
	}
	return header + "ETag: \"" + tag + "\"\r\n"
}

// writeTimeoutMs returns the timeout for writing a response. It is the time that the client still
// waits, so that a client on a slow link can read the whole response. It is at most the longest
// deadline of any class and at least minWriteTimeoutMs.
func (c *conn) writeTimeoutMs(r *request) float64 {
	if r.clientDeadline == 0 {
		return minWriteTimeoutMs
	}
	remainingMs := r.clientDeadline - c.server.Clock.Now()
	maxTimeoutMs := clock.Millis(routing.MaxDeadline(c.server.Classes()))
	return max(minWriteTimeoutMs, min(remainingMs, maxTimeoutMs))
}

// writeMessage writes a response. The argument header holds complete header lines. writeMessage
// adds Content-Length unless the status is 304, and Connection if the connection is closed after
// the response. It returns false if the write failed.
func (c *conn) writeMessage(r *request, status int, header string, body []byte) bool {
	message := fmt.Appendf(c.text.WriteBuffer(), "HTTP/1.1 %d %s\r\n%s", status, reasonPhrases[status], header)
	if status != http.StatusNotModified {
		message = fmt.Appendf(message, "Content-Length: %d\r\n", len(body))
	}
	if !c.keepAlive(r) {
		r.closeAfter = true
		message = append(message, "Connection: close\r\n"...)
	}
	message = append(message, "\r\n"...)
	if r.method == http.MethodHead {
		body = nil
	}
	err := c.flush(message, c.writeTimeoutMs(r), body)
	c.text.ShrinkWriteBuffer()
	c.text.ShrinkReadBuffer()
	c.server.Metrics.Add("http_"+strconv.Itoa(status), 1)
	c.server.Metrics.Add("bytes_answered", int64(len(body)))
	return err == nil
}

// flush writes a response. Meanwhile, the server may evict the connection if the client does not read.
func (c *conn) flush(message []byte, timeoutMs float64, body []byte) error {
	c.setWriting(true)
	defer c.setWriting(false)
	return c.text.Flush(message, timeoutMs, body)
}

func (c *conn) setWriting(writing bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.writing = writing
}
