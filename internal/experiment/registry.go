package experiment

import (
	"fmt"
	"math"

	"garnetline/internal/fleet/consensus"
)

// Registry is a run of voters of the lease registry and of routers that hold leases, on one
// virtual clock. It measures what leases cost the voters, and what a voter stores. All but
// the heap follows from the seed.
type Registry struct {
	Seed               uint64
	Voters             int
	Routers            int
	Leases             int
	Settings           consensus.Settings
	TransferInterval   float64 // mean ms between transfers of a lease; 0: there are none
	AnswerLossInterval float64 // mean ms until a router receives no response for two TTLs; 0: it always does
}

// RegistryResult is what a run of Registry measured.
type RegistryResult struct {
	GrantTimes    []float64 // ms from a router's first request until it holds the lease, sorted
	TransferTimes []float64 // ms from the release until another router holds the lease, sorted
	Requests      int       // of routers
	Messages      int       // between voters
	Bytes         int       // of the messages between voters
	RequestBytes  int       // of requests and responses
	Commands      uint64    // applied by the leader
	DiskSyncs     int       // of the leader's disk
	DiskBytes     int       // stored on the leader's disk at most
	Heap          []uint64  // bytes on the heap of this process, after each eighth of the run
	LeasesHeld    int       // at the end
	SimulatedTime float64   // ms
}

const (
	msPerSecond    = 1000
	secondsPerHour = 3600
	bytesPerKB     = 1 << 10
	bytesPerMB     = 1 << 20
)

// Row returns a run as a row of a Markdown table.
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

// quantileText returns a quantile of sorted values as text; "-" if there are none.
func quantileText(sorted []float64, q float64) string {
	value := Quantile(sorted, q)
	if math.IsNaN(value) {
		return "-"
	}
	return fmt.Sprintf("%.1f", value)
}
