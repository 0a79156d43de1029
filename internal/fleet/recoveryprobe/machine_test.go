package recoveryprobe

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"garnetline/internal/fleet/membership"
	"garnetline/routing"
)

// place is the routers of one location before one box, each with the module's rests as
// they are without the duty: 500 ms, doubled up to 4 s, one request out after each.
type place struct {
	rng     *rand.Rand
	now     float64
	loss    float64
	up      bool
	routers []*router
	holder  int // -1: nobody
	token   uint64
	tries   []float64 // at the box, when it is up, of those that had set it aside
	on      bool
}

type router struct {
	m       *Machine
	id      membership.ID
	rests   int
	resting float64
	heard   float64
	bad     bool // its way to the box is broken
	mates   []membership.ID
}

const box = routing.ServerID(7)

func newPlace(seed uint64, n int, on bool) *place {
	p := &place{rng: rand.New(rand.NewPCG(seed, 1)), up: true, holder: 0, token: 1, on: on}
	for i := range n {
		p.routers = append(p.routers, &router{m: NewMachine(DefaultSettings(), membership.ID(i+1)), id: membership.ID(i + 1)})
	}
	for _, r := range p.routers {
		for _, x := range p.routers {
			if x != r {
				r.mates = append(r.mates, x.id)
			}
		}
	}
	return p
}

// run plays for some ms in steps of 10; each router has a request each 50.
func (p *place) run(ms float64) {
	for end := p.now + ms; p.now < end; p.now += 10 {
		for i, r := range p.routers {
			if int(p.now/10)%5 == i%5 && p.now >= r.resting {
				if p.up && !r.bad {
					if r.rests > 0 {
						p.tries = append(p.tries, p.now)
					}
					r.rests, r.heard = 0, p.now
				} else {
					r.resting = p.now + min(500*float64(int(1)<<min(r.rests, 8)), 4000)
					r.rests++
				}
			}
			if !p.on || int(p.now)%50 != 0 {
				continue
			}
			in := Input{HolderCandidates: []membership.ID{p.routers[0].id, p.routers[1].id}, ZonePeers: r.mates}
			if r.rests > 0 {
				in.Ejected = []routing.ServerID{box}
			}
			if i == p.holder {
				in.FencingToken = p.token
			}
			out := r.m.Step(p.now, in)
			if ms := out.EjectionExtensions[box]; ms > 0 && r.rests > 0 {
				r.resting = max(r.resting, p.now+min(ms, 5000))
			}
			if slices.Contains(out.Probes, box) && r.rests == 0 && p.now > r.heard+500 {
				r.rests, r.resting = 1, p.now
			}
			for id, w := range out.Messages {
				if p.rng.Float64() >= p.loss {
					read, _ := Decode(w.Append(nil))
					p.routers[id-1].m.HandleMessage(p.now, r.id, read)
				}
			}
		}
	}
}

// aside counts the routers that have the box set aside.
func (p *place) aside() (n int) {
	for _, r := range p.routers {
		if r.rests > 0 {
			n++
		}
	}
	return n
}

// meets is how many tries the box meets in its first second after 10 s away, and how long
// until all are back.
func meets(p *place) (first int, all float64) {
	p.run(1000)
	p.up = false
	p.run(10_000)
	p.up, p.tries = true, nil
	back := p.now
	for p.aside() > 0 && p.now < back+60_000 {
		p.run(50)
	}
	for _, at := range p.tries {
		if len(p.tries) > 0 && at < p.tries[0]+1000 {
			first++
		}
	}
	return first, p.now - back
}

// A box that comes back meets one try, and then the others at the pace of the ramp, lost
// words or not. Without the duty it meets them as their rests end.
func TestRoutersReturnGradually(t *testing.T) {
	for _, n := range []int{3, 30, 300} {
		with, whole := meets(newPlace(1, n, true))
		without, alone := meets(newPlace(1, n, false))
		t.Logf("%d routers: %d tries in the first second, all back after %.1f s; by themselves %d, %.1f s", n, with, whole/1000, without, alone/1000)
		if bound := 1 + int(DefaultSettings().ReturnRate); with > bound || n >= 300 && without < 2*bound {
			t.Errorf("%d routers: %d tries in the first second, %d without the duty", n, with, without)
		}
		if whole > 1000*(float64(n)/DefaultSettings().ReturnRate+5) {
			t.Errorf("%d routers: all back after %.0f ms", n, whole)
		}
		p := newPlace(2, n, true)
		p.loss = 0.2
		if lossy, whole := meets(p); lossy > 1+int(DefaultSettings().ReturnRate)+n/20 || whole > 1000*(float64(n)/DefaultSettings().ReturnRate+6) {
			t.Errorf("%d routers, a fifth of the words lost: %d, %.0f ms", n, lossy, whole)
		}
	}
}

// Nobody waits for a holder that is gone, silent, or has no requests to try with; a router
// whose own way is broken stays away alone and holds nobody up.
func TestProbesWithoutHolder(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(p *place)
		left int
	}{
		{"the holder is gone", func(p *place) { p.holder = -1 }, 0},
		{"no words arrive", func(p *place) { p.loss = 1 }, 0},
		{"another holds it", func(p *place) { p.holder, p.token = 5, 2 }, 0},
		{"one way is broken", func(p *place) { p.routers[5].bad = true }, 1},
	} {
		p := newPlace(3, 10, true)
		p.run(1000)
		p.up = false
		p.run(5000)
		c.do(p)
		p.up = true
		p.run(12_000)
		if n := p.aside(); n != c.left {
			t.Errorf("%s: %d routers have it set aside", c.name, n)
		}
	}
	p := newPlace(4, 10, true)
	p.routers[5].bad = true
	p.run(20_000)
	if n := p.aside(); n != 1 {
		t.Errorf("one whose way is broken: %d have the box set aside", n)
	}
	// The holder is none of those that are likely: it is found all the same.
	p = newPlace(5, 30, true)
	p.holder = 17
	if n, all := meets(p); all < 10*1000/DefaultSettings().ReturnRate || p.routers[3].m.holder != 18 {
		t.Errorf("%d tries in the first second, all back after %.0f ms", n, all)
	}
	// A word under an older token is not taken.
	m := NewMachine(DefaultSettings(), 1)
	if !m.HandleMessage(0, 2, Message{FencingToken: 9}) || m.HandleMessage(0, 3, Message{FencingToken: 8}) {
		t.Error("an older holder's word is taken")
	}
}

func FuzzDecode(f *testing.F) {
	w := Message{FencingToken: 3, Servers: []ServerStatus{{Server: 0, Age: 20, Recovered: true}, {Server: 9, Age: 1}}}
	f.Add(w.Append(nil))
	if got, ok := Decode(w.Append(nil)); !ok || !reflect.DeepEqual(got, w) {
		f.Fatal(fmt.Sprintf("%+v", got))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if w, ok := Decode(b); ok && len(w.Servers) > MaxServers {
			t.Fatal(len(w.Servers))
		}
	})
}
