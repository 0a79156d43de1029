// Package loadreport polls the servers of one zone for their load. Only the lease holder of the
// zone polls; it sends the reports to the other routers of the zone. If each router polled on its
// own, every server would have to answer the polls of all routers.
//
// The Collector checks the lease again right before it writes a poll. Otherwise, a router whose
// process was paused after it had decided to poll could write the poll under a lease that has
// ended.
//
// Collector runs one goroutine, and one more for each poll that is under way. All its methods but
// Run may be called by any goroutine.
package loadreport

import (
	"net/netip"

	"garnetline/routing"
)

// leaseNamePrefix is the prefix of the names of the load report leases, one for each zone. The registry
// stores the names, so the prefix keeps the text of the first release.
const leaseNamePrefix = "probe/"

// LeaseName returns the name of the lease whose holder may poll the load of a zone's servers.
func LeaseName(zone string) string { return leaseNamePrefix + zone }

// Server is a server to poll.
type Server struct {
	ID      routing.ServerID
	Address netip.AddrPort
}
