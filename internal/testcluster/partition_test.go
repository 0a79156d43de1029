package testcluster

import (
	"testing"
	"time"

	"garnetline/internal/faultproxy"
)

// A partition into halves, and one in which a single router reaches both sides: all views are
// equal after each has healed. Requests go on through all of it.
func TestFleetConvergesAfterPartitions(t *testing.T) {
	const bridgedPeriod = 4 * time.Second // long enough to be failed in without the bridge
	cluster := startFleet(t, Options{Routers: 8, Servers: 3, Seed: 2})
	load := cluster.StartLoad(50*time.Millisecond, cluster.Routers...)
	one, other := cluster.Routers[:4], cluster.Routers[4:]
	cluster.partition(one, other)
	cluster.waitForConvergence("one half has converged", one...)
	cluster.waitForConvergence("the other half has converged", other...)
	cluster.waitForConnectivity("both are partial", connectivityPartial, cluster.Routers...)
	cluster.Proxy.Heal()
	cluster.waitForConvergence("healed, all have converged", cluster.Routers...)
	cluster.waitForConnectivity("healed, all are together", connectivityTogether, cluster.Routers...)

	cluster.partition(one[1:], other) // one[0] is the bridge
	time.Sleep(bridgedPeriod)
	cluster.waitForConvergence("all are alive across the bridge", cluster.Routers...)
	cluster.Proxy.Heal()
	cluster.stopLoad(load)
}

// All packets pass lines that lose, duplicate, reorder, corrupt and delay; one router receives
// nothing from one other; one is paused now and then, and one has a tenth of its processor time.
// No router that runs is failed, and neither of the slow ones fails others.
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
			t.Errorf("%s, slow itself, logs %d failures of others, want none", slow.Name, got)
		}
	}
}
