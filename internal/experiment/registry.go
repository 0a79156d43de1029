package experiment

import (
	"fmt"
	"math"

	"garnetline/internal/fleet/consensus"
)

// Registry is a run of the lease registry's voters and of routers that hold leases, on one
// virtual clock. It measures the cost of leases: messages, commands, disk writes and memory. The
// seed determines all results except the heap.
type Registry struct {
	Seed                 uint64
	Voters               int
	Routers              int
	Leases               int
	Settings             consensus.Settings
	TransferInterval     float64 // mean ms between transfers of a lease; 0: no transfers
	ResponseLossInterval float64 // mean ms between two periods, each two TTLs long, in which a router receives no responses; 0: no such periods
}

// RegistryResult is the result of a run of Registry.
type RegistryResult struct {
	GrantTimes    []float64 // ms from a router's first request until it holds the lease, sorted
	TransferTimes []float64 // ms from the release until another router holds the lease, sorted
	Requests      int       // sent by routers
	Messages      int       // sent between voters
	Bytes         int       // total size of the messages between voters
	RequestBytes  int       // total size of requests and responses
	Commands      uint64    // applied by the leader
	DiskSyncs     int       // of the leader's disk
	DiskBytes     int       // largest size of the files on the leader's disk
	Heap          []uint64  // bytes on the heap of this process, after each eighth of the run
	LeasesHeld    int       // leases held at the end of the run
	SimulatedTime float64   // ms
}

const (
	msPerSecond    = 1000
	secondsPerHour = 3600
	bytesPerKB     = 1 << 10
	bytesPerMB     = 1 << 20
)

// Row formats a run and its result as a row of a Markdown table.
func (o Registry) Row(result RegistryResult) string {
	seconds := result.SimulatedTime / msPerSecond
	perSecond := func(count int) float64 { return float64(count) / seconds }
	var heap []string
	for _, bytes := range result.Heap {
		heap = append(heap, fmt.Sprintf("%.1f", float64(bytes)/bytesPerMB))
	}
	return fmt.Sprintf("| %d, %d, %d | %.1f | %d of %d | %s, %s | %s, %s | %.1f | %.1f, %.0f | %.0f | %d | %d | %.0f | %v |",
		o.Voters, o.Routers, o.Leases, seconds/secondsPerHour, result.LeasesHeld, o.Leases,
		quantileText(result.GrantTimes, 0.5), quantileText(result.GrantTimes, 0.99),
		quantileText(result.TransferTimes, 0.5), quantileText(result.TransferTimes, 0.99),
		perSecond(result.Requests), perSecond(result.Messages), perSecond(result.Bytes), perSecond(result.RequestBytes),
		result.Commands, result.DiskSyncs, float64(result.DiskBytes)/bytesPerKB, heap)
}

// quantileText formats a quantile of sorted values. It returns "-" if there are no values.
func quantileText(sorted []float64, q float64) string {
	value := Quantile(sorted, q)
	if math.IsNaN(value) {
		return "-"
	}
	return fmt.Sprintf("%.1f", value)
}
