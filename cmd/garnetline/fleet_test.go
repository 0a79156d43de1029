package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"garnetline/internal/daemontest"
	"garnetline/internal/testcluster"
)

// clusterTimeout bounds each wait for a state of a cluster.
const clusterTimeout = 30 * time.Second

// startCluster starts a cluster whose routers run this test binary as the program.
func startCluster(t *testing.T, options testcluster.Options) *testcluster.Cluster {
	t.Helper()
	options.Program = os.Args[0]
	options.Env = daemontest.ProgramEnv()
	options.Dir = t.TempDir()
	cluster, err := testcluster.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	return cluster
}

// lineWriter is an io.Writer that sends each written text on its channel. If the channel is full,
// the text is dropped.
type lineWriter chan string

func (w lineWriter) Write(b []byte) (int, error) {
	select {
	case w <- string(b):
	default:
	}
	return len(b), nil
}

// waitFor waits until a line contains text.
func (w lineWriter) waitFor(t *testing.T, text string) {
	t.Helper()
	timeout := time.After(clusterTimeout)
	for {
		select {
		case line := <-w:
			if strings.Contains(line, text) {
				return
			}
		case <-timeout:
			t.Fatalf("got no line with %q within %v", text, clusterTimeout)
		}
	}
}

// The fleet commands show a running router's view of its fleet as a table and as JSON, and print
// each change.
func TestFleetCommandsShowRouterView(t *testing.T) {
	cluster := startCluster(t, testcluster.Options{Routers: 3, Servers: 1, Fleet: true, Seed: 1})
	if _, err := cluster.WaitForConvergence(clusterTimeout, cluster.Routers...); err != nil {
		t.Fatal(err)
	}
	router := cluster.Routers[0]
	for _, test := range []struct {
		args []string
		want []string
	}{
		{[]string{"status"}, []string{"router  r00", "there   3 of 3 known lately"}},
		{[]string{"members"}, []string{"NAME", "r02", "alive", "itself"}},
		{[]string{"members", "--json"}, []string{`"there": 3`, `"name": "r01"`}},
	} {
		t.Run(strings.Join(test.args, " "), func(t *testing.T) {
			var out bytes.Buffer
			args := slices.Concat([]string{"fleet"}, test.args, []string{"--mgmt", router.AdminAddr})
			if err := newFleetCommand(&out).Run(t.Context(), args); err != nil {
				t.Error(err)
			}
			for _, want := range test.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("want %q in the output: %s", want, out.String())
				}
			}
		})
	}

	for page, want := range map[string]string{"duties": "does not take part in leases", "bans": "does not keep bans in a lease registry"} {
		err := newFleetCommand(io.Discard).Run(t.Context(), []string{"fleet", page, "--mgmt", router.AdminAddr})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("fleet %s without its block in the settings: got %v, want an error with %q", page, err, want)
		}
	}

	ctx, stop := context.WithCancel(t.Context())
	lines, watched := make(lineWriter, 100), make(chan error, 1)
	go func() {
		watched <- newFleetCommand(lines).Run(ctx, []string{"fleet", "watch", "--mgmt", router.AdminAddr})
	}()
	lines.waitFor(t, "r02")
	cluster.Routers[2].Kill()
	lines.waitFor(t, "failed")
	stop()
	if err := <-watched; err != nil {
		t.Errorf("fleet watch: %v", err)
	}
	_, page, err := router.CallAdmin("GET", "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`app_fleet_members{state="failed"} 1`, "app_fleet_known 3\n"} {
		if !strings.Contains(string(page), want) {
			t.Errorf("metrics: want %q in %s", want, page)
		}
	}
}

// footprint holds the properties of a router that can be observed from outside.
type footprint struct {
	sockets     int
	fleetStatus int      // HTTP status of GET /fleet
	metricNames string   // # TYPE lines of GET /metrics
	requests    []string // received by the server, without client timeouts
}

// measureFootprint starts a cluster of one router, which serves five requests, and returns the
// router's footprint.
func measureFootprint(t *testing.T, options testcluster.Options) footprint {
	t.Helper()
	options.Routers, options.Servers, options.Seed = 1, 1, 1
	cluster := startCluster(t, options)
	router := cluster.Routers[0]
	if _, err := cluster.WaitUntil("ready", clusterTimeout, func() (bool, string) {
		status, _, err := router.CallAdmin("GET", "/ready")
		return status == http.StatusOK, fmt.Sprint(status, err)
	}); err != nil {
		t.Fatal(err)
	}
	fleetStatus, _, err := router.CallAdmin("GET", "/fleet")
	if err != nil {
		t.Fatal(err)
	}
	_, page, err := router.CallAdmin("GET", "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	for object := 1; object <= 5; object++ {
		target := fmt.Sprintf("/v1/part/%016x", object)
		daemontest.Exchange(t, router.ListenAddr, readRequest(target, object, daemontest.CloseConnection))
	}
	return footprint{
		sockets:     permanentSockets(t, cluster, router),
		fleetStatus: fleetStatus,
		metricNames: metricTypes(string(page)),
		requests:    withoutClientTimeouts(cluster.Servers[0].Requests()),
	}
}

