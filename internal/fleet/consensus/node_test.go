package consensus

import (
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

// memoryStorage is a disk in memory: what was saved is there after a crash.
type memoryStorage struct {
	state     wal.State
	failing   bool
	saveDelay float64 // ms that the next save takes
	saves     int
	unsynced  bool      // nothing is synced: a crash loses what came after was
	synced    wal.State // what the machine happened to write by itself
}

// crash is the end of a process and its machine.
func (k *memoryStorage) crash() {
	if k.unsynced {
		k.state = k.synced
	}
}

func (k *memoryStorage) Save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	if k.failing {
		return fmt.Errorf("disk full")
	}
	if k.saves++; k.unsynced && k.saves%7 == 0 {
		k.synced = wal.State{HardState: k.state.HardState, Snapshot: k.state.Snapshot, Entries: slices.Clone(k.state.Entries)}
	}
	k.saveDelay = -k.saveDelay // this one is
	if snap != nil {
		k.state.Snapshot = proto.Clone(snap).(*raftpb.Snapshot)
		k.state.Entries = slices.DeleteFunc(k.state.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= snap.GetMetadata().GetIndex() })
	}
	for _, e := range entries {
		k.state.Entries = slices.DeleteFunc(k.state.Entries, func(x *raftpb.Entry) bool { return x.GetIndex() >= e.GetIndex() })
		k.state.Entries = append(k.state.Entries, proto.Clone(e).(*raftpb.Entry))
	}
	if hard != nil {
		k.state.HardState = proto.Clone(hard).(*raftpb.HardState)
	}
	return nil
}
func (k *memoryStorage) SaveMetadata([]byte) error { return nil }
func (k *memoryStorage) Rewrite(s wal.State) error { k.state = s; return nil }
func (k *memoryStorage) NeedsRewrite() bool        { return false }

// envelope is something on its way.
type envelope struct {
	at       float64
	to       int // elector, or router from routers on
	message  *raftpb.Message
	request  *ClientRequest
	response *lease.Response
	from     int
}

// cluster is electors and routers on one clock; each router's clock has a rate of its own.
type cluster struct {
	t            testing.TB
	rng          *rand.Rand
	now          float64
	settings     Settings
	nodes        []*Node
	storages     []*memoryStorage
	wakeAt       []float64
	blockedUntil []float64 // until then an elector waits for its disk
	down         []bool
	leading      []bool
	partitioned  func(a, b int) bool // electors are 0 to n-1, routers follow
	lossRate     float64
	leaderKnown  bool // routers know the leader, as the daemon's are told it
	inFlight     []envelope
	routers      []*router
	grants       int
	violation    string
	history      []porcupine.Operation
}

type router struct {
	*lease.Holder
	id           membership.ID
	clockRate    float64
	wakeAt       float64
	stalledUntil float64 // until, in the cluster's time
	queued       []lease.Response
	likelyLeader int
	historyIndex map[uint64]int // question: place in the history
}

func newCluster(t testing.TB, seed uint64, electors, routers int, duties ...string) *cluster {
	set := DefaultSettings()
	set.Lease.TTL, set.Lease.SafetyMargin, set.Lease.RetryInterval, set.Lease.MaxBackoff = 1000, 100, 60, 1500
	c := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 5)), settings: set, partitioned: func(int, int) bool { return false }}
	for range electors {
		c.storages = append(c.storages, &memoryStorage{})
	}
	c.blockedUntil = make([]float64, electors+1)
	c.nodes, c.wakeAt, c.down, c.leading = make([]*Node, electors), make([]float64, electors), make([]bool, electors), make([]bool, electors)
	for i := range electors {
		c.start(i)
	}
	var ids []membership.ID
	for i := range routers {
		ids = append(ids, membership.ID(100+i))
	}
	for i, id := range ids {
		r := &router{Holder: lease.NewHolder(set.Lease, id, uint64(i)<<40), id: id, clockRate: 1 + (c.rng.Float64()*2-1)*set.Lease.MaxClockDrift/2, historyIndex: map[uint64]int{}}
		for _, d := range duties {
			r.SetRank(0, d, lease.Rank(d, id, ids))
		}
		c.routers = append(c.routers, r)
	}
	return c
}

