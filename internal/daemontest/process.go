package daemontest

import (
	"context"
	"errors"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"garnetline/internal/fakeserver"
)

// programVariable is the environment variable by which a test binary is told to be the program.
const programVariable = "GARNETLINE_TEST_PROGRAM"

// IsProgram reports whether this process was started by StartProcess, so that TestMain has to
// run the program instead of the tests.
func IsProgram() bool { return os.Getenv(programVariable) != "" }

// ProgramEnv is the environment of a test binary that is to be the program.
func ProgramEnv() []string { return []string{programVariable + "=1"} }

// Process is the daemon in a process of its own.
type Process struct {
	cmd    *exec.Cmd
	log    fakeserver.Output
	waited bool
}

// ProcessOptions say how a process is started.
type ProcessOptions struct {
	Program string   // "" for this test binary
	Args    []string // of the program
	Env     []string // beside that of the test
	DropLog bool     // Log stays empty
}

// StartProcess starts the program. It is killed at the test's end if it still runs then.
func StartProcess(tb testing.TB, options ProcessOptions) *Process {
	tb.Helper()
	program := orDefault(options.Program, os.Args[0])
	process := &Process{cmd: exec.CommandContext(tb.Context(), program, options.Args...)}
	process.cmd.Env = append(append(os.Environ(), ProgramEnv()...), options.Env...)
	process.cmd.Stderr = &process.log
	if options.DropLog {
		process.cmd.Stderr = io.Discard
	}
	if err := process.cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		if !process.waited {
			process.Kill(tb)
		}
	})
	return process
}

// Pid is the number of the process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Log is what the process has logged so far.
func (p *Process) Log() string { return p.log.String() }

// Signal sends the process a signal.
func (p *Process) Signal(tb testing.TB, signal os.Signal) {
	tb.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		tb.Fatal(err)
	}
}

// Stop sends SIGTERM and waits for the process, which has to end without an error.
func (p *Process) Stop(tb testing.TB) *os.ProcessState {
	tb.Helper()
	p.Signal(tb, syscall.SIGTERM)
	p.waited = true
	if err := p.cmd.Wait(); err != nil {
		tb.Fatalf("the process ended with %v: %s", err, p.Log())
	}
	return p.cmd.ProcessState
}

// Kill kills the process and waits for it.
func (p *Process) Kill(tb testing.TB) {
	tb.Helper()
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		tb.Error(err)
	}
	p.waited = true
	var exit *exec.ExitError
	err := p.cmd.Wait()
	// The test's context may have ended, and with it the process, just before.
	if err != nil && !errors.As(err, &exit) && !errors.Is(err, context.Canceled) {
		tb.Error(err)
	}
}

// WaitLogged waits until the log holds one of some texts.
func (p *Process) WaitLogged(tb testing.TB, texts ...string) {
	tb.Helper()
	WaitUntil(tb, "the log has "+strings.Join(texts, " or "), func() bool {
		log := p.Log()
		for _, text := range texts {
			if strings.Contains(log, text) {
				return true
			}
		}
		return false
	})
}
