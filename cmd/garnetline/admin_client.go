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
	adminCallTimeout = 2 * time.Second
	maxAdminResponse = 64 << 20
)

// callAdmin makes one call to the admin API of the router that the flags name.
func callAdmin(ctx context.Context, command *cli.Command, method, path string) ([]byte, error) {
	address, err := adminAddress(command)
	if err != nil {
		return nil, err
	}
	return callAdminAt(ctx, address, method, path)
}

// postAdmin makes a call that changes something, and prints the response.
func postAdmin(ctx context.Context, command *cli.Command, out io.Writer, path string) error {
	text, err := callAdmin(ctx, command, http.MethodPost, path)
	if err != nil {
		return err
	}
	_, err = out.Write(text)
	return err
}

// adminAddress is the address that --mgmt, EDGE_MGMT or the configuration names, in this order.
func adminAddress(command *cli.Command) (string, error) {
	if address := command.String("mgmt"); address != "" {
		return address, nil
	}
	if address := os.Getenv("EDGE_MGMT"); address != "" {
		return address, nil
	}
	config, err := platformconfig.Load(command.String("config"), os.Getenv)
	if err != nil {
		return "", fmt.Errorf("mgmt: not given, and %w", err)
	}
	if !config.AdminListen.IsValid() {
		return "", errors.New("mgmt: not given, and the configuration names none")
	}
	return config.AdminListen.String(), nil
}

// callAdminAt makes one call on a connection of its own.
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
		return nil, fmt.Errorf("%s: that router knows no others: its file has no fleet block, or it is not enabled", address)
	case status == http.StatusNotFound && strings.HasPrefix(path, "/fleet/bans"):
		return nil, fmt.Errorf("%s: that router keeps no bans in a lease registry: its file has no bans block in a duties block, or that is not enabled", address)
	case status == http.StatusNotFound:
		return nil, fmt.Errorf("%s: that router takes part in no duties: its file has no duties block, or it is not enabled", address)
	case status != http.StatusOK:
		return nil, fmt.Errorf("%s: %s", address, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// readAdminResponse reads a response whose end is that of the connection. A status line that
// cannot be read is status 0.
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
		status, _ = strconv.Atoi(fields[1]) // 0 where it is no number
	}
	body, err = io.ReadAll(io.LimitReader(reader.R, maxAdminResponse))
	return status, body, err
}
