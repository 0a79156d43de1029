package bans

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"garnetline/internal/fleet/consensus"
	"garnetline/internal/fleet/gossip"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// router is one with its list and its shelf of neighbours' words, as in the daemon.
type router struct {
	m     *Machine
	out   map[routing.ServerID]bool
	shelf *gossip.Store
	cut   bool // from the register and the others
	calls map[uint64]Change
}

// town is routers, a register in one place and staff.
type town struct {
	t       testing.TB
	rng     *rand.Rand
	now     float64
	loss    float64
	reg     *leaseregistry.State
	index   uint64
	routers []*router
	latest  map[routing.ServerID]string // what staff did last, as far as it was taken
	enabled int
}

func (w *town) list(x *router) []routing.ServerID { return slices.Sorted(maps.Keys(x.out)) }

func (w *town) set(x *router, box routing.ServerID, out, tell bool) {
	if x.out[box] = true; !out {
		delete(x.out, box)
	}
	if tell {
		x.shelf.SetDisabled(w.now, box, out)
	}
	w.words(x)
}

// words has a router's list follow what the others told, as the change log's actor does.
func (w *town) words(x *router) {
	for _, c := range x.shelf.TakeChanges() {
		if x.out[c.Server] = true; !c.Disabled {
			delete(x.out, c.Server)
		}
	}
}

func (w *town) take(x *router, out Output) {
	for _, o := range out.Actions {
		w.set(x, o.Server, o.Disable, !o.Disable)
	}
	for _, e := range out.Completions {
		c := x.calls[e.ChangeID]
		if e.Err == nil {
			w.set(x, c.Server, false, true)
			w.enabled++
		}
	}
	for _, a := range out.Requests {
		if x.cut || w.rng.Float64() < w.loss {
			continue
		}
		answer := consensus.BanResponse{RequestID: a.ID}
		if a.Set != nil {
			w.index++
			c, _ := leaseregistry.DecodeCommand(a.Set.Append(nil))
			if err := w.reg.Apply(w.index, c); err != nil {
				answer.Rejection = err.Error()
			} else if !c.Disabled {
				w.latest[c.Server] = "enabled"
			}
		}
		if answer.Version = w.reg.BanVersion(); answer.Version != a.KnownVersion {
			answer.Bans = w.reg.BansSnapshot()
		}
		if w.rng.Float64() >= w.loss {
			w.take(x, x.m.HandleResponse(w.now, answer))
		}
	}
}

func (w *town) run(ms float64) {
	for end := w.now + ms; w.now < end; w.now += 20 {
		for _, x := range w.routers {
			w.take(x, x.m.Step(w.now, w.list(x)))
			y := w.routers[w.rng.IntN(len(w.routers))]
			if x == y || x.cut || y.cut || w.rng.Float64() < max(0.7, w.loss) {
				continue
			}
			for b := range membership.BucketCount {
				x.shelf.ForEach(b, func(item []byte) bool { y.shelf.Receive(w.now, 0, item); return true })
			}
			w.words(y)
		}
	}
}

func newTown(t testing.TB, seed uint64) *town {
	w := &town{t: t, rng: rand.New(rand.NewPCG(seed, 3)), reg: leaseregistry.New(), latest: map[routing.ServerID]string{}}
	for i := range 3 {
		w.routers = append(w.routers, &router{m: NewMachine(DefaultSettings(), uint64(i)<<40, nil, 0), out: map[routing.ServerID]bool{},
			shelf: gossip.New(gossip.DefaultSettings(), membership.ID(i+1), 1), calls: map[uint64]Change{}})
	}
	return w
}

// Staff take boxes out and let them in at any router, routers are cut off, start again,
// and lose questions and answers: when all is quiet all have out what the register has,
// and what staff took out last is out.
func TestRandomOperatorChanges(t *testing.T) {
	enabled := 0
	for seed := range uint64(100) {
		w := newTown(t, seed)
		for range 30 {
			x := w.routers[w.rng.IntN(3)]
			box := routing.ServerID(w.rng.IntN(2) + 1)
			switch w.rng.IntN(6) {
			case 0, 1:
				w.set(x, box, true, true)
				x.m.RecordDisabled(w.now, Change{Server: box, Disable: true, SetBy: "x"})
				w.latest[box] = "disabled"
			case 2:
				c := Change{Server: box}
				x.calls[x.m.RequestEnable(w.now, c)] = c
			case 3:
				x.cut = !x.cut
			case 4:
				x.m = NewMachine(DefaultSettings(), w.rng.Uint64()>>1, maps.Clone(x.m.LocalBans()), w.now)
				x.calls = map[uint64]Change{}
			case 5:
				w.loss = w.rng.Float64() * 0.4
			}
			w.run(w.rng.Float64() * 900)
		}
		w.loss = 0
		for _, x := range w.routers {
			x.cut = false
		}
		w.run(15_000)
		enabled += w.enabled
		for box := routing.ServerID(1); box <= 2; box++ {
			r := w.reg.Bans[box]
			for i, x := range w.routers {
				if is := x.out[box]; is != (r != nil && r.Disabled) || w.latest[box] == "disabled" && !is {
					t.Errorf("seed %d: box %d is out %v at router %d, the register has %+v, staff last %s it", seed, box, is, i, r, w.latest[box])
				}
			}
		}
	}
	if enabled < 100 {
		t.Errorf("%d enables show nothing", enabled)
	}
}

// A call with an older version than the register's is refused; one that nobody answers
// ends, and the box stays out.
func TestVersionConflictAndNoQuorum(t *testing.T) {
	w := newTown(t, 1)
	x := w.routers[0]
	w.set(x, 7, true, true)
	x.m.RecordDisabled(0, Change{Server: 7, Disable: true, SetBy: "ada", Reason: "disk"})
	w.run(1000)
	if b := w.routers[2].m.Bans(); len(b) != 1 || !b[0].Disabled || b[0].SetBy != "ada" || b[0].Reason != "disk" || !w.routers[2].out[7] {
		t.Fatalf("%+v", b)
	}
	ended := func(c Change, cut bool) (err error) {
		x.cut = cut
		n := x.m.RequestEnable(w.now, c)
		err = errors.New("no end")
		for range 100 {
			w.now += 20
			out := x.m.Step(w.now, w.list(x))
			for _, a := range out.Requests {
				if cut {
					continue
				}
				w.index++
				answer := consensus.BanResponse{RequestID: a.ID}
				if a.Set != nil && w.reg.Apply(w.index, a.Set) != nil {
					answer.Rejection = "no"
				}
				answer.Version, answer.Bans = w.reg.BanVersion(), w.reg.BansSnapshot()
				out.Completions = append(out.Completions, x.m.HandleResponse(w.now, answer).Completions...)
			}
			for _, e := range out.Completions {
				if e.ChangeID == n {
					return e.Err
				}
			}
		}
		return err
	}
	if err := ended(Change{Server: 7, Version: 99}, false); !errors.Is(err, ErrVersionConflict) {
		t.Error(err)
	}
	if err := ended(Change{Server: 7}, true); !errors.Is(err, ErrNoQuorum) || !w.reg.Bans[7].Disabled {
		t.Error(err)
	}
	if err := ended(Change{Server: 7, Version: w.reg.Bans[7].Version}, false); err != nil || w.reg.Bans[7].Disabled {
		t.Error(err)
	}
}