// permanentSockets returns the number of sockets of a router without its short-lived connections to
// clients and the admin API. It counts the sockets repeatedly until 20 counts in succession have
// brought no new lowest count, and returns the lowest count.
func permanentSockets(t *testing.T, cluster *testcluster.Cluster, router *testcluster.Router) int {
	t.Helper()
	const polls = 20
	least := countSockets(t, router.Pid())
	unchanged := 0 // counts since the lowest one
	if _, err := cluster.WaitUntil("lowest number of sockets", clusterTimeout, func() (bool, string) {
		if count := countSockets(t, router.Pid()); count < least {
			least, unchanged = count, 0
		}
		unchanged++
		return unchanged > polls, ""
	}); err != nil {
		t.Fatal(err)
	}
	return least
}

// countSockets counts the descriptors of a process that are sockets.
func countSockets(t *testing.T, pid int) int {
	t.Helper()
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Skipf("sockets cannot be counted without /proc: %v", err)
	}
	count := 0
	for _, descriptor := range descriptors {
		target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, descriptor.Name()))
		if err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count
}

// metricTypes returns the lines of a metrics page that name a metric and its type.
func metricTypes(page string) string {
	var types strings.Builder
	for line := range strings.Lines(page) {
		if strings.HasPrefix(line, "# TYPE") {
			types.WriteString(line)
		}
	}
	return types.String()
}

// withoutClientTimeouts cuts each request before the field "patience". This field holds the client's
// remaining time, which differs from run to run.
func withoutClientTimeouts(requests []string) []string {
	var cut []string
	for _, fields := range requests {
		before, _, _ := strings.Cut(fields, "patience=")
		cut = append(cut, before)
	}
	return cut
}

// A router without a fleet block behaves like a router without an operators' file: it has the same
// sockets, no fleet page and no fleet metrics, and sends the same requests to its servers. A router
// with a fleet block has one more socket, and sends the same requests.
func TestFleetIsOffWithoutFleetBlock(t *testing.T) {
	withoutFile := measureFootprint(t, testcluster.Options{NoSettingsFile: true})
	withoutBlock := measureFootprint(t, testcluster.Options{})
	withBlock := measureFootprint(t, testcluster.Options{Fleet: true})
	if withoutFile.fleetStatus != 404 || withoutBlock.fleetStatus != 404 || withBlock.fleetStatus != 200 {
		t.Errorf("GET /fleet: got status %d without a file, %d without a block, %d with a block; want 404, 404, 200", withoutFile.fleetStatus, withoutBlock.fleetStatus, withBlock.fleetStatus)
	}
	if withoutFile.sockets != withoutBlock.sockets {
		t.Errorf("got %d sockets without a file and %d without a block, want the same number", withoutFile.sockets, withoutBlock.sockets)
	}
	if withBlock.sockets != withoutBlock.sockets+1 {
		t.Errorf("got %d sockets with a fleet block, want one more than the %d without", withBlock.sockets, withoutBlock.sockets)
	}
	if withoutFile.metricNames != withoutBlock.metricNames {
		t.Errorf("got metrics without a file\n%s\nand without a block\n%s\nwant the same", withoutFile.metricNames, withoutBlock.metricNames)
	}
	if strings.Contains(withoutBlock.metricNames, "fleet") || !strings.Contains(withBlock.metricNames, "fleet") {
		t.Errorf("want fleet metrics only with a fleet block; got without a block\n%s\nand with one\n%s", withoutBlock.metricNames, withBlock.metricNames)
	}
	if len(withoutFile.requests) != 5 || !slices.Equal(withoutFile.requests, withoutBlock.requests) || !slices.Equal(withoutBlock.requests, withBlock.requests) {
		t.Errorf("want the same 5 requests to the server; got without a file\n%q\nwithout a block\n%q\nwith a block\n%q", withoutFile.requests, withoutBlock.requests, withBlock.requests)
	}
}

// The command "check" validates only the operators' file if no platform configuration is named. If
// the file enables a fleet, the command also prints a table of what a router does in each
// connectivity state, which depends on how many routers of the fleet it can reach.
func TestCheckSettingsFileAlone(t *testing.T) {
	const keys = " keys = [\"sixteen bytes or more\"]\n"
	for name, test := range map[string]struct {
		text, wantOutput, wantError string
	}{
		"a log block":          {text: "log {}\n", wantOutput: "x.hcl: can be used"},
		"a fleet":              {text: "fleet {\n enabled = true\n" + keys + "}\n", wantOutput: "deferred until together"},
		"a fleet without keys": {text: "fleet {\n enabled = true\n}\n", wantError: "x.hcl:1: fleet: keys: "},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "x.hcl")
			daemontest.WriteFile(t, path, test.text)
			t.Setenv("EDGE_CONFIG", "")
			var out bytes.Buffer
			err := newCommand(&out).Run(t.Context(), []string{"garnetline", "check", "--settings", path})
			if test.wantError == "" && err != nil {
				t.Error(err)
			}
			if test.wantError != "" && (err == nil || !strings.Contains(err.Error(), test.wantError)) {
				t.Errorf("got %v, want an error with %q", err, test.wantError)
			}
			if !strings.Contains(out.String(), test.wantOutput) {
				t.Errorf("want %q in the output %q", test.wantOutput, out.String())
			}
		})
	}
}
