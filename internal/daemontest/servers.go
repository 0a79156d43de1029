// Package daemontest has helpers for the tests of cmd/garnetline: platform configurations, fake
// servers, requests over raw connections, and daemons in separate processes. All sockets are on
// loopback. Servers and processes that a test starts are stopped when the test ends.
//
// Only tests import the package.
package daemontest

import (
	"net"
	"testing"
	"time"

	"garnetline/internal/fakeserver"
)

// Timeout bounds each wait for another goroutine or process.
const Timeout = 20 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = time.Millisecond

// NewServer starts a fake server and closes it when the test ends.
func NewServer(tb testing.TB, reply fakeserver.Reply) *fakeserver.Server {
	tb.Helper()
	server, err := fakeserver.NewServer(reply)
	if err != nil {
		tb.Fatal(err)
	}
	CloseAtEnd(tb, server)
	return server
}

// NewIdleChangeLog starts a change log that sends no events, and closes it when the test ends.
func NewIdleChangeLog(tb testing.TB) *fakeserver.IdleChangeLog {
	tb.Helper()
	changeLog, err := fakeserver.NewIdleChangeLog()
	if err != nil {
		tb.Fatal(err)
	}
	CloseAtEnd(tb, changeLog)
	return changeLog
}

// FreeAddr returns a loopback address with a port that was free at the time of the call.
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

// closer is the argument of Close and CloseAtEnd, such as a listener, a connection or a file.
type closer interface{ Close() error }

// Close closes a resource and reports an error as a test failure.
func Close(tb testing.TB, resource closer) {
	tb.Helper()
	if err := resource.Close(); err != nil {
		tb.Error(err)
	}
}

// CloseAtEnd closes a resource when the test ends.
func CloseAtEnd(tb testing.TB, resource closer) {
	tb.Helper()
	tb.Cleanup(func() { Close(tb, resource) })
}

// WaitUntil calls the function ok repeatedly until ok returns true. It ends the test if ok has not
// returned true within Timeout. The text condition describes the expected state in the failure
// message.
func WaitUntil(tb testing.TB, condition string, ok func() bool) {
	tb.Helper()
	deadline := time.Now().Add(Timeout)
	for !ok() {
		if time.Now().After(deadline) {
			tb.Fatalf("condition %q not met within %v", condition, Timeout)
		}
		time.Sleep(pollInterval)
	}
}
