package testcluster

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Failpoints of a program that was built with the tag "faults".
const (
	failpointWallClock = "fault-wall" // ms
	failpointSaveDelay = "fault-save" // ms
)

// TestWallClockStep checks that leases and purges work although the wall clocks of all routers step
// an hour back and then two hours forward. The holder of a lease keeps the lease through both
// steps. Afterwards the lease can be transferred, and another router acquires the lease when the
// holder stops. The stopped router rejoins with the new time. Purges, which contain wall clock
// times, take effect after each step.
func TestWallClockStep(t *testing.T) {
	cluster := startFleet(t, Options{Program: faultProgram, Routers: 5, Servers: 2, Voters: 3, LeaseSettings: shortLeases, Seed: 41})
	firstHolder, firstToken := cluster.waitForHolder(loadReportLease, cluster.Routers...)
	load := cluster.StartLoad(50*time.Millisecond, cluster.Routers...)
	for _, step := range []struct {
		name        string
		offset      time.Duration
		firstObject int // object whose purge is checked at the first router; each further router checks the next object
	}{
		{"an hour back", -time.Hour, 900},
		{"an hour ahead", time.Hour, 910},
	} {
		t.Run(step.name, func(t *testing.T) {
			cluster.forSubtest(t).expectPurgesHold(load, step.offset, step.firstObject)
		})
	}
	if holder, token := cluster.waitForHolder(loadReportLease, cluster.Routers...); holder != firstHolder || token != firstToken {
		t.Errorf("got holder %s with fencing token %d, want %s with token %d as before the clock steps", holder.Name, token, firstHolder.Name, firstToken)
	}

	cluster.post(firstHolder, transferPath, http.StatusOK)
	cluster.waitForProbes("the lease is transferred", firstToken)
	secondHolder, secondToken := cluster.waitForHolder(loadReportLease, cluster.Routers...)
	cluster.stopAndExclude(load, secondHolder)
	cluster.waitForProbes("the lease is held again after its holder stopped", secondToken)
	requireNoError(t, secondHolder.Start())
	cluster.waitForConvergence("the stopped router has rejoined", cluster.Routers...)
	load.SetExcluded(secondHolder, false)
	cluster.expectTokenOrder()
	cluster.stopLoad(load)
	cluster.expectNoFalseFailures()
}

// expectPurgesHold sets the wall clock offset of all routers and purges one object per router. Each
// router must then request from the servers a copy of its object that is not older than the purge.
func (c *clusterTest) expectPurgesHold(load *Load, offset time.Duration, firstObject int) {
	c.t.Helper()
	const (
		purgeAge     = 100 * time.Millisecond
		purgeTimeout = 5 * time.Second
	)
	for _, router := range c.Routers {
		requireNoError(c.t, router.SetFailpoint(failpointWallClock, offset.Milliseconds()))
	}
	for i, router := range c.Routers {
		object := firstObject + i
		c.ChangeLog.Purge(uint64(object), uint64(time.Now().Add(offset-purgeAge).UnixMilli()))
		description := fmt.Sprintf("the purge holds at %s", router.Name)
		c.waitUntilWithin(purgeTimeout, description, func() (bool, string) {
			load.request(router, object)
			return freshCopyRequested(c.Servers, object), "the servers received no request for a fresh copy"
		})
	}
}

// freshCopyRequested reports whether a server received a request for the object that limits the age
// of the copy.
func freshCopyRequested(servers []*Server, object int) bool {
	asset := fmt.Sprintf("asset=%016x", object)
	for _, server := range servers {
		for _, fields := range server.Requests() {
			if strings.Contains(fields, asset) && strings.Contains(fields, ",fresh=") {
				return true
			}
		}
	}
	return false
}

// TestSlowVoterDisk checks that a lease can be transferred while each disk write of one voter takes
// two seconds. A router acquires the lease again, and requests are still served. No server receives
// a health check after a health check with a later fencing token.
func TestSlowVoterDisk(t *testing.T) {
	cluster := startFleet(t, Options{Program: faultProgram, Routers: 5, Servers: 2, Voters: 3, LeaseSettings: shortLeases, Seed: 42})
	load := cluster.StartLoad(50*time.Millisecond, cluster.Routers...)
	voters := cluster.Routers[:3]
	for _, test := range []struct {
		name   string
		leader bool
	}{
		{"follower", false},
		{"leader", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := cluster.forSubtest(t)
			slow := cluster.waitForVoters(voters, "r00", "r01", "r02")
			if !test.leader {
				slow = lastExcept(voters, slow)
			}
			cluster.expectTransfersWithSlowDisk(slow)
		})
	}
	cluster.waitForVoters(voters, "r00", "r01", "r02")
	cluster.expectTokenOrder()
	cluster.stopLoad(load)
}

func lastExcept(routers []*Router, excluded *Router) (last *Router) {
	for _, router := range routers {
		if router != excluded {
			last = router
		}
	}
	return last
}

func (c *clusterTest) expectTransfersWithSlowDisk(slow *Router) {
	c.t.Helper()
	const (
		saveDelay = 2 * time.Second
		transfers = 2
	)
	requireNoError(c.t, slow.SetFailpoint(failpointSaveDelay, saveDelay.Milliseconds()))
	for range transfers {
		holder, token := c.waitForHolder(loadReportLease, c.Routers...)
		if err := postAdmin(holder, transferPath, http.StatusOK); err != nil {
			c.t.Logf("transfer not confirmed: %v", err) // the call may not be answered in time
		}
		c.waitForProbes("transferred while writes at "+slow.Name+" are slow", token)
	}
	requireNoError(c.t, slow.SetFailpoint(failpointSaveDelay, 0))
}
