package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"garnetline/internal/experiment"
	"garnetline/internal/testcluster"
)

const (
	// recoveryProbeLease is the lease whose holder probes ejected servers of the cluster's zone.
	recoveryProbeLease = "first/edge"

	// recoveryRequestRate is the number of requests per second of all clients together.
	recoveryRequestRate = 160

	// minServerRate is the minimum number of requests in one second for a server to count as used
	// by all routers. With three servers, a server's share of recoveryRequestRate is 160 / 3,
	// about 53 requests per second. If only half of the routers used the server, it would receive
	// about 27 requests per second, which is less than the minimum.
	minServerRate = 30

	// serverFailure is the duration of a failure of the server.
	serverFailure = 4 * time.Second

	// minRecoveryTime is the minimum time from a recovery until requests are counted. A count covers
	// the last second. Because minRecoveryTime is longer, only requests after the recovery are
	// counted.
	minRecoveryTime = 1100 * time.Millisecond

	// firstRequestStep is the resolution of the time of the first request after a failure.
	firstRequestStep = 5 * time.Millisecond
)

// recoveryProbeCommand makes a server fail and recover. It compares two kinds of clusters. In the
// first, each router probes the server itself. In the second, the holder of a lease probes the server
// before the other routers.
func recoveryProbeCommand() *cli.Command {
	return &cli.Command{
		Name:  "recovery-probe",
		Usage: "measure the load on a recovering server, with and without one router that probes it for all",
		Flags: []cli.Flag{
			outFlag("returns.md"),
			&cli.IntSliceFlag{Name: "routers", Value: []int{8, 30}},
			&cli.IntFlag{Name: "times", Usage: "number of times that the server fails and recovers", Value: 3},
			programFlag(),
		},
		Action: measureRecoveryProbe,
	}
}

func measureRecoveryProbe(_ context.Context, command *cli.Command) error {
	program, err := programPath(command)
	if err != nil {
		return err
	}
	failures := command.Int("times")
	return writeReport(command.String("out"), "returns.md", func(table *report) error {
		table.printf("Made by `fleetlab recovery-probe --times %d`: processes on one machine, 3 servers, 160 requests/s in total, one server fails for 4 s; `routers_per_s = 10`.\n\n", failures)
		table.println("| routers | lease | requests at the server in the first 0.1 s, 1 s from the first request | used by all routers again after, s | without a complete response |")
		table.println("| --- | --- | --- | --- | --- |")
		for _, routers := range command.IntSlice("routers") {
			for _, coordinated := range []bool{false, true} {
				run := recoveryRun{routers: routers, failures: failures, coordinated: coordinated}
				if err := run.execute(program); err != nil {
					return err
				}
				table.println(run.row())
				fmt.Fprintln(os.Stderr, run.row())
			}
		}
		return nil
	})
}

// recoveryRun measures one cluster, in which one server fails several times.
type recoveryRun struct {
	routers     int
	failures    int
	coordinated bool // the holder of a lease probes before the other routers

	cluster *testcluster.Cluster
	server  *testcluster.Server // the server that fails

	// One value per failure: the requests within 0.1 s and within 1 s of the first request after
	// the failure, and the seconds until all routers use the server again.
	firstTenth  []float64
	firstSecond []float64
	recovery    []float64

	clients testcluster.Result
}

func (r *recoveryRun) execute(program string) error {
	options := testcluster.Options{
		Program:       program,
		Routers:       r.routers,
		Servers:       3,
		Fleet:         true,
		Voters:        5,
		Seed:          1,
		FleetSettings: shortConnectivityDelay,
	}
	if r.coordinated {
		options.LeaseSettings = " first_try {\n  routers_per_s = 10\n }\n"
	}
	return withCluster(options, func(cluster *testcluster.Cluster) error {
		r.cluster = cluster
		r.server = cluster.Servers[0]
		return r.measure()
	})
}

func (r *recoveryRun) measure() error {
	if err := r.awaitFleet(); err != nil {
		return err
	}
	interval := time.Duration(r.routers) * time.Second / recoveryRequestRate
	load := r.cluster.StartLoad(interval, r.cluster.Routers...)
	for range r.failures {
		if _, err := r.cluster.WaitUntil("all routers use the server", convergenceTimeout, r.usedByAll); err != nil {
			return err
		}
		if err := r.failAndRecover(); err != nil {
			return err
		}
	}
	r.clients = load.Stop()
	return nil
}

// awaitFleet waits until the routers see each other and, in a coordinated run, until a router
// holds recoveryProbeLease.
func (r *recoveryRun) awaitFleet() error {
	if _, err := r.cluster.WaitForConvergence(convergenceTimeout, r.cluster.Routers...); err != nil {
		return err
	}
	if !r.coordinated {
		return nil
	}
	_, _, err := r.cluster.WaitForHolder(convergenceTimeout, recoveryProbeLease, r.cluster.Routers...)
	return err
}

// usedByAll reports whether the server received at least minServerRate requests in the last second.
// It returns the number of these requests as text.
func (r *recoveryRun) usedByAll() (ok bool, seen string) {
	now := time.Now()
	rate := r.server.RequestsBetween(now.Add(-time.Second), now)
	return rate >= minServerRate, fmt.Sprint(rate)
}

// failAndRecover makes the server fail and recover, and records how fast the routers use it again.
func (r *recoveryRun) failAndRecover() error {
	r.server.SetFailing(true)
	time.Sleep(serverFailure)
	recoveredAt := time.Now()
	r.server.SetFailing(false)
	usedAgain := func() (bool, string) {
		if time.Since(recoveredAt) < minRecoveryTime {
			return false, ""
		}
		return r.usedByAll()
	}
	took, err := r.cluster.WaitUntil("all routers use the server again", convergenceTimeout, usedAgain)
	if err != nil {
		return err
	}
	firstRequestAt := recoveredAt
	for r.server.RequestsBetween(recoveredAt, firstRequestAt) == 0 {
		firstRequestAt = firstRequestAt.Add(firstRequestStep)
	}
	requestsWithin := func(window time.Duration) float64 {
		return float64(r.server.RequestsBetween(recoveredAt, firstRequestAt.Add(window)))
	}
	r.firstTenth = append(r.firstTenth, requestsWithin(100*time.Millisecond))
	r.firstSecond = append(r.firstSecond, requestsWithin(time.Second))
	r.recovery = append(r.recovery, took.Seconds())
	return nil
}

// row formats the result as a row of the table.
func (r *recoveryRun) row() string {
	lease := "off"
	if r.coordinated {
		lease = "on"
	}
	return fmt.Sprintf("| %d | %s | %.0f, %.0f | %.1f | %d of %d |", r.routers, lease,
		median(r.firstTenth), median(r.firstSecond), median(r.recovery), len(r.clients.Lost), r.clients.Requests)
}

func median(values []float64) float64 {
	return experiment.Quantile(slices.Sorted(slices.Values(values)), 0.5)
}
