package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"garnetline/internal/faultproxy"
	"garnetline/internal/testcluster"
)

const (
	// readyTimeout is the maximum time until all routers are ready.
	readyTimeout = 30 * time.Second

	// settleTime is the time between the moment when all routers are ready and the start of clients.
	settleTime = 2 * time.Second

	// faultDuration is the duration of each fault.
	faultDuration = 3 * time.Second

	// resumeGrace is the time after the end of a router's pause in which requests at the router may
	// still be lost.
	resumeGrace = 500 * time.Millisecond

	// requestInterval is the time between two requests of a client; each router has one client.
	requestInterval = 20 * time.Millisecond
)

// requestsCommand measures the results of clients' requests under faults. Each round has a run with
// the fleet off and a run with the fleet on.
func requestsCommand() *cli.Command {
	return &cli.Command{
		Name:  "requests",
		Usage: "measure requests of clients to real routers under faults, with the fleet off and on in turn",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "routers", Value: 8},
			&cli.IntFlag{Name: "rounds", Value: 3},
			programFlag(),
		},
		Action: measureRequests,
	}
}

func measureRequests(_ context.Context, command *cli.Command) error {
	program, err := programPath(command)
	if err != nil {
		return err
	}
	fmt.Println("| round | fleet | requests | without a complete response | served | p50, ms | p99, ms | maximum of attempts |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for round := 1; round <= command.Int("rounds"); round++ {
		for _, fleet := range []bool{false, true} {
			result, err := runRequests(testcluster.Options{
				Program: program,
				Routers: command.Int("routers"),
				Servers: 4,
				Fleet:   fleet,
				Seed:    uint64(round),
			})
			if err != nil {
				return err
			}
			fmt.Printf("| %d | %v | %d | %d | %d | %.1f | %.1f | %d |\n", round, fleet, result.Requests, len(result.Lost),
				result.Statuses[http.StatusOK], milliseconds(result.P50), milliseconds(result.P99), result.MaxAttempts)
			printLost(result)
		}
	}
	return nil
}

// printLost prints the requests without a complete response to standard error.
func printLost(result testcluster.Result) {
	for _, lost := range result.Lost {
		fmt.Fprintln(os.Stderr, lost)
	}
}

// runRequests starts a cluster with clients, injects a fixed sequence of faults, and returns the
// results of the clients' requests.
func runRequests(options testcluster.Options) (testcluster.Result, error) {
	var result testcluster.Result
	err := withCluster(options, func(cluster *testcluster.Cluster) error {
		run, err := newRequestRun(cluster)
		if err != nil {
			return err
		}
		if err := run.injectFaults(); err != nil {
			return err
		}
		result = run.result()
		return nil
	})
	return result, err
}

// requestRun is a cluster with clients. Requests at a router whose process is down or paused do
// not count as lost.
type requestRun struct {
	cluster *testcluster.Cluster
	load    *testcluster.Load
}

// newRequestRun waits until all routers are ready, and starts the clients.
func newRequestRun(cluster *testcluster.Cluster) (*requestRun, error) {
	allReady := func() (bool, string) {
		for _, router := range cluster.Routers {
			if status, _, err := router.CallAdmin(http.MethodGet, "/ready"); status != http.StatusOK {
				return false, fmt.Sprint(router.Name, status, err)
			}
		}
		return true, ""
	}
	if _, err := cluster.WaitUntil("all routers are ready", readyTimeout, allReady); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	return &requestRun{cluster: cluster, load: cluster.StartLoad(requestInterval, cluster.Routers...)}, nil
}

// injectFaults injects a crash, a pause, bad links and, while the links are bad, a failing server.
func (r *requestRun) injectFaults() error {
	time.Sleep(faultDuration) // a period without faults, for comparison
	if err := r.crashAndPause(r.cluster.Routers[1], r.cluster.Routers[2]); err != nil {
		return err
	}
	r.degradeLinks()
	time.Sleep(faultDuration)
	r.failServer(r.cluster.Servers[1])
	r.cluster.Proxy.Heal()
	time.Sleep(faultDuration)
	return nil
}

// crashAndPause kills and restarts one router, and then pauses and resumes another. Requests that are
// lost at the restarted router count only after the other router has resumed.
func (r *requestRun) crashAndPause(crashed, paused *testcluster.Router) error {
	r.load.SetExcluded(crashed, true)
	crashed.Kill()
	time.Sleep(faultDuration)
	if err := crashed.Start(); err != nil {
		return err
	}
	r.load.SetExcluded(paused, true)
	if err := paused.Pause(); err != nil {
		return err
	}
	time.Sleep(faultDuration)
	if err := paused.Resume(); err != nil {
		return err
	}
	r.load.SetExcluded(crashed, false)
	time.Sleep(resumeGrace)
	r.load.SetExcluded(paused, false)
	return nil
}

// degradeLinks partitions the routers with even indexes from those with odd indexes, and makes
// the links within each half lose, corrupt and delay packets.
func (r *requestRun) degradeLinks() {
	cut := faultproxy.Fault{Partitioned: true}
	lossy := faultproxy.Fault{Loss: 0.2, Corrupt: 0.05, Jitter: 20}
	for i, from := range r.cluster.Routers {
		for j, to := range r.cluster.Routers {
			switch {
			case i%2 != j%2:
				r.cluster.Proxy.Set(from.ProxyName(), to.ProxyName(), cut)
			case i != j:
				r.cluster.Proxy.Set(from.ProxyName(), to.ProxyName(), lossy)
			}
		}
	}
}

// failServer makes a server fail for faultDuration.
func (r *requestRun) failServer(server *testcluster.Server) {
	server.SetFailing(true)
	time.Sleep(faultDuration)
	server.SetFailing(false)
}

// result stops the load and returns the results of the clients' requests.
func (r *requestRun) result() testcluster.Result { return r.load.Stop() }
