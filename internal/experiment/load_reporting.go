package experiment

import "math"

// Strategy is a way in which the routers of a zone learn the load of its servers. Its text is
// printed in tables.
type Strategy string

// The strategies.
const (
	ProbeByNobody    Strategy = "nobody"
	ProbeByEverybody Strategy = "everybody"
	ProbeByHash      Strategy = "by hash"  // the router that has the first rank in each router's own view
	ProbeByLease     Strategy = "by lease" // the router that holds a lease
)

// IntervalPolicy sets how often a router probes a server. Its text is printed in tables.
type IntervalPolicy string

// The interval policies.
const (
	FixedShortInterval IntervalPolicy = "fixed 250"
	FixedLongInterval  IntervalPolicy = "fixed 1000"
	AdaptiveInterval   IntervalPolicy = "adaptive" // short after a change of the load, then longer
	LoadedInterval     IntervalPolicy = "by need"  // short where the load is high
)

// Strategies and IntervalPolicies are those that are compared.
var (
	Strategies       = []Strategy{ProbeByNobody, ProbeByEverybody, ProbeByHash, ProbeByLease}
	IntervalPolicies = []IntervalPolicy{FixedShortInterval, FixedLongInterval, AdaptiveInterval, LoadedInterval}
)

// LoadReporting is a run of 90 s in which the routers of a zone learn the load of its servers
// by a Strategy. A router that probes a server reports the load to the others. The zone is
// partitioned for the second third of the run; six in ten routers are on the registry's side.
// A run needs three routers, so that there is one on either side.
type LoadReporting struct {
	Seed           uint64
	Routers        int
	Servers        int
	Strategy       Strategy
	IntervalPolicy IntervalPolicy
	Unbatched      bool // each report is sent by itself
}

// LoadReportingResult is what a run of LoadReporting measured.
type LoadReportingResult struct {
	ProbesPerSecond  float64 // in all
	ProbesPerServer  float64 // a second, at the server that was probed most
	PacketsPerSecond float64 // of reports, by the router that sent most
	BytesPerSecond   float64 // of reports, by the router that sent most
	MeanAge          float64 // ms, of the loads that routers know
	MeanError        float64 // of the loads that routers know, as a share of a server's capacity
	StaleShare       float64 // of the loads that are older than 2 s or were never known, among all
	ConcurrentProbes int     // probes of the whole run while another router probed too
	Uncovered        float64 // seconds in which no router probed
}

// Times in ms, from the start of a run.
const (
	loadRunTime        = 90_000.0
	loadPartitionStart = 30_000.0
	loadPartitionEnd   = 60_000.0
	loadTick           = 10.0

	// Routers learn later that the zone was partitioned, and that the partition healed.
	partitionDetectionTime = 3000.0
	healDetectionTime      = 1500.0
)

// Probe intervals in ms, and the rules by which the policies choose among them.
const (
	shortProbeInterval  = 250.0
	longProbeInterval   = 1000.0
	adaptiveGrowth      = 1.5
	adaptiveLoadChange  = 0.1 // above it the interval is short again
	loadedThreshold     = 0.6 // load from which routers shed requests of low priority
	firstProbeMaxOffset = 1000.0
)

// probeSchedule is when a router probes a server.
type probeSchedule struct {
	nextAt   float64
	interval float64 // 0: not probed yet
	lastLoad float64
}

// advance sets the next probe after one at now, which measured a load.
func (s *probeSchedule) advance(now float64, policy IntervalPolicy, load float64) {
	s.interval = s.nextInterval(policy, load)
	s.nextAt = now + s.interval
	s.lastLoad = load
}

func (s *probeSchedule) nextInterval(policy IntervalPolicy, load float64) float64 {
	switch policy {
	case FixedShortInterval:
		return shortProbeInterval
	case FixedLongInterval:
		return longProbeInterval
	case LoadedInterval:
		if load > loadedThreshold {
			return shortProbeInterval
		}
		return longProbeInterval
	default: // AdaptiveInterval
		changed := math.Abs(load-s.lastLoad) > adaptiveLoadChange
		if changed || s.interval == 0 {
			return shortProbeInterval
		}
		return min(longProbeInterval, s.interval*adaptiveGrowth)
	}
}
