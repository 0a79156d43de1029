package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"garnetline/internal/platformconfig"
)

const (
	// adminCallTimeout bounds the dial. After the dial, it bounds the request and its response
	// together.
	adminCallTimeout = 2 * time.Second
	// maxAdminResponse is the maximum number of bytes that are read from a response body. The rest
	// of a longer body is ignored.
	maxAdminResponse = 64 << 20
)

// callAdmin sends one request to the admin API at the address that adminAddress returns. It returns
// the body of the response. A status other than 200 is an error.
func callAdmin(ctx context.Context, command *cli.Command, method, path string) ([]byte, error) {
	address, err := adminAddress(command)
	if err != nil {
		return nil, err
	}
	return callAdminAt(ctx, address, method, path)
}

// postAdmin sends a POST request to the admin API and writes the response body to out.
func postAdmin(ctx context.Context, command *cli.Command, out io.Writer, path string) error {
	text, err := callAdmin(ctx, command, http.MethodPost, path)
	if err != nil {
		return err
	}
	_, err = out.Write(text)
	return err
}

// adminAddress returns the address of the admin API. The flag --mgmt comes first, then EDGE_MGMT,
// then the address in the configuration file.
func adminAddress(command *cli.Command) (string, error) {
	if address := command.String("mgmt"); address != "" {
		return address, nil
	}
	if address := os.Getenv("EDGE_MGMT"); address != "" {
		return address, nil
	}
	config, err := platformconfig.Load(command.String("config"), os.Getenv)
	if err != nil {
		return "", fmt.Errorf("mgmt: no address in --mgmt or EDGE_MGMT, and the configuration cannot be loaded: %w", err)
	}
	if !config.AdminListen.IsValid() {
		return "", errors.New("mgmt: expected an address in --mgmt, EDGE_MGMT or the configuration, got none")
	}
	return config.AdminListen.String(), nil
}

// callAdminAt sends one request to address on a new connection, and returns the response body.
func callAdminAt(ctx context.Context, address, method, path string) ([]byte, error) {
	dialer := net.Dialer{Timeout: adminCallTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close() //nolint:errcheck // the response has been read
	if err := conn.SetDeadline(time.Now().Add(adminCallTimeout)); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", method, path, address); err != nil {
		return nil, err
	}
	status, body, err := readAdminResponse(conn)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound && path == "/fleet":
		return nil, fmt.Errorf("%s: the router has no fleet: its settings file has no fleet block, or the block is not enabled", address)
	case status == http.StatusNotFound && strings.HasPrefix(path, "/fleet/bans"):
		return nil, fmt.Errorf("%s: the router does not keep bans in a lease registry: its settings file has no bans block in a duties block, or the duties block is not enabled", address)
	case status == http.StatusNotFound:
		return nil, fmt.Errorf("%s: the router does not take part in leases: its settings file has no duties block, or the block is not enabled", address)
	case status != http.StatusOK:
		return nil, fmt.Errorf("%s: admin API returned status %d: %s", address, status, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// readAdminResponse reads a response up to the end of the connection. It returns status 0 if the
// status line has no numeric status.
func readAdminResponse(conn net.Conn) (status int, body []byte, err error) {
	reader := textproto.NewConn(conn)
	statusLine, err := reader.ReadLine()
	if err != nil {
		return 0, nil, err
	}
	if _, err := reader.ReadMIMEHeader(); err != nil {
		return 0, nil, err
	}
	if fields := strings.Fields(statusLine); len(fields) > 1 {
		status, _ = strconv.Atoi(fields[1]) // 0 if it is not a number
	}
	body, err = io.ReadAll(io.LimitReader(reader.R, maxAdminResponse))
	return status, body, err
}
