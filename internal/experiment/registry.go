package experiment

import (
	"container/heap"
	"fmt"
	"io/fs"
	"math"
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

// Register is a run of electors and routers that hold duties, on one clock: what it costs,
// and what an elector keeps. All but the heap follows from the seed.
type Registry struct {
	Seed                    uint64
	Voters, Routers, Leases int
	Settings                consensus.Settings
	TransferInterval        float64 // a duty is handed on so often, ms; 0: never
	AnswerLossInterval      float64 // a router loses its answers for a lease so often, ms; 0: never
}

// RegisterResult is what a run saw.
type RegistryResult struct {
	GrantTimes, TransferTimes []float64 // ms from a router's first question, or from the handing on, until it holds
	Requests                  int       // questions
	Messages, Bytes           int       // between electors
	RequestBytes              int       // bytes of questions and answers
	Commands                  uint64
	DiskSyncs                 int // of one elector's disk
	DiskBytes                 int // its largest, bytes
	Heap                      []uint64
	LeasesHeld                int
	SimulatedTime             float64 // ms
}

// folder is one in memory, which counts.
type folder struct {
	files map[string][]byte
	syncs int
	most  int
}

type folderFile struct {
	m    *folder
	name string
}

func (m *folder) ReadFile(name string) ([]byte, error) {
	if b, ok := m.files[name]; ok {
		return slices.Clone(b), nil
	}
	return nil, fs.ErrNotExist
}
func (m *folder) Append(name string) (wal.File, error) {
	m.files[name] = append(m.files[name], []byte{}...)
	return &folderFile{m, name}, nil
}
func (m *folder) Rename(from, to string) error {
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}
func (m *folder) Remove(name string) error { delete(m.files, name); return nil }
func (m *folder) Sync() error              { m.syncs++; return nil }

func (f *folderFile) Write(b []byte) (int, error) {
	f.m.files[f.name] = append(f.m.files[f.name], b...)
	n := 0
	for _, b := range f.m.files {
		n += len(b)
	}
	f.m.most = max(f.m.most, n)
	return len(b), nil
}
func (f *folderFile) Sync() error { f.m.syncs++; return nil }
func (f *folderFile) Truncate(n int64) error {
	f.m.files[f.name] = f.m.files[f.name][:n]
	return nil
}
func (f *folderFile) Close() error { return nil }

// due is something that happens at a moment.
type due struct {
	at float64
	n  int // the order in which it was put
	f  func()
}

type dues []due

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].n < d[j].n
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	x := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return x
}

