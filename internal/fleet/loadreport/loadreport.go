// Package loadreport polls the servers of one zone for their load. The lease holder of the
// zone does it and sends the reports to the zone's other routers: if each polled by itself,
// every server would answer as many polls as there are routers.
//
// A poll is checked at the write: a router that was stopped after it decided to poll writes
// nothing under a lease that has ended.
//
// Collector runs one goroutine, and one more for each poll that is under way. Its methods but
// Run may be called by any goroutine.
package loadreport

import (
	"net/netip"

	"garnetline/routing"
)

// leaseNamePrefix begins the name of the lease in the registry. It is stored there, and stays
// what the first release called it.
const leaseNamePrefix = "probe/"

// LeaseName returns the name of a zone's lease.
func LeaseName(zone string) string { return leaseNamePrefix + zone }

// Server is one that is to be polled.
type Server struct {
	ID      routing.ServerID
	Address netip.AddrPort
}