func (c *cluster) start(i int) {
	voters := map[uint64]string{}
	for k := range c.nodes {
		voters[uint64(k+1)] = fmt.Sprint("e", k)
	}
	m, err := NewNode(c.settings, uint64(i+1), c.storages[i], c.storages[i].state, voters, c.now)
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[i], c.down[i], c.wakeAt[i], c.leading[i] = m, false, c.now, false
}

func (c *cluster) clock(r *router) float64 { return c.now * r.clockRate }

func (c *cluster) send(from int, p envelope) {
	if c.partitioned(from, p.to) || c.rng.Float64() < c.lossRate {
		return
	}
	p.at, p.from = c.now+1+c.rng.ExpFloat64()*3, from
	if from < len(c.nodes) {
		p.at += max(0, c.blockedUntil[from]-c.now) // it leaves when the disk has it
	}
	c.inFlight = append(c.inFlight, p)
}

func (c *cluster) step(i int, in Input) {
	out, err := c.nodes[i].Step(c.now, in)
	if d := c.storages[i]; d.saveDelay < 0 {
		c.blockedUntil[i], d.saveDelay = c.now-d.saveDelay, 0
	}
	if err != nil {
		c.down[i], c.leading[i] = true, false
		return
	}
	c.wakeAt[i], c.leading[i] = out.WakeAt, out.Leading
	for _, m := range out.Messages {
		c.send(i, envelope{to: int(m.GetTo()) - 1, message: proto.Clone(m).(*raftpb.Message)}) // as on a wire
		if m.GetType() == raftpb.MsgSnap {
			c.nodes[i].ReportSnapshotSent(m.GetTo()) // as the daemon does
		}
	}
	for _, a := range out.Released {
		for k := range c.routers {
			c.send(i, envelope{to: len(c.nodes) + k, response: &a})
		}
	}
	for _, a := range out.Responses {
		c.send(i, envelope{to: len(c.nodes) + int(a.To) - 100, response: &a.Response})
	}
}

func (c *cluster) stepRouter(k int) {
	r := c.routers[k]
	if c.now < r.stalledUntil {
		return
	}
	for _, a := range r.queued {
		c.deliver(k, a)
	}
	r.queued = nil
	asks, _, wake := r.Step(c.clock(r))
	r.wakeAt = wake
	for _, a := range asks {
		r.likelyLeader = c.rng.IntN(len(c.nodes))
		for i, leads := range c.leading {
			if leads && (c.leaderKnown || c.rng.IntN(3) > 0) {
				r.likelyLeader = i
			}
		}
		r.historyIndex[a.ID] = len(c.history)
		c.history = append(c.history, porcupine.Operation{ClientId: k, Input: operationInput{a.Lease, r.id, a.Release}, Call: int64(c.now * 1000), Output: operationOutput{lost: true}, Return: 1 << 60})
		c.send(len(c.nodes)+k, envelope{to: r.likelyLeader, request: &ClientRequest{From: r.id, Incarnation: 1, Request: a}})
	}
}

// deliver has a router take an answer, and looks whether two may act now.
func (c *cluster) deliver(k int, a lease.Response) {
	r := c.routers[k]
	if i, asked := r.historyIndex[a.RequestID]; asked {
		c.history[i].Output, c.history[i].Return = operationOutput{a.FencingToken, a.Holder, false}, int64(c.now*1000)
		delete(r.historyIndex, a.RequestID)
	}
	for _, ch := range r.HandleResponse(c.clock(r), a) {
		if ch.FencingToken == 0 {
			continue
		}
		c.grants++
		for _, o := range c.routers {
			if token, may := o.Valid(c.clock(o), a.Lease); may && o != r {
				c.violation = fmt.Sprintf("at %.0f %v may act for %s under %d and %v under %d", c.now, r.id, a.Lease, ch.FencingToken, o.id, token)
			}
		}
	}
}

