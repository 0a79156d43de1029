package testcluster

import (
	"fmt"
	"testing"
	"time"
)

// Bounds on the number of requests that one of three servers receives in a second. The three
// servers together receive 160 requests a second.
const (
	minShare        = 30 // minimum if all routers use the server; an equal share is 53
	maxEjectedShare = 12 // maximum if all routers have ejected the server
)

// TestOneRouterProbesRecoveredServer checks that a single router first probes a server that has
// failed and recovered. The other routers use the server again one after another, at the configured
// rate.
func TestOneRouterProbesRecoveredServer(t *testing.T) {
	const (
		maxFirstSecond  = 25              // requests in the first second of the recovery
		minRecoveryTime = 2 * time.Second // the routers return at a rate of one router a second
	)
	cluster := startFleet(t, Options{
		Routers:       8,
		Servers:       3,
		Voters:        5,
		LeaseSettings: shortLeases + " first_try {\n  routers_per_s = 1\n }\n",
		Seed:          24,
	})
	cluster.waitForHolder("first/edge", cluster.Routers...)
	load := cluster.StartLoad(50*time.Millisecond, cluster.Routers...)
	server := cluster.Servers[0]
	cluster.waitUntil("the server has its share", shareAtLeast(server, minShare))
	server.SetFailing(true)
	cluster.waitUntil("all routers have ejected the server", func() (bool, string) {
		rate := latestRate(server)
		return rate <= maxEjectedShare, fmt.Sprint(rate, " requests in a second")
	})

	recoveredAt := time.Now()
	server.SetFailing(false)
	var probedAt time.Time
	cluster.waitUntil("the server is probed", func() (bool, string) {
		var probed bool
		probedAt, probed = firstRequestAfter(server, recoveredAt)
		return probed, "no request since the recovery"
	})
	cluster.waitUntil("the server has its share again", shareAtLeast(server, minShare))
	recoveryTime := time.Since(recoveredAt)
	firstSecond := server.RequestsBetween(probedAt, probedAt.Add(time.Second))
	t.Logf("%d requests in the first second after the first probe, all routers are back after %v", firstSecond, recoveryTime)
	if firstSecond > maxFirstSecond {
		t.Errorf("got %d requests in the first second, want at most %d", firstSecond, maxFirstSecond)
	}
	if recoveryTime < minRecoveryTime {
		t.Errorf("got all routers back after %v, want at least %v", recoveryTime, minRecoveryTime)
	}
	cluster.stopLoad(load)
}

// latestRate returns the number of requests that a server received in the last second.
func latestRate(server *Server) int {
	now := time.Now()
	return server.RequestsBetween(now.Add(-time.Second), now)
}

func shareAtLeast(server *Server, share int) Condition {
	return func() (bool, string) {
		rate := latestRate(server)
		return rate >= share, fmt.Sprint(rate, " requests in a second")
	}
}

// firstRequestAfter returns the time at which a server received its first request after the time
// start, rounded up by at most 10 ms.
func firstRequestAfter(server *Server, start time.Time) (at time.Time, found bool) {
	const step = 10 * time.Millisecond
	for at = start; at.Before(time.Now()); at = at.Add(step) {
		if server.RequestsBetween(start, at) > 0 {
			return at, true
		}
	}
	return time.Time{}, false
}
