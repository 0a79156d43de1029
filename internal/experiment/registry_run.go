package experiment

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/consensus/wal"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leasemanager"
	"garnetline/internal/fleet/membership"
)

// The network between voters and routers. Times are in ms.
const (
	registryMinDelay   = 0.3
	registryMeanJitter = 0.3 // mean of the random time that is added to the delay
)

const (
	// Routers start after routerStartElections election timeouts. The voters have elected a leader by
	// then. Faults begin after faultStartElections election timeouts.
	routerStartElections = 4
	faultStartElections  = 8

	// responseLossTTLs is the number of TTLs for which an isolated router receives no responses.
	responseLossTTLs = 2

	// releaseNotices is the number of routers that are notified when a lease is released: the
	// routers that come first in the order in which routers request the lease.
	releaseNotices = 4

	// heapSamples is the number of times that a run samples the heap.
	heapSamples = 8
)

// logOwner is the name of the owner that the voters' logs store. The measured sizes of the logs include
// its length.
const logOwner = "lab"

// registryRun is the state of one run of Registry.
type registryRun struct {
	eventQueue
	options Registry
	rng     *rand.Rand
	outcome RegistryResult
	err     error // the error of a voter, which ends the run

	voters    []*registryVoter
	leader    int // index of the latest leader
	routers   []*registryRouter
	routerIDs []membership.ID

	leaseNames        []string
	transferStartedAt map[string]float64 // ms, by lease; an entry is deleted when another router holds the lease
}

// registryVoter is a voter with its disk.
type registryVoter struct {
	*consensus.Node
	disk  *memoryFS
	steps int // number of steps so far; a timer is ignored if the voter was stepped after the timer was set
}

// registryRouter is a router that requests leases.
type registryRouter struct {
	*lease.Holder
	id               membership.ID
	firstRequestAt   map[string]float64 // ms, by lease; an entry is deleted when the router holds the lease
	steps            int                // number of steps so far; a timer is ignored if the router was stepped after the timer was set
	unreachableUntil float64            // ms; the router receives no responses until then
}

// newRegistryRun returns a run. The start of its voters, of its routers and of its faults is scheduled.
// The error is that of a voter's log or state machine.
func newRegistryRun(options Registry) (*registryRun, error) {
	run := &registryRun{
		options:           options,
		rng:               rand.New(rand.NewPCG(options.Seed, registryStream)),
		routerIDs:         numberedRouters(options.Routers),
		transferStartedAt: map[string]float64{},
	}
	for index := range options.Leases {
		run.leaseNames = append(run.leaseNames, fmt.Sprintf("duty/%04d", index))
	}
	if err := run.startVoters(); err != nil {
		return nil, err
	}
	run.startRouters()
	run.startFaults()
	return run, nil
}

// Run simulates the given duration of virtual time, in ms. It returns an error if a voter's log or state
// machine fails.
func (o Registry) Run(duration float64) (RegistryResult, error) {
	run, err := newRegistryRun(o)
	if err != nil {
		return RegistryResult{}, err
	}
	sampleInterval := duration / heapSamples
	nextSampleAt := sampleInterval
	for run.now < duration && !run.empty() && run.err == nil {
		handle := run.advance()
		if run.now >= nextSampleAt {
			nextSampleAt += sampleInterval
			run.sampleHeap()
		}
		handle()
	}
	return run.result(), run.err
}

func (r *registryRun) result() RegistryResult {
	for _, name := range r.leaseNames {
		if r.holderOf(name) != nil {
			r.outcome.LeasesHeld++
		}
	}
	leader := r.voters[r.leader]
	r.outcome.SimulatedTime = r.now
	r.outcome.Commands = leader.Status().AppliedIndex
	r.outcome.DiskSyncs = leader.disk.syncs
	r.outcome.DiskBytes = leader.disk.maxBytes
	slices.Sort(r.outcome.GrantTimes)
	slices.Sort(r.outcome.TransferTimes)
	return r.outcome
}

func (r *registryRun) sampleHeap() {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	r.outcome.Heap = append(r.outcome.Heap, stats.HeapAlloc)
}