func (c *cluster) run(ms float64) {
	for end := c.now + ms; c.now < end; c.now += 2 {
		due := c.inFlight
		c.inFlight = nil
		for _, p := range due {
			if p.at > c.now {
				c.inFlight = append(c.inFlight, p)
				continue
			}
			switch k := p.to - len(c.nodes); {
			case k >= 0 && c.now < c.routers[k].stalledUntil:
				c.routers[k].queued = append(c.routers[k].queued, *p.response)
			case k >= 0:
				c.deliver(k, *p.response)
				c.routers[k].wakeAt = 0
			case c.now < c.blockedUntil[p.to]:
				c.inFlight = append(c.inFlight, p)
			case !c.down[p.to]:
				c.step(p.to, Input{Message: p.message, Request: p.request})
			}
		}
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

// held tells which duties somebody may act for.
func (c *cluster) held(duties ...string) (n int) {
	for _, d := range duties {
		for _, r := range c.routers {
			if _, ok := r.Valid(c.clock(r), d); ok {
				n++
			}
		}
	}
	return n
}

type operationInput struct {
	lease   string
	router  membership.ID
	release bool
}

type operationOutput struct {
	token  uint64
	holder membership.ID
	lost   bool // no answer came: it may have happened or not
}

// leaseModel is a duty of the register as a question sees it: tokens only grow, and each answer
// is how the duty stands at some moment between the question and the answer.
var leaseModel = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range h {
			if !o.Output.(operationOutput).lost {
				by[o.Input.(operationInput).lease] = append(by[o.Input.(operationInput).lease], o)
			}
		}
		var l [][]porcupine.Operation
		for _, d := range []string{"a", "b", "c"} {
			l = append(l, by[d])
		}
		return l
	},
	Init: func() any { return operationOutput{} },
	Step: func(state, _, out any) (bool, any) {
		s, o := state.(operationOutput), out.(operationOutput)
		// What others did without an answer may lie between: a later token is such a state.
		return o.token > s.token || o == s, o
	},
}

// Electors are killed, started anew with their disks, and cut in all ways, routers
// stopped for longer than a lease, packets lost, clocks of differing rates: no two routers
// may act for a duty at one time, what was answered is one history, and all comes back.
func TestClusterUnderFaults(t *testing.T) {
	duties, grants := []string{"a", "b", "c"}, 0
	for seed := range uint64(6) {
		n := 3 + 2*int(seed%2)
		c := newCluster(t, seed+1, n, 4, duties...)
		c.run(4000)
		if got := c.held(duties...); got != 3 {
			t.Fatalf("seed %d: %d duties of 3 are held after 4 s", seed, got)
		}
		for range 40 {
			switch c.rng.IntN(6) {
			case 0:
				if i := c.rng.IntN(n); !c.down[i] {
					c.down[i], c.leading[i] = true, false
				}
			case 1:
				for i := range c.nodes {
					if c.down[i] {
						c.start(i)
					}
				}
			case 2: // halves, and routers on either side
				side := c.rng.IntN(1 << (n + 4))
				c.partitioned = func(a, b int) bool { return side>>a&1 != side>>b&1 }
			case 3: // one way
				x, y := c.rng.IntN(n+4), c.rng.IntN(n+4)
				c.partitioned = func(a, b int) bool { return a == x && b == y }
			case 4:
				r := c.routers[c.rng.IntN(4)]
				r.stalledUntil = c.now + c.rng.Float64()*2500
			case 5:
				c.lossRate = c.rng.Float64() * 0.2
			}
			c.run(300 + c.rng.Float64()*1200)
		}
		c.partitioned, c.lossRate = func(int, int) bool { return false }, 0
		for i := range c.nodes {
			if c.down[i] {
				c.start(i)
			}
		}
		c.run(15_000)
		if got := c.held(duties...); got != 3 || c.violation != "" {
			t.Errorf("seed %d: %d duties of 3 are held at the end; %s", seed, got, c.violation)
		}
		grants += c.grants
		if !porcupine.CheckOperations(leaseModel, c.history) {
			t.Errorf("seed %d: %d questions and answers are no one history", seed, len(c.history))
		}
	}
	if grants < 30 {
		t.Errorf("%d grants show nothing", grants)
	}
}

// A duty is handed on by plan, again and again, without two that act and with little time
// in which nobody does; one whose disk fails stops, and the others go on.
func TestTransfersAndDiskFailure(t *testing.T) {
	c := newCluster(t, 9, 5, 3, "a")
	c.run(4000)
	gaps, astray := []float64{}, 0
	for i := range 100 {
		from := slices.IndexFunc(c.routers, func(r *router) bool { _, ok := r.Valid(c.clock(r), "a"); return ok })
		if from < 0 {
			t.Fatalf("nobody holds it after %d times", i)
		}
		to := (from + 1 + i%2) % 3
		c.routers[from].Release(c.clock(c.routers[from]), "a", c.routers[to].id, []byte("work"))
		c.routers[from].wakeAt = 0
		at := c.now
		for c.held("a") == 0 && c.now < at+5000 {
			c.run(2)
		}
		if _, ok := c.routers[to].Valid(c.clock(c.routers[to]), "a"); !ok {
			astray++ // its questions met no leader for a whole lease: anybody may have it then
		}
		gaps = append(gaps, c.now-at)
		c.run(200)
		if i == 50 {
			c.storages[slices.Index(c.leading, true)].failing = true
			c.run(6000)
		}
	}
	slices.Sort(gaps)
	// Who asks does not know who leads, and asks around: in the daemon electors tell it.
	if gaps[50] > 250 || gaps[90] > 700 || astray > 5 || c.violation != "" {
		t.Errorf("without a holder for %.0f ms, %.0f at the most, %d times another's; %s", gaps[50], gaps[99], astray, c.violation)
	}
	if n := slices.Index(c.down, true); n < 0 {
		t.Error("the elector with a full disk goes on")
	}
}

// The log stays short, and one that was away for longer than it reaches back catches up by
// a snapshot.
func TestSnapshots(t *testing.T) {
	c := newCluster(t, 10, 3, 2, "a")
	c.settings.SnapshotEntries, c.settings.RetainedEntries = 40, 10
	for i := range c.nodes {
		c.start(i)
	}
	c.run(4000)
	away := (slices.Index(c.leading, true) + 1) % 3
	c.down[away], c.leading[away] = true, false
	for i := range 60 {
		from := slices.IndexFunc(c.routers, func(r *router) bool { _, ok := r.Valid(c.clock(r), "a"); return ok })
		if from < 0 {
			c.run(500)
			continue
		}
		c.routers[from].Release(c.clock(c.routers[from]), "a", c.routers[1-from].id, nil)
		c.routers[from].wakeAt = 0
		c.run(100 + float64(i%3))
	}
	c.start(away)
	c.run(3000)
	lead := slices.Index(c.leading, true)
	if a, b := c.nodes[away].Status(), c.nodes[lead].Status(); a.AppliedIndex != b.AppliedIndex || len(c.storages[away].state.Entries) > 120 || c.storages[away].state.Snapshot.GetMetadata().GetIndex() < 20 {
		t.Errorf("applied %d of %d, %d entries on its disk", a.AppliedIndex, b.AppliedIndex, len(c.storages[away].state.Entries))
	}
	if string(c.nodes[away].State().Snapshot()) != string(c.nodes[lead].State().Snapshot()) {
		t.Error("of another state")
	}
}

// A duty is handed to a router that does not want it: those that come first are told that
// it is free, by a leader that has just taken office too.
func TestTransferToUnwillingRouter(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 100+seed, 3, 4, "a")
		c.leaderKnown = true
		c.run(4000)
		from := slices.IndexFunc(c.routers, func(r *router) bool { _, ok := r.Valid(c.clock(r), "a"); return ok })
		if from < 0 {
			t.Fatalf("seed %d: nobody holds it", seed)
		}
		to := (from + 1) % 4
		if seed%2 == 1 {
			c.nodes[slices.Index(c.leading, true)].TransferLeadership()
			c.run(60)
		}
		c.routers[to].SetRank(c.clock(c.routers[to]), "a", -1)
		c.routers[from].Release(c.clock(c.routers[from]), "a", c.routers[to].id, nil)
		c.routers[from].wakeAt = 0
		at := c.now
		for c.held("a") == 0 && c.now < at+5000 || c.now < at+20 {
			c.run(2)
		}
		if took := c.now - at; took > 200 || c.violation != "" {
			t.Errorf("seed %d: nobody held it for %.0f ms; %s", seed, took, c.violation)
		}
		if _, back := c.routers[from].Valid(c.clock(c.routers[from]), "a"); back {
			t.Errorf("seed %d: it came back to the one that gave it up", seed)
		}
	}
}

// The lead is handed round at periods from a few rounds of messages to more than a lease,
// while holders renew and hand on: no two act, and duties are held for most of the time,
// less where the lead lasts hardly longer than a question and its grant.
func TestFlappingLeadership(t *testing.T) {
	for _, period := range []float64{40, 150, 400, 900, 1150, 1300} {
		c := newCluster(t, uint64(period), 5, 4, "a", "b")
		c.leaderKnown = true
		c.run(4000)
		held, looks := 0, 0
		for next := c.now; c.now < 34_000; {
			if c.now >= next {
				next = c.now + period
				if i := slices.Index(c.leading, true); i >= 0 {
					c.nodes[i].TransferLeadership()
					c.wakeAt[i] = c.now
				}
			}
			if c.rng.IntN(8) == 0 {
				if k := c.rng.IntN(4); len(c.routers[k].Held(c.clock(c.routers[k]))) > 0 {
					c.routers[k].Release(c.clock(c.routers[k]), "a", c.routers[(k+1)%4].id, nil)
				}
			}
			c.run(10)
			held, looks = held+c.held("a", "b"), looks+2
		}
		t.Logf("each %.0f ms: duties are held for %.0f%% of the time, %d grants", period, 100*float64(held)/float64(looks), c.grants)
		if c.violation != "" || held < looks/3 || period >= 150 && held < looks/2 {
			t.Errorf("each %.0f ms: held in %d looks of %d; %s", period, held, looks, c.violation)
		}
		c.run(6000)
		if n := c.held("a", "b"); n != 2 {
			t.Errorf("each %.0f ms: %d of 2 are held once it is over", period, n)
		}
	}
}

// An elector is taken in while commands come so fast that the log is cut again and again:
// it catches up by snapshots, becomes a voter, and the register survives with its vote.
func TestJoinDuringLogCompaction(t *testing.T) {
	c := newCluster(t, 12, 3, 2, "a")
	c.leaderKnown = true
	c.settings.SnapshotEntries, c.settings.RetainedEntries = 10, 2
	for i := range c.nodes {
		c.start(i)
	}
	c.run(4000)
	busy := func(ms float64) {
		for end := c.now + ms; c.now < end; c.run(12) {
			for k, r := range c.routers {
				if _, ok := r.Valid(c.clock(r), "a"); ok {
					r.Release(c.clock(r), "a", c.routers[1-k].id, nil)
					r.wakeAt = 0
				}
			}
		}
	}
	busy(1500)
	was := c.nodes[0].Status().AppliedIndex
	joins := &memoryStorage{}
	m, err := NewNode(c.settings, 4, joins, wal.State{}, nil, c.now)
	if err != nil {
		t.Fatal(err)
	}
	c.inFlight = nil // routers are numbered behind the electors
	c.nodes, c.wakeAt, c.down, c.leading = append(c.nodes, m), append(c.wakeAt, c.now), append(c.down, false), append(c.leading, false)
	c.storages = append(c.storages, joins)
	c.lossRate = 0.1
	lead := func() *Node { return c.nodes[max(0, slices.Index(c.leading, true))] }
	change := func(k raftpb.ConfChangeType, done func() bool) {
		for end := c.now + 20_000; !done() && c.now < end; {
			if i := slices.Index(c.leading, true); i >= 0 {
				id := uint64(4)
				c.step(i, Input{ConfChange: &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{{Type: &k, NodeId: &id}}}})
			}
			busy(300)
		}
		if !done() {
			t.Fatalf("%v: %+v", k, c.nodes[3].Status())
		}
	}
	change(raftpb.ConfChangeAddLearnerNode, func() bool { return c.nodes[3].Status().AppliedIndex > was })
	c.partitioned = func(a, b int) bool { return a == 3 || b == 3 } // until the log is far beyond it
	for end := c.now + 20_000; lead().Status().AppliedIndex < was+60 && c.now < end; {
		busy(100)
	}
	c.partitioned = func(int, int) bool { return false }
	change(raftpb.ConfChangeAddNode, func() bool {
		return slices.Contains(lead().Status().Voters, 4) && slices.Contains(c.nodes[3].Status().Voters, 4)
	})
	c.lossRate = 0
	if s := lead().Status(); s.AppliedIndex < was+60 || joins.state.Snapshot.GetMetadata().GetIndex() <= was+40 {
		t.Errorf("%d commands while it joined, by a snapshot of %d", s.AppliedIndex-was, joins.state.Snapshot.GetMetadata().GetIndex())
	}
	c.down[0], c.leading[0] = true, false
	before := lead().Status().AppliedIndex
	c.run(8000)
	busy(2000)
	if c.violation != "" || lead().Status().AppliedIndex < before+20 || c.nodes[3].Status().AppliedIndex+10 < lead().Status().AppliedIndex {
		t.Errorf("%s; %+v, the new one %+v", c.violation, lead().Status(), c.nodes[3].Status())
	}
}

// A disk takes two seconds for one save, at the leader or at another, again and again:
// what waits for it is said only then, no two act, and duties are held again.
func TestSlowDisk(t *testing.T) {
	for seed := range uint64(6) {
		c := newCluster(t, 40+seed, 3, 4, "a", "b")
		c.run(4000)
		for i := range 8 {
			e := c.rng.IntN(3)
			if lead := slices.Index(c.leading, true); i%2 == 0 && lead >= 0 {
				e = lead
			}
			if c.storages[e].saveDelay = 2000; c.blockedUntil[e] > c.now {
				c.storages[e].saveDelay = 0
			}
			for k, r := range c.routers { // something is to be saved
				if len(r.Held(c.clock(r))) > 0 {
					r.Release(c.clock(r), r.Held(c.clock(r))[0], c.routers[(k+1)%4].id, nil)
					r.wakeAt = 0
					break
				}
			}
			c.run(3500)
		}
		for _, d := range c.storages {
			d.saveDelay = 0
		}
		c.run(8000)
		if n := c.held("a", "b"); n != 2 || c.violation != "" {
			t.Errorf("seed %d: %d of 2 are held; %s", 40+seed, n, c.violation)
		}
		if c.blockedUntil[0]+c.blockedUntil[1]+c.blockedUntil[2] == 0 {
			t.Error("no save was slow")
		}
	}
}
