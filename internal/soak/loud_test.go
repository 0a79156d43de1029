package soak

import (
	"slices"
	"testing"
	"time"
)

// objective is the latency objective of the classes in the settings.
const objective = 400 * time.Millisecond

const loudDuration = 2 * time.Second

// TestLoudClientDoesNotDelayOthers checks that one connection at full speed neither delays the answers
// of usual clients beyond the objective that they keep without it, nor makes memory grow.
func TestLoudClientDoesNotDelayOthers(t *testing.T) {
	for _, picture := range slices.Concat(MemoryPictures[:1], LoudPictures) {
		t.Run(picture.Name, func(t *testing.T) {
			deployment := startDeployment(t, smallestLimits, Keyed)
			process, monitor := startRouter(t, deployment)
			usual := StartUsualClients(deployment.Addr, deadline)
			stopLoud := startCrowd(t, deployment, 1, picture)
			time.Sleep(loudDuration)
			stopLoud()
			result := usual.Stop()
			checkUsage(t, deployment.Limits, monitor.Stop())
			checkUsual(t, result)
			t.Logf("%d requests executed", len(executionsOf(t, deployment)))
			if slow := result.Latency(0.99); slow > objective {
				t.Errorf("99 of 100 usual requests were answered within %v, want at most %v", slow, objective)
			}
			if process.Exited() {
				t.Errorf("process has exited; log: %s", process.Log.String())
			}
		})
	}
}
