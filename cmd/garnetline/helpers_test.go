package main

import (
	"bytes"
	"context"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"

	"garnetline/internal/daemontest"
	"garnetline/internal/operatorconfig"
	"garnetline/internal/platformconfig"
)

// TestMain runs the program itself where a test started this binary for that.
func TestMain(m *testing.M) {
	if daemontest.IsProgram() {
		main()
		return
	}
	os.Exit(m.Run())
}

// The response body of the fake servers that serve everything.
const servedBody = "bytes"

// inProcessDaemon is serve on a goroutine of the test.
type inProcessDaemon struct {
	result chan error
}

// startServe runs serve with the default operators' configuration.
func startServe(config *platformconfig.Config, loadNext func() (setup, error)) *inProcessDaemon {
	daemon := &inProcessDaemon{result: make(chan error, 1)}
	go func() {
		daemon.result <- serve(context.Background(), setup{config, operatorconfig.Default()}, loadNext)
	}()
	return daemon
}

// loadSetupFrom reads a platform configuration without an environment, and has the default
// operators' configuration.
func loadSetupFrom(path string) (setup, error) {
	platform, err := platformconfig.Load(path, func(string) string { return "" })
	return setup{platform, operatorconfig.Default()}, err
}

// waitSubscribed waits until the daemon has asked its change log, and returns from which number.
func (d *inProcessDaemon) waitSubscribed(t *testing.T, requested <-chan uint64) uint64 {
	t.Helper()
	select {
	case seq := <-requested:
		return seq
	case err := <-d.result:
		t.Fatalf("serve returned: %v", err)
		return 0
	}
}

// wait waits for serve to return, which has to be without an error.
func (d *inProcessDaemon) wait(t *testing.T) {
	t.Helper()
	if err := <-d.result; err != nil {
		t.Errorf("serve: %v", err)
	}
}

// signalSelf sends this process a signal, which serve takes.
func signalSelf(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}

// runDaemon runs serve until it is healthy and returns its address. shutDown, which the test's
// end calls too, ends it by SIGTERM.
func runDaemon(t *testing.T, config daemontest.Config) (addr string, shutDown func()) {
	t.Helper()
	config.ListenAddr = daemontest.FreeAddr(t)
	daemon := startServe(config.Load(t, nil), nil)
	shutDown = sync.OnceFunc(func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			t.Error(err)
		}
		if err := <-daemon.result; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(shutDown)
	daemontest.WaitHealthy(t, config.ListenAddr)
	return config.ListenAddr, shutDown
}

// runTraceCommand runs a command of garnetline trace and returns what it prints.
func runTraceCommand(t *testing.T, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	if err := newTraceCommand(&out).Run(t.Context(), append([]string{"trace"}, args...)); err != nil {
		t.Errorf("trace %s: %v", strings.Join(args, " "), err)
	}
	return out.String()
}
