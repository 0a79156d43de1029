package experiment

import (
	"garnetline/internal/fleet"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/netsim"
)

// Pauses of routers that pause now and then.
const (
	pauseInterval    = 1000.0 // ms between draws whether a pause begins
	pauseProbability = 0.2    // of each draw
	maxPause         = 3000.0 // ms
)

const msPerHour = 3_600_000

// falsePositiveCounts counts routers that were wrongly suspected or held for failed.
type falsePositiveCounts struct {
	suspicions      int // of routers that did not pause
	failures        int // of routers that did not pause
	pausingFailures int // of routers that paused
	hours           float64
}

// add adds the counts of another fleet.
func (c *falsePositiveCounts) add(other falsePositiveCounts) {
	c.suspicions += other.suspicions
	c.failures += other.failures
	c.pausingFailures += other.pausingFailures
	c.hours += other.hours
}

// perHour returns the counts under one kind of fault with their rates.
func (c *falsePositiveCounts) perHour(fault string) FalsePositives {
	return FalsePositives{
		Fault:                fault,
		SuspectedPerHour:     float64(c.suspicions) / c.hours,
		FailedPerHour:        float64(c.failures) / c.hours,
		StalledFailedPerHour: float64(c.pausingFailures) / c.hours,
		Hours:                c.hours,
		Suspicions:           c.suspicions,
		Failures:             c.failures,
	}
}

// MeasureFalsePositives runs one fleet of the first variant for some virtual ms, in which a
// share of the packets is lost and no router fails.
func MeasureFalsePositives(size int, seed uint64, loss, ms float64) FalsePositives {
	network := newSettledFleet(Variants()[0], size, seed)
	network.Link.Loss = loss
	counts := countFalsePositives(network, ms, nil)
	return counts.perHour(lossName(loss))
}

// countFalsePositives runs a fleet for a period in virtual ms, in which no router fails and
// some pause now and then. It counts what is reported of routers by those that detected it
// first.
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
		pauseSome(network, pausing)
		network.Run(min(end, network.Now+pauseInterval))
	}
	return counts
}

// record counts an event about a router that lives.
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

// pauseSome draws which of the routers that pause now and then do so now.
func pauseSome(network *netsim.Network, pausing map[*netsim.Host]bool) {
	for _, host := range network.Hosts {
		if pausing[host] && network.Rng.Float64() < pauseProbability {
			network.Pause(host, maxPause*network.Rng.Float64())
		}
	}
}
