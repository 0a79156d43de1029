package testcluster

import (
	"fmt"
	"testing"
	"time"
)

// Requests in the latest second at one of three servers, which receive 160 in all.
const (
	minShare        = 30 // where all routers use the server; an equal share is 53
	maxEjectedShare = 12 // where all routers have ejected the server
)

// A server that failed for a while and serves again is probed by one router first; the others
// return one after another, at the configured rate, and in the end all do.
func TestOneRouterProbesRecoveredServer(t *testing.T) {
	const (
		maxFirstSecond  = 25              // requests in the first second of the recovery
		minRecoveryTime = 2 * time.Second // at one router a second
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
		return probed, "no request"
	})
	cluster.waitUntil("the server has its share again", shareAtLeast(server, minShare))
	recoveryTime := time.Since(recoveredAt)
	firstSecond := server.RequestsBetween(probedAt, probedAt.Add(time.Second))
	t.Logf("%d requests in the first second from the first probe, all routers are back after %v", firstSecond, recoveryTime)
	if firstSecond > maxFirstSecond {
		t.Errorf("got %d requests in the first second, want at most %d", firstSecond, maxFirstSecond)
	}
	if recoveryTime < minRecoveryTime {
		t.Errorf("all routers are back after %v, want at least %v", recoveryTime, minRecoveryTime)
	}
	cluster.stopLoad(load)
}

// latestRate is the number of requests at a server in the latest second.
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

// firstRequestAfter returns when a server received its first request after a time, or at most
// 10 ms later.
func firstRequestAfter(server *Server, start time.Time) (at time.Time, found bool) {
	const step = 10 * time.Millisecond
	for at = start; at.Before(time.Now()); at = at.Add(step) {
		if server.RequestsBetween(start, at) > 0 {
			return at, true
		}
	}
	return time.Time{}, false
}
