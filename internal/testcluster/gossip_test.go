package testcluster

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"garnetline/internal/fakeserver"
	"garnetline/internal/faultproxy"
)

// Phases of a server in events of the change log.
const (
	phaseReady    = 0
	phaseDraining = 1
)

// TestGossipReplacesUnreachableChangeLog checks that a router that cannot reach its change log
// learns of drains and purges from its peers. When the router can reach its change log again, it
// follows the change log alone. A ban that is set at one router takes effect at all routers.
func TestGossipReplacesUnreachableChangeLog(t *testing.T) {
	const (
		stalePeriod  = 2 * time.Second // time after which the router's watch of the change log is stale
		loadDuration = 600 * time.Millisecond
		bannedServer = "s-00000003"
	)
	cluster := startFleet(t, Options{Routers: 8, Servers: 3, Seed: 9})
	cutOff := cluster.Routers[3]
	outOfRotation := func(count int) Condition {
		return metricsContain(cutOff, fmt.Sprintf("app_out_of_rotation %d", count))
	}
	cluster.Proxy.SetBoth(cutOff.ProxyName(), "log", faultproxy.Fault{Partitioned: true})
	time.Sleep(stalePeriod)

	server := cluster.Servers[1]
	endpoint := fakeserver.Endpoint{ID: uint32(server.ID), Addr: server.Address(), Phase: phaseDraining, Weight: 100}
	cluster.ChangeLog.UpdateEndpoints(endpoint)
	cluster.waitUntil("the drain is followed without the change log", outOfRotation(1))
	before := server.RequestCount()
	load := cluster.StartLoad(20*time.Millisecond, cutOff)
	time.Sleep(loadDuration)
	cluster.stopLoad(load)
	if got := server.RequestCount() - before; got != 0 {
		t.Errorf("got %d requests at the draining server, want none", got)
	}

	cluster.ChangeLog.Purge(7, uint64(time.Now().UnixMilli()))
	cluster.waitUntil("the purge is applied without the change log", func() (bool, string) {
		requireNoError(t, cutOff.Signal(syscall.SIGUSR1)) // the signal makes the router log its counters
		return cutOff.CountLogLines(`"fleet_purges_taken":1`) > 0, "the router has not counted the purge"
	})

	cluster.post(cluster.Routers[0], "/caches/disable/"+bannedServer, http.StatusOK)
	cluster.waitForBan("the ban holds at all routers", bannedServer, true, cluster.Routers...)
	cluster.waitUntil("the ban is followed without the change log", outOfRotation(2))

	cluster.Proxy.Heal()
	endpoint.Phase = phaseReady
	cluster.ChangeLog.UpdateEndpoints(endpoint)
	cluster.waitUntil("the change log alone is followed again", outOfRotation(1))
}

// TestBanSurvivesConcurrentEnable checks the case that sides A and B of a partition both ban a
// server, and that side B then enables the server. The router that received the enable call enables
// the server at once; the other routers of side B defer this, since they see only a part of the
// fleet. After the partition heals, all routers hold the ban of side A, since the enable call at
// side B did not know this ban. A later enable call, at a router that knows the ban, ends the ban
// at all routers, including a router that was paused during the call.
func TestBanSurvivesConcurrentEnable(t *testing.T) {
	const server = "s-00000001"
	cluster := startFleet(t, Options{Routers: 6, Servers: 2, Seed: 10})
	sideA, sideB := cluster.Routers[:3], cluster.Routers[3:]
	disable := func(router *Router) {
		t.Helper()
		cluster.post(router, "/caches/disable/"+server, http.StatusOK)
	}
	enable := func(router *Router) {
		t.Helper()
		cluster.post(router, "/caches/enable/"+server, http.StatusOK)
	}
	cluster.partition(sideA, sideB)
	cluster.waitForConnectivity("both sides are partial", connectivityPartial, cluster.Routers...)
	disable(sideA[0])
	disable(sideB[0])
	cluster.waitForBan("both sides ban the server", server, true, cluster.Routers...)
	enable(sideB[0])
	cluster.waitForBan("the router that was called enables the server", server, false, sideB[0])
	cluster.waitForDeferredEnable("the other routers of its side defer the enable", server, sideB[1:]...)
	cluster.waitForBan("the other routers of its side still ban the server", server, true, sideB[1:]...)
	cluster.waitForBan("the other side still bans the server", server, true, sideA...)
	cluster.Proxy.Heal()
	cluster.waitForBan("all routers ban the server after the partition has healed", server, true, cluster.Routers...)
	cluster.waitForConnectivity("healed, all are together", connectivityTogether, cluster.Routers...)

	paused := cluster.Routers[5]
	requireNoError(t, paused.Pause())
	cluster.waitForState("the paused router has failed", paused, stateFailed, cluster.Running(paused)...)
	enable(cluster.Routers[1])
	cluster.waitForBan("all other routers have enabled the server", server, false, cluster.Running(paused)...)
	requireNoError(t, paused.Resume())
	cluster.waitForBan("the resumed router has enabled the server", server, false, cluster.Routers...)
}
