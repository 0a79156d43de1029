package testcluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// throttlePeriod is the interval between the starts of two consecutive pauses of a throttled
// process.
const throttlePeriod = 100 * time.Millisecond

// clientSocketFD is the file descriptor of the client socket in a router process. It is the first
// descriptor after stdin, stdout and stderr.
const clientSocketFD = 3

// errNotExited reports that a process has not exited within a timeout.
var errNotExited = errors.New("process has not exited")

// process is one process of a router.
type process struct {
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error // valid after exited is closed
}

// startProcess starts a command and waits for its exit in the background.
func startProcess(cmd *exec.Cmd) (*process, error) {
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	started := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		started.exitErr = cmd.Wait()
		close(started.exited)
	}()
	return started, nil
}

// waitForExit waits until the process has exited. If the process is still running after the
// timeout, the error wraps errNotExited.
func (p *process) waitForExit(timeout time.Duration) error {
	select {
	case <-p.exited:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%w after %v", errNotExited, timeout)
	}
}

// Start starts a new process of the router. The current process, if there is one, may have exited
// or may still be running. After Start has returned, the router's methods act on the new process.
func (r *Router) Start() error {
	if err := r.openClientSocket(); err != nil {
		return err
	}
	r.starts++
	listenAddr := netip.MustParseAddrPort(r.ListenAddr)
	r.AdminAddr = netip.AddrPortFrom(listenAddr.Addr(), uint16(firstAdminPort+r.starts)).String()
	started, err := startProcess(r.command())
	if err != nil {
		return err
	}
	r.process = started
	return nil
}

// openClientSocket opens the socket on which all processes of the router accept clients. The socket
// stays open, so no connection is refused while one process replaces another.
func (r *Router) openClientSocket() error {
	if r.clientSocket != nil {
		return nil
	}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", r.ListenAddr)
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	r.clientSocket, err = listener.(*net.TCPListener).File()
	return err
}

// command returns the command that starts a process of the router.
func (r *Router) command() *exec.Cmd {
	options := r.cluster.options
	args := []string{"serve", "--config", r.configFile}
	if !options.NoSettingsFile {
		args = append(args, "--settings", r.settingsFile)
	}
	cmd := exec.CommandContext(context.Background(), options.Program, args...)
	cmd.Env = append(os.Environ(), "TMPDIR="+r.StateDir(), "GOMAXPROCS=2")
	cmd.Env = append(cmd.Env, options.Env...)
	cmd.Env = append(cmd.Env, fmt.Sprintf("EDGE_LISTEN_FD=%d", clientSocketFD), "EDGE_MGMT="+r.AdminAddr)
	cmd.ExtraFiles = []*os.File{r.clientSocket}
	cmd.Stderr = r.Output
	// The kernel kills the router process when the test process ends, even if the test process is
	// killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// Upgrade starts a second process beside the current one, waits until the new process is ready, and
// stops the previous process with SIGTERM. While both processes run, Upgrade calls duringOverlap
// unless the function is nil.
func (r *Router) Upgrade(duringOverlap func() error) error {
	previous := r.process
	if err := r.Start(); err != nil {
		return err
	}
	if err := r.waitUntilReady(); err != nil {
		_ = previous.cmd.Process.Kill()
		return err
	}
	var overlapErr error
	if duringOverlap != nil {
		overlapErr = duringOverlap()
	}
	return errors.Join(overlapErr, r.terminate(previous))
}

// terminate stops a replaced process with SIGTERM. If the process does not exit within
// Options.Timeout, terminate kills it with SIGKILL and returns an error.
func (r *Router) terminate(previous *process) error {
	_ = previous.cmd.Process.Signal(syscall.SIGTERM)
	if err := previous.waitForExit(r.cluster.options.Timeout); err != nil {
		_ = previous.cmd.Process.Kill()
		return fmt.Errorf("replaced process of %s: %w", r.Name, err)
	}
	return nil
}

func (r *Router) waitUntilReady() error {
	_, err := r.cluster.WaitUntil("the new process of "+r.Name+" is ready", r.cluster.options.Timeout, func() (bool, string) {
		code, _, err := r.CallAdmin("GET", "/ready")
		return code == 200, fmt.Sprint(code, err)
	})
	return err
}

// Running reports whether the router's newest process has not exited. A paused process counts as
// running.
func (r *Router) Running() bool {
	select {
	case <-r.process.exited:
		return false
	default:
		return true
	}
}

// Pid returns the ID of the router's newest process.
func (r *Router) Pid() int { return r.process.cmd.Process.Pid }

// Signal sends a signal to the router's newest process.
func (r *Router) Signal(signal syscall.Signal) error { return r.process.cmd.Process.Signal(signal) }

// Kill ends the process with SIGKILL and waits for its exit.
func (r *Router) Kill() {
	_ = r.process.cmd.Process.Kill() // the error for a process that has exited does not matter
	<-r.process.exited
}

// Stop ends the process with SIGTERM and waits for its exit. It returns the process's exit error.
// If the process does not exit within Options.Timeout, the error wraps errNotExited.
func (r *Router) Stop() error {
	if err := r.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := r.process.waitForExit(r.cluster.options.Timeout); err != nil {
		return fmt.Errorf("stop %s: %w", r.Name, err)
	}
	return r.process.exitErr
}

// Pause stops the process with SIGSTOP until Resume is called.
func (r *Router) Pause() error { return r.Signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (r *Router) Resume() error { return r.Signal(syscall.SIGCONT) }

// Throttle limits the process to a share of its processor time by pausing and resuming it
// periodically. The share is from 0 to 1. The returned function ends the throttling.
func (r *Router) Throttle(share float64) (end func()) {
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer func() { _ = r.Resume() }()
		r.pausePeriodically(share, stop)
	}()
	return func() {
		close(stop)
		<-ended
	}
}

func (r *Router) pausePeriodically(share float64, stop <-chan struct{}) {
	paused := time.Duration((1 - share) * float64(throttlePeriod))
	running := time.Duration(share * float64(throttlePeriod))
	for {
		_ = r.Pause()
		if stoppedWithin(stop, paused) {
			return
		}
		_ = r.Resume()
		if stoppedWithin(stop, running) {
			return
		}
	}
}

// stoppedWithin waits until the channel in the argument stop is closed or the duration has
// passed. It reports whether the channel was closed.
func stoppedWithin(stop <-chan struct{}, duration time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(duration):
		return false
	}
}
