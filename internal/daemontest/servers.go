// Package daemontest is what the tests of cmd/garnetline have in common: platform
// configurations, fake servers, requests over raw connections, and the daemon as a process of
// its own. Everything is on loopback, and everything that a test starts ends with the test.
//
// Only tests import the package.
package daemontest

import (
	"net"
	"testing"
	"time"

	"garnetline/internal/fakeserver"
)

// Timeout bounds each wait for what another goroutine or process does.
const Timeout = 20 * time.Second

// pollInterval is the time between two looks at a condition.
const pollInterval = time.Millisecond

// NewServer starts a fake server.
func NewServer(tb testing.TB, reply fakeserver.Reply) *fakeserver.Server {
	tb.Helper()
	server, err := fakeserver.NewServer(reply)
	if err != nil {
		tb.Fatal(err)
	}
	CloseAtEnd(tb, server)
	return server
}

// NewIdleChangeLog starts a change log that sends no events.
func NewIdleChangeLog(tb testing.TB) *fakeserver.IdleChangeLog {
	tb.Helper()
	changeLog, err := fakeserver.NewIdleChangeLog()
	if err != nil {
		tb.Fatal(err)
	}
	CloseAtEnd(tb, changeLog)
	return changeLog
}

// FreeAddr returns a loopback address to which nothing was bound a moment ago.
func FreeAddr(tb testing.TB) string {
	tb.Helper()
	listener := Listen(tb)
	defer Close(tb, listener)
	return listener.Addr().String()
}

// Listen returns a TCP listener on a free port. The caller closes it.
func Listen(tb testing.TB) net.Listener {
	tb.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	return listener
}

// closer is what Close and CloseAtEnd take.
type closer interface{ Close() error }

// Close closes a listener, a connection or a file.
func Close(tb testing.TB, open closer) {
	tb.Helper()
	if err := open.Close(); err != nil {
		tb.Error(err)
	}
}

// CloseAtEnd closes a server or a connection when the test ends.
func CloseAtEnd(tb testing.TB, open closer) {
	tb.Helper()
	tb.Cleanup(func() { Close(tb, open) })
}

// WaitUntil waits until ok returns true.
func WaitUntil(tb testing.TB, condition string, ok func() bool) {
	tb.Helper()
	deadline := time.Now().Add(Timeout)
	for !ok() {
		if time.Now().After(deadline) {
			tb.Fatalf("%s: not so within %v", condition, Timeout)
		}
		time.Sleep(pollInterval)
	}
}
