package soak

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// programs are built once for all tests.
var programs Programs

// TestMain builds the programs and runs the tests.
func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if programs, err = BuildPrograms(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

const (
	crowdConnections = 600
	pictureDuration  = 3 * time.Second
	deadline         = 3 * time.Second // of all classes
)

// smallestLimits are the smallest limits that the platform names for a router.
var smallestLimits = Limits{MemoryMB: 96, Sockets: 1024}

// TestClientsStayWithinMemoryLimit checks that clients that make the router hold memory do not take it
// over its limit, and that usual clients keep their answers meanwhile.
func TestClientsStayWithinMemoryLimit(t *testing.T) {
	pictures := map[string][]Picture{"mixed": MemoryPictures}
	for _, picture := range MemoryPictures {
		pictures[picture.Name] = []Picture{picture}
	}
	for name, played := range pictures {
		t.Run(name, func(t *testing.T) {
			deployment := startDeployment(t, smallestLimits, Keyed)
			process, monitor := startRouter(t, deployment)
			usual := StartUsualClients(deployment.Addr, deadline)
			stopCrowd := startCrowd(t, deployment, crowdConnections, played...)
			time.Sleep(pictureDuration)
			if _, err := process.Metrics(); err != nil {
				t.Errorf("metrics while clients hold memory: %v", err)
			}
			stopCrowd()
			result := usual.Stop()
			checkUsage(t, deployment.Limits, monitor.Stop())
			checkUsual(t, result)
			checkReleased(t, process)
			if process.Exited() {
				t.Errorf("process has exited; log: %s", process.Log.String())
			}
		})
	}
}

// checkReleased checks that nothing is held for clients that have left.
func checkReleased(t *testing.T, process *Process) {
	t.Helper()
	page := ""
	for deadline := time.Now().Add(deadline); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		page, _ = process.Metrics()
		held := heldLine.FindAllString(page, -1)
		if len(held) == 5 && !slices.ContainsFunc(held, func(line string) bool { return !strings.HasSuffix(line, " 0") }) {
			return
		}
	}
	t.Errorf("got memory held for clients that have left: %q", heldLine.FindAllString(page, -1))
}

// heldLine is a metric of memory that is held for clients.
var heldLine = regexp.MustCompile(`(?m)^app_memory_held_bytes.*$`)

func startDeployment(t *testing.T, limits Limits, kind Kind) *Deployment {
	t.Helper()
	deployment, err := NewDeployment(programs, t.TempDir(), Options{Limits: limits, Kind: kind, Deadline: deadline})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(deployment.Close)
	return deployment
}

// startRouter starts a process and a monitor of its usage.
func startRouter(t *testing.T, deployment *Deployment) (*Process, *UsageMonitor) {
	t.Helper()
	process := startProcess(t, deployment)
	monitor := NewUsageMonitor()
	monitor.Watch(process)
	return process, monitor
}

// startCrowd starts misbehaving clients. The returned function ends them.
func startCrowd(t *testing.T, deployment *Deployment, connections int, pictures ...Picture) (stop func()) {
	t.Helper()
	crowd, err := deployment.StartCrowd(connections, pictures...)
	if err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := crowd.Stop(); err != nil {
			t.Errorf("crowd: %v", err)
		}
	}
}

func startProcess(t *testing.T, deployment *Deployment) *Process {
	t.Helper()
	process, err := deployment.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(process.Kill)
	if err := process.WaitReady(); err != nil {
		t.Fatal(err)
	}
	return process
}

func checkUsage(t *testing.T, limits Limits, peak Usage) {
	t.Helper()
	t.Logf("peak: %.1f MB of %d, %d descriptors of %d", float64(peak.ResidentBytes)/(1<<20), limits.MemoryMB, peak.Descriptors, limits.Sockets)
	if peak.ResidentBytes > int64(limits.MemoryMB)<<20 {
		t.Errorf("resident memory reached %d KB, want at most %d", peak.ResidentBytes>>10, limits.MemoryMB<<10)
	}
	if peak.Descriptors > limits.Sockets {
		t.Errorf("got %d descriptors in use, want at most %d", peak.Descriptors, limits.Sockets)
	}
}

func checkUsual(t *testing.T, result UsualResult) {
	t.Helper()
	t.Logf("usual clients: %d of %d served, half within %v, 99 of 100 within %v, others by status: %v", result.Served, result.Asked, result.Latency(0.5), result.Latency(0.99), result.Unserved)
	for _, lost := range result.Lost {
		t.Errorf("lost request of a usual client: %s", lost)
	}
	if result.Served*10 < result.Asked*9 {
		t.Errorf("%d of %d requests of usual clients were served, want at least nine tenths", result.Served, result.Asked)
	}
}

// executionsOf ends the servers of a deployment and returns the requests that arrived.
func executionsOf(t *testing.T, deployment *Deployment) map[string][]time.Time {
	t.Helper()
	executions, err := deployment.Servers.Executions()
	if err != nil {
		t.Fatal(err)
	}
	return executions
}