// Run plays for some virtual ms.
func (o Registry) Run(ms float64) (r RegistryResult, err error) {
	rng := rand.New(rand.NewPCG(o.Seed, 11))
	var queue dues
	now, n := 0.0, 0
	after := func(wait float64, f func()) {
		n++
		heap.Push(&queue, due{now + max(0, wait), n, f})
	}
	way := func() float64 { return 0.3 + rng.ExpFloat64()*0.3 }

	voters, names := map[uint64]string{}, []string{}
	for i := range o.Voters {
		voters[uint64(i+1)] = fmt.Sprint("e", i)
	}
	for i := range o.Leases {
		names = append(names, fmt.Sprintf("duty/%04d", i))
	}
	electors, folders := make([]*consensus.Node, o.Voters), make([]*folder, o.Voters)
	wakes, leads := make([]int, o.Voters), 0
	var ids []membership.ID
	for i := range o.Routers {
		ids = append(ids, membership.ID(i+1))
	}
	type router struct {
		*lease.Holder
		first map[string]float64 // when it began to ask
		wake  int
		deaf  float64
	}
	routers := make([]*router, o.Routers)
	moved := map[string]float64{}
	var stepRouter func(i int)
	var step func(i int, in consensus.Input)
	answer := func(to membership.ID, a lease.Response) {
		r.RequestBytes += len(leasemanager.EncodeResponse(a))
		after(way(), func() {
			x := routers[to-1]
			if now < x.deaf {
				return
			}
			for _, c := range x.HandleResponse(now, a) {
				if c.FencingToken == 0 {
					continue
				}
				if at, was := moved[c.Lease]; was {
					r.TransferTimes = append(r.TransferTimes, now-at)
					delete(moved, c.Lease)
				} else if at, was := x.first[c.Lease]; was {
					r.GrantTimes = append(r.GrantTimes, now-at)
				}
				delete(x.first, c.Lease)
			}
			stepRouter(int(to) - 1)
		})
	}
	step = func(i int, in consensus.Input) {
		out, e := electors[i].Step(now, in)
		if e != nil {
			err = e
			return
		}
		if out.Leading {
			leads = i
		}
		for _, m := range out.Messages {
			m := proto.Clone(m).(*raftpb.Message)
			r.Messages, r.Bytes = r.Messages+1, r.Bytes+proto.Size(m)
			after(way(), func() { step(int(m.GetTo())-1, consensus.Input{Message: m}) })
		}
		for _, a := range out.Responses {
			answer(a.To, a.Response)
		}
		for _, a := range out.Released {
			for _, id := range lease.TopRanked(a.Lease, ids, 4) {
				answer(id, a)
			}
		}
		wakes[i]++
		at := wakes[i]
		after(out.WakeAt-now, func() {
			if at == wakes[i] {
				step(i, consensus.Input{})
			}
		})
	}
	stepRouter = func(i int) {
		x := routers[i]
		asks, _, wake := x.Step(now)
		for _, a := range asks {
			r.Requests++
			r.RequestBytes += len(leasemanager.EncodeRequest(a))
			if _, was := x.first[a.Lease]; !was && a.FencingToken == 0 {
				x.first[a.Lease] = now
			}
			after(way(), func() {
				step(leads, consensus.Input{Request: &consensus.ClientRequest{From: ids[i], Incarnation: 1, Request: a}})
			})
		}
		x.wake++
		at := x.wake
		after(wake-now, func() {
			if at == x.wake {
				stepRouter(i)
			}
		})
	}
	for i := range electors {
		folders[i] = &folder{files: map[string][]byte{}}
		log, found, _, err := wal.Open(folders[i], "lab")
		if err != nil {
			return r, err
		}
		if electors[i], err = consensus.NewNode(o.Settings, uint64(i+1), log, found, voters, 0); err != nil {
			return r, err
		}
		after(0, func() { step(i, consensus.Input{}) })
	}
	// Raft draws its election timeouts from a source that cannot be seeded. None runs out here,
	// as one voter is told to stand for election at the start and its heartbeats are not lost.
	first := rng.IntN(o.Voters)
	after(0, func() {
		step(first, consensus.Input{Message: &raftpb.Message{Type: raftpb.MsgTimeoutNow.Enum(), To: proto.Uint64(uint64(first + 1))}})
	})
	for i, id := range ids {
		routers[i] = &router{Holder: lease.NewHolder(o.Settings.Lease, id, uint64(i)<<40), first: map[string]float64{}}
		after(4*o.Settings.TickInterval*float64(o.Settings.ElectionTicks), func() { // when there is a leader
			for _, name := range names {
				routers[i].SetRank(now, name, lease.Rank(name, id, ids))
			}
			stepRouter(i)
		})
	}
	hold := func(name string) int {
		return slices.IndexFunc(routers, func(x *router) bool { _, ok := x.Valid(now, name); return ok })
	}
	var move, drop func()
	move = func() {
		name := names[rng.IntN(len(names))]
		if i := hold(name); i >= 0 {
			moved[name] = now
			routers[i].Release(now, name, ids[(i+1+rng.IntN(len(ids)-1))%len(ids)], []byte("work"))
			stepRouter(i)
		}
		after(o.TransferInterval*rng.ExpFloat64(), move)
	}
	drop = func() {
		routers[rng.IntN(len(routers))].deaf = now + 2*o.Settings.Lease.TTL
		after(o.AnswerLossInterval*rng.ExpFloat64(), drop)
	}
	settled := 8 * o.Settings.TickInterval * float64(o.Settings.ElectionTicks)
	if o.TransferInterval > 0 {
		after(settled, move)
	}
	if o.AnswerLossInterval > 0 {
		after(settled, drop)
	}
	mark := ms / 8
	for now < ms && len(queue) > 0 && err == nil {
		d := heap.Pop(&queue).(due)
		if now = d.at; now >= mark {
			mark += ms / 8
			runtime.GC()
			var s runtime.MemStats
			runtime.ReadMemStats(&s)
			r.Heap = append(r.Heap, s.HeapAlloc)
		}
		d.f()
	}
	for _, name := range names {
		if hold(name) >= 0 {
			r.LeasesHeld++
		}
	}
	r.SimulatedTime, r.Commands = now, electors[leads].Status().AppliedIndex
	r.DiskSyncs, r.DiskBytes = folders[leads].syncs, folders[leads].most
	slices.Sort(r.GrantTimes)
	slices.Sort(r.TransferTimes)
	return r, err
}

// Row is the run as a row of a table in Markdown.
func (o Registry) Row(r RegistryResult) string {
	s := r.SimulatedTime / 1000
	var heap []string
	for _, h := range r.Heap {
		heap = append(heap, fmt.Sprintf("%.1f", float64(h)/(1<<20)))
	}
	q := func(x []float64, p float64) string {
		if v := Quantile(x, p); !math.IsNaN(v) {
			return fmt.Sprintf("%.1f", v)
		}
		return "-"
	}
	return fmt.Sprintf("| %d, %d, %d | %.1f | %d of %d | %s, %s | %s, %s | %.1f | %.1f, %.0f | %.0f | %d | %d | %.0f | %v |", o.Voters, o.Routers, o.Leases, s/3600, r.LeasesHeld, o.Leases,
		q(r.GrantTimes, 0.5), q(r.GrantTimes, 0.99), q(r.TransferTimes, 0.5), q(r.TransferTimes, 0.99), float64(r.Requests)/s, float64(r.Messages)/s, float64(r.Bytes)/s, float64(r.RequestBytes)/s,
		r.Commands, r.DiskSyncs, float64(r.DiskBytes)/1024, heap)
}
