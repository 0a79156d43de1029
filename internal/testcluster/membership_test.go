package testcluster

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"garnetline/internal/fleet"
)

// One of eight routers is killed, one is stopped in order, and both are started again, while
// requests go on.
func TestKilledAndStoppedRoutersRejoin(t *testing.T) {
	cluster := startFleet(t, Options{Routers: 8, Servers: 3, Seed: 1})
	load := cluster.StartLoad(40*time.Millisecond, cluster.Routers...)
	killed, stopped := cluster.Routers[5], cluster.Routers[6]
	killAndExcuse(load, killed)
	cluster.waitForState("the killed router has failed", killed, stateFailed, cluster.Running()...)
	cluster.stopAndExcuse(load, stopped)
	cluster.waitForState("the stopped router has left", stopped, stateLeft, cluster.Running()...)
	requireNoError(t, killed.Start())
	requireNoError(t, stopped.Start())
	cluster.waitForConvergence("both have rejoined", cluster.Routers...)
	if got := cluster.Routers[0].CountLogLines(logFailed, logMember(stopped)); got != 0 {
		t.Errorf("got %d log lines that the stopped router failed, want none", got)
	}
	load.SetExcused(killed, false)
	load.SetExcused(stopped, false)
	cluster.stopLoad(load)
	cluster.expectNoFalseFailures(killed)
}

// Guards against a router that fails all its peers once it runs again, since it has not received
// from any of them for long.
func TestStalledRouterRejoinsAndFailsNobody(t *testing.T) {
	const furtherStall = 2 * time.Second // after all have failed it
	cluster := startFleet(t, Options{Routers: 8, Servers: 1, Seed: 4})
	stalled := cluster.Routers[2]
	requireNoError(t, stalled.Pause())
	cluster.waitForState("the paused router has failed", stalled, stateFailed, cluster.Running(stalled)...)
	time.Sleep(furtherStall)
	requireNoError(t, stalled.Resume())
	cluster.waitForConvergence("the resumed router has rejoined", cluster.Routers...)
	if got := stalled.CountLogLines(logFailed); got != 0 {
		t.Errorf("the resumed router logs %d failures of others, want none", got)
	}
	if stalled.CountLogLines(logResumed) == 0 {
		t.Error("the resumed router does not log that it was paused")
	}
	cluster.expectNoFalseFailures(stalled)
}

// All routers are restarted one after another within seconds; then all but one are killed.
func TestRollingRestartAndLastRouterServesAlone(t *testing.T) {
	const (
		restartInterval = 150 * time.Millisecond
		loadDuration    = 600 * time.Millisecond
	)
	cluster := startFleet(t, Options{Routers: 6, Servers: 2, Seed: 5})
	for _, router := range cluster.Routers {
		router.Kill()
		requireNoError(t, router.Start())
		time.Sleep(restartInterval)
	}
	cluster.waitUntil("each view has all six in their second incarnation", func() (bool, string) {
		return allRestarted(cluster.Routers)
	})
	cluster.waitForConnectivity("all are together", connectivityTogether, cluster.Routers...)

	last := cluster.Routers[0]
	for _, router := range cluster.Routers[1:] {
		router.Kill()
	}
	cluster.waitForConnectivity("the last router is alone", connectivityAlone, last)
	status, err := last.Status()
	requireNoError(t, err)
	if status.Known != len(cluster.Routers) {
		t.Errorf("alone, got %d known routers, want %d", status.Known, len(cluster.Routers))
	}
	if code, _, err := last.CallAdmin(http.MethodGet, "/ready"); code != http.StatusOK || err != nil {
		t.Errorf("alone, /ready: got status %d, %v, want %d", code, err, http.StatusOK)
	}
	load := cluster.StartLoad(20*time.Millisecond, last)
	time.Sleep(loadDuration)
	cluster.stopLoad(load)
}

// allRestarted tells whether each view has all routers, alive and in their second incarnation.
func allRestarted(routers []*Router) (met bool, observed string) {
	for _, router := range routers {
		status, err := router.Status()
		if err != nil {
			return false, err.Error()
		}
		if status.Present != len(routers) {
			return false, fmt.Sprintf("%s: %d present", router.Name, status.Present)
		}
		for _, member := range status.Members {
			if member.Incarnation != 2 || member.State != stateAlive {
				return false, fmt.Sprintf("%s sees %s %s, incarnation %d", router.Name, member.Name, member.State, member.Incarnation)
			}
		}
	}
	return true, ""
}

// While a router is upgraded, its two processes are one member, and a ban that is set at the
// admin API of the new one holds at all routers. Requests go on.
func TestUpgradingRouterIsOneMember(t *testing.T) {
	const server = "s-00000002"
	cluster := startFleet(t, Options{Routers: 5, Servers: 3, Seed: 6})
	load := cluster.StartLoad(30*time.Millisecond, cluster.Routers...)
	upgraded := cluster.Routers[1]
	requireNoError(t, upgraded.Upgrade(func() error {
		if err := postAdmin(upgraded, "/caches/disable/"+server, http.StatusOK); err != nil {
			return err
		}
		_, err := cluster.WaitForBan(waitTimeout, server, true, cluster.Routers...)
		return err
	}))
	cluster.waitUntil("the upgraded router is one member, in its second incarnation", func() (bool, string) {
		status, err := cluster.Routers[0].Status()
		if err != nil {
			return false, err.Error()
		}
		member := findMember(status, upgraded)
		met := member.Incarnation == 2 && member.State == stateAlive && len(status.Members) == len(cluster.Routers)
		return met, fmt.Sprintf("%+v of %d", member, len(status.Members))
	})
	cluster.expectNoFalseFailures()
	cluster.stopLoad(load)
}

// findMember returns the first member of a view with the router's name, or none.
func findMember(status *fleet.Status, router *Router) fleet.MemberStatus {
	for _, member := range status.Members {
		if member.Name == router.Name {
			return member
		}
	}
	return fleet.MemberStatus{}
}

// Two routers have one name by mistake: each router logs it once, as an error, and both stay
// members.
func TestNameConflictIsReportedAndBothStay(t *testing.T) {
	cluster := startFleet(t, Options{Routers: 4, Servers: 1, Seed: 7})
	original := cluster.Routers[2]
	mistaken, err := cluster.AddRouter(original.Name, 4)
	requireNoError(t, err)
	cluster.waitForConvergence("both are members", cluster.Routers...)
	cluster.waitUntil("each router logs the conflict once", func() (bool, string) {
		for _, router := range cluster.Routers {
			if got := router.CountLogLines(logError, logConflict); got != 1 {
				return false, fmt.Sprintf("%s logs it %d times", router.ProxyName(), got)
			}
		}
		return true, ""
	})
	mistaken.Kill()
	cluster.waitForState("the mistaken router has failed", mistaken, stateFailed, cluster.Running()...)
	cluster.waitForState("the original has not", original, stateAlive, cluster.Running()...)
}
