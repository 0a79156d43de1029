package experiment

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
)

// LeaseHandovers is one run in which one lease passes from router to router. Clocks drift. Packets
// are delayed, lost and duplicated. Routers pause or are partitioned from the registry. The leader
// of the registry changes. The registry is a single process in this run, because the tests of
// package consensus check that the voters of a registry agree.
type LeaseHandovers struct {
	Seed         uint64
	Without      Safeguard // the safeguard that is switched off in this run
	ClockDrift   float64   // as a multiple of the drift that the settings allow
	Routers      int
	MaxHandovers int // the run ends after this many handovers
}

// LeaseResult is the result of a run of LeaseHandovers.
type LeaseResult struct {
	Handovers          int
	PlannedHandovers   int       // handovers in which the previous holder had released the lease
	Writes             int       // sent under the lease, by any router
	Rejected           int       // writes that the receiver rejected because of their fencing token
	StoppedAtWrite     int       // writes that a router dropped because CheckAtWrite found its lease invalid
	SimulatedTime      float64   // ms
	Violation          string    // describes the last case in which two routers acted under the lease at the same time; empty if there was none
	FaultsAndTransfers int       // faults injected and transfers of the lease requested
	Gaps               []float64 // ms between two consecutive holders in which no router held the lease
}

// leaseName is the name of the only lease of a run. A hash of this name and of a router's ID
// determines the rank of the router. Routers with a low rank request the lease before routers with
// a high rank.
const leaseName = "d"

// True time is the time of the simulation. The clocks of the routers and of the registry's leader
// deviate from it.
const (
	handoverStep    = 2.0 // ms of true time that pass in a step
	maxHandoverTime = 1e9 // ms of true time, after which a run ends

	// In each step, the leader of the registry changes with probability 1/leaderChangeOneIn.
	leaderChangeOneIn = 1500
)

// handoverSettings have shorter periods than the settings of a fleet, and allow clocks to drift
// more, so that a run has many handovers in which the safeguards matter.
var handoverSettings = lease.Settings{TTL: 1000, SafetyMargin: 60, RetryInterval: 60, MaxBackoff: 1200, MaxClockDrift: 0.05}

// handoverRun is the state of one run of LeaseHandovers. Times are in ms of true time; the
// clocks of the routers and of the registry's leader deviate from it.
type handoverRun struct {
	options  LeaseHandovers
	settings lease.Settings
	rng      *rand.Rand
	now      float64
	outcome  LeaseResult

	routers  []*handoverRouter
	inFlight []handoverMessage
	receiver lease.Fence // checks the fencing tokens of writes at the server that receives them

	// The registry's replicated state and the state of its leader.

	registry         *leaseregistry.State
	lastIndex        uint64 // log index of the last command that was applied
	expiry           *lease.ExpiryTracker
	leaderClockRate  float64
	maxRateDeviation float64 // maximum deviation of a clock's rate from 1, the rate of true time

	latestToken uint64  // fencing token of the latest grant that a holder learned of
	lastHeldAt  float64 // true time at which a router last held the lease
}

func newHandoverRun(options LeaseHandovers) *handoverRun {
	settings := handoverSettings
	maxRateDeviation := settings.MaxClockDrift / 2 * options.ClockDrift // the rates of two clocks differ by up to twice this value
	if options.Without == LeaseMargin {
		settings.SafetyMargin = 0
		settings.MaxClockDrift = 0
	}
	run := &handoverRun{
		options:          options,
		settings:         settings,
		rng:              rand.New(rand.NewPCG(options.Seed, handoverStream)),
		receiver:         lease.Fence{},
		registry:         leaseregistry.New(),
		maxRateDeviation: maxRateDeviation,
	}
	ids := numberedRouters(options.Routers)
	for index, id := range ids {
		run.routers = append(run.routers, newHandoverRouter(settings, index, ids, run.clockRate(float64(index%2))))
		run.routers[index].SetRank(0, leaseName, lease.Rank(leaseName, id, ids))
	}
	run.leaderClockRate = run.clockRate(run.rng.Float64())
	run.expiry = lease.NewExpiryTracker(settings, 0, run.registry)
	return run
}

// clockRate returns the rate of a clock relative to true time. Position 0 selects the lowest rate, and
// position 1 the highest rate.
func (r *handoverRun) clockRate(position float64) float64 {
	return 1 + r.maxRateDeviation*(2*position-1)
}

// Run simulates until MaxHandovers handovers have happened, two routers have acted under the lease at
// the same time, or maxHandoverTime has passed.
func (o LeaseHandovers) Run() LeaseResult {
	run := newHandoverRun(o)
	for !run.finished() {
		run.step()
	}
	return run.result()
}

func (r *handoverRun) finished() bool {
	return r.outcome.Handovers >= r.options.MaxHandovers || r.outcome.Violation != "" || r.now >= maxHandoverTime
}

func (r *handoverRun) result() LeaseResult {
	r.outcome.SimulatedTime = r.now
	return r.outcome
}

// step delivers the messages that have arrived, runs each router that is not paused, and
// advances the time.
func (r *handoverRun) step() {
	for _, message := range r.takeArrived() {
		r.deliver(message)
	}
	for _, router := range r.routers {
		if r.now >= router.pausedUntil {
			r.runRouter(router)
		}
	}
	if r.rng.IntN(leaderChangeOneIn) == 0 {
		r.changeLeader()
	}
	r.now += handoverStep
}

// takeArrived removes the messages that have arrived by now, and returns them in the order of
// their arrival.
func (r *handoverRun) takeArrived() []handoverMessage {
	var arrived []handoverMessage
	remaining := r.inFlight[:0]
	for _, message := range r.inFlight {
		if message.arrivesAt <= r.now {
			arrived = append(arrived, message)
		} else {
			remaining = append(remaining, message)
		}
	}
	r.inFlight = remaining
	slices.SortStableFunc(arrived, func(a, b handoverMessage) int { return cmp.Compare(a.arrivesAt, b.arrivesAt) })
	return arrived
}
