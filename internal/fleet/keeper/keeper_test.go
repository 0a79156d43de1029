package keeper

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"garnetline/decide"
	"garnetline/internal/fleet/agree"
	"garnetline/internal/fleet/member"
	"garnetline/internal/fleet/register"
	"garnetline/internal/fleet/words"
)

// router is one with its list and its shelf of neighbours' words, as in the daemon.
type router struct {
	m     *Machine
	out   map[decide.ServerID]bool
	shelf *words.Shelf
	cut   bool // from the register and the others
	calls map[uint64]Call
}

// town is routers, a register in one place and staff.
type town struct {
	t       testing.TB
	rng     *rand.Rand
	now     float64
	loss    float64
	reg     *register.State
	index   uint64
	routers []*router
	latest  map[decide.ServerID]string // what staff did last, as far as it was taken
	enabled int
}

func (w *town) list(x *router) []decide.ServerID { return slices.Sorted(maps.Keys(x.out)) }

func (w *town) set(x *router, box decide.ServerID, out, tell bool) {
	if x.out[box] = true; !out {
		delete(x.out, box)
	}
	if tell {
		x.shelf.Switch(w.now, box, out)
	}
	w.words(x)
}

// words has a router's list follow what the others told, as the change log's actor does.
func (w *town) words(x *router) {
	for _, c := range x.shelf.Changes() {
		if x.out[c.Box] = true; !c.Out {
			delete(x.out, c.Box)
		}
	}
}

func (w *town) take(x *router, out Output) {
	for _, o := range out.Orders {
		w.set(x, o.Box, o.Out, !o.Out)
	}
	for _, e := range out.Ended {
		c := x.calls[e.Call]
		if e.Err == nil {
			w.set(x, c.Box, false, true)
			w.enabled++
		}
	}
	for _, a := range out.Asks {
		if x.cut || w.rng.Float64() < w.loss {
			continue
		}
		answer := agree.BanAnswer{Question: a.Question}
		if a.Set != nil {
			w.index++
			c, _ := register.Read(a.Set.Append(nil))
			if err := w.reg.Apply(w.index, c); err != nil {
				answer.Refused = err.Error()
			} else if !c.Out {
				w.latest[c.Box] = "enabled"
			}
		}
		if answer.Version = w.reg.BanVersion(); answer.Version != a.Since {
			answer.Bans = w.reg.BansAlone()
		}
		if w.rng.Float64() >= w.loss {
			w.take(x, x.m.Hear(w.now, answer))
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
			for b := range member.Buckets {
				x.shelf.Each(b, func(item []byte) bool { y.shelf.Take(w.now, 0, item); return true })
			}
			w.words(y)
		}
	}
}

func newTown(t testing.TB, seed uint64) *town {
	w := &town{t: t, rng: rand.New(rand.NewPCG(seed, 3)), reg: register.New(), latest: map[decide.ServerID]string{}}
	for i := range 3 {
		w.routers = append(w.routers, &router{m: NewMachine(Default(), uint64(i)<<40, nil, 0), out: map[decide.ServerID]bool{},
			shelf: words.New(words.Default(), member.ID(i+1), 1), calls: map[uint64]Call{}})
	}
	return w
}

// Staff take boxes out and let them in at any router, routers are cut off, start again,
// and lose questions and answers: when all is quiet all have out what the register has,
// and what staff took out last is out.
func TestRandomStaff(t *testing.T) {
	enabled := 0
	for seed := range uint64(100) {
		w := newTown(t, seed)
		for range 30 {
			x := w.routers[w.rng.IntN(3)]
			box := decide.ServerID(w.rng.IntN(2) + 1)
			switch w.rng.IntN(6) {
			case 0, 1:
				w.set(x, box, true, true)
				x.m.Disabled(w.now, Call{Box: box, Out: true, Who: "x"})
				w.latest[box] = "disabled"
			case 2:
				c := Call{Box: box}
				x.calls[x.m.Enable(w.now, c)] = c
			case 3:
				x.cut = !x.cut
			case 4:
				x.m = NewMachine(Default(), w.rng.Uint64()>>1, maps.Clone(x.m.Basis()), w.now)
				x.calls = map[uint64]Call{}
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
		for box := decide.ServerID(1); box <= 2; box++ {
			r := w.reg.Bans[box]
			for i, x := range w.routers {
				if is := x.out[box]; is != (r != nil && r.Out) || w.latest[box] == "disabled" && !is {
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
func TestVersionsAndSilence(t *testing.T) {
	w := newTown(t, 1)
	x := w.routers[0]
	w.set(x, 7, true, true)
	x.m.Disabled(0, Call{Box: 7, Out: true, Who: "ada", Why: "disk"})
	w.run(1000)
	if b := w.routers[2].m.Bans(); len(b) != 1 || !b[0].Out || b[0].Who != "ada" || b[0].Why != "disk" || !w.routers[2].out[7] {
		t.Fatalf("%+v", b)
	}
	ended := func(c Call, cut bool) (err error) {
		x.cut = cut
		n := x.m.Enable(w.now, c)
		err = errors.New("no end")
		for range 100 {
			w.now += 20
			out := x.m.Step(w.now, w.list(x))
			for _, a := range out.Asks {
				if cut {
					continue
				}
				w.index++
				answer := agree.BanAnswer{Question: a.Question}
				if a.Set != nil && w.reg.Apply(w.index, a.Set) != nil {
					answer.Refused = "no"
				}
				answer.Version, answer.Bans = w.reg.BanVersion(), w.reg.BansAlone()
				out.Ended = append(out.Ended, x.m.Hear(w.now, answer).Ended...)
			}
			for _, e := range out.Ended {
				if e.Call == n {
					return e.Err
				}
			}
		}
		return err
	}
	if err := ended(Call{Box: 7, Version: 99}, false); !errors.Is(err, ErrVersion) {
		t.Error(err)
	}
	if err := ended(Call{Box: 7}, true); !errors.Is(err, ErrAgreement) || !w.reg.Bans[7].Out {
		t.Error(err)
	}
	if err := ended(Call{Box: 7, Version: w.reg.Bans[7].Version}, false); err != nil || w.reg.Bans[7].Out {
		t.Error(err)
	}
}
