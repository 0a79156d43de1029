// Package standin provides what the review's cases need: routers as separate processes, and small
// stand-ins of the platform, of clients and of servers. The stand-ins follow the pages of the
// protocol. Everything listens on loopback addresses, on ports that the system chooses.
package standin

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit ends a case that takes too long. A case may run for 120 s.
const runLimit = 112 * time.Second

var errTooLong = errors.New("the case took too long")

// Run is one run of a case. Its methods may be called from any goroutine.
type Run struct {
	Trouble bool   // false with TROUBLE=0: everything but the disruption happens
	Dir     string // temporary folder

	mu      sync.Mutex
	started time.Time
	record  io.Writer
	broken  []string
	closers []func()
}

// Main runs a case and ends the process with the case's exit code. The argument folder is the
// folder of the case, in which the record is written. A scenario returns an error if it could not
// run.
func Main(folder string, scenario func(run *Run) error) {
	code := exitNotRun
	defer func() { os.Exit(code) }()
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "garnetline-review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer func() { _ = os.RemoveAll(dir) }()
	run := &Run{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, started: time.Now(), record: record}
	run.Logf("trouble: %v", run.Trouble)
	err = run.await(scenario)
	run.close()
	code = run.verdict(err)
}

// await runs the scenario until it returns, until a signal arrives or until runLimit has passed.
func (r *Run) await(scenario func(run *Run) error) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- scenario(r) }()
	select {
	case err := <-done:
		return err
	case received := <-signals:
		return fmt.Errorf("stopped by signal %v", received)
	case <-time.After(runLimit):
		return errTooLong
	}
}

// verdict writes the result to the record and to standard output, and returns the exit code.
func (r *Run) verdict(err error) int {
	r.mu.Lock()
	broken := r.broken
	r.mu.Unlock()
	code, text := exitHeld, "the rule held"
	switch {
	case len(broken) > 0:
		code, text = exitBroken, fmt.Sprintf("the rule was broken: %s (%d findings)", broken[0], len(broken))
	case err != nil:
		code, text = exitNotRun, fmt.Sprintf("the case could not run: %v", err)
	}
	r.Logf("exit %d: %s", code, text)
	fmt.Println(text)
	return code
}

// Logf writes a line to the record, with the time in milliseconds since the start of the case.
func (r *Run) Logf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8d ms  %s\n", time.Since(r.started).Milliseconds(), fmt.Sprintf(format, values...))
}

// Brokenf records that the rule was broken.
func (r *Run) Brokenf(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.Logf("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// BrokenCount returns how often the rule was broken so far.
func (r *Run) BrokenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}

// OnClose registers a function that is called at the end of the case.
func (r *Run) OnClose(closer func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, closer)
}

// close calls the registered functions in reverse order.
func (r *Run) close() {
	r.mu.Lock()
	closers := r.closers
	r.closers = nil
	r.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
}

// Await waits until a condition holds. It returns an error if that takes longer than the limit.
func (r *Run) Await(what string, limit time.Duration, condition func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			r.Logf("%s", what)
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}
