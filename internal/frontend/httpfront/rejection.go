package httpfront

import (
	"errors"
	"net/http"
	"strconv"
)

// rejectionReason names the rule that a rejected request violates, in the log and at the end of a
// counter's name.
type rejectionReason string

// Reasons for which the message itself is malformed or not read. The connection ends after the
// response, since where the next message begins is not known for certain.
const (
	reasonRequestLine   rejectionReason = "request_line"
	reasonVersion       rejectionReason = "version"
	reasonTarget        rejectionReason = "target"
	reasonHeader        rejectionReason = "header"
	reasonHost          rejectionReason = "host"
	reasonBodyLength    rejectionReason = "body_length"
	reasonChunks        rejectionReason = "chunks"
	reasonExpectation   rejectionReason = "expectation"
	reasonTrailer       rejectionReason = "trailer"
	reasonHeaderTooLong rejectionReason = "header_too_long"
	reasonBodyTooLong   rejectionReason = "body_too_long"
	reasonTooSlow       rejectionReason = "too_slow"
	reasonOutOfMemory   rejectionReason = "out_of_memory"
)

// Reasons for which a sound message cannot be used.
const (
	reasonPath         rejectionReason = "path"
	reasonMethod       rejectionReason = "method"
	reasonObject       rejectionReason = "object"
	reasonQuery        rejectionReason = "query"
	reasonFieldValue   rejectionReason = "field_value"
	reasonUnwantedBody rejectionReason = "unwanted_body"
	reasonNotReady     rejectionReason = "not_ready"
	reasonStopping     rejectionReason = "stopping"
	reasonDuplicateID  rejectionReason = "duplicate_id"
)

// requestError is an error that the server sends to the client as the response. Either the request
// is at fault, or the server cannot serve requests now. A request is at fault if it is malformed,
// arrives too slowly or has the id of an open request.
type requestError struct {
	status    int
	reason    rejectionReason
	message   string // the body of the response
	allow     string // the allowed method if the request used another method, otherwise empty
	largeBody bool   // the client may still send a large body
}

// Error returns the status and the message.
func (e *requestError) Error() string { return strconv.Itoa(e.status) + " " + e.message }

func badRequest(reason rejectionReason, message string) *requestError {
	return &requestError{status: http.StatusBadRequest, reason: reason, message: message}
}

func notFound(message string) *requestError {
	return &requestError{status: http.StatusNotFound, reason: reasonPath, message: message}
}

func methodNotAllowed(allowed string) *requestError {
	return &requestError{status: http.StatusMethodNotAllowed, reason: reasonMethod, message: allowed + " only", allow: allowed}
}

func unavailable(reason rejectionReason, message string) *requestError {
	return &requestError{status: http.StatusServiceUnavailable, reason: reason, message: message}
}

// errMalformedHeader rejects a request that has a malformed header line.
var errMalformedHeader = badRequest(reasonHeader, "malformed header")

// errFoldedLine rejects a request that has a header line which begins with a space.
var errFoldedLine = badRequest(reasonHeader, "header: folded line")

// errExpectationFailed rejects a request that expects what the server does not know.
var errExpectationFailed = &requestError{
	status:  http.StatusExpectationFailed,
	reason:  reasonExpectation,
	message: "Expect: unknown",
}

// errHeaderTooLong rejects a request whose header has too many bytes.
var errHeaderTooLong = &requestError{
	status:  http.StatusRequestHeaderFieldsTooLarge,
	reason:  reasonHeaderTooLong,
	message: "head too long",
}

// errBodyTooLong rejects a request whose body has more than maxBodyBytes.
var errBodyTooLong = &requestError{
	status:    http.StatusRequestEntityTooLarge,
	reason:    reasonBodyTooLong,
	message:   "body too long",
	largeBody: true,
}

// errTooSlow rejects a request that does not arrive in time.
var errTooSlow = &requestError{
	status:  http.StatusRequestTimeout,
	reason:  reasonTooSlow,
	message: "request too slow",
}

// errOutOfMemory rejects a request for which the memory budget has no room. The request was not
// forwarded, so the client may retry it.
var errOutOfMemory = unavailable(reasonOutOfMemory, "out of memory: a retry is harmless")

// recordRejection counts and logs a request that cannot be read or used.
func (c *conn) recordRejection(rejection *requestError) {
	c.server.Metrics.Add("requests_malformed", 1)
	c.server.Metrics.Add("requests_malformed_"+string(rejection.reason), 1)
	event := c.server.rejectionLog.Info()
	if event.Enabled() {
		event.Str("reason", string(rejection.reason)).Int("status", rejection.status).Str("error", rejection.message).
			Str("client", c.text.NetConn.RemoteAddr().String()).Msg("request rejected")
	}
}

// writeError writes the response for a *requestError. It returns false if the response could not be
// written. It also returns false if err is not a *requestError, because the client has then
// disconnected.
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

// handleReadError writes the response to a request that could not be read completely. It then
// lingers, so that the client can read the response. The linger timeout starts when the connection
// is accepted, so a client cannot extend the timeout by sending slowly.
func (c *conn) handleReadError(err error) {
	var rejection *requestError
	if !errors.As(err, &rejection) {
		return
	}
	c.releaseRequest() // nothing of the request is kept while the connection lingers
	c.recordRejection(rejection)
	if !c.writeError(&request{closeAfter: true}, rejection) {
		return
	}
	timeoutMs := lingerTimeoutMs
	if rejection.largeBody {
		timeoutMs = largeBodyLingerTimeoutMs
	}
	c.linger(c.remainingMs(timeoutMs))
}
