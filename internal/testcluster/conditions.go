package testcluster

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"garnetline/internal/fleet"
)

const (
	pollInterval = 20 * time.Millisecond // between two evaluations of a condition
	logLines     = 12                    // number of lines of each router's log in a TimeoutError
)

// Member states as the admin API prints them.
const (
	stateAlive   = "alive"
	stateSuspect = "suspect"
	stateLeft    = "left"
)

// Condition reports whether a condition is met. If it is not met, observed describes the state that
// was found instead.
type Condition func() (met bool, observed string)

// TimeoutError reports a condition that was not met in time.
type TimeoutError struct {
	Condition string
	Timeout   time.Duration
	Observed  string // state found by the last evaluation
	Logs      string // the last lines of the routers' logs
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("condition %q not met within %v, last observed: %s\n%s", e.Condition, e.Timeout, e.Observed, e.Logs)
}

// WaitUntil waits until a condition is met and returns the elapsed time. If the condition is not
// met within the timeout, the error is a *TimeoutError.
func (c *Cluster) WaitUntil(description string, timeout time.Duration, condition Condition) (time.Duration, error) {
	startedAt := time.Now()
	for {
		met, observed := condition()
		elapsed := time.Since(startedAt)
		if met {
			return elapsed, nil
		}
		if elapsed > timeout {
			return elapsed, &TimeoutError{Condition: description, Timeout: timeout, Observed: observed, Logs: c.Logs(logLines)}
		}
		time.Sleep(pollInterval)
	}
}

// statusCheck reports whether a router's status is as expected. If it is not, observed describes
// the status that was found instead.
type statusCheck func(router *Router, status *fleet.Status) (met bool, observed string)

// waitForStatus waits until the argument check accepts the status of every router.
func (c *Cluster) waitForStatus(description string, timeout time.Duration, routers []*Router, check statusCheck) (time.Duration, error) {
	return c.WaitUntil(description, timeout, func() (bool, string) {
		for _, router := range routers {
			status, err := router.Status()
			if err != nil {
				return false, err.Error()
			}
			if met, observed := check(router, status); !met {
				return false, router.Name + ": " + observed
			}
		}
		return true, ""
	})
}

// WaitForConvergence waits until every router sees all of the routers as alive and no other member
// as alive or suspect.
func (c *Cluster) WaitForConvergence(timeout time.Duration, routers ...*Router) (time.Duration, error) {
	description := fmt.Sprintf("%d routers see each other as alive and no other member", len(routers))
	return c.waitForStatus(description, timeout, routers, func(_ *Router, status *fleet.Status) (bool, string) {
		converged := countMembers(status, stateAlive) == len(routers) && countMembers(status, stateSuspect) == 0
		return converged, "sees " + membershipView(status)
	})
}

// WaitForState waits until every observer sees the router in the given state.
func (c *Cluster) WaitForState(timeout time.Duration, router *Router, state string, observers ...*Router) (time.Duration, error) {
	description := router.Name + " is " + state + " in each router's view"
	return c.waitForStatus(description, timeout, observers, func(_ *Router, status *fleet.Status) (bool, string) {
		seen := memberState(status, router)
		return seen == state, "sees the router as " + seen
	})
}

// WaitForConnectivity waits until every router reports the given connectivity state.
func (c *Cluster) WaitForConnectivity(timeout time.Duration, state string, routers ...*Router) (time.Duration, error) {
	return c.waitForStatus("all routers are "+state, timeout, routers, func(_ *Router, status *fleet.Status) (bool, string) {
		observed := fmt.Sprintf("is %s, %d of %d known routers present", status.Connectivity, status.Present, status.Known)
		return status.Connectivity == state, observed
	})
}

// WaitForBan waits until a server is banned at every router. If the argument banned is false, it
// waits until the server is banned at no router.
func (c *Cluster) WaitForBan(timeout time.Duration, server string, banned bool, routers ...*Router) (time.Duration, error) {
	description := fmt.Sprintf("server %s has banned=%v at all routers", server, banned)
	return c.waitForStatus(description, timeout, routers, func(_ *Router, status *fleet.Status) (bool, string) {
		return slices.Contains(status.Bans, server) == banned, describeBans(status)
	})
}

// WaitForDeferredEnable waits until every router knows that another router has enabled a server, and
// defers this.
func (c *Cluster) WaitForDeferredEnable(timeout time.Duration, server string, routers ...*Router) (time.Duration, error) {
	description := fmt.Sprintf("the enable of server %s is deferred at all routers", server)
	return c.waitForStatus(description, timeout, routers, func(_ *Router, status *fleet.Status) (bool, string) {
		return slices.Contains(status.DeferredEnables, server), describeBans(status)
	})
}

func describeBans(status *fleet.Status) string {
	return fmt.Sprintf("bans %v, deferred enables %v", status.Bans, status.DeferredEnables)
}

// membershipView lists the members in a router's view with their states. It omits members that have
// left.
func membershipView(status *fleet.Status) string {
	var members []string
	for _, member := range status.Members {
		if member.State != stateLeft {
			members = append(members, member.Name+" "+member.State)
		}
	}
	return strings.Join(members, ", ")
}

func countMembers(status *fleet.Status, state string) (count int) {
	for _, member := range status.Members {
		if member.State == state {
			count++
		}
	}
	return count
}

// memberState returns the state of a router in another router's view. If the view does not contain
// the router, memberState returns "unknown". It compares the address as well as the name, since two
// routers may have the same name by mistake.
func memberState(status *fleet.Status, router *Router) string {
	state := "unknown"
	for _, member := range status.Members {
		if member.Name == router.Name && member.Addr == router.AdvertisedAddr {
			state = member.State
		}
	}
	return state
}
