package testcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"garnetline/internal/fleet"
)

// adminTimeout is the time limit of one admin API call.
const adminTimeout = 2 * time.Second

// errTruncatedResponse reports a response without a status line or without a complete header.
var errTruncatedResponse = errors.New("truncated or malformed admin API response: expected an HTTP/1.1 status line and a complete header")

// statusError reports an admin API response with a status other than 200.
type statusError struct {
	path string
	code int
}

func (e *statusError) Error() string {
	return fmt.Sprintf("admin API path %s: expected status 200, got %d", e.path, e.code)
}

// CallAdmin sends one request without a body to the admin API of the router's newest process, and
// returns the status and the body of the response.
func (r *Router) CallAdmin(method, path string) (code int, body []byte, err error) {
	return sendRequest(r.AdminAddr, method+" "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", adminTimeout)
}

// getPage requests a JSON page of the admin API and decodes it into the value that page points to.
func (r *Router) getPage(path string, page any) error {
	code, body, err := r.CallAdmin(http.MethodGet, path)
	if err == nil && code != http.StatusOK {
		err = &statusError{path: path, code: code}
	}
	if err == nil {
		err = json.Unmarshal(body, page)
	}
	if err != nil {
		return fmt.Errorf("%s: cannot get %s: %w", r.Name, path, err)
	}
	return nil
}

// Status returns the router's view of the fleet.
func (r *Router) Status() (*fleet.Status, error) {
	status := &fleet.Status{}
	if err := r.getPage("/fleet", status); err != nil {
		return nil, err
	}
	return status, nil
}

// sendRequest sends one request on a new connection and reads the response until the connection
// ends.
func sendRequest(addr, request string, timeout time.Duration) (code int, body []byte, err error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return 0, nil, err
	}
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, nil, err
	}
	response, err := io.ReadAll(conn)
	if err != nil {
		return 0, nil, err
	}
	return parseResponse(response)
}

// parseResponse returns the status code and the body of a response.
func parseResponse(response []byte) (code int, body []byte, err error) {
	head, body, whole := bytes.Cut(response, []byte("\r\n\r\n"))
	if _, err := fmt.Sscanf(string(head), "HTTP/1.1 %d", &code); err != nil || !whole {
		return 0, nil, fmt.Errorf("%w, got %.40q", errTruncatedResponse, response)
	}
	return code, body, nil
}
