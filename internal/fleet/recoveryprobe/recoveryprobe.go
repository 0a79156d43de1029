// Package recoveryprobe coordinates the half-open probes of ejected servers within one zone:
// the lease holder sends a single request to an ejected server, and the other routers stay
// away from it until they learn the result, and then return at a bounded rate.
//
// The package can only delay a router's own probe. A router that has not heard from the lease
// holder for HolderTimeout probes on its own schedule, as it would without a lease; none sends
// requests to a server before its own ejection time is over.
//
// Machine decides, without I/O and without a clock of its own. Coordinator runs it in one
// goroutine; its methods but Run may be called by any goroutine.
package recoveryprobe

import (
	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// leaseNamePrefix begins the name of the lease in the registry. It is stored there, and stays
// what the first release called it.
const leaseNamePrefix = "first/"

// returnOrderKey is the key of the hash by which routers return to a recovered server. All
// releases must use the same.
const returnOrderKey = leaseNamePrefix + "ramp"

// LeaseName returns the name of a zone's lease.
func LeaseName(zone string) string { return leaseNamePrefix + zone }

// Settings are times, in milliseconds, and a rate.
type Settings struct {
	ReportInterval float64 // between a router's reports of what it has ejected, while there is any
	HolderTimeout  float64 // for which a message of the lease holder is valid
	ReturnRate     float64 // routers a second that return to a server once it has recovered
	ResultTTL      float64 // for which the lease holder remembers a result
	ProbeInterval  float64 // between the lease holder's probes of one server, at least
}

// DefaultSettings returns the settings that hold where the operators' file names none.
func DefaultSettings() Settings {
	return Settings{ReportInterval: 200, HolderTimeout: 1000, ReturnRate: 30, ResultTTL: 60_000, ProbeInterval: 1000}
}

// Input is the local state that one Step works on.
type Input struct {
	Ejected          []routing.ServerID // by this router's outlier detection
	FencingToken     uint64             // 0 unless this router holds the lease
	ZonePeers        []membership.ID    // alive, without this router
	HolderCandidates []membership.ID    // who may hold the lease
}

// Output is what the caller of a Machine must carry out.
type Output struct {
	EjectionExtensions map[routing.ServerID]float64 // ms from now for which to send nothing to a server
	Probes             []routing.ServerID           // to be ejected here until one request has succeeded
	Messages           map[membership.ID]Message
}
