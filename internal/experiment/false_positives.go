package experiment

import (
	"garnetline/internal/fleet"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/netsim"
)

// Parameters of routers that pause at random.
const (
	pauseInterval    = 1000.0 // ms between two random draws of whether a pause begins
	pauseProbability = 0.2    // probability that a draw begins a pause
	maxPause         = 3000.0 // ms; maximum duration of a pause
)

const msPerHour = 3_600_000

// falsePositiveCounts counts how often live routers were suspected or marked as failed.
type falsePositiveCounts struct {
	suspicions      int     // of routers that did not pause
	failures        int     // of routers that did not pause
	pausingFailures int     // of routers that paused
	hours           float64 // of virtual time
}

// add adds the counts of another fleet.
func (c *falsePositiveCounts) add(other falsePositiveCounts) {
	c.suspicions += other.suspicions
	c.failures += other.failures
	c.pausingFailures += other.pausingFailures
	c.hours += other.hours
}

// perHour returns the counts and their rates per hour. The argument fault is the name of the kind of
// fault under which the events were counted.
func (c *falsePositiveCounts) perHour(fault string) FalsePositives {
	return FalsePositives{
		Fault:               fault,
		SuspectedPerHour:    float64(c.suspicions) / c.hours,
		FailedPerHour:       float64(c.failures) / c.hours,
		PausedFailedPerHour: float64(c.pausingFailures) / c.hours,
		Hours:               c.hours,
		Suspicions:          c.suspicions,
		Failures:            c.failures,
	}
}

// MeasureFalsePositives runs one fleet of the first of Variants for the given duration of virtual time,
// in ms. The network loses a share of the packets, lossRate, from 0 to 1. No router fails.
func MeasureFalsePositives(size int, seed uint64, lossRate, duration float64) FalsePositives {
	network := newSettledFleet(Variants()[0], size, seed)
	network.Link.Loss = lossRate
	counts := countFalsePositives(network, duration, nil)
	return counts.perHour(lossName(lossRate))
}

// countFalsePositives runs a fleet for a period of virtual time, in ms. No router fails in this
// period. The routers in the set pausing pause at random. A suspicion or a failure counts only at
// the routers that detected it themselves, and not at the routers that learned of it from others.
func countFalsePositives(network *netsim.Network, period float64, pausing map[*netsim.Host]bool) falsePositiveCounts {
	counts := falsePositiveCounts{hours: period / msPerHour}
	hosts := map[membership.ID]*netsim.Host{}
	for _, host := range network.Hosts {
		hosts[host.Self.ID] = host
	}
	for _, host := range network.Hosts {
		host.OnStep = func(reporter *netsim.Host, _ float64, output *fleet.Output) {
			for _, event := range output.Events {
				subject := hosts[event.Update.ID]
				if event.Update.ReportedBy == reporter.Self.ID && subject != nil && !subject.Dead {
					counts.record(event.Kind, pausing[subject])
				}
			}
		}
	}
	for end := network.Now + period; network.Now < end; {
		pauseAtRandom(network, pausing)
		network.Run(min(end, network.Now+pauseInterval))
	}
	return counts
}

// record counts an event about a live router.
func (c *falsePositiveCounts) record(kind string, pausing bool) {
	switch {
	case kind == membership.EventSuspect && !pausing:
		c.suspicions++
	case kind == membership.EventFailed && !pausing:
		c.failures++
	case kind == membership.EventFailed:
		c.pausingFailures++
	}
}

// pauseAtRandom decides at random for each router in the set pausing whether the router pauses now.
func pauseAtRandom(network *netsim.Network, pausing map[*netsim.Host]bool) {
	for _, host := range network.Hosts {
		if pausing[host] && network.Rng.Float64() < pauseProbability {
			network.Pause(host, maxPause*network.Rng.Float64())
		}
	}
}
