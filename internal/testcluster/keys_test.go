package testcluster

import (
	"net"
	"strings"
	"syscall"
	"testing"
)

// TestKeyRotationAndForeignPackets checks that three reloads of all routers replace the fleet key
// without the loss of a member. Packets from senders without the key, of other protocol versions
// and of other fleets are dropped. Each of these three kinds is counted separately.
func TestKeyRotationAndForeignPackets(t *testing.T) {
	const newKey = "another key for routers on loopback"
	cluster := startFleet(t, Options{Routers: 5, Servers: 1, Seed: 8})
	for _, step := range []struct {
		name string
		keys []string
	}{
		{"accept the new key", []string{FleetKey, newKey}},
		{"send with the new key", []string{newKey, FleetKey}},
		{"drop the old key", []string{newKey}},
	} {
		t.Run(step.name, func(t *testing.T) {
			for _, router := range cluster.Routers {
				cluster.forSubtest(t).reloadKeys(router, step.keys)
			}
		})
	}

	zeros := strings.Repeat("\x00", 200)
	for _, test := range []struct {
		counter string
		packet  string
	}{
		{"strangers", strings.Repeat("x", 200)},
		{"other_versions", "gf\x09" + zeros},
		{"other_fleets", "gf\x01" + zeros},
	} {
		t.Run(test.counter, func(t *testing.T) {
			const packets = 20
			receiver := cluster.Routers[0]
			sendPackets(t, receiver.FleetAddr, test.packet, packets)
			cluster.forSubtest(t).waitUntil("all packets are counted", metricsContain(receiver, "app_fleet_"+test.counter+"_total 20"))
		})
	}
	cluster.waitForConvergence("all have converged", cluster.Routers...)
	cluster.expectNoFalseFailures()
}

// reloadKeys makes a router reload its settings with the given fleet keys.
func (c *clusterTest) reloadKeys(router *Router, keys []string) {
	c.t.Helper()
	before := router.CountLogLines(logReloaded)
	requireNoError(c.t, router.WriteSettings(keys...))
	requireNoError(c.t, router.Signal(syscall.SIGHUP))
	c.waitUntil(router.Name+" has reloaded", func() (bool, string) {
		return router.CountLogLines(logReloaded) > before, "no further log line about a reload"
	})
}

func sendPackets(t *testing.T, addr, packet string, count int) {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "udp", addr)
	requireNoError(t, err)
	defer func() { _ = conn.Close() }()
	for range count {
		_, err := conn.Write([]byte(packet))
		requireNoError(t, err)
	}
}