// electionTimeout returns the shortest time in ms after which a voter without a leader starts an
// election.
func (r *registryRun) electionTimeout() float64 {
	return r.options.Settings.TickInterval * float64(r.options.Settings.ElectionTicks)
}

// networkDelay draws the random delay of a message, in ms.
func (r *registryRun) networkDelay() float64 {
	return registryMinDelay + r.rng.ExpFloat64()*registryMeanJitter
}

func (r *registryRun) startVoters() error {
	names := map[uint64]string{}
	for index := range r.options.Voters {
		names[raftID(index)] = fmt.Sprint("e", index)
	}
	for index := range r.options.Voters {
		voter, err := newRegistryVoter(r.options.Settings, index, names)
		if err != nil {
			return err
		}
		r.voters = append(r.voters, voter)
		r.after(0, func() { r.stepVoter(index, consensus.Input{}) })
	}
	// The raft library draws election timeouts from a source that cannot be seeded. To make the seed
	// determine the run, one voter becomes a candidate at the start. Its heartbeats are not lost, so
	// no election timeout expires.
	first := r.rng.IntN(r.options.Voters)
	campaign := &raftpb.Message{Type: raftpb.MsgTimeoutNow.Enum(), To: proto.Uint64(raftID(first))}
	r.after(0, func() { r.stepVoter(first, consensus.Input{Message: campaign}) })
	return nil
}

// raftID returns the raft ID of the voter with the given index.
func raftID(index int) uint64 { return uint64(index + 1) }

func newRegistryVoter(settings consensus.Settings, index int, names map[uint64]string) (*registryVoter, error) {
	disk := newMemoryFS()
	log, recovered, _, err := wal.Open(disk, logOwner)
	if err != nil {
		return nil, err
	}
	node, err := consensus.NewNode(settings, raftID(index), log, recovered, names, 0)
	if err != nil {
		return nil, err
	}
	return &registryVoter{Node: node, disk: disk}, nil
}

func (r *registryRun) startRouters() {
	for index, id := range r.routerIDs {
		router := &registryRouter{
			Holder:         lease.NewHolder(r.options.Settings.Lease, id, firstRequestID(index)),
			id:             id,
			firstRequestAt: map[string]float64{},
		}
		r.routers = append(r.routers, router)
		r.after(routerStartElections*r.electionTimeout(), func() { r.startRouter(router) })
	}
}

func (r *registryRun) startRouter(router *registryRouter) {
	for _, name := range r.leaseNames {
		router.SetRank(r.now, name, lease.Rank(name, router.id, r.routerIDs))
	}
	r.stepRouter(router)
}

// stepVoter steps a voter and sends its messages, its responses and its notices that a lease was
// released. Then it sets the voter's next timer.
func (r *registryRun) stepVoter(index int, input consensus.Input) {
	voter := r.voters[index]
	output, err := voter.Step(r.now, input)
	if err != nil {
		r.err = err
		return
	}
	if output.Leading {
		r.leader = index
	}
	for _, message := range output.Messages {
		r.sendToVoter(message)
	}
	for _, response := range output.Responses {
		r.sendResponse(response.To, response.Response)
	}
	for _, notice := range output.Released {
		for _, id := range lease.TopRanked(notice.Lease, r.routerIDs, releaseNotices) {
			r.sendResponse(id, notice)
		}
	}
	voter.steps++
	steps := voter.steps
	r.after(output.WakeAt-r.now, func() {
		if voter.steps == steps {
			r.stepVoter(index, consensus.Input{})
		}
	})
}

// sendToVoter sends a message of one voter to another.
func (r *registryRun) sendToVoter(message *raftpb.Message) {
	sent := proto.Clone(message).(*raftpb.Message) // a copy, because the sending voter may change the message later
	r.outcome.Messages++
	r.outcome.Bytes += proto.Size(sent)
	to := int(sent.GetTo()) - 1
	r.after(r.networkDelay(), func() { r.stepVoter(to, consensus.Input{Message: sent}) })
}

// sendResponse sends a voter's response, or a voter's notice that a lease was released, to a
// router.
func (r *registryRun) sendResponse(to membership.ID, response lease.Response) {
	r.outcome.RequestBytes += len(leasemanager.EncodeResponse(response))
	router := r.routers[to-1]
	r.after(r.networkDelay(), func() { r.handleResponse(router, response) })
}

