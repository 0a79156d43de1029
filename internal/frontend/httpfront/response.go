package httpfront

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"garnetline/internal/clock"
	"garnetline/internal/dispatch"
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

// errClientDisconnected reports that the connection ended within a request, so that no response
// can be sent.
var errClientDisconnected = errors.New("client disconnected")

// errBodyTooLong rejects a request whose body has more than maxBodyBytes.
var errBodyTooLong = &requestError{
	status:    http.StatusRequestEntityTooLarge,
	message:   "body too long",
	largeBody: true,
}

// requestError rejects a request without a response from the dispatcher: the request is malformed
// or too slow, or the server cannot serve it now.
type requestError struct {
	status    int
	message   string // the body of the response
	allow     string // the allowed method if the request used another one, otherwise ""
	largeBody bool   // the client may still send a large body
}

// Error returns the status and the message.
func (e *requestError) Error() string { return strconv.Itoa(e.status) + " " + e.message }

func badRequest(message string) *requestError {
	return &requestError{status: http.StatusBadRequest, message: message}
}

func methodNotAllowed(allowed string) *requestError {
	return &requestError{status: http.StatusMethodNotAllowed, message: allowed + " only", allow: allowed}
}

// reasonPhrases maps each status in use to its reason phrase. Some differ from the phrases of
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
	http.StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	http.StatusNotImplemented:              "Not Implemented",
	http.StatusBadGateway:                  "Bad Gateway",
	http.StatusServiceUnavailable:          "Service Unavailable",
}

// writeResponse writes the dispatcher's response to a request. It returns false if the
// response could not be written.
func (c *conn) writeResponse(r *request, response dispatch.Response) bool {
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
		duplicate := &requestError{status: http.StatusConflict, message: "X-Txn: another request with it is open"}
		return c.writeError(r, duplicate)
	default:
		return c.writeMessage(r, http.StatusBadGateway, contentTypeText, []byte(failedBody))
	}
}

// withEntityTag appends an ETag line to header lines. It returns them unchanged if tag is empty.
func withEntityTag(header, tag string) string {
	if tag == "" {
		return header
	}
	return header + "ETag: \"" + tag + "\"\r\n"
}

// writeError writes the response for a *requestError. It returns false if the response could not
// be written, or if err is no *requestError because the client has disconnected.
func (c *conn) writeError(r *request, err error) bool {
	var rejection *requestError
	if !errors.As(err, &rejection) {
		return false
	}
	header := contentTypeText
	if rejection.allow != "" {
		header += "Allow: " + rejection.allow + "\r\n"
	}
	return c.writeMessage(r, rejection.status, header, []byte(rejection.message+"\n"))
}

// handleReadError writes the response to a request that could not be read completely, and lingers
// so that the client can read the response. The linger timeout counts from the acceptance of the
// connection, so that a client cannot extend it by sending slowly.
func (c *conn) handleReadError(err error) {
	var rejection *requestError
	if !errors.As(err, &rejection) {
		return
	}
	c.server.Metrics.Add("requests_malformed", 1)
	if !c.writeError(&request{closeAfter: true}, rejection) {
		return
	}
	timeoutMs := lingerTimeoutMs
	if rejection.largeBody {
		timeoutMs = largeBodyLingerTimeoutMs
	}
	c.linger(c.remainingMs(timeoutMs))
}

// writeTimeoutMs returns the timeout for writing a response. A client on a slow link may read
// until it would stop waiting, but no longer than the longest deadline of a class. The timeout is
// never below minWriteTimeoutMs.
func (c *conn) writeTimeoutMs(r *request) float64 {
	if r.clientDeadline == 0 {
		return minWriteTimeoutMs
	}
	remainingMs := r.clientDeadline - c.server.Clock.Now()
	maxTimeoutMs := clock.Millis(routing.MaxDeadline(c.server.Classes()))
	return max(minWriteTimeoutMs, min(remainingMs, maxTimeoutMs))
}

// writeMessage writes a response. header holds complete lines, to which writeMessage adds
// Content-Length and Connection where they apply. It returns false if the write failed.
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
	err := c.text.Flush(message, body, c.writeTimeoutMs(r))
	c.text.ShrinkWriteBuffer()
	c.text.ShrinkReadBuffer()
	c.server.Metrics.Add("http_"+strconv.Itoa(status), 1)
	c.server.Metrics.Add("bytes_answered", int64(len(body)))
	return err == nil
}
