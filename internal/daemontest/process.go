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

// programVariable is the environment variable that makes a test binary run the program instead of
// its tests.
const programVariable = "GARNETLINE_TEST_PROGRAM"

// IsProgram reports whether TestMain has to run the program instead of the tests. It is true in a
// process that was started with the variables of ProgramEnv, for example by StartProcess.
func IsProgram() bool { return os.Getenv(programVariable) != "" }

// ProgramEnv returns the environment variables that make a test binary run the program.
func ProgramEnv() []string { return []string{programVariable + "=1"} }

// Process is a daemon that runs in a separate process.
type Process struct {
	cmd    *exec.Cmd
	log    fakeserver.Output
	waited bool
}

// ProcessOptions say how StartProcess starts a process.
type ProcessOptions struct {
	Program string   // path of the program; default: this test binary
	Args    []string // arguments of the program
	Env     []string // variables added to the environment of the test
	DropLog bool     // discard the log, so that Log returns ""
}

// StartProcess starts the program. If the process still runs when the test ends, it is killed.
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

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Log returns the text that the process has logged so far.
func (p *Process) Log() string { return p.log.String() }

// Signal sends the process a signal.
func (p *Process) Signal(tb testing.TB, signal os.Signal) {
	tb.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		tb.Fatal(err)
	}
}

// Stop sends SIGTERM and waits for the process to exit. An exit status other than 0 ends the test.
func (p *Process) Stop(tb testing.TB) *os.ProcessState {
	tb.Helper()
	p.Signal(tb, syscall.SIGTERM)
	p.waited = true
	if err := p.cmd.Wait(); err != nil {
		tb.Fatalf("process exited with %v, want no error; log: %s", err, p.Log())
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
	// If the test's context is canceled, package exec has already killed the process.
	if err != nil && !errors.As(err, &exit) && !errors.Is(err, context.Canceled) {
		tb.Error(err)
	}
}

// WaitLogged waits until the log contains at least one of texts.
func (p *Process) WaitLogged(tb testing.TB, texts ...string) {
	tb.Helper()
	WaitUntil(tb, "the log contains "+strings.Join(texts, " or "), func() bool {
		log := p.Log()
		for _, text := range texts {
			if strings.Contains(log, text) {
				return true
			}
		}
		return false
	})
}