func (r *registryRun) handleResponse(router *registryRouter, response lease.Response) {
	if r.now < router.unreachableUntil {
		return
	}
	for _, change := range router.HandleResponse(r.now, response) {
		if change.FencingToken != 0 {
			r.recordGrant(router, change.Lease)
		}
	}
	r.stepRouter(router)
}

// recordGrant records how long it took until a router held a lease. If the lease was transferred, the
// time begins at the release. Otherwise it begins at the router's first request.
func (r *registryRun) recordGrant(router *registryRouter, name string) {
	releasedAt, transferred := r.transferStartedAt[name]
	requestedAt, requested := router.firstRequestAt[name]
	switch {
	case transferred:
		r.outcome.TransferTimes = append(r.outcome.TransferTimes, r.now-releasedAt)
		delete(r.transferStartedAt, name)
	case requested:
		r.outcome.GrantTimes = append(r.outcome.GrantTimes, r.now-requestedAt)
	}
	delete(router.firstRequestAt, name)
}

// stepRouter steps a router, sends its requests to the leader, and sets its next timer.
func (r *registryRun) stepRouter(router *registryRouter) {
	requests, _, wakeAt := router.Step(r.now)
	for _, request := range requests {
		r.sendRequest(router, request)
	}
	router.steps++
	steps := router.steps
	r.after(wakeAt-r.now, func() {
		if router.steps == steps {
			r.stepRouter(router)
		}
	})
}

func (r *registryRun) sendRequest(router *registryRouter, request lease.Request) {
	r.outcome.Requests++
	r.outcome.RequestBytes += len(leasemanager.EncodeRequest(request))
	if _, requested := router.firstRequestAt[request.Lease]; !requested && request.FencingToken == 0 {
		router.firstRequestAt[request.Lease] = r.now
	}
	received := consensus.ClientRequest{From: router.id, Incarnation: 1, Request: request}
	r.after(r.networkDelay(), func() { r.stepVoter(r.leader, consensus.Input{Request: &received}) })
}

// holderOf returns the router that holds a lease now, or nil if there is none.
func (r *registryRun) holderOf(name string) *registryRouter {
	for _, router := range r.routers {
		if _, ok := router.Valid(r.now, name); ok {
			return router
		}
	}
	return nil
}

// startFaults schedules the first transfer of a lease and the first isolation of a router.
func (r *registryRun) startFaults() {
	begin := faultStartElections * r.electionTimeout()
	if r.options.TransferInterval > 0 {
		r.after(begin, r.transferRandomLease)
	}
	if r.options.ResponseLossInterval > 0 {
		r.after(begin, r.isolateRandomRouter)
	}
}

// transferRandomLease selects a random lease and, if a router holds the lease, transfers it to another
// router. Then it schedules the next transfer.
func (r *registryRun) transferRandomLease() {
	name := r.leaseNames[r.rng.IntN(len(r.leaseNames))]
	if holder := r.holderOf(name); holder != nil {
		r.transferStartedAt[name] = r.now
		holder.Release(r.now, name, r.randomOther(holder), []byte("work"))
		r.stepRouter(holder)
	}
	r.after(r.options.TransferInterval*r.rng.ExpFloat64(), r.transferRandomLease)
}

// randomOther returns the ID of a random router other than the given router.
func (r *registryRun) randomOther(router *registryRouter) membership.ID {
	index := slices.Index(r.routerIDs, router.id)
	offset := 1 + r.rng.IntN(len(r.routerIDs)-1)
	return r.routerIDs[(index+offset)%len(r.routerIDs)]
}

// isolateRandomRouter selects a random router, which receives no responses for responseLossTTLs TTLs.
// Then it schedules the next isolation.
func (r *registryRun) isolateRandomRouter() {
	router := r.routers[r.rng.IntN(len(r.routers))]
	router.unreachableUntil = r.now + responseLossTTLs*r.options.Settings.Lease.TTL
	r.after(r.options.ResponseLossInterval*r.rng.ExpFloat64(), r.isolateRandomRouter)
}
