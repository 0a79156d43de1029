package testcluster

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	// waitTimeout is the time limit of each condition that a test waits for. It is long because the
	// machine may be busy.
	waitTimeout = 30 * time.Second

	// servedShare is the minimum share of requests that must be answered with status 200.
	servedShare = 0.98

	// minRequests is the minimum number of requests that a load must have sent for its result to be
	// valid.
	minRequests = 20
)

// shortLeases are the lease settings of tests in which leases expire.
const shortLeases = " lease_ms = 1500\n margin_ms = 150\n"

// loadReportLease is the name of the lease on load reports. The holder of the lease sends health
// checks to the servers in the clusters' zone, and the servers report their loads in the answers.
const loadReportLease = "probe/edge"

// transferPath is the admin API path that makes the holder of loadReportLease transfer the lease.
const transferPath = "/fleet/duty/move/" + loadReportLease

// Member and connectivity states as the admin API prints them.
const (
	stateFailed = "failed"

	connectivityTogether = "together"
	connectivityPartial  = "partial"
	connectivityAlone    = "alone"
)

// Parts of log lines.
const (
	logFailed   = `"what":"failed"`
	logResumed  = `"what":"woken"`
	logConflict = `"what":"conflict"`
	logError    = `"level":"error"`
	logReloaded = `"event":"configuration reloaded"`
)

// logMember returns the part of a log line that names the member described by the line.
func logMember(router *Router) string { return fmt.Sprintf(`"member":%q`, router.Name) }

// program is the path of the daemon; faultProgram is the path of a daemon with failpoints.
var program, faultProgram string

// TestMain builds both programs once for all tests.
func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "testcluster")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "garnetline")
	faultProgram = filepath.Join(dir, "garnetline-faults")
	for path, tags := range map[string]string{program: "", faultProgram: "faults"} {
		build := exec.CommandContext(context.Background(), "go", "build", "-tags", tags, "-o", path, "garnetline/cmd/garnetline")
		if output, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%v: %v\n%s\n", build, err, output)
			return 1
		}
	}
	return m.Run()
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// clusterTest is a cluster whose wait methods end the test if a condition is not met in time.
type clusterTest struct {
	*Cluster
	t *testing.T
}

// startFleet starts routers that form a fleet, and waits until all of them see each other and
// report the connectivity state "together".
func startFleet(t *testing.T, options Options) *clusterTest {
	t.Helper()
	options.Dir = t.TempDir()
	options.Fleet = true
	if options.Program == "" {
		options.Program = program
	}
	// These settings make routers suspect their peers later than by default, because the machine
	// may be busy with other tests. No router may declare a peer failed only because a process gets
	// no processor time for a second.
	options.FleetSettings += " more_room_after_ms = 1000\n probe_ms = 250\n timeout_ms = 120\n suspect_ms = 1500\n"
	cluster, err := Start(options)
	requireNoError(t, err)
	t.Cleanup(cluster.Close)
	fleet := &clusterTest{Cluster: cluster, t: t}
	fleet.waitForConvergence("all have joined", cluster.Routers...)
	fleet.waitForConnectivity("all are together", connectivityTogether, cluster.Routers...)
	return fleet
}

// forSubtest returns the same cluster for the subtest t.
func (c *clusterTest) forSubtest(t *testing.T) *clusterTest {
	t.Helper()
	return &clusterTest{Cluster: c.Cluster, t: t}
}

// require ends the test if err is not nil. Otherwise it logs the description of a condition and the
// time until the condition was met.
func (c *clusterTest) require(description string, elapsed time.Duration, err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatalf("%s: %v", description, err)
	}
	c.t.Logf("%s after %v", description, elapsed.Round(time.Millisecond))
}

func (c *clusterTest) waitUntil(description string, condition Condition) {
	c.t.Helper()
	c.waitUntilWithin(waitTimeout, description, condition)
}

func (c *clusterTest) waitUntilWithin(timeout time.Duration, description string, condition Condition) {
	c.t.Helper()
	elapsed, err := c.WaitUntil(description, timeout, condition)
	requireNoError(c.t, err) // the error names the condition
	c.t.Logf("%s after %v", description, elapsed.Round(time.Millisecond))
}

func (c *clusterTest) waitForConvergence(description string, routers ...*Router) {
	c.t.Helper()
	elapsed, err := c.WaitForConvergence(waitTimeout, routers...)
	c.require(description, elapsed, err)
}

func (c *clusterTest) waitForState(description string, router *Router, state string, observers ...*Router) {
	c.t.Helper()
	elapsed, err := c.WaitForState(waitTimeout, router, state, observers...)
	c.require(description, elapsed, err)
}

