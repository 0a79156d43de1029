package experiment

import "math"

// Strategy selects the routers of a zone that probe the zone's servers for their load. Its text is
// printed in tables.
type Strategy string

// The strategies of load reporting.
const (
	ProbeByNobody    Strategy = "nobody"
	ProbeByEverybody Strategy = "everybody"
	ProbeByHash      Strategy = "by hash"  // each router that a hash ranks first among the routers that it sees in the zone
	ProbeByLease     Strategy = "by lease" // the router that holds a lease
)

// IntervalPolicy selects how often a router probes a server. Its text is printed in tables.
type IntervalPolicy string

// The interval policies. The text of a fixed interval contains the interval in ms.
const (
	FixedShortInterval IntervalPolicy = "fixed 250"
	FixedLongInterval  IntervalPolicy = "fixed 1000"
	AdaptiveInterval   IntervalPolicy = "adaptive" // short after a change of the load, then increasing
	LoadBasedInterval  IntervalPolicy = "by need"  // short while the load is high
)

// Strategies and IntervalPolicies are the strategies and policies that are compared.
var (
	Strategies       = []Strategy{ProbeByNobody, ProbeByEverybody, ProbeByHash, ProbeByLease}
	IntervalPolicies = []IntervalPolicy{FixedShortInterval, FixedLongInterval, AdaptiveInterval, LoadBasedInterval}
)

// LoadReporting is a run of 90 s of virtual time. The routers of a zone learn the load of the zone's
// servers by a Strategy. A router that probes a server reports the load to the other routers, except
// with ProbeByEverybody. The zone is partitioned from 30 s to 60 s. Six in ten routers are on the
// side of the lease registry. A run needs at least three routers, so that each side has at least one
// router.
type LoadReporting struct {
	Seed           uint64
	Routers        int
	Servers        int
	Strategy       Strategy
	IntervalPolicy IntervalPolicy
	Unbatched      bool // each report is sent in a separate packet
}

// LoadReportingResult is the result of a run of LoadReporting.
type LoadReportingResult struct {
	ProbesPerSecond  float64 // probes of all routers at all servers
	ProbesPerServer  float64 // probes per second at the server that was probed most
	PacketsPerSecond float64 // packets of reports sent by the router that sent most
	BytesPerSecond   float64 // bytes of reports sent by the router that sent most
	MeanAge          float64 // ms; mean age of the loads that routers know, without stale loads
	MeanError        float64 // mean error of the loads that routers know, without stale loads; as a share of a server's capacity
	StaleShare       float64 // share of the loads that are older than 2 s or were never known
	ConcurrentProbes int     // number of probes in the run that were made while several routers were probing
	UnprobedSeconds  float64 // seconds in which no router probed
}

// Times in ms, from the start of a run.
const (
	loadRunTime        = 90_000.0
	loadPartitionStart = 30_000.0
	loadPartitionEnd   = 60_000.0
	loadTick           = 10.0

	// Delays until routers detect that the zone was partitioned and that the partition healed.
	partitionDetectionTime = 3000.0
	healDetectionTime      = 1500.0
)

// Probe intervals in ms, and the parameters by which the policies choose an interval.
const (
	shortProbeInterval  = 250.0
	longProbeInterval   = 1000.0
	adaptiveGrowth      = 1.5    // factor from one interval to the next
	adaptiveLoadChange  = 0.1    // a larger change of the load makes the interval short again
	highLoadThreshold   = 0.6    // load above which routers shed requests of low priority
	firstProbeMaxOffset = 1000.0 // maximum time until a router's first probe of a server
)

// probeSchedule is the schedule on which a router probes a server. Times are in ms.
type probeSchedule struct {
	nextAt   float64
	interval float64 // 0: the server was not probed yet
	lastLoad float64
}

// advance schedules the next probe. The previous probe measured the given load at the time now.
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
	case LoadBasedInterval:
		if load > highLoadThreshold {
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
