package testcluster

import (
	"fmt"
	"strings"
	"time"
)

// LeaseStatus is a page of the admin API. It shows a router's view of the lease registry, and the
// leases that the router itself holds.
type LeaseStatus struct {
	Registry struct {
		Voter    bool     `json:"elector"`
		Leading  bool     `json:"leading"`
		Leader   string   `json:"leader"`
		Fault    string   `json:"fault"`
		Voters   []string `json:"voters"`
		Learners []string `json:"learners"`
		Term     uint64   `json:"term"`
		Applied  uint64   `json:"applied"`
		Leases   []struct {
			Lease        string `json:"duty"`
			Holder       string `json:"holder"`
			FencingToken uint64 `json:"token"`
		} `json:"duties"`
	} `json:"register"`
	Held []struct {
		Lease        string `json:"Duty"`
		FencingToken uint64 `json:"Token"`
	} `json:"held"`
}

// tokenOf returns the fencing token of a lease that the router itself holds.
func (s *LeaseStatus) tokenOf(lease string) (token uint64, held bool) {
	for _, own := range s.Held {
		if own.Lease == lease {
			return own.FencingToken, true
		}
	}
	return 0, false
}

// Leases returns the router's view of the lease registry, and the leases that the router itself
// holds.
func (r *Router) Leases() (*LeaseStatus, error) {
	status := &LeaseStatus{}
	if err := r.getPage("/fleet/duties", status); err != nil {
		return nil, err
	}
	return status, nil
}

// WaitForHolder waits until one of the routers reports that it holds the lease. It returns this
// router and the fencing token of the lease.
func (c *Cluster) WaitForHolder(timeout time.Duration, lease string, routers ...*Router) (holder *Router, token uint64, err error) {
	_, err = c.WaitUntil("a router holds the lease "+lease, timeout, func() (bool, string) {
		var observed strings.Builder
		for _, router := range routers {
			status, err := router.Leases()
			if err != nil {
				fmt.Fprintf(&observed, "%v; ", err)
				continue
			}
			var held bool
			if token, held = status.tokenOf(lease); held {
				holder = router
				return true, ""
			}
			registry := status.Registry
			fmt.Fprintf(&observed, "%s: leader %q, leases %v, fault %q; ", router.Name, registry.Leader, registry.Leases, registry.Fault)
		}
		return false, observed.String()
	})
	return holder, token, err
}

// WaitForProbes waits until the latest health check at each server has a fencing token greater than
// previousToken.
func (c *Cluster) WaitForProbes(timeout time.Duration, previousToken uint64) (time.Duration, error) {
	description := fmt.Sprintf("all servers receive health checks with a fencing token greater than %d", previousToken)
	return c.WaitUntil(description, timeout, func() (bool, string) {
		for _, server := range c.Servers {
			probes := server.Probes()
			if len(probes) == 0 || probes[len(probes)-1].FencingToken <= previousToken {
				return false, "no health check with such a token at " + server.Name
			}
		}
		return true, ""
	})
}
