package testcluster

import "time"

// defaultTimeout is the timeout of a cluster whose Options.Timeout is 0.
const defaultTimeout = 30 * time.Second

// FleetKey is the initial fleet key of all routers in a cluster.
const FleetKey = "a key for routers on loopback"

// Options configure a cluster.
type Options struct {
	Program        string   // path of the daemon
	Env            []string // additional environment of the daemon, KEY=VALUE
	Routers        int
	Servers        int
	Fleet          bool          // the routers form a fleet
	Voters         int           // number of voters; the first routers are the voters; 0: no leases
	LeaseSettings  string        // additional lines of the block "duties" in the settings file
	NoSettingsFile bool          // the daemon is started without a settings file
	FleetSettings  string        // additional lines of the block "fleet" in the settings file
	Seed           uint64        // for the random numbers of the fault proxy and the clients
	Dir            string        // parent directory of the routers' files; created if needed
	Timeout        time.Duration // time limit for a process to become ready or to exit; 0: 30 s
}
