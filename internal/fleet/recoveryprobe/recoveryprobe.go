// Package recoveryprobe coordinates the half-open probes of ejected servers within one zone. The
// lease holder sends a single request to an ejected server. The other routers send the server
// nothing until they learn the result. They then return to a recovered server at a limited rate.
//
// The package can only delay a router's own probe. A router that has received no message from the
// lease holder for HolderTimeout probes on its own schedule, as it would without a lease. No router
// sends requests to a server before the router's own ejection time for that server has ended.
//
// Machine makes the decisions, without I/O and without a clock of its own. Coordinator runs it in
// one goroutine. Any goroutine may call the methods of Coordinator except Run.
package recoveryprobe

import (
	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// leaseNamePrefix is the prefix of the names of the recovery probe leases, one for each zone. The registry
// stores the names, so the prefix keeps the text of the first release.
const leaseNamePrefix = "first/"

// returnOrderKey is the key of the hash that orders the returns of routers to a recovered server.
// All releases must use the same key.
const returnOrderKey = leaseNamePrefix + "ramp"

// LeaseName returns the name of the lease whose holder may coordinate the probes of a zone's ejected servers.
func LeaseName(zone string) string { return leaseNamePrefix + zone }

// Settings are the parameters of a Machine. All times are in milliseconds.
type Settings struct {
	ReportInterval float64 // time between two reports of a router that has ejected servers
	HolderTimeout  float64 // time for which a message of the lease holder is valid
	ReturnRate     float64 // routers per second that return to a recovered server
	ResultTTL      float64 // time for which the lease holder stores a result
	ProbeInterval  float64 // shortest time between two probes of the same server by the lease holder
}

// DefaultSettings returns the defaults for the operators' settings file.
func DefaultSettings() Settings {
	return Settings{ReportInterval: 200, HolderTimeout: 1000, ReturnRate: 30, ResultTTL: 60_000, ProbeInterval: 1000}
}

// Input is the local state that one Step reads.
type Input struct {
	Ejected          []routing.ServerID // servers ejected by this router's outlier detection
	FencingToken     uint64             // 0 unless this router holds the lease
	ZonePeers        []membership.ID    // other routers of the zone that are alive
	HolderCandidates []membership.ID    // routers that may hold the lease; entries that are 0 are ignored
}

// Output lists the work that the caller of a Machine must do.
type Output struct {
	EjectionExtensions map[routing.ServerID]float64 // time from now for which each server must stay ejected, ms
	Probes             []routing.ServerID           // servers that this router must eject until one request to the server has succeeded
	Messages           map[membership.ID]Message    // messages to send, by receiver
}
