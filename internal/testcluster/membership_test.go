package testcluster

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"garnetline/internal/fleet"
)

// TestKilledAndStoppedRoutersRejoin checks that two of eight routers rejoin when they are started
// again, one after it was killed and the other after it was stopped gracefully. Clients send
// requests during the test.
func TestKilledAndStoppedRoutersRejoin(t *testing.T) {
	cluster := startFleet(t, Options{Routers: 8, Servers: 3, Seed: 1})
	load := cluster.StartLoad(40*time.Millisecond, cluster.Routers...)
	killed, stopped := cluster.Routers[5], cluster.Routers[6]
	killAndExclude(load, killed)
	cluster.waitForState("the killed router has failed", killed, stateFailed, cluster.Running()...)
	cluster.stopAndExclude(load, stopped)
	cluster.waitForState("the stopped router has left", stopped, stateLeft, cluster.Running()...)
	requireNoError(t, killed.Start())
	requireNoError(t, stopped.Start())
	cluster.waitForConvergence("both have rejoined", cluster.Routers...)
	if got := cluster.Routers[0].CountLogLines(logFailed, logMember(stopped)); got != 0 {
		t.Errorf("got %d log lines that declare the stopped router failed, want none", got)
	}
	load.SetExcluded(killed, false)
	load.SetExcluded(stopped, false)
	cluster.stopLoad(load)
	cluster.expectNoFalseFailures(killed)
}

// TestStalledRouterRejoinsAndFailsNoPeer checks that a router that runs again after a long stall
// rejoins and does not declare its peers failed. During the stall, the router received no packets
// from its peers.
func TestStalledRouterRejoinsAndFailsNoPeer(t *testing.T) {
	const furtherStall = 2 * time.Second // additional stall after all other routers have declared the router failed
	cluster := startFleet(t, Options{Routers: 8, Servers: 1, Seed: 4})
	stalled := cluster.Routers[2]
	requireNoError(t, stalled.Pause())
	cluster.waitForState("the paused router has failed", stalled, stateFailed, cluster.Running(stalled)...)
	time.Sleep(furtherStall)
	requireNoError(t, stalled.Resume())
	cluster.waitForConvergence("the resumed router has rejoined", cluster.Routers...)
	if got := stalled.CountLogLines(logFailed); got != 0 {
		t.Errorf("got %d log lines in which the resumed router declares another router failed, want none", got)
	}
	if stalled.CountLogLines(logResumed) == 0 {
		t.Error("got no log line of the resumed router about its pause, want one")
	}
	cluster.expectNoFalseFailures(stalled)
}

// TestRollingRestartAndLastRouterServesAlone checks that all routers see each other again after
// they were killed and restarted within seconds, one after another. Then the test kills all routers
// but one, and checks that the last router serves requests alone.
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
	cluster.waitUntil("each router sees all six routers in their second incarnation", func() (bool, string) {
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
		t.Errorf("got %d known routers at the last router, want %d", status.Known, len(cluster.Routers))
	}
	if code, _, err := last.CallAdmin(http.MethodGet, "/ready"); code != http.StatusOK || err != nil {
		t.Errorf("/ready at the last router: got status %d, error %v, want status %d", code, err, http.StatusOK)
	}
	load := cluster.StartLoad(20*time.Millisecond, last)
	time.Sleep(loadDuration)
	cluster.stopLoad(load)
}

// allRestarted reports whether every router sees all routers as alive and in their second
// incarnation.
func allRestarted(routers []*Router) (met bool, observed string) {
	for _, router := range routers {
		status, err := router.Status()
		if err != nil {
			return false, err.Error()
		}
		if status.Present != len(routers) {
			return false, fmt.Sprintf("%s: %d routers present", router.Name, status.Present)
		}
		for _, member := range status.Members {
			if member.Incarnation != 2 || member.State != stateAlive {
				return false, fmt.Sprintf("%s sees %s %s, incarnation %d", router.Name, member.Name, member.State, member.Incarnation)
			}
		}
	}
	return true, ""
}

// TestUpgradingRouterIsOneMember checks that the two processes of a router that is being upgraded
// count as one member. A ban that is set at the admin API of the new process takes effect at all
// routers. Requests are served throughout.
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
		return met, fmt.Sprintf("found %+v among %d members", member, len(status.Members))
	})
	cluster.expectNoFalseFailures()
	cluster.stopLoad(load)
}

// findMember returns the first member in a view that has the router's name. If there is none, it
// returns the zero MemberStatus.
func findMember(status *fleet.Status, router *Router) fleet.MemberStatus {
	for _, member := range status.Members {
		if member.Name == router.Name {
			return member
		}
	}
	return fleet.MemberStatus{}
}

// TestNameConflictIsReportedAndBothStay checks the effect of two routers that have the same name by
// mistake. Each router logs the conflict once, as an error, and both routers remain members.
func TestNameConflictIsReportedAndBothStay(t *testing.T) {
	cluster := startFleet(t, Options{Routers: 4, Servers: 1, Seed: 7})
	original := cluster.Routers[2]
	mistaken, err := cluster.AddRouter(original.Name, 4)
	requireNoError(t, err)
	cluster.waitForConvergence("both routers with the same name are members", cluster.Routers...)
	cluster.waitUntil("each router logs the conflict once", func() (bool, string) {
		for _, router := range cluster.Routers {
			if got := router.CountLogLines(logError, logConflict); got != 1 {
				return false, fmt.Sprintf("%s logs the conflict %d times", router.ProxyName(), got)
			}
		}
		return true, ""
	})
	mistaken.Kill()
	cluster.waitForState("the mistaken router has failed", mistaken, stateFailed, cluster.Running()...)
	cluster.waitForState("the original router has not failed", original, stateAlive, cluster.Running()...)
}
