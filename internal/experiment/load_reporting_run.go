package experiment

import (
	"math"
	"math/rand/v2"

	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/loadreport"
	"garnetline/internal/fleet/membership"
)

// The load of a server approaches usualLoad. During random bursts of up to maxBurstTime, the load
// approaches burstLoad. Times are in ms.
const (
	usualLoad         = 0.4
	burstLoad         = 1.0
	meanBurstInterval = 30_000.0
	maxBurstTime      = 5000.0
	loadTimeConstant  = 800.0
	loadNoise         = 0.01 // standard deviation of the noise added in each tick
)

// Sizes on the network, in bytes. Each packet of reports has the headers of IP and UDP, the header of
// the fleet's packets, and the overhead of encryption. Each report in the packet adds reportBytes.
const (
	reportPacketBytes = 28.0 + 41.0 + 20.0
	reportBytes       = 20.0
)

// The loads that routers know are sampled periodically after loadSamplesFrom, when the run has
// settled. Times are in ms.
const (
	loadSamplesFrom    = 10_000.0
	loadSampleInterval = 370
	staleLoadAge       = 2000.0
)

// loadReport is a server's load as a router measured it.
type loadReport struct {
	load       float64
	measuredAt float64 // ms
}

// loadedServer is a server whose load is probed.
type loadedServer struct {
	load      float64 // share of its capacity
	burstLeft float64 // ms until the burst ends; 0 or less if there is no burst
	probes    float64 // probes received so far
}

// loadRouter is a router that probes servers or receives reports.
type loadRouter struct {
	id           membership.ID
	registrySide bool // the router is on the registry's side of the partition
	holder       *lease.Holder
	schedules    []probeSchedule    // by server
	known        []loadReport       // by server
	pending      map[int]loadReport // by server; loads that were measured and not reported yet
	nextReportAt float64            // ms
	probing      bool               // the router probes in this tick
	packetsSent  float64
	bytesSent    float64
}

// loadReportingRun is the state of one run of LoadReporting.
type loadReportingRun struct {
	options  LoadReporting
	rng      *rand.Rand
	now      float64 // ms
	servers  []loadedServer
	routers  []*loadRouter
	views    [viewCount]zoneView
	registry *loadReportingRegistry
	probers  int // number of routers that probe in this tick
	samples  loadSamples
	outcome  LoadReportingResult
}

// loadSamples are sums over all samples of the loads that routers know.
type loadSamples struct {
	count      float64
	staleCount float64
	ages       float64 // ms; sum over the samples that are not stale
	errors     float64 // sum over the samples that are not stale; as shares of a server's capacity
}

// Run simulates 90 s of virtual time.
func (o LoadReporting) Run() LoadReportingResult {
	run := newLoadReportingRun(o)
	for run.now = 0; run.now < loadRunTime; run.now += loadTick {
		run.tick()
	}
	return run.result()
}

func newLoadReportingRun(options LoadReporting) *loadReportingRun {
	run := &loadReportingRun{
		options: options,
		rng:     rand.New(rand.NewPCG(options.Seed, loadReportingStream)),
		servers: make([]loadedServer, options.Servers),
	}
	settings := lease.DefaultSettings()
	run.registry = newLoadReportingRegistry(settings)
	for index := range options.Routers {
		id := membership.ID(run.rng.Uint64() | 1)
		run.routers = append(run.routers, &loadRouter{
			id:           id,
			registrySide: onRegistrySide(index, options.Routers),
			holder:       lease.NewHolder(settings, id, firstRequestID(index)),
			pending:      map[int]loadReport{},
		})
	}
	run.views = newZoneViews(run.routers)
	for _, router := range run.routers {
		run.initServers(router)
	}
	return run
}

// initServers initializes a router's records of the servers. The router knows no load yet. The times
// of the first probes are random, so that routers do not probe at the same time.
func (r *loadReportingRun) initServers(router *loadRouter) {
	router.known = make([]loadReport, len(r.servers))
	router.schedules = make([]probeSchedule, len(r.servers))
	for server := range r.servers {
		router.known[server].measuredAt = math.Inf(-1)
		router.schedules[server] = probeSchedule{nextAt: firstProbeMaxOffset * r.rng.Float64(), lastLoad: -1}
	}
}

// tick advances the servers and the routers by one tick.
func (r *loadReportingRun) tick() {
	for server := range r.servers {
		r.changeLoad(&r.servers[server])
	}
	r.chooseProbers()
	for _, router := range r.routers {
		if router.probing {
			r.probeDue(router)
			r.reportDue(router)
		}
	}
	if r.now > loadSamplesFrom && int(r.now)%loadSampleInterval == 0 {
		r.sample()
	}
}

