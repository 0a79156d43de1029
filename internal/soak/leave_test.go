package soak

import (
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestRequestsOfLeftClientsAreNotSentOn checks that no request that waits behind others is sent on after
// its client has left, however much the client has sent and not read.
func TestRequestsOfLeftClientsAreNotSentOn(t *testing.T) {
	deployment := startDeployment(t, smallestLimits, Keyed)
	process, monitor := startRouter(t, deployment)
	var clients sync.WaitGroup
	lefts := make([]leaver, 60)
	for i := range lefts {
		clients.Go(func() {
			requests := []int{3, 400, 40_000}[i%3]
			var err error
			if lefts[i], err = leave(deployment.Addr, requests, time.Duration(i*10)*time.Millisecond, i%2 == 0); err != nil {
				t.Error(err)
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Second)
	executions := executionsOf(t, deployment)
	for _, left := range lefts {
		for _, late := range left.lateExecutions(executions) {
			t.Errorf("request sent on for a client that had left: %s", late)
		}
	}
	if len(executions) == 0 || process.Exited() {
		t.Errorf("got %d executed requests, process exited: %v", len(executions), process.Exited())
	}
	checkUsage(t, deployment.Limits, monitor.Stop())
}

// TestIDOfLeftClientRunsOnce checks that the id of a write that may run once does not run again after
// its client has left, neither at the same process nor at its successor.
func TestIDOfLeftClientRunsOnce(t *testing.T) {
	deployment := startDeployment(t, smallestLimits, Unsafe)
	predecessor := startProcess(t, deployment)
	var writes []request
	var ids []string
	for i := range 50 {
		object := newObject(HangingObject)
		if i%2 == 0 {
			object = newObject(0)
		}
		writes = append(writes, request{id: newID(), object: object, timeout: time.Second, body: "once"})
		ids = append(ids, writes[i].id)
	}
	sendAll := func() {
		var clients sync.WaitGroup
		for i := range writes {
			clients.Go(func() {
				if err := sendAndLeave(deployment.Addr, writes[i], 50*time.Millisecond); err != nil {
					t.Error(err)
				}
			})
		}
		clients.Wait()
	}
	sendAll()
	sendAll()
	successor := startProcess(t, deployment)
	predecessor.Signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond) // the predecessor accepts no connection any more
	sendAll()
	predecessor.Kill()
	sendAll()
	executions := executionsOf(t, deployment)
	if len(executions) < len(ids)/2 {
		t.Errorf("got %d of %d writes executed at all", len(executions), len(ids))
	}
	for _, repeated := range repeatedExecutions(executions, ids) {
		t.Errorf("write that may run once was executed again: %s", repeated)
	}
	if successor.Exited() {
		t.Errorf("the successor has exited: %s", successor.Log.String())
	}
}
