package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// listenFD is the descriptor under which a process inherits the clients' listening socket.
const listenFD = 3

// adminTimeout is how long a caller of the admin API waits.
const adminTimeout = time.Second

// Router is one edge router. Its processes have the same name, configuration, state folder and
// listening socket, which the platform holds.
type Router struct {
	Name       string
	ClientAddr string
	Config     string // path of the platform's file
	Settings   string // path of the operators' file; "": none

	run      *Run
	socket   *os.File
	stateDir string
	starts   int
}

// Process is one process of a router.
type Process struct {
	Name      string
	AdminAddr string

	cmd     *exec.Cmd
	told    atomic.Bool // the case told the process to end
	exited  chan struct{}
	exitErr error // valid once exited is closed
	output  lastLines
}

// NewRouter prepares a router: its listening socket and its state folder. The caller sets Config and
// Settings before it starts a process.
func (r *Run) NewRouter(name string) (*Router, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	router := &Router{Name: name, ClientAddr: listener.Addr().String(), run: r, stateDir: filepath.Join(r.Dir, name+"-state")}
	router.socket, err = listener.File()
	_ = listener.Close()
	if err != nil {
		return nil, err
	}
	r.OnClose(func() { _ = router.socket.Close() })
	return router, os.MkdirAll(router.stateDir, 0o700)
}

// Listen returns a TCP listener on a free port of the loopback address.
func Listen() (*net.TCPListener, error) {
	return net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

// FreeAddr returns a loopback address with a port that is free now, for TCP or UDP.
func FreeAddr(network string) (string, error) {
	if network == "udp" {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return "", err
		}
		defer func() { _ = conn.Close() }()
		return conn.LocalAddr().String(), nil
	}
	listener, err := Listen()
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// Start starts a process of the router with the run command of the deploy file, and with a new
// address of the admin API. It does not wait until the process is ready.
func (r *Router) Start() (*Process, error) {
	adminAddr, err := FreeAddr("tcp")
	if err != nil {
		return nil, err
	}
	command := "exec bin/garnetline serve"
	if r.Settings != "" {
		command += " --settings " + r.Settings
	}
	r.starts++
	process := &Process{Name: fmt.Sprintf("%s#%d", r.Name, r.starts), AdminAddr: adminAddr, exited: make(chan struct{})}
	process.cmd = exec.CommandContext(context.Background(), "/bin/sh", "-c", command)
	process.cmd.Env = append(os.Environ(), "EDGE_NAME="+r.Name, "EDGE_LISTEN="+r.ClientAddr, "EDGE_CONFIG="+r.Config,
		"EDGE_MGMT="+adminAddr, fmt.Sprintf("EDGE_LISTEN_FD=%d", listenFD), "TMPDIR="+r.stateDir)
	process.cmd.ExtraFiles = []*os.File{r.socket}
	process.cmd.Stderr = &process.output
	process.cmd.Stdout = &process.output
	if err := process.cmd.Start(); err != nil {
		return nil, err
	}
	r.run.Logf("%s: started, process %d", process.Name, process.cmd.Process.Pid)
	r.run.OnClose(process.kill)
	go func() {
		process.exitErr = process.cmd.Wait()
		close(process.exited)
	}()
	return process, nil
}

// StartReady starts a process and waits until it says that it is ready.
func (r *Router) StartReady(limit time.Duration) (*Process, error) {
	process, err := r.Start()
	if err != nil {
		return nil, err
	}
	return process, r.run.Await(process.Name+": ready", limit, process.Ready)
}

// Ready reports whether the process says that it is ready.
func (p *Process) Ready() bool {
	status, _ := p.Call(http.MethodGet, "/ready")
	return status == http.StatusOK
}

// Signal sends a signal to the process. After SIGTERM or SIGKILL, the process is expected to end.
func (p *Process) Signal(sig syscall.Signal) {
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		p.told.Store(true)
	}
	_ = p.cmd.Process.Signal(sig)
}

func (p *Process) kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Crashed reports whether the process has ended although nobody told it to, and how it ended.
func (p *Process) Crashed() (how string, crashed bool) {
	select {
	case <-p.exited:
		return fmt.Sprint(p.exitErr), !p.told.Load()
	default:
		return "", false
	}
}

// Output returns lines of the process's log that begin with panic or fatal, and the lines after
// them, or its last lines.
func (p *Process) Output() []string { return p.output.tail() }

// Call calls the admin API, with one call on a connection. It returns status 0 if the call got no
// answer.
func (p *Process) Call(method, path string) (status int, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", p.AdminAddr)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(adminTimeout))
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: router\r\nContent-Length: 0\r\n\r\n", method, path); err != nil {
		return 0, err.Error()
	}
	answer, err := readAnswer(bufio.NewReader(conn))
	if err != nil {
		return 0, err.Error()
	}
	return answer.Status, string(answer.Body)
}

// Page reads a JSON page of the admin API.
func (p *Process) Page(path string, page any) error {
	status, body := p.Call(http.MethodGet, path)
	if status != http.StatusOK {
		return fmt.Errorf("%s: %s: status %d", p.Name, path, status)
	}
	return json.Unmarshal([]byte(body), page)
}

// lastLines keeps the first panic and the last lines of a log.
type lastLines struct {
	mu   sync.Mutex
	text []byte
}

// maxLog is the number of bytes of a log that are kept.
const maxLog = 1 << 20

// Write implements io.Writer.
func (l *lastLines) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, text...)
	l.text = l.text[max(0, len(l.text)-maxLog):]
	return len(text), nil
}

func (l *lastLines) tail() []string {
	const most = 12
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(string(l.text)), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "panic") || strings.HasPrefix(line, "fatal") {
			return lines[i:min(len(lines), i+most)]
		}
	}
	return lines[max(0, len(lines)-most):]
}

// Pid returns the id of the process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }
