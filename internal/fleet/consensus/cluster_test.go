package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"garnetline/internal/fleet/consensus/wal"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/membership"
)

var errStorageFull = errors.New("disk full")

// memoryStorage is a Storage in memory. Saved data survives a crash, unless the field unsynced is
// set.
type memoryStorage struct {
	state     wal.State
	failing   bool
	saveDelay float64 // duration of the next save in ms; Save negates it to mark it as used
	saves     int
	unsynced  bool      // saves are not synced: a crash resets the field state to the field synced
	synced    wal.State // state that the simulated kernel has written to the disk without a sync
}

// crash simulates a crash of the machine that the storage is on.
func (s *memoryStorage) crash() {
	if s.unsynced {
		s.state = s.synced
	}
}

func (s *memoryStorage) Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	if s.failing {
		return errStorageFull
	}
	s.saves++
	if s.unsynced && s.saves%7 == 0 {
		s.synced = wal.State{HardState: s.state.HardState, Snapshot: s.state.Snapshot, Entries: slices.Clone(s.state.Entries)}
	}
	s.saveDelay = -s.saveDelay // marks the delay as used by this save
	if snapshot != nil {
		s.state.Snapshot = proto.Clone(snapshot).(*raftpb.Snapshot)
		s.state.Entries = slices.DeleteFunc(s.state.Entries, func(e *raftpb.Entry) bool {
			return e.GetIndex() <= snapshot.GetMetadata().GetIndex()
		})
	}
	for _, entry := range entries {
		s.state.Entries = slices.DeleteFunc(s.state.Entries, func(e *raftpb.Entry) bool {
			return e.GetIndex() >= entry.GetIndex()
		})
		s.state.Entries = append(s.state.Entries, proto.Clone(entry).(*raftpb.Entry))
	}
	if hardState != nil {
		s.state.HardState = proto.Clone(hardState).(*raftpb.HardState)
	}
	return nil
}

func (s *memoryStorage) SaveMetadata([]byte) error     { return nil }
func (s *memoryStorage) Rewrite(state wal.State) error { s.state = state; return nil }
func (s *memoryStorage) NeedsRewrite() bool            { return false }

// envelope is a message in flight. Exactly one of message, request and response is set.
type envelope struct {
	from, to int // number of a voter or router; the numbers of the routers follow those of the voters
	arriveAt float64
	message  *raftpb.Message
	request  *ClientRequest
	response *lease.Response
}

// firstRouterID is the ID of the first router. The other routers have the IDs after it.
const firstRouterID = 100

// cluster simulates voters and routers on one clock. Each router has a clock of its own, which
// runs at a different rate. Voters are numbered from 0; the routers' numbers follow.
type cluster struct {
	t        testing.TB
	rng      *rand.Rand
	now      float64
	settings Settings

	nodes        []*Node
	storages     []*memoryStorage
	wakeAt       []float64
	blockedUntil []float64 // time until which a voter waits for its storage
	down         []bool
	leading      []bool

	partitioned func(from, to int) bool
	delay       float64 // ms; of each message
	lossRate    float64
	leaderKnown bool // routers always know the leader; real routers learn it from leader hints
	inFlight    []envelope

	routers   []*router
	grants    int
	violation string // set if two routers held the same lease at the same time
	history   []porcupine.Operation
}

type router struct {
	*lease.Holder
	id           membership.ID
	clockRate    float64
	wakeAt       float64
	stalledUntil float64 // time on the cluster's clock until which the router does not run
	queued       []lease.Response
	likelyLeader int
	historyIndex map[uint64]int // index in cluster.history of each operation without a response, by request ID
}

