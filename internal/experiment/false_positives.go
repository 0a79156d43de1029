package experiment

import (
	"garnetline/internal/fleet"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/netsim"
)

// Pauses of the routers that pause at random.
const (
	pauseInterval    = 1000.0 // ms between two random draws of whether a pause begins
	pauseProbability = 0.2    // that a draw begins a pause
	maxPause         = 3000.0 // ms
)

const msPerHour = 3_600_000

// falsePositiveCounts counts live routers that were suspected or marked as failed.
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

// perHour returns the counts under one kind of fault together with their rates per hour.
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

// MeasureFalsePositives runs one fleet of the first variant for ms of virtual time. The network
// loses the share loss of the packets, and no router fails.
func MeasureFalsePositives(size int, seed uint64, loss, ms float64) FalsePositives {
	network := newSettledFleet(Variants()[0], size, seed)
	network.Link.Loss = loss
	counts := countFalsePositives(network, ms, nil)
	return counts.perHour(lossName(loss))
}

// countFalsePositives runs a fleet for a period in ms of virtual time, in which no router fails
// and the routers in pausing pause at random. It counts suspicions and failures as reported by
// the routers that detected them first.
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

// pauseAtRandom draws for each router in pausing whether it pauses now.
func pauseAtRandom(network *netsim.Network, pausing map[*netsim.Host]bool) {
	for _, host := range network.Hosts {
		if pausing[host] && network.Rng.Float64() < pauseProbability {
			network.Pause(host, maxPause*network.Rng.Float64())
		}
	}
}
