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

// maxResponseSize is how many bytes of a response are read.
const maxResponseSize = 64 << 10

const requestFormat = "POST %s HTTP/1.1\r\n" +
	"Host: %s\r\n" +
	"Content-Type: application/json\r\n" +
	"Content-Length: %d\r\n" +
	"Connection: close\r\n" +
	"\r\n"

// errPermanent is returned for a call that would fail with the same batch again.
var errPermanent = errors.New("refused for good")

// send sends a batch in one call. After an error, retryAfter is how long the collector asks
// to wait, in ms. The error is errPermanent if the batch must not be sent again.
func (x *Exporter) send(batch []*trace.Trace) (retryAfter float64, err error) {
	body, err := render.Batch(batch)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errPermanent, err)
	}
	conn, err := x.dial()
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }() // the call has ended in any case
	request := fmt.Appendf(conn.WriteBuffer(), requestFormat, x.collector.RequestURI(), x.collector.Host, len(body))
	if err := conn.Flush(request, body, x.Timeout); err != nil {
		return 0, err
	}
	conn.LimitRead(maxResponseSize)
	return readResponse(conn)
}

// dial connects to the collector. The time for the response begins when it is connected.
func (x *Exporter) dial() (*textconn.Conn, error) {
	timeout := clock.Duration(x.Timeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	netConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", x.collector.Host)
	if err != nil {
		return nil, err
	}
	if err := netConn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		_ = netConn.Close() // nothing was written to it
		return nil, err
	}
	return textconn.New(netConn), nil
}

// readResponse reads the collector's response. Its results are those of send.
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

// statusError is a response with a status other than success.
type statusError int

// Error returns the status in words.
func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// parseStatusLine returns the status of a response's first line.
func parseStatusLine(line string) (int, error) {
	const statusDigits = 3
	_, rest, _ := strings.Cut(line, " ")
	status, err := strconv.Atoi(rest[:min(len(rest), statusDigits)])
	if err != nil || !strings.HasPrefix(line, "HTTP/1.") {
		return 0, fmt.Errorf("answer %.40q", line)
	}
	return status, nil
}

func successful(status int) bool { return status/100 == 2 }

// retryable reports whether OTLP has clients send the same batch again after a status.
func retryable(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// parseRetryAfter converts a Retry-After header of seconds to ms, up to the longest backoff.
// It returns zero for a header that is missing or a date.
func parseRetryAfter(header string) float64 {
	const millisPerSecond = 1000
	seconds, _ := strconv.ParseFloat(header, 64)
	return min(max(seconds, 0)*millisPerSecond, maxBackoff)
}

// discardBody reads the response to its end, or as far as it may be read: closing a connection
// with unread bytes resets it, and the collector could lose the call.
func discardBody(conn *textconn.Conn) error {
	_, err := io.Copy(io.Discard, conn.R)
	if errors.Is(err, textconn.ErrMessageTooLong) {
		return nil
	}
	return err
}
