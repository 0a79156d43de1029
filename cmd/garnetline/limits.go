package main

import (
	"math"
	"runtime"
	"runtime/debug"
	"runtime/metrics"

	"garnetline/internal/frontend/dnsfront"
	"garnetline/internal/platformconfig"
)

const (
	// programBytes is the memory that the kernel counts beside the Go runtime's: the pages of the
	// program's file, and what the C library holds.
	programBytes = 17 << 20
	// successorBytes is kept free for the start of a process that replaces this one.
	successorBytes = 22 << 20
	// successorSockets is the same for descriptors.
	successorSockets = 48
	// runtimeShare is the fraction of the remaining memory that the Go runtime may use. The kernel can
	// count somewhat more than the runtime does.
	runtimeShare = 0.90
	// clientShare is the fraction of the runtime's memory that may be held for clients. The garbage
	// collector and the rest of the process need the other part.
	clientShare = 0.65
	// minRuntimeBytes is the least memory that the runtime is limited to. With less, the garbage
	// collector would run all the time.
	minRuntimeBytes = 12 << 20
	// minClientBytes is the least memory that may be held for clients, enough for some connections.
	minClientBytes = 2 << 20
	// clientConnectionShare and upstreamConnectionShare are fractions of the limit on file
	// descriptors. The rest is for files, the admin API and the DNS front.
	clientConnectionShare   = 0.6
	upstreamConnectionShare = 0.3
	// shutdownConnectionShare replaces clientConnectionShare at shutdown, so that connections in the backlog
	// are served although all others are in use.
	shutdownConnectionShare = 0.66
	// unlimitedClientConnections is the limit on client connections if the configuration has no
	// limit on file descriptors.
	unlimitedClientConnections = 1024
	// maxAdminConnections is the limit on concurrent connections to the admin API.
	maxAdminConnections = 12
	// adminBytes is set aside for the connections to the admin API, which answers however much clients
	// hold. A connection has its buffers, a head and a body.
	adminBytes = maxAdminConnections * (100 << 10)
	// dnsConnectionBytes and dnsQueryBytes are set aside for each TCP connection of the DNS front, whose
	// messages have up to 64 KiB, and for each query that it answers at a time.
	dnsConnectionBytes = 80 << 10
	dnsQueryBytes      = 8 << 10
)

// memoryLimits are the limits that follow from the memory of one process.
type memoryLimits struct {
	runtimeBytes int64 // limit of the Go runtime; 0: no limit
	clientBytes  int64 // limit of what is held for clients; 0: no limit
}

// memoryShare says which part of the configured memory a process has, and what it sets aside.
type memoryShare struct {
	processes     int   // running processes of the router, which share the memory
	replaceable   bool  // another process may be started beside this one
	reservedBytes int64 // memory that is not available to clients
}

// newMemoryLimits returns the limits of one process. A process that can be replaced leaves room for the
// start of its successor.
func newMemoryLimits(limits platformconfig.Limits, part memoryShare) memoryLimits {
	if limits.MemoryMB <= 0 {
		return memoryLimits{}
	}
	total := int64(limits.MemoryMB) << 20
	share := total / int64(part.processes)
	if part.replaceable && part.processes == 1 {
		share = max(total-successorBytes, total/2)
	}
	runtimeBytes := max(int64(float64(share-programBytes)*runtimeShare), minRuntimeBytes)
	clientBytes := int64(float64(runtimeBytes)*clientShare) - part.reservedBytes
	return memoryLimits{runtimeBytes: runtimeBytes, clientBytes: max(clientBytes, minClientBytes)}
}

// reservedBytes returns the memory that the admin API and the DNS front need whatever clients hold.
func reservedBytes(dns dnsfront.Config) int64 {
	if !dns.Enabled {
		return adminBytes
	}
	return adminBytes + int64(dns.MaxConnections)*dnsConnectionBytes + int64(dns.MaxInflight)*dnsQueryBytes
}

// applyProcessors sets the number of processors of the Go runtime.
func applyProcessors(limits platformconfig.Limits) {
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(limits.Cores+0.5)))
	}
}

// applyRuntimeMemory sets the memory limit of the Go runtime. If the runtime holds more than a lower
// limit allows, applyRuntimeMemory returns unused memory to the system at once.
func applyRuntimeMemory(bytes int64) {
	if bytes <= 0 {
		return
	}
	if previous := debug.SetMemoryLimit(bytes); bytes < previous {
		debug.FreeOSMemory()
	}
}

// shareOfSockets returns the limits with this process's share of the descriptors. A process that can be
// replaced leaves some for the start of its successor.
func shareOfSockets(limits platformconfig.Limits, processes int, replaceable bool) platformconfig.Limits {
	share := limits.Sockets / processes
	if replaceable && processes == 1 && share > 0 {
		share = max(share-successorSockets, share/2)
	}
	limits.Sockets = share
	return limits
}

// maxClientConnections returns the limit on concurrent client connections.
func maxClientConnections(limits platformconfig.Limits) int {
	if limits.Sockets == 0 {
		return unlimitedClientConnections
	}
	return max(1, int(float64(limits.Sockets)*clientConnectionShare))
}

// maxShutdownConnections returns the limit on concurrent client connections at shutdown.
func maxShutdownConnections(limits platformconfig.Limits) int {
	if limits.Sockets == 0 {
		return math.MaxInt
	}
	return max(1, int(float64(limits.Sockets)*shutdownConnectionShare))
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
