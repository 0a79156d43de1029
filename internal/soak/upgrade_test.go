package soak

import (
	"syscall"
	"testing"
	"time"
)

// TestUpgradeStaysWithinLimits checks that the two processes of an upgrade share the limits while clients
// make them hold memory, and that usual clients keep their answers.
func TestUpgradeStaysWithinLimits(t *testing.T) {
	deployment := startDeployment(t, smallestLimits, Keyed)
	predecessor, monitor := startRouter(t, deployment)
	usual := StartUsualClients(deployment.Addr, deadline)
	stopCrowd := startCrowd(t, deployment, crowdConnections, MemoryPictures...)
	time.Sleep(pictureDuration)
	successor, err := deployment.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(successor.Kill)
	monitor.Watch(successor)
	if err := successor.WaitReady(); err != nil {
		t.Fatal(err)
	}
	predecessor.Signal(syscall.SIGTERM)
	time.Sleep(acceptAfterSignal + min(deadline, longestKillDelay))
	predecessor.Kill()
	time.Sleep(pictureDuration)
	stopCrowd()
	result := usual.Stop()
	checkUsage(t, deployment.Limits, monitor.Stop())
	checkUsual(t, result)
	if successor.Exited() {
		t.Errorf("the successor has exited; log: %s", successor.Log.String())
	}
}
