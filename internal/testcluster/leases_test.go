package testcluster

import (
	"net/http"
	"testing"
	"time"
)

// TestLeaseHasOneHolderAcrossFaults subjects the current holder of a lease to five events, one
// after another. The holder is paused until the lease has expired, and then resumed. It is told to
// transfer the lease. It is cut off from the other routers but not from the servers. It is killed.
// It is stopped gracefully. After each event a router holds the lease again. No server ever
// receives a health check after a health check with a later fencing token. Requests are served
// throughout.
func TestLeaseHasOneHolderAcrossFaults(t *testing.T) {
	const minHandovers = 5
	cluster := startFleet(t, Options{Routers: 8, Servers: 2, Voters: 5, LeaseSettings: shortLeases, Seed: 21})
	holder, token := cluster.waitForHolder(loadReportLease, cluster.Running()...)
	load := cluster.StartLoad(50*time.Millisecond, cluster.Routers...)
	cluster.waitForProbes("the first holder probes", token-1)

	holder, token = cluster.pauseHolder(load, holder, token)
	holder, token = cluster.transferFrom(holder, token)
	token = cluster.cutOffHolder(holder, token)
	holder, _ = cluster.waitForHolder(loadReportLease, cluster.Running()...)
	token = cluster.killHolder(load, holder, token)
	holder, _ = cluster.waitForHolder(loadReportLease, cluster.Running()...)
	cluster.stopAndExclude(load, holder)
	cluster.waitForProbes("another router probes after the holder stopped", token)

	for _, server := range cluster.Servers {
		handovers, err := server.Handovers()
		if err != nil {
			t.Error(err)
		}
		if len(handovers) < minHandovers {
			t.Errorf("%s: got %d handovers, want at least %d", server.Name, len(handovers), minHandovers)
		}
		for _, handover := range handovers {
			t.Logf("%s: from token %d to %d, %v without a probe", server.Name, handover.From, handover.To, handover.Gap.Round(time.Millisecond))
		}
	}
	cluster.stopLoad(load)
}

// pauseHolder pauses the holder until another router has the lease. It returns the other router and
// its fencing token.
func (c *clusterTest) pauseHolder(load *Load, holder *Router, token uint64) (newHolder *Router, newToken uint64) {
	c.t.Helper()
	load.SetExcluded(holder, true)
	requireNoError(c.t, holder.Pause())
	newHolder, newToken = c.waitForHolder(loadReportLease, c.Running(holder)...)
	c.waitForProbes("another router probes after the holder was paused", token)
	requireNoError(c.t, holder.Resume())
	c.waitForConvergence("the resumed router has rejoined", c.Routers...)
	load.SetExcluded(holder, false)
	return newHolder, newToken
}

// transferFrom makes the holder transfer the lease. It returns the new holder and the new fencing
// token.
func (c *clusterTest) transferFrom(holder *Router, token uint64) (newHolder *Router, newToken uint64) {
	c.t.Helper()
	c.post(holder, transferPath, http.StatusOK)
	c.waitForProbes("another router probes after the transfer", token)
	newHolder, newToken = c.waitForHolder(loadReportLease, c.Running()...)
	if newHolder == holder {
		c.t.Errorf("%s has transferred the lease to itself", holder.Name)
	}
	return newHolder, newToken
}

// cutOffHolder cuts the holder off from all other routers, but not from the servers. It reconnects
// the holder when another router has the lease, and returns the new fencing token.
func (c *clusterTest) cutOffHolder(holder *Router, token uint64) (newToken uint64) {
	c.t.Helper()
	c.partition([]*Router{holder}, c.Running(holder))
	_, newToken = c.waitForHolder(loadReportLease, c.Running(holder)...)
	c.waitForProbes("another router probes after the holder was cut off", token)
	c.Proxy.Heal()
	c.waitForConvergence("healed, all have converged", c.Routers...)
	return newToken
}

// killHolder kills the holder and restarts it when another router has the lease. It returns the new
// fencing token.
func (c *clusterTest) killHolder(load *Load, holder *Router, token uint64) (newToken uint64) {
	c.t.Helper()
	killAndExclude(load, holder)
	_, newToken = c.waitForHolder(loadReportLease, c.Running(holder)...)
	c.waitForProbes("another router probes after the holder was killed", token)
	requireNoError(c.t, holder.Start())
	c.waitForConvergence("the killed router has rejoined", c.Routers...)
	load.SetExcluded(holder, false)
	return newToken
}

// TestLeaseExpiresWithoutVoterMajority checks that a lease expires while a majority of the voters
// is down, and that requests are still served. When the voters are back, a router holds the lease
// again. Its fencing token is not lower than that of the expired lease.
func TestLeaseExpiresWithoutVoterMajority(t *testing.T) {
	cluster := startFleet(t, Options{Routers: 5, Servers: 1, Voters: 3, LeaseSettings: shortLeases, Seed: 22})
	_, before := cluster.waitForHolder(loadReportLease, cluster.Routers...)
	load := cluster.StartLoad(50*time.Millisecond, cluster.Routers[3:]...)
	majority := cluster.Routers[:2]
	for _, voter := range majority {
		voter.Kill()
	}
	cluster.waitUntil("no router holds the lease", func() (bool, string) {
		for _, router := range cluster.Running() {
			status, err := router.Leases()
			if err != nil {
				return false, err.Error()
			}
			if len(status.Held) > 0 {
				return false, router.Name + " holds the lease"
			}
		}
		return true, ""
	})
	for _, voter := range majority {
		requireNoError(t, voter.Start())
	}
	// The token stays the same if the holder of the lease was not one of the killed voters.
	if _, after := cluster.waitForHolder(loadReportLease, cluster.Routers...); after < before {
		t.Errorf("got fencing token %d, want at least %d", after, before)
	}
	cluster.expectTokenOrder()
	cluster.stopLoad(load)
}
