package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// pipelineRestarts is the number of restarts in each row of TestPipelinesOverRestart.
const pipelineRestarts = 4

// TestPipelinesOverRestart guards against pipelined requests that a process reads before SIGTERM and does not answer: each
// request gets its response, and no response but the last closes the connection.
func TestPipelinesOverRestart(t *testing.T) {
	for name, end := range map[string]func(*testing.T, *Deployment, *Process) (successor *Process){
		"SIGTERM": func(_ *testing.T, _ *Deployment, process *Process) *Process {
			process.Signal(syscall.SIGTERM)
			return nil
		},
		"upgrade": func(t *testing.T, deployment *Deployment, process *Process) *Process {
			t.Helper()
			successor := startProcess(t, deployment)
			process.Signal(syscall.SIGTERM)
			return successor
		},
		"reload during the drain": func(_ *testing.T, _ *Deployment, process *Process) *Process {
			process.Signal(syscall.SIGTERM)
			process.Signal(syscall.SIGHUP)
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			deployment := startDeployment(t, Limits{MemoryMB: 192, Sockets: 1024}, Keyed)
			var process, successor *Process
			for range pipelineRestarts {
				if process = successor; process == nil {
					process = startProcess(t, deployment)
				}
				restartUnderPipelines(t, deployment, func() { successor = end(t, deployment, process) })
				checkExit(t, process)
			}
		})
	}
}

// checkExit checks that a process exits by itself before the platform may kill it.
func checkExit(t *testing.T, process *Process) {
	t.Helper()
	select {
	case <-process.exited:
	case <-time.After(acceptAfterSignal + min(deadline, longestKillDelay)):
		t.Error("the process has not exited by itself")
		process.Kill()
	}
}

// restartUnderPipelines calls end once each of the clients has got the first response of its pipeline.
func restartUnderPipelines(t *testing.T, deployment *Deployment, end func()) {
	t.Helper()
	var clients, started sync.WaitGroup
	for _, requests := range []int{2, 5, 10, 20, 35, 50} {
		started.Add(1)
		clients.Go(func() {
			if err := playPipeline(deployment.Addr, requests, started.Done); err != nil {
				t.Errorf("pipeline of %d: %v", requests, err)
			}
		})
	}
	started.Wait()
	end()
	clients.Wait()
}

// playPipeline sends requests at once and reads the response to each. It calls started when the first one has come.
func playPipeline(addr string, requests int, started func()) error {
	startedOnce := sync.OnceFunc(started)
	defer startedOnce()
	connection, err := dial(addr)
	if err != nil {
		return err
	}
	defer connection.close()
	if err := connection.SetDeadline(time.Now().Add(2 * deadline)); err != nil {
		return err
	}
	var text strings.Builder
	for i := range requests {
		sent := request{id: newID(), object: newObject(LargeObject), timeout: deadline}
		if i%2 == 1 {
			sent = request{id: newID(), object: newObject(0), timeout: deadline, body: "pipelined"}
		}
		text.WriteString(sent.text())
	}
	if err := connection.write(text.String()); err != nil {
		return err
	}
	for i := range requests {
		response, err := connection.read()
		if err != nil {
			return fmt.Errorf("response %d: %w", i+1, err)
		}
		startedOnce()
		if response.status != http.StatusOK && response.status != http.StatusServiceUnavailable {
			return fmt.Errorf("response %d has status %d", i+1, response.status)
		}
		if response.closeAfter && i+1 < requests {
			return fmt.Errorf("response %d closes the connection", i+1)
		}
	}
	return nil
}
