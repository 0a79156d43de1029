package main

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"

	"garnetline/internal/platformconfig"
)

const (
	// heapShare is the fraction of the memory limit that the Go runtime may use. It is below 1
	// because the kernel counts more memory than the runtime does.
	heapShare = 0.7
	// clientConnectionShare and upstreamConnectionShare are fractions of the limit on file
	// descriptors. The rest is for files, the admin API and the DNS front.
	clientConnectionShare   = 0.6
	upstreamConnectionShare = 0.3
	// unlimitedClientConnections is the limit on client connections if the configuration has no
	// limit on file descriptors.
	unlimitedClientConnections = 1024
	// maxAdminConnections is the limit on concurrent connections to the admin API.
	maxAdminConnections = 12
)

// applyRuntimeLimits sets the memory limit and the number of processors of the Go runtime.
func applyRuntimeLimits(limits platformconfig.Limits) {
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(limits.MemoryMB<<20) * heapShare))
	}
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(limits.Cores+0.5)))
	}
}

// maxClientConnections returns the limit on concurrent client connections.
func maxClientConnections(limits platformconfig.Limits) int {
	if limits.Sockets == 0 {
		return unlimitedClientConnections
	}
	return max(1, int(float64(limits.Sockets)*clientConnectionShare))
}

// maxUpstreamConnections returns the limit on concurrent connections to servers, or 0 if the
// configuration has no limit on file descriptors.
func maxUpstreamConnections(limits platformconfig.Limits) int64 {
	return int64(float64(limits.Sockets) * upstreamConnectionShare)
}

// heapBytes returns the memory of the objects in the Go heap. Objects that are no longer used count
// until the garbage collector has freed them.
func heapBytes() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
