package testcluster

import "time"

// defaultTimeout is the Options.Timeout of a cluster that sets none.
const defaultTimeout = 30 * time.Second

// FleetKey is the fleet's key in every cluster.
const FleetKey = "a key for routers on loopback"

// Options say what is started.
type Options struct {
	Program        string   // path of the daemon
	Env            []string // additional environment of the daemon, KEY=VALUE
	Routers        int
	Servers        int
	Fleet          bool          // the routers form a fleet
	Voters         int           // the first so many routers are voters; 0: no leases
	LeaseSettings  string        // additional lines of the duties block
	NoSettingsFile bool          // the daemon is started without the operators' file
	FleetSettings  string        // additional lines of the fleet block
	Seed           uint64        // of the fault proxy and of the clients
	Dir            string        // for files; created if needed
	Timeout        time.Duration // for a process to become ready or to exit; 0: 30 s
}
