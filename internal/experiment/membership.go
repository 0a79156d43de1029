package experiment

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"

	"garnetline/internal/fleet"
)

// Variant is a failure detector that is measured.
type Variant struct {
	Name     string                // printed in tables and charts
	Settings func() fleet.Settings // of the state machine; nil: every router pings every other
}

// Variants returns the variants that are compared: as built, without Lifeguard, and the
// simplest detector.
func Variants() []Variant {
	return []Variant{
		{Name: "as built", Settings: fleet.DefaultSettings},
		{Name: "without Lifeguard", Settings: settingsWithoutLifeguard},
		{Name: "all ping all"},
	}
}

// settingsWithoutLifeguard returns settings with which a router trusts its own health, and
// waits equally long for each suspicion to be refuted.
func settingsWithoutLifeguard() fleet.Settings {
	settings := fleet.DefaultSettings()
	settings.Membership.MaxHealthScore = 0
	settings.Membership.MaxSuspicionMult = 1
	settings.Membership.SuspicionConfirmations = 0
	return settings
}

// Membership measures how the routers of a fleet detect failures, for each variant and size.
type Membership struct {
	Sizes       []int
	Seeds       int
	Kills       int     // for each seed; fewer in fleets of over 30
	QuietPeriod float64 // ms without a fault, in which traffic is measured
	FaultPeriod float64 // ms under loss or pauses; shorter in fleets of over 30
	Losses      []float64
}

// Configuration is a variant at a size.
type Configuration struct {
	Variant string
	Size    int
}

// MembershipResult is what was measured of a configuration, over all seeds.
type MembershipResult struct {
	Configuration
	FirstDetected    []float64 // ms from a kill until the first router detects it, sorted
	KnownToAll       []float64 // ms from a kill until all routers know of it, sorted
	PacketsPerSecond float64   // that a router sends
	BytesPerSecond   float64   // that a router sends
	MemoryBytes      float64   // of a router
	FalsePositives   []FalsePositives
}

// FalsePositives is how often routers were wrongly suspected or held for failed under one
// kind of fault, as reported by the routers that detected it first.
type FalsePositives struct {
	Fault                string
	SuspectedPerHour     float64 // in the whole fleet, of routers that did not pause
	FailedPerHour        float64 // in the whole fleet, of routers that did not pause
	StalledFailedPerHour float64 // in the whole fleet, of routers that paused
	Hours                float64 // of virtual time
	Suspicions           int     // of routers that did not pause
	Failures             int     // of routers that did not pause
}

// Limits for large fleets, whose packets are counted by the million.
const (
	smallFleet            = 30
	largeFleet            = 300    // above it only the first variant is measured
	minKills              = 2      // in fleets above smallFleet
	maxQuietPeriod        = 10_000 // ms, in fleets above smallFleet
	allPairsMaxSeeds      = 3
	allPairsMaxFaultTime  = 60_000 // ms
	allPairsLargeFault    = 4000   // ms, in fleets above smallFleet
	allPairsLargeQuiet    = 1000   // ms, in fleets above smallFleet
	allPairsLargeMaxKills = 1      // in fleets above smallFleet
)

// forFleet returns what is measured of a variant at a size, which is less of large fleets.
func (o Membership) forFleet(variant Variant, size int) Membership {
	allPairs := variant.Settings == nil
	if size > smallFleet {
		o.FaultPeriod *= smallFleet / float64(size)
		o.Kills = max(minKills, o.Kills*smallFleet/size)
		o.QuietPeriod = min(o.QuietPeriod, maxQuietPeriod)
	}
	if size > smallFleet && allPairs {
		o.FaultPeriod = min(o.FaultPeriod, allPairsLargeFault)
		o.QuietPeriod = allPairsLargeQuiet
		o.Kills = allPairsLargeMaxKills
	}
	if allPairs {
		o.Seeds = min(o.Seeds, allPairsMaxSeeds)
		o.FaultPeriod = min(o.FaultPeriod, allPairsMaxFaultTime)
	}
	return o
}

// membershipRun is the measurement of one configuration.
type membershipRun struct {
	options Membership
	variant Variant
	size    int
	samples []membershipSample // by seed
}

// Run measures all configurations, as many seeds at a time as there are processors, and
// writes on progress which are done.
func (o Membership) Run(progress io.Writer) []*MembershipResult {
	runs := o.newRuns()
	measureSamples(runs, progress)
	var results []*MembershipResult
	for _, run := range runs {
		results = append(results, run.result())
	}
	return results
}

// newRuns returns the runs of all configurations. The larger fleets run with the first variant
// alone: 1,000 routers that ping each other would send two million packets a second.
func (o Membership) newRuns() []*membershipRun {
	var runs []*membershipRun
	for _, size := range o.Sizes {
		variants := Variants()
		if size > largeFleet {
			variants = variants[:1]
		}
		for _, variant := range variants {
			options := o.forFleet(variant, size)
			runs = append(runs, &membershipRun{
				options: options,
				variant: variant,
				size:    size,
				samples: make([]membershipSample, options.Seeds),
			})
		}
	}
	return runs
}

// measureSamples measures all seeds of all runs.
func measureSamples(runs []*membershipRun, progress io.Writer) {
	var tasks sync.WaitGroup
	var progressLock sync.Mutex
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for _, run := range runs {
		for index := range run.samples {
			tasks.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				seed := uint64(index + 1)
				run.samples[index] = run.measure(seed)
				progressLock.Lock()
				defer progressLock.Unlock()
				// Nothing depends on the progress: an error of its writer ends no measurement.
				_, _ = fmt.Fprintf(progress, "%s, %d routers, seed %d\n", run.variant.Name, run.size, seed)
			})
		}
	}
	tasks.Wait()
}

// result returns what the samples show together, and measures the memory. It must run alone:
// the memory is that of the process.
func (m *membershipRun) result() *MembershipResult {
	result := &MembershipResult{
		Configuration: Configuration{Variant: m.variant.Name, Size: m.size},
		MemoryBytes:   measureMemory(m.variant, m.size),
	}
	counts := make([]falsePositiveCounts, len(m.options.faults()))
	for _, sample := range m.samples {
		result.FirstDetected = append(result.FirstDetected, sample.firstDetected...)
		result.KnownToAll = append(result.KnownToAll, sample.knownToAll...)
		result.PacketsPerSecond += sample.packetsPerSecond / float64(len(m.samples))
		result.BytesPerSecond += sample.bytesPerSecond / float64(len(m.samples))
		for index, count := range sample.falsePositives {
			counts[index].add(count)
		}
	}
	slices.Sort(result.FirstDetected)
	slices.Sort(result.KnownToAll)
	for index, fault := range m.options.faults() {
		result.FalsePositives = append(result.FalsePositives, counts[index].perHour(fault))
	}
	return result
}

// faults returns the kinds of faults under which false positives are counted.
func (o Membership) faults() []string {
	var faults []string
	for _, loss := range o.Losses {
		faults = append(faults, lossName(loss))
	}
	return append(faults, "one in twenty stalls")
}

func lossName(loss float64) string { return fmt.Sprintf("%.0f%% loss", 100*loss) }
