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

// throttlePeriod is how often a throttled process is paused.
const throttlePeriod = 100 * time.Millisecond

// clientSocketFD is the descriptor of the clients' socket in a process: the first after the
// standard ones.
const clientSocketFD = 3

// errNotExited is a process that has not exited in time.
var errNotExited = errors.New("process has not exited")

// process is one process of a router.
type process struct {
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error // once exited is closed
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

// waitForExit waits until the process has exited, at most for a time.
func (p *process) waitForExit(timeout time.Duration) error {
	select {
	case <-p.exited:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%w after %v", errNotExited, timeout)
	}
}

// Start starts a process of the router: its first, one that replaces a stopped one, or one that
// runs beside the current process. The router's methods then concern the new process.
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

// openClientSocket opens the socket that all processes of the router accept clients on, so that
// no connection is refused while one process replaces another.
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

// command is the command of a process of the router.
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
	// The processes end with the test, also if that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// Upgrade starts a second process beside the current one, waits until it is ready, and stops
// the previous one with SIGTERM. While both run it calls between, which may be nil.
func (r *Router) Upgrade(between func() error) error {
	previous := r.process
	if err := r.Start(); err != nil {
		return err
	}
	if err := r.waitUntilReady(); err != nil {
		_ = previous.cmd.Process.Kill()
		return err
	}
	var betweenErr error
	if between != nil {
		betweenErr = between()
	}
	return errors.Join(betweenErr, r.terminate(previous))
}

// terminate stops the process that a newer one has replaced, with SIGKILL if need be.
func (r *Router) terminate(previous *process) error {
	_ = previous.cmd.Process.Signal(syscall.SIGTERM)
	if err := previous.waitForExit(r.cluster.options.Timeout); err != nil {
		_ = previous.cmd.Process.Kill()
		return fmt.Errorf("%s: replaced %w", r.Name, err)
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

// Running tells whether the process runs, paused or not.
func (r *Router) Running() bool {
	select {
	case <-r.process.exited:
		return false
	default:
		return true
	}
}

// Pid is the process ID of the process.
func (r *Router) Pid() int { return r.process.cmd.Process.Pid }

// Signal sends a signal to the process.
func (r *Router) Signal(signal syscall.Signal) error { return r.process.cmd.Process.Signal(signal) }

// Kill ends the process with SIGKILL and waits for its exit.
func (r *Router) Kill() {
	_ = r.process.cmd.Process.Kill() // it fails for a process that has exited
	<-r.process.exited
}

// Stop ends the process with SIGTERM and waits for its exit. An error is that of the process, or
// that it has not exited within Options.Timeout.
func (r *Router) Stop() error {
	if err := r.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := r.process.waitForExit(r.cluster.options.Timeout); err != nil {
		return fmt.Errorf("%s: %w", r.Name, err)
	}
	return r.process.exitErr
}

// Pause stops the process where it is, until Resume.
func (r *Router) Pause() error { return r.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (r *Router) Resume() error { return r.Signal(syscall.SIGCONT) }

// Throttle gives the process a share of its processor time, from 0 to 1, by pausing and resuming
// it, until the function that it returns is called.
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

// stoppedWithin waits for a time and tells whether stop was closed meanwhile.
func stoppedWithin(stop <-chan struct{}, duration time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(duration):
		return false
	}
}
