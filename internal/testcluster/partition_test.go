package testcluster

import (
	"testing"
	"time"

	"garnetline/internal/faultproxy"
)

// TestFleetConvergesAfterPartitions checks that all routers have the same view of the fleet after
// each of two partitions has healed. The first partition separates two halves of the fleet. The
// second separates two sides that both still reach one router, the bridge. Requests are served
// throughout.
func TestFleetConvergesAfterPartitions(t *testing.T) {
	const bridgedPeriod = 4 * time.Second // without the bridge, routers would be declared failed in this time
	cluster := startFleet(t, Options{Routers: 8, Servers: 3, Seed: 2})
	load := cluster.StartLoad(50*time.Millisecond, cluster.Routers...)
	sideA, sideB := cluster.Routers[:4], cluster.Routers[4:]
	cluster.partition(sideA, sideB)
	cluster.waitForConvergence("one half has converged", sideA...)
	cluster.waitForConvergence("the other half has converged", sideB...)
	cluster.waitForConnectivity("both halves are partial", connectivityPartial, cluster.Routers...)
	cluster.Proxy.Heal()
	cluster.waitForConvergence("healed, all have converged", cluster.Routers...)
	cluster.waitForConnectivity("healed, all are together", connectivityTogether, cluster.Routers...)

	cluster.partition(sideA[1:], sideB) // the first router, which is the bridge, reaches both sides
	time.Sleep(bridgedPeriod)
	cluster.waitForConvergence("all are alive across the bridge", cluster.Routers...)
	cluster.Proxy.Heal()
	cluster.stopLoad(load)
}

// TestLossAndStallsFailNoHealthyRouter checks that routers declare no healthy router failed on an
// unreliable network. All links lose, duplicate, reorder, corrupt and delay packets. One router
// receives nothing from one other router, one router is paused repeatedly, and one router gets a
// tenth of its processor time. Only the paused and the throttled router may be declared failed.
// Neither of these two declares another router failed.
func TestLossAndStallsFailNoHealthyRouter(t *testing.T) {
	const (
		pauses        = 4
		pauseDuration = 700 * time.Millisecond
	)
	cluster := startFleet(t, Options{Routers: 8, Servers: 3, Seed: 3})
	paused, throttled := cluster.Routers[7], cluster.Routers[6]
	load := cluster.StartLoad(50*time.Millisecond, cluster.Routers[:6]...)
	for _, from := range cluster.Routers {
		for _, to := range cluster.Routers {
			cluster.Proxy.Set(from.ProxyName(), to.ProxyName(), faultproxy.Fault{
				Loss:      0.15,
				Duplicate: 0.1,
				Reorder:   0.1,
				Corrupt:   0.02,
				Delay:     1,
				Jitter:    10,
			})
		}
	}
	cluster.Proxy.Set(cluster.Routers[1].ProxyName(), cluster.Routers[2].ProxyName(), faultproxy.Fault{Partitioned: true})
	endThrottle := throttled.Throttle(0.1)
	for range pauses {
		requireNoError(t, paused.Pause())
		time.Sleep(pauseDuration)
		requireNoError(t, paused.Resume())
		time.Sleep(pauseDuration)
	}
	endThrottle()
	cluster.Proxy.Heal()
	cluster.waitForConvergence("healed, all have converged", cluster.Routers...)
	cluster.stopLoad(load)
	cluster.expectNoFalseFailures(paused, throttled)
	for _, slow := range []*Router{paused, throttled} {
		if got := slow.CountLogLines(logFailed); got != 0 {
			t.Errorf("slow router %s: got %d log lines in which it declares others failed, want none", slow.Name, got)
		}
	}
}