func newCluster(tb testing.TB, seed uint64, voters, routers int, leases ...string) *cluster {
	tb.Helper()
	settings := DefaultSettings()
	settings.Lease.TTL, settings.Lease.SafetyMargin = 1000, 100
	settings.Lease.RetryInterval, settings.Lease.MaxBackoff = 60, 1500
	cluster := &cluster{
		t:            tb,
		rng:          rand.New(rand.NewPCG(seed, 5)),
		settings:     settings,
		nodes:        make([]*Node, voters),
		wakeAt:       make([]float64, voters),
		blockedUntil: make([]float64, voters+1),
		down:         make([]bool, voters),
		leading:      make([]bool, voters),
		partitioned:  func(int, int) bool { return false },
	}
	for range voters {
		cluster.storages = append(cluster.storages, &memoryStorage{})
	}
	for i := range voters {
		cluster.start(i)
	}
	var ids []membership.ID
	for i := range routers {
		ids = append(ids, membership.ID(firstRouterID+i))
	}
	for i, id := range ids {
		maxDrift := settings.Lease.MaxClockDrift / 2
		r := &router{
			Holder:       lease.NewHolder(settings.Lease, id, uint64(i)<<40),
			id:           id,
			clockRate:    1 + (cluster.rng.Float64()*2-1)*maxDrift,
			historyIndex: map[uint64]int{},
		}
		for _, name := range leases {
			r.SetRank(0, name, lease.Rank(name, id, ids))
		}
		cluster.routers = append(cluster.routers, r)
	}
	return cluster
}

// start starts a voter with the state that its storage holds.
func (c *cluster) start(i int) {
	voters := map[uint64]string{}
	for k := range c.nodes {
		voters[uint64(k+1)] = fmt.Sprint("e", k)
	}
	node, err := NewNode(c.settings, uint64(i+1), c.storages[i], c.storages[i].state, voters, c.now)
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[i], c.down[i], c.wakeAt[i], c.leading[i] = node, false, c.now, false
}

// startAll starts all voters that are down.
func (c *cluster) startAll() {
	for i := range c.nodes {
		if c.down[i] {
			c.start(i)
		}
	}
}

func (c *cluster) stop(i int) { c.down[i], c.leading[i] = true, false }

// leader returns the number of the first voter that leads, or -1 if no voter leads.
func (c *cluster) leader() int { return slices.Index(c.leading, true) }

func (c *cluster) heal() { c.partitioned = func(int, int) bool { return false } }

// isolate partitions a voter or router from all others.
func (c *cluster) isolate(member int) {
	c.partitioned = func(from, to int) bool { return from == member || to == member }
}

// clock returns the time of a router's own clock.
func (c *cluster) clock(r *router) float64 { return c.now * r.clockRate }

func (c *cluster) send(from int, e envelope) {
	if c.partitioned(from, e.to) || c.rng.Float64() < c.lossRate {
		return
	}
	e.arriveAt, e.from = c.now+1+c.delay+c.rng.ExpFloat64()*3, from
	if from < len(c.nodes) {
		e.arriveAt += max(0, c.blockedUntil[from]-c.now) // the message is sent only after the storage has saved the voter's state
	}
	c.inFlight = append(c.inFlight, e)
}

func (c *cluster) step(i int, in Input) {
	out, err := c.nodes[i].Step(c.now, in)
	if storage := c.storages[i]; storage.saveDelay < 0 {
		c.blockedUntil[i], storage.saveDelay = c.now-storage.saveDelay, 0
	}
	if err != nil {
		c.stop(i)
		return
	}
	c.wakeAt[i], c.leading[i] = out.WakeAt, out.Leading
	for _, m := range out.Messages {
		c.send(i, envelope{to: int(m.GetTo()) - 1, message: proto.Clone(m).(*raftpb.Message)}) // the receiver gets a copy, as from a network
		if m.GetType() == raftpb.MsgSnap {
			c.nodes[i].ReportSnapshotSent(m.GetTo()) // as the voter of package leasemanager does
		}
	}
	for _, response := range out.Released {
		for k := range c.routers {
			c.send(i, envelope{to: len(c.nodes) + k, response: &response})
		}
	}
	for _, response := range out.Responses {
		c.send(i, envelope{to: len(c.nodes) + int(response.To) - firstRouterID, response: &response.Response})
	}
}

