package experiment

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"

	"garnetline/internal/fleet"
)

// Variant is a failure detector that is compared with others.
type Variant struct {
	Name     string                // printed in tables and charts
	Settings func() fleet.Settings // settings of the membership protocol; nil if allPairsDetector is used instead
}

// Variants returns the variants that are compared: the membership protocol with the production
// settings, the same protocol without Lifeguard, and allPairsDetector.
func Variants() []Variant {
	return []Variant{
		{Name: "as built", Settings: fleet.DefaultSettings},
		{Name: "without Lifeguard", Settings: settingsWithoutLifeguard},
		{Name: "all ping all"},
	}
}

// settingsWithoutLifeguard returns settings that switch off the Lifeguard extensions of SWIM: a
// router does not adapt to its own health, and the time to refute a suspicion is fixed.
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
	Kills       int       // routers killed per seed; fewer in fleets of more than 30 routers
	QuietPeriod float64   // ms without a fault, in which traffic is measured
	FaultPeriod float64   // ms under loss or pauses; shorter in fleets of more than 30 routers
	Losses      []float64 // shares of lost packets, from 0 to 1; each share is measured separately
}

// Configuration is a variant and the size of the fleet in which the variant is measured.
type Configuration struct {
	Variant string
	Size    int
}

// MembershipResult is the result of a configuration over all seeds.
type MembershipResult struct {
	Configuration
	FirstDetected    []float64 // ms from a kill until the first router marks the killed router as failed, sorted
	KnownToAll       []float64 // ms from a kill until all routers have marked the killed router as failed, sorted
	PacketsPerSecond float64   // sent by a router, on average
	BytesPerSecond   float64   // sent by a router, on average
	MemoryBytes      float64   // on the heap, per router
	FalsePositives   []FalsePositives
}

// FalsePositives tells how often live routers were suspected or marked as failed under one kind of
// fault. An event counts only at the routers that detected it themselves, and not at the routers that
// learned of it from others.
type FalsePositives struct {
	Fault               string
	SuspectedPerHour    float64 // in the whole fleet, of routers that did not pause
	FailedPerHour       float64 // in the whole fleet, of routers that did not pause
	PausedFailedPerHour float64 // in the whole fleet, of routers that paused
	Hours               float64 // of virtual time
	Suspicions          int     // of routers that did not pause
	Failures            int     // of routers that did not pause
}

// Limits that shorten the measurement of large fleets, which send millions of packets, and of
// allPairsDetector, which sends a number of packets that grows with the square of the size.
const (
	smallFleet            = 30
	largeFleet            = 300    // larger fleets are measured with the first of Variants only
	minKills              = 2      // in fleets larger than smallFleet
	maxQuietPeriod        = 10_000 // ms, in fleets larger than smallFleet
	allPairsMaxSeeds      = 3
	allPairsMaxFaultTime  = 60_000 // ms
	allPairsLargeFault    = 4000   // ms, in fleets larger than smallFleet
	allPairsLargeQuiet    = 1000   // ms, in fleets larger than smallFleet
	allPairsLargeMaxKills = 1      // in fleets larger than smallFleet
)

// forFleet returns the options for measuring a variant in a fleet of the given size. Large fleets are
// measured for a shorter time.
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

// Run measures all configurations, each with all seeds. Up to GOMAXPROCS of these measurements
// run in parallel. After the measurement with one seed, Run writes a line to the writer progress.
func (o Membership) Run(progress io.Writer) []*MembershipResult {
	runs := o.newRuns()
	measureSamples(runs, progress)
	var results []*MembershipResult
	for _, run := range runs {
		results = append(results, run.result())
	}
	return results
}

// newRuns returns the runs of all configurations. Fleets larger than largeFleet run with the first
// variant only: with allPairsDetector, 1,000 routers would send two million packets a second.
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

// measureSamples makes the measurement of each run once with each seed.
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
				// The progress is only informational, so an error of its writer does not end the measurement.
				_, _ = fmt.Fprintf(progress, "%s, %d routers, seed %d\n", run.variant.Name, run.size, seed)
			})
		}
	}
	tasks.Wait()
}

// result aggregates the samples, and measures the memory. No other measurement may run at the
// same time, because the memory is that of the whole process.
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
