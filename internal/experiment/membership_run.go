package experiment

import (
	"math"
	"runtime"

	"garnetline/internal/fleet/membership"
	"garnetline/internal/netsim"
)

// Times in ms.
const (
	allPairsSettleTime  = 20_000.0
	convergenceTimeout  = 60_000.0
	convergencePoll     = 100.0
	settleTime          = 20_000.0 // time after convergence in which each router verifies that the packets of the others are not replayed
	minKillInterval     = 500.0
	killIntervalJitter  = 1000.0
	detectionTimeout    = 60_000.0
	detectionResolution = 10.0
)

// Offsets that are added to the seed of a run. Fleets under loss and fleets with pauses thus have other
// seeds than the fleets in which routers are killed.
const (
	lossSeedOffset  = 100
	pauseSeedOffset = 200
)

// pausingOneIn is the share of the routers that pause at random: 1 in this number.
const pausingOneIn = 20

// membershipSample is the result of a configuration with one seed.
type membershipSample struct {
	firstDetected    []float64             // ms; NaN: no router detected the failure within detectionTimeout
	knownToAll       []float64             // ms
	packetsPerSecond float64               // sent by a router, on average
	bytesPerSecond   float64               // sent by a router, on average
	falsePositives   []falsePositiveCounts // in the order of Membership.faults
}

// measure measures the configuration with one seed.
func (m *membershipRun) measure(seed uint64) membershipSample {
	var sample membershipSample
	network := newSettledFleet(m.variant, m.size, seed)
	sample.measureTraffic(network, m.options.QuietPeriod)
	for kill := range min(m.options.Kills, m.size-2) {
		host := network.Hosts[1+(kill*7+int(seed))%(m.size-1)]
		if !host.Dead {
			sample.measureDetection(network, host)
		}
	}
	for _, loss := range m.options.Losses {
		network := newSettledFleet(m.variant, m.size, seed+lossSeedOffset)
		network.Link.Loss = loss
		sample.falsePositives = append(sample.falsePositives, countFalsePositives(network, m.options.FaultPeriod, nil))
	}
	network = newSettledFleet(m.variant, m.size, seed+pauseSeedOffset)
	pausing := map[*netsim.Host]bool{}
	for index := range max(1, m.size/pausingOneIn) {
		pausing[network.Hosts[(index*pausingOneIn+int(seed))%m.size]] = true
	}
	sample.falsePositives = append(sample.falsePositives, countFalsePositives(network, m.options.FaultPeriod, pausing))
	return sample
}

// newSettledFleet starts a fleet of a variant, and runs it until all routers know each other.
func newSettledFleet(variant Variant, size int, seed uint64) *netsim.Network {
	network := netsim.New(seed)
	if variant.Settings == nil {
		startAllPairs(network, size)
		network.Run(allPairsSettleTime)
		return network
	}
	network.StartFleet(size, variant.Settings(), netsim.MembershipAlone)
	network.RunUntil(convergenceTimeout, convergencePoll, network.Converged)
	network.Run(network.Now + settleTime)
	return network
}

// measureMemory returns the heap bytes per router of a fleet whose routers all know each other.
func measureMemory(variant Variant, size int) float64 {
	before := heapBytes()
	network := newSettledFleet(variant, size, 1)
	after := heapBytes()
	runtime.KeepAlive(network)
	return (after - before) / float64(size)
}

// heapBytes returns the bytes on the heap of this process after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// measureTraffic measures the traffic of a router in a period without faults. The period is in
// ms.
func (s *membershipSample) measureTraffic(network *netsim.Network, period float64) {
	packetsBefore, bytesBefore := sentTotals(network)
	network.Run(network.Now + period)
	packets, bytes := sentTotals(network)
	routers := float64(len(network.Hosts))
	s.packetsPerSecond = float64(packets-packetsBefore) / period * msPerSecond / routers
	s.bytesPerSecond = float64(bytes-bytesBefore) / period * msPerSecond / routers
}

// sentTotals returns the packets and bytes that all routers of a network have sent so far.
func sentTotals(network *netsim.Network) (packets, bytes int64) {
	for _, host := range network.Hosts {
		packets += host.PacketsSent
		bytes += host.BytesSent
	}
	return packets, bytes
}

// measureDetection kills a router at a random time, and measures how long it takes until the
// first other router and until all other routers see it as failed.
func (s *membershipSample) measureDetection(network *netsim.Network, host *netsim.Host) {
	network.Run(network.Now + minKillInterval + killIntervalJitter*network.Rng.Float64())
	network.Kill(host)
	killedAt := network.Now
	firstDetected := math.NaN()
	live := liveHosts(network)
	network.RunUntil(killedAt+detectionTimeout, detectionResolution, func() bool {
		detected := network.StateCounts(host)[membership.Failed]
		if detected > 0 && math.IsNaN(firstDetected) {
			firstDetected = network.Now - killedAt
		}
		return detected == live
	})
	s.firstDetected = append(s.firstDetected, firstDetected)
	s.knownToAll = append(s.knownToAll, network.Now-killedAt)
}

func liveHosts(network *netsim.Network) int {
	live := 0
	for _, host := range network.Hosts {
		if !host.Dead {
			live++
		}
	}
	return live
}
