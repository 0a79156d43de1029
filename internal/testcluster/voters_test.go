package testcluster

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// TestVotersAreReplaced checks how voters are replaced, added and removed. A voter that has lost
// its disk returns as a learner and becomes a voter again. A router that only its own settings file
// lists as a voter does not become a voter. It becomes a voter when operators add it. A voter that
// operators remove is no longer a voter.
func TestVotersAreReplaced(t *testing.T) {
	const requestPeriod = time.Second // time in which the unlisted router asks several times to become a voter
	cluster := startFleet(t, Options{Routers: 4, Servers: 1, Voters: 3, Seed: 23})
	configured := cluster.Routers[:3]
	cluster.waitForVoters(configured, "r00", "r01", "r02")
	_, firstToken := cluster.waitForHolder(loadReportLease, cluster.Routers...)

	wiped := cluster.Routers[1]
	wiped.Kill()
	requireNoError(t, os.RemoveAll(filepath.Join(wiped.StateDir(), "garnetline-elector-"+wiped.Name)))
	requireNoError(t, wiped.Start())
	cluster.waitForVoters(configured, "r00", "r01", "r02")

	unlisted := cluster.Routers[3]
	unlisted.Kill()
	unlisted.Voters = []string{"r00", "r01", "r03"}
	requireNoError(t, unlisted.WriteSettings(FleetKey))
	requireNoError(t, unlisted.Start())
	cluster.waitForConvergence("all have converged", cluster.Routers...)
	time.Sleep(requestPeriod)
	leader := cluster.waitForVoters(configured, "r00", "r01", "r02")

	cluster.post(leader, "/fleet/elector/add/"+unlisted.Name, http.StatusOK)
	leader = cluster.waitForVoters(cluster.Routers, "r00", "r01", "r02", "r03")
	removed := cluster.Routers[2]
	if leader == removed {
		removed = cluster.Routers[0]
	}
	cluster.post(leader, "/fleet/elector/remove/"+removed.Name, http.StatusOK)
	var remaining []*Router
	var names []string
	for _, router := range cluster.Routers {
		if router != removed {
			remaining = append(remaining, router)
			names = append(names, router.Name)
		}
	}
	cluster.waitForVoters(remaining, names...)
	if _, lastToken := cluster.waitForHolder(loadReportLease, cluster.Routers...); lastToken < firstToken {
		t.Errorf("got fencing token %d, want at least %d", lastToken, firstToken)
	}
}

// waitForVoters waits until the routers agree that exactly the named routers are voters and that
// there are no learners. It returns the leader.
func (c *clusterTest) waitForVoters(routers []*Router, names ...string) (leader *Router) {
	c.t.Helper()
	c.waitUntil(fmt.Sprint("the voters are ", names), func() (bool, string) {
		leader = nil
		for _, router := range routers {
			status, err := router.Leases()
			if err != nil {
				return false, err.Error()
			}
			registry := status.Registry
			voters := slices.Sorted(slices.Values(registry.Voters))
			if !slices.Equal(voters, names) || len(registry.Learners) > 0 {
				return false, fmt.Sprintf("%s: voters %v, learners %v, leader %s %s", router.Name, voters, registry.Learners, registry.Leader, registry.Fault)
			}
			if registry.Leading {
				leader = router
			}
		}
		return leader != nil, "no leader"
	})
	return leader
}