func (c *cluster) stepRouter(k int) {
	r := c.routers[k]
	if c.now < r.stalledUntil {
		return
	}
	for _, response := range r.queued {
		c.deliver(k, response)
	}
	r.queued = nil
	requests, _, wake := r.Step(c.clock(r))
	r.wakeAt = wake
	for _, request := range requests {
		r.likelyLeader = c.rng.IntN(len(c.nodes))
		for i, leads := range c.leading {
			if leads && (c.leaderKnown || c.rng.IntN(3) > 0) {
				r.likelyLeader = i
			}
		}
		r.historyIndex[request.ID] = len(c.history)
		c.history = append(c.history, openOperation(k, r.id, request, c.now))
		c.send(len(c.nodes)+k, envelope{to: r.likelyLeader, request: &ClientRequest{From: r.id, Incarnation: 1, Request: request}})
	}
}

// deliver passes a response to a router, and records a violation if two routers hold the lease
// afterwards.
func (c *cluster) deliver(k int, response lease.Response) {
	r := c.routers[k]
	if i, open := r.historyIndex[response.RequestID]; open {
		completeOperation(&c.history[i], response, c.now)
		delete(r.historyIndex, response.RequestID)
	}
	for _, change := range r.HandleResponse(c.clock(r), response) {
		if change.FencingToken == 0 {
			continue
		}
		c.grants++
		for _, other := range c.routers {
			if token, valid := other.Valid(c.clock(other), response.Lease); valid && other != r {
				c.violation = fmt.Sprintf("at %.0f ms router %v holds %s under token %d while router %v holds it under token %d", c.now, r.id, response.Lease, change.FencingToken, other.id, token)
			}
		}
	}
}

// run advances the simulation by duration, in ms.
func (c *cluster) run(duration float64) {
	for end := c.now + duration; c.now < end; c.now += 2 {
		c.deliverDue()
		for i := range c.nodes {
			if !c.down[i] && c.wakeAt[i] <= c.now && c.blockedUntil[i] <= c.now {
				c.step(i, Input{})
			}
		}
		for k, r := range c.routers {
			if r.wakeAt <= c.clock(r) {
				c.stepRouter(k)
			}
		}
	}
}

// deliverDue delivers the messages that have arrived by now.
func (c *cluster) deliverDue() {
	due := c.inFlight
	c.inFlight = nil
	for _, next := range due {
		if next.arriveAt > c.now {
			c.inFlight = append(c.inFlight, next)
			continue
		}
		switch k := next.to - len(c.nodes); {
		case k >= 0 && c.now < c.routers[k].stalledUntil:
			c.routers[k].queued = append(c.routers[k].queued, *next.response)
		case k >= 0:
			c.deliver(k, *next.response)
			c.routers[k].wakeAt = 0
		case c.now < c.blockedUntil[next.to]:
			c.inFlight = append(c.inFlight, next)
		case !c.down[next.to]:
			c.step(next.to, Input{Message: next.message, Request: next.request})
		}
	}
}

// held returns the number of routers that hold each of the given leases, summed over the leases.
func (c *cluster) held(leases ...string) (n int) {
	for _, name := range leases {
		for k := range c.routers {
			if c.holds(k, name) {
				n++
			}
		}
	}
	return n
}

// holds reports whether a router holds a lease.
func (c *cluster) holds(k int, name string) bool {
	_, valid := c.routers[k].Valid(c.clock(c.routers[k]), name)
	return valid
}

// holder returns the index of the router that holds a lease, or -1 if no router holds it.
func (c *cluster) holder(name string) int {
	return slices.IndexFunc(c.routers, func(r *router) bool { _, valid := r.Valid(c.clock(r), name); return valid })
}

// transfer makes a router release a lease to another router.
func (c *cluster) transfer(name string, from, to int, handoff []byte) {
	r := c.routers[from]
	r.Release(c.clock(r), name, c.routers[to].id, handoff)
	r.wakeAt = 0
}
