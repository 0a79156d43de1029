package testcluster

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Live returns the routers whose processes run and are not among those given.
func (r *Cluster) Running(but ...*Router) (l []*Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.Routers {
		if x.Running() && !slices.Contains(but, x) {
			l = append(l, x)
		}
	}
	return l
}

// Seen is how a router sees the others, in a few words that are the same for equal views.
func (x *Router) MembershipView() string {
	s, err := x.Status()
	if err != nil {
		return err.Error()
	}
	var l []string
	for _, m := range s.Members {
		if m.State != "left" {
			l = append(l, m.Name+" "+m.State)
		}
	}
	return strings.Join(l, ", ")
}

// Alike waits until all of these routers see just these as alive.
func (r *Cluster) WaitForConvergence(within time.Duration, of ...*Router) (time.Duration, error) {
	return r.WaitUntil(fmt.Sprintf("%d routers see each other as alive and nobody else", len(of)), within, func() (bool, string) {
		for _, x := range of {
			s, err := x.Status()
			if err != nil {
				return false, err.Error()
			}
			alive := 0
			for _, m := range s.Members {
				if m.State == "alive" || m.State == "suspect" {
					alive++
				}
			}
			if alive != len(of) || strings.Contains(x.MembershipView(), "suspect") {
				return false, x.Name + " sees " + x.MembershipView()
			}
		}
		return true, ""
	})
}

// Sees waits until all of these routers see a router in a state.
func (r *Cluster) WaitForState(within time.Duration, who *Router, state string, of ...*Router) (time.Duration, error) {
	return r.WaitUntil(who.Name+" is "+state+" in each view", within, func() (bool, string) {
		for _, x := range of {
			s, err := x.Status()
			if err != nil {
				return false, err.Error()
			}
			as := "unknown"
			for _, m := range s.Members {
				if m.Name == who.Name && m.Addr == who.AdvertisedAddr {
					as = m.State
				}
			}
			if as != state {
				return false, x.Name + " sees it as " + as
			}
		}
		return true, ""
	})
}

// Told counts the lines of a router's log that hold each of some texts.
func (x *Router) CountLogLines(texts ...string) (n int) {
	for line := range strings.Lines(x.Output.String()) {
		all := true
		for _, t := range texts {
			all = all && strings.Contains(line, t)
		}
		if all {
			n++
		}
	}
	return n
}

// Stands waits until all of these routers are in a stance.
func (r *Cluster) WaitForConnectivity(within time.Duration, stance string, of ...*Router) (time.Duration, error) {
	return r.WaitUntil("all are "+stance, within, func() (bool, string) {
		for _, x := range of {
			s, err := x.Status()
			if err != nil {
				return false, err.Error()
			}
			if s.Connectivity != stance {
				return false, fmt.Sprintf("%s is %s, %d of %d", x.Name, s.Connectivity, s.Present, s.Known)
			}
		}
		return true, ""
	})
}

// Banned waits until a ban of a box holds, or does not, at all of these routers.
func (r *Cluster) WaitForBan(within time.Duration, box string, on bool, at ...*Router) (time.Duration, error) {
	return r.WaitUntil(fmt.Sprintf("%s banned %v", box, on), within, func() (bool, string) {
		for _, x := range at {
			s, err := x.Status()
			if err != nil {
				return false, err.Error()
			}
			if slices.Contains(s.Bans, box) != on {
				return false, fmt.Sprintf("%s bans %v", x.Name, s.Bans)
			}
		}
		return true, ""
	})
}
