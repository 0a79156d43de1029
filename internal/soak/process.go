package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"

	"garnetline/internal/fakeserver"
)

const (
	inheritedDescriptor = 3 // first descriptor after the standard ones
	readyTimeout        = 10 * time.Second
	readyPollInterval   = 5 * time.Millisecond
)

// errNotReady reports a process that was not ready within readyTimeout.
var errNotReady = errors.New("process is not ready")

// Process is a process of the router.
type Process struct {
	AdminAddr string
	Log       fakeserver.Output
	cmd       *exec.Cmd
	exited    chan struct{}
}

// Start starts a process of the router, beside those that run already.
func (d *Deployment) Start() (*Process, error) {
	adminAddr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	process := &Process{AdminAddr: adminAddr, exited: make(chan struct{})}
	process.cmd = exec.CommandContext(context.Background(), d.programs.Daemon, "serve", "--config", d.configPath)
	process.cmd.Env = append(os.Environ(), "TMPDIR="+d.dir, "EDGE_MGMT="+adminAddr)
	if d.socket != nil {
		process.cmd.Env = append(process.cmd.Env, fmt.Sprintf("EDGE_LISTEN_FD=%d", inheritedDescriptor))
		process.cmd.ExtraFiles = []*os.File{d.socket}
	}
	process.cmd.Stderr = &process.Log
	process.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(process.exited)
		_ = process.cmd.Wait()
	}()
	return process, nil
}

// freeAddr returns an address with a port that was free at the time of the call.
func freeAddr() (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// WaitReady waits until the admin API reports the process ready.
func (p *Process) WaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		if status, _, err := p.callAdmin("/ready"); err == nil && status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w after %v: %s", errNotReady, readyTimeout, p.Log.String())
}

// Metrics returns the page of metrics.
func (p *Process) Metrics() (string, error) {
	_, page, err := p.callAdmin("/metrics")
	return page, err
}

func (p *Process) callAdmin(path string) (status int, body string, err error) {
	client, err := dial(p.AdminAddr)
	if err != nil {
		return 0, "", err
	}
	defer client.close()
	answer, err := client.exchange("GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n", time.Now().Add(time.Second))
	return answer.status, string(answer.body), err
}

// Signal sends the process a signal. It ignores the error of a process that has exited.
func (p *Process) Signal(signal syscall.Signal) { _ = p.cmd.Process.Signal(signal) }

// Kill ends the process and waits for its exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// ExitedBySignal reports whether the process was ended by a signal.
func (p *Process) ExitedBySignal() bool {
	status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled()
}

// descriptors returns how many descriptors the process holds, or 0 if it has exited.
func (p *Process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}
