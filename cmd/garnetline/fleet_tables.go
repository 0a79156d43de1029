package main

import (
	"io"
	"strings"
	"time"

	"garnetline/internal/clock"
	"garnetline/internal/fleet"
)

// printFleetStatus prints a router's own state and its view of the fleet.
func printFleetStatus(out io.Writer, status *fleet.Status) error {
	table := newTable(out)
	table.linef("router\t%s, seat %s, life %d", status.Name, status.RouterID, status.Incarnation)
	table.linef("fleet\t%s", status.Fleet)
	table.linef("stance\t%s since %s", status.Connectivity, formatTime(status.ConnectivitySince))
	table.linef("there\t%d of %d known lately", status.Present, status.Known)
	if status.HealthScore > 0 {
		table.linef("slowness\t%d: it takes itself for slow, and accuses later", status.HealthScore)
	}
	if !status.Bound {
		table.linef("socket\twaits: another process has the address")
	}
	if status.Superseded {
		table.linef("seat\ta later process has it")
	}
	if watch := status.StaleWatch; watch != nil {
		table.linef("change log\tnot heard since %s: %s", formatTime(watch.Since), watch.Reason)
	}
	if len(status.Bans) > 0 {
		table.linef("banned\t%s", strings.Join(status.Bans, " "))
	}
	if len(status.DeferredEnables) > 0 {
		table.linef("enable deferred\t%s", strings.Join(status.DeferredEnables, " "))
	}
	return table.flush()
}

// printMembers prints a line for each router of the fleet.
func printMembers(out io.Writer, status *fleet.Status) error {
	table := newTable(out)
	table.linef("NAME\tSTATE\tSINCE\tBY\tWAY\tZONE\tVERSION\tLIFE\tADDRESS\tSEAT")
	for i := range status.Members {
		member := &status.Members[i]
		since := "-"
		if member.StateSince > 0 {
			since = formatTime(member.StateSince)
		}
		reportedBy := member.ReportedBy
		if reportedBy == "" {
			reportedBy = "-"
		}
		table.linef("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d.%d\t%s\t%s", member.Name, member.State, since, reportedBy, reachedHow(member),
			member.Zone, member.Version, member.Incarnation, member.Refutations, member.Addr, member.RouterID)
	}
	return table.flush()
}

// reachedHow returns how a router receives news of a member: "itself" for the router's own entry,
// "direct" from the member, or "by others". It returns "-" for a member that failed or left.
func reachedHow(member *fleet.MemberStatus) string {
	switch {
	case member.Self:
		return "itself"
	case member.Direct:
		return "direct"
	case member.State == "failed" || member.State == "left":
		return "-"
	}
	return "by others"
}

// printLeases prints who holds which lease, and the state of the registry.
func printLeases(out io.Writer, page *leasePage) error {
	table := newTable(out)
	for _, lease := range page.Held {
		table.linef("held here\t%s under token %d", lease.Name, lease.FencingToken)
	}
	registry := page.Registry
	if !registry.Voter {
		table.linef("register\tthis router is no elector")
		return table.flush()
	}
	table.linef("leader\t%s, term %d", registry.Leader, registry.Term)
	table.linef("voters\t%s", strings.Join(registry.Voters, " "))
	if len(registry.Learners) > 0 {
		table.linef("learners\t%s", strings.Join(registry.Learners, " "))
	}
	if registry.Fault != "" {
		table.linef("stopped\t%s", strings.ReplaceAll(registry.Fault, "\n", ": "))
	}
	for _, lease := range registry.Leases {
		holder := lease.Holder
		if holder == "" {
			holder = "nobody"
		}
		table.linef("%s\t%s under token %d", lease.Name, holder, lease.FencingToken)
	}
	return table.flush()
}

// formatTime formats a time in Unix milliseconds as the local time of day.
func formatTime(unixMillis float64) string {
	return time.Unix(0, int64(clock.Duration(unixMillis))).Format("15:04:05.000")
}
