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
	// readyTimeout is how long all routers together may take to be ready.
	readyTimeout = 30 * time.Second

	// settleTime is how long routers that are ready run before clients start.
	settleTime = 2 * time.Second

	// faultDuration is how long each fault lasts.
	faultDuration = 3 * time.Second

	// resumeGrace is how long requests at a router that was paused may still be lost.
	resumeGrace = 500 * time.Millisecond

	// requestInterval is the time between two requests of a client; each router has one client.
	requestInterval = 20 * time.Millisecond
)

// requestsCommand measures what clients see, with the fleet on and off in turn.
func requestsCommand() *cli.Command {
	return &cli.Command{
		Name:  "requests",
		Usage: "what clients of real routers see under faults, with the fleet on and off in turn",
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
	fmt.Println("| round | fleet | requests | without one whole answer | served | p50, ms | p99, ms | most attempts |")
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

// printLost lists the requests without a whole answer on standard error.
func printLost(result testcluster.Result) {
	for _, lost := range result.Lost {
		fmt.Fprintln(os.Stderr, lost)
	}
}

// runRequests starts a cluster, injects the same faults each time and returns what its clients
// saw.
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

// requestRun is a cluster with clients. The requests that a router owes while its process is
// down or paused are not counted as lost.
type requestRun struct {
	cluster *testcluster.Cluster
	load    *testcluster.Load
}

// newRequestRun starts the clients once all routers are ready.
func newRequestRun(cluster *testcluster.Cluster) (*requestRun, error) {
	allReady := func() (bool, string) {
		for _, router := range cluster.Routers {
			if status, _, err := router.CallAdmin(http.MethodGet, "/ready"); status != http.StatusOK {
				return false, fmt.Sprint(router.Name, status, err)
			}
		}
		return true, ""
	}
	if _, err := cluster.WaitUntil("all ready", readyTimeout, allReady); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	return &requestRun{cluster: cluster, load: cluster.StartLoad(requestInterval, cluster.Routers...)}, nil
}

// injectFaults plays all faults: a crash, a pause, bad links, and then a failing server on top.
func (r *requestRun) injectFaults() error {
	time.Sleep(faultDuration) // without a fault, to compare with
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

// crashAndPause kills one router and restarts it while another is paused. The restarted router
// is excused until the other has resumed.
func (r *requestRun) crashAndPause(crashed, paused *testcluster.Router) error {
	r.load.SetExcused(crashed, true)
	crashed.Kill()
	time.Sleep(faultDuration)
	if err := crashed.Start(); err != nil {
		return err
	}
	r.load.SetExcused(paused, true)
	if err := paused.Pause(); err != nil {
		return err
	}
	time.Sleep(faultDuration)
	if err := paused.Resume(); err != nil {
		return err
	}
	r.load.SetExcused(crashed, false)
	time.Sleep(resumeGrace)
	r.load.SetExcused(paused, false)
	return nil
}

// degradeLinks cuts the routers in halves, by even and odd indexes, and makes the links within
// each half lose and corrupt packets.
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

// failServer has a server fail for a while.
func (r *requestRun) failServer(server *testcluster.Server) {
	server.SetFailing(true)
	time.Sleep(faultDuration)
	server.SetFailing(false)
}

// result ends the load and returns what the clients saw.
func (r *requestRun) result() testcluster.Result { return r.load.Stop() }
