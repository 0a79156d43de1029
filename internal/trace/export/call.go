package export

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/textconn"
	"garnetline/internal/trace"
	"garnetline/internal/trace/render"
)

// maxResponseSize is the maximum number of bytes that are read from a response.
const maxResponseSize = 64 << 10

// requestFormat is the format of a call's request line and header. Its values are the path with
// the query, the host and the length of the body in bytes.
const requestFormat = "POST %s HTTP/1.1\r\n" +
	"Host: %s\r\n" +
	"Content-Type: application/json\r\n" +
	"Content-Length: %d\r\n" +
	"Connection: close\r\n" +
	"\r\n"

// errPermanent is wrapped by the error of a failed call if another call with the same batch
// would also fail.
var errPermanent = errors.New("permanent failure to export a batch of traces")

// send sends a batch in one call. The timeout in ms applies to connecting, and again to the request and the
// response. The call also ends when ctx is done. If the call fails, retryAfter is the time in ms that the
// collector asked to wait before the next call. It is 0 if the collector asked for no wait. The
// error wraps errPermanent if the batch must not be sent again.
func (x *Exporter) send(ctx context.Context, batch []*trace.Trace, timeout float64) (retryAfter float64, err error) {
	body, err := render.Batch(batch)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errPermanent, err)
	}
	conn, err := x.dial(ctx, timeout)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }() // an error is ignored, because the call has ended
	interrupt := func() { _ = conn.NetConn.SetDeadline(time.Now()) }
	defer context.AfterFunc(ctx, interrupt)()
	request := fmt.Appendf(conn.WriteBuffer(), requestFormat, x.collector.RequestURI(), x.collector.Host, len(body))
	if err := conn.Flush(request, timeout, body); err != nil {
		return 0, err
	}
	conn.LimitRead(maxResponseSize)
	return readResponse(conn)
}

// dial connects to the collector. The timeout for the response starts when the connection has
// been established.
func (x *Exporter) dial(ctx context.Context, timeoutMillis float64) (*textconn.Conn, error) {
	timeout := clock.Duration(timeoutMillis)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	netConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", x.collector.Host)
	if err != nil {
		return nil, err
	}
	if err := netConn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		_ = netConn.Close() // nothing was written to the connection
		return nil, err
	}
	return textconn.New(netConn), nil
}

// readResponse reads the collector's response to a call. If the call failed, retryAfter is the time
// in ms that the collector asked to wait, or 0. The error wraps errPermanent if the batch must not
// be sent again.
func readResponse(conn *textconn.Conn) (retryAfter float64, err error) {
	line, err := conn.ReadLine()
	if err != nil {
		return 0, err
	}
	status, err := parseStatusLine(line)
	if err != nil {
		return 0, err
	}
	header, err := conn.ReadMIMEHeader()
	if err != nil {
		return 0, err
	}
	switch {
	case successful(status):
		return 0, discardBody(conn)
	case retryable(status):
		return parseRetryAfter(header.Get("Retry-After")), statusError(status)
	}
	return 0, fmt.Errorf("%w: %w", errPermanent, statusError(status))
}

// statusError is the HTTP status of a response that does not report success.
type statusError int

// Error returns a message that contains the HTTP status.
func (e statusError) Error() string {
	return fmt.Sprintf("collector responded with HTTP status %d", int(e))
}

// parseStatusLine returns the HTTP status in the first line of a response.
func parseStatusLine(line string) (int, error) {
	const statusDigits = 3
	_, rest, _ := strings.Cut(line, " ")
	status, err := strconv.Atoi(rest[:min(len(rest), statusDigits)])
	if err != nil || !strings.HasPrefix(line, "HTTP/1.") {
		return 0, fmt.Errorf("expected an HTTP/1.x status line from the collector, got %.40q", line)
	}
	return status, nil
}

// successful reports whether an HTTP status is from 200 to 299.
func successful(status int) bool { return status/100 == 2 }

// retryable reports whether OTLP allows a client to send a batch again after a response with the
// given HTTP status.
func retryable(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// parseRetryAfter converts the value of a Retry-After header from seconds to ms, and limits it
// to maxBackoff. It returns 0 if the header is missing or contains a date.
func parseRetryAfter(header string) float64 {
	const millisPerSecond = 1000
	seconds, _ := strconv.ParseFloat(header, 64)
	return min(max(seconds, 0)*millisPerSecond, maxBackoff)
}

// discardBody reads the rest of the response, but at most maxResponseSize bytes. Closing a
// connection with unread bytes would reset it, and the collector could then discard the call.
func discardBody(conn *textconn.Conn) error {
	_, err := io.Copy(io.Discard, conn.R)
	if errors.Is(err, textconn.ErrMessageTooLong) {
		return nil
	}
	return err
}
