package main

import (
	"runtime"
	"runtime/debug"

	"garnetline/internal/platformconfig"
)

const (
	// heapShare is the part of the memory limit that the runtime may use; the kernel counts
	// more than it does.
	heapShare = 0.7
	// clientConnectionShare and upstreamConnectionShare are parts of the limit on descriptors.
	// Files, the admin API and the DNS front have the rest.
	clientConnectionShare   = 0.6
	upstreamConnectionShare = 0.3
	// unlimitedClientConnections applies where the configuration has no limit on descriptors.
	unlimitedClientConnections = 1024
	// maxAdminConnections bounds the callers of the admin API at one time.
	maxAdminConnections = 12
)

// applyRuntimeLimits keeps the process within its limits on memory and processors.
func applyRuntimeLimits(limits platformconfig.Limits) {
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(limits.MemoryMB<<20) * heapShare))
	}
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(limits.Cores+0.5)))
	}
}

// maxClientConnections is how many clients' connections may be open at one time.
func maxClientConnections(limits platformconfig.Limits) int {
	if limits.Sockets == 0 {
		return unlimitedClientConnections
	}
	return max(1, int(float64(limits.Sockets)*clientConnectionShare))
}

// maxUpstreamConnections is how many connections to servers may be open at one time, or 0
// where the configuration has no limit.
func maxUpstreamConnections(limits platformconfig.Limits) int64 {
	return int64(float64(limits.Sockets) * upstreamConnectionShare)
}