// changeLoad advances a server's load by one tick.
func (r *loadReportingRun) changeLoad(server *loadedServer) {
	server.burstLeft -= loadTick
	if server.burstLeft <= 0 && r.rng.Float64() < loadTick/meanBurstInterval {
		server.burstLeft = maxBurstTime * r.rng.Float64()
	}
	target := usualLoad
	if server.burstLeft > 0 {
		target = burstLoad
	}
	server.load += (target-server.load)*loadTick/loadTimeConstant + loadNoise*r.rng.NormFloat64()
}

// chooseProbers determines which routers probe in this tick.
func (r *loadReportingRun) chooseProbers() {
	r.probers = 0
	for index, router := range r.routers {
		router.probing = r.probes(index, router)
		if router.probing {
			r.probers++
		}
	}
	if r.probers == 0 {
		r.outcome.UnprobedSeconds += loadTick / msPerSecond
	}
}

// probes reports whether a router probes now.
func (r *loadReportingRun) probes(index int, router *loadRouter) bool {
	switch r.options.Strategy {
	case ProbeByNobody:
		return false
	case ProbeByEverybody:
		return true
	case ProbeByHash:
		return r.views[r.viewOf(router)].first == router.id
	default: // ProbeByLease
		return r.holdsLease(index, router)
	}
}

// probeDue makes a router probe the servers whose next probe is due.
func (r *loadReportingRun) probeDue(router *loadRouter) {
	for server := range r.servers {
		if router.schedules[server].nextAt <= r.now {
			r.probe(router, server)
		}
	}
}

func (r *loadReportingRun) probe(router *loadRouter, server int) {
	r.outcome.ProbesPerSecond++
	r.servers[server].probes++
	if r.probers > 1 {
		r.outcome.ConcurrentProbes++
	}
	report := loadReport{load: r.servers[server].load, measuredAt: r.now}
	router.schedules[server].advance(r.now, r.options.IntervalPolicy, report.load)
	router.known[server] = report
	if r.options.Strategy != ProbeByEverybody {
		router.pending[server] = report
	}
}

// reportDue makes a router send its pending reports to the other routers in its view, if a report
// is due.
func (r *loadReportingRun) reportDue(router *loadRouter) {
	if r.now < router.nextReportAt || len(router.pending) == 0 {
		return
	}
	router.nextReportAt = r.now
	reports := float64(len(router.pending))
	packets := reports
	if !r.options.Unbatched {
		router.nextReportAt += loadreport.BatchInterval(len(r.routers) - 1)
		packets = math.Ceil(reports / loadreport.MaxReportsPerPacket)
	}
	seesAll := r.viewOf(router) == wholeZone
	for _, receiver := range r.routers {
		sameSide := receiver.registrySide == router.registrySide
		if receiver == router || !seesAll && !sameSide {
			continue
		}
		router.packetsSent += packets
		router.bytesSent += packets*reportPacketBytes + reports*reportBytes
		if sameSide || !r.partitioned() {
			receiver.receive(router.pending)
		}
	}
	clear(router.pending)
}

func (r *loadRouter) receive(reports map[int]loadReport) {
	for server, report := range reports {
		r.known[server] = report
	}
}

// sample adds one sample for each router and server: the load that the router knows of the server.
func (r *loadReportingRun) sample() {
	for _, router := range r.routers {
		for server, known := range router.known {
			r.samples.count++
			age := r.now - known.measuredAt
			if age > staleLoadAge {
				r.samples.staleCount++
				continue
			}
			r.samples.ages += age
			r.samples.errors += math.Abs(r.servers[server].load - known.load)
		}
	}
}

func (r *loadReportingRun) result() LoadReportingResult {
	const seconds = loadRunTime / msPerSecond
	outcome := r.outcome
	outcome.ProbesPerSecond /= seconds
	for _, server := range r.servers {
		outcome.ProbesPerServer = max(outcome.ProbesPerServer, server.probes/seconds)
	}
	for _, router := range r.routers {
		outcome.PacketsPerSecond = max(outcome.PacketsPerSecond, router.packetsSent/seconds)
		outcome.BytesPerSecond = max(outcome.BytesPerSecond, router.bytesSent/seconds)
	}
	fresh := r.samples.count - r.samples.staleCount
	outcome.MeanAge = r.samples.ages / fresh
	outcome.MeanError = r.samples.errors / fresh
	outcome.StaleShare = r.samples.staleCount / r.samples.count
	return outcome
}
