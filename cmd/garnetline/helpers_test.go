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

// TestMain runs the tests. In a process that a test started as the garnetline program, TestMain
// runs the program instead.
func TestMain(m *testing.M) {
	if daemontest.IsProgram() {
		main()
		return
	}
	os.Exit(m.Run())
}

// servedBody is the response body of the fake servers that serve every request.
const servedBody = "bytes"

// inProcessDaemon is a daemon that runs on a goroutine of the test process.
type inProcessDaemon struct {
	result chan error // receives the result of serve
}

// startServe starts serve with the default operators' configuration. serve calls loadNext for each
// reload.
func startServe(config *platformconfig.Config, loadNext func() (daemonConfig, error)) *inProcessDaemon {
	daemon := &inProcessDaemon{result: make(chan error, 1)}
	go func() {
		daemon.result <- serve(context.Background(), daemonConfig{config, operatorconfig.Default()}, loadNext)
	}()
	return daemon
}

// loadConfigFrom reads the platform configuration at path and ignores all environment variables. It
// combines the result with the default operators' configuration.
func loadConfigFrom(path string) (daemonConfig, error) {
	platform, err := platformconfig.Load(path, func(string) string { return "" })
	return daemonConfig{platform, operatorconfig.Default()}, err
}

// waitSubscribed waits until the daemon has subscribed to its change log. It returns the sequence
// number in the subscription.
func (d *inProcessDaemon) waitSubscribed(t *testing.T, requested <-chan uint64) uint64 {
	t.Helper()
	select {
	case seq := <-requested:
		return seq
	case err := <-d.result:
		t.Fatalf("serve returned before it subscribed to the change log: %v", err)
		return 0
	}
}

// wait waits for serve to return. An error of serve is a test failure.
func (d *inProcessDaemon) wait(t *testing.T) {
	t.Helper()
	if err := <-d.result; err != nil {
		t.Errorf("serve: %v", err)
	}
}

// signalSelf sends a signal to this test process. The serve call that runs in the process handles
// it.
func signalSelf(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}

// runDaemon starts serve, waits until the router is healthy, and returns its address. The function
// shutDown sends SIGTERM and waits for serve to return. The end of the test calls shutDown too;
// only the first call has an effect.
func runDaemon(t *testing.T, config daemontest.Config) (addr string, shutDown func()) {
	t.Helper()
	return runDaemonWithEnv(t, config, nil)
}

// runDaemonWithEnv is like runDaemon, with environment variables of the daemon.
func runDaemonWithEnv(t *testing.T, config daemontest.Config, env map[string]string) (addr string, shutDown func()) {
	t.Helper()
	config.ListenAddr = daemontest.FreeAddr(t)
	daemon := startServe(config.Load(t, env), nil)
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

// runTraceCommand runs a subcommand of garnetline trace and returns its output.
func runTraceCommand(t *testing.T, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	if err := newTraceCommand(&out).Run(t.Context(), append([]string{"trace"}, args...)); err != nil {
		t.Errorf("trace %s: %v", strings.Join(args, " "), err)
	}
	return out.String()
}