func (c *clusterTest) waitForConnectivity(description, state string, routers ...*Router) {
	c.t.Helper()
	elapsed, err := c.WaitForConnectivity(waitTimeout, state, routers...)
	c.require(description, elapsed, err)
}

func (c *clusterTest) waitForBan(description, server string, banned bool, routers ...*Router) {
	c.t.Helper()
	elapsed, err := c.WaitForBan(waitTimeout, server, banned, routers...)
	c.require(description, elapsed, err)
}

func (c *clusterTest) waitForDeferredEnable(description, server string, routers ...*Router) {
	c.t.Helper()
	elapsed, err := c.WaitForDeferredEnable(waitTimeout, server, routers...)
	c.require(description, elapsed, err)
}

func (c *clusterTest) waitForProbes(description string, previousToken uint64) {
	c.t.Helper()
	elapsed, err := c.WaitForProbes(waitTimeout, previousToken)
	c.require(description, elapsed, err)
}

// waitForHolder waits until one of the routers holds a lease. It returns this router and the
// fencing token of the lease.
func (c *clusterTest) waitForHolder(lease string, routers ...*Router) (holder *Router, token uint64) {
	c.t.Helper()
	holder, token, err := c.WaitForHolder(waitTimeout, lease, routers...)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Logf("%s holds %s under fencing token %d", holder.Name, lease, token)
	return holder, token
}

// partition drops all packets between two groups of routers until the fault proxy heals all
// partitions.
func (c *clusterTest) partition(sideA, sideB []*Router) {
	c.Proxy.Partition(proxyNames(sideA), proxyNames(sideB))
}

func proxyNames(routers []*Router) []string {
	var names []string
	for _, router := range routers {
		names = append(names, router.ProxyName())
	}
	return names
}

// postAdmin sends a POST request to a router's admin API. It returns an error unless the response
// has the status wantStatus.
func postAdmin(router *Router, path string, wantStatus int) error {
	code, body, err := router.CallAdmin(http.MethodPost, path)
	if err != nil {
		return fmt.Errorf("%s: POST %s: %w", router.Name, path, err)
	}
	if code != wantStatus {
		return fmt.Errorf("%s: POST %s: got status %d, want %d: %s", router.Name, path, code, wantStatus, body)
	}
	return nil
}

func (c *clusterTest) post(router *Router, path string, wantStatus int) {
	c.t.Helper()
	requireNoError(c.t, postAdmin(router, path, wantStatus))
}

// metricsContain returns the condition that a router's metrics contain the given line.
func metricsContain(router *Router, line string) Condition {
	return func() (bool, string) {
		_, metrics, err := router.CallAdmin(http.MethodGet, "/metrics")
		return strings.Contains(string(metrics), line+"\n"), fmt.Sprintf("%v, metrics:\n%s", err, metrics)
	}
}

// expectNoFalseFailures reports an error for each log line in which a router declares another
// router failed. Lines about the excluded routers are allowed, since the test has killed, paused or
// throttled them.
func (c *clusterTest) expectNoFalseFailures(excluded ...*Router) {
	c.t.Helper()
	isExcluded := func(line string) bool {
		return slices.ContainsFunc(excluded, func(router *Router) bool { return strings.Contains(line, logMember(router)) })
	}
	for _, router := range c.Routers {
		for line := range strings.Lines(router.Output.String()) {
			if strings.Contains(line, logFailed) && !isExcluded(line) {
				c.t.Errorf("%s declared a running router failed: %s", router.Name, line)
			}
		}
	}
}

// expectTokenOrder reports an error for each server that received a health check after a health
// check with a later fencing token.
func (c *clusterTest) expectTokenOrder() {
	c.t.Helper()
	for _, server := range c.Servers {
		if _, err := server.Handovers(); err != nil {
			c.t.Error(err)
		}
	}
}

// stopLoad stops a load and reports an error if its clients observed lost requests, too many
// attempts or too few served requests.
func (c *clusterTest) stopLoad(load *Load) {
	c.t.Helper()
	result := load.Stop()
	if err := result.Check(servedShare); err != nil {
		c.t.Error(err)
	}
	if result.Requests < minRequests {
		c.t.Errorf("got %d requests, want at least %d", result.Requests, minRequests)
	}
	c.t.Logf("%d requests, p50 %v, p99 %v, by status %v", result.Requests, result.P50, result.P99, result.Statuses)
}

// killAndExclude kills a router and excludes it from the result of the load.
func killAndExclude(load *Load, router *Router) {
	load.SetExcluded(router, true)
	router.Kill()
}

// stopAndExclude stops a router gracefully and excludes it from the result of the load.
func (c *clusterTest) stopAndExclude(load *Load, router *Router) {
	c.t.Helper()
	load.SetExcluded(router, true)
	requireNoError(c.t, router.Stop())
}
