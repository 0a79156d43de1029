package duties

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"garnetline/internal/fleet/agree"
	"garnetline/internal/fleet/agree/disk"
	"garnetline/internal/fleet/duty"
	"garnetline/internal/fleet/member"
)

func TestForms(t *testing.T) {
	ask := duty.Ask{Question: 1 << 62, Duty: "probe/x", Token: 7, Give: true, To: 9, Work: []byte("w")}
	if got, ok := GetAsk(PutAsk(ask)); !ok || !reflect.DeepEqual(got, ask) {
		t.Errorf("%+v", got)
	}
	answer := duty.Answer{Question: 3, Duty: "probe/x", Yes: true, Token: 7, Holder: 9, Left: 1500, Losses: 2, Work: []byte("w")}
	if got, ok := GetAnswer(PutAnswer(answer)); !ok || !reflect.DeepEqual(got, answer) {
		t.Errorf("%+v", got)
	}
	h := hello{Name: "r1", ID: 5, Back: true, Heard: true}
	if got, ok := getHello(h.append()); !ok || got != h {
		t.Errorf("%+v", got)
	}
	o := own{ID: 4, Heard: []uint64{1, 2}}
	if got, ok := getOwn(o.append()); !ok || !reflect.DeepEqual(got, o) {
		t.Errorf("%+v", got)
	}
	if got, ok := getHint(hint{5, "r1"}.append()); !ok || got != (hint{5, "r1"}) {
		t.Errorf("%+v", got)
	}
}

func FuzzForms(f *testing.F) {
	f.Add(PutAnswer(duty.Answer{Duty: "a", Yes: true}))
	f.Add(hello{Name: "r1", ID: 5}.append())
	f.Fuzz(func(t *testing.T, b []byte) {
		if a, ok := GetAsk(b); ok && (len(a.Duty) > 64 || len(a.Work) > 512) {
			t.Fatalf("%+v", a)
		}
		GetAnswer(b)
		getHello(b)
		getOwn(b)
		getHint(b)
	})
}

// group is electors that speak to each other by name, in one goroutine.
type group struct {
	t   *testing.T
	set Settings
	dir string
	now float64
	by  map[string]*elector
	cut map[string]bool // names that nobody reaches
}

func newGroup(t *testing.T, names ...string) *group {
	g := &group{t: t, set: Settings{Fleet: "f", Electors: names, Agree: agree.Default()}, dir: t.TempDir(), by: map[string]*elector{}, cut: map[string]bool{}}
	for _, n := range names {
		g.start(n, n)
	}
	return g
}

// start starts an elector in a folder.
func (g *group) start(name, folder string) {
	e, err := newElector(g.set, "f", name, disk.Folder(g.dir+"/"+folder), g.now)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { e.log.Close() })
	g.by[name] = e
}

func (g *group) run(ms float64) {
	for end := g.now + ms; g.now < end; g.now += 10 {
		type mail struct {
			from string
			p    parcel
		}
		var air []mail
		step := func(n string, in func(*elector) agree.Input) {
			for _, p := range g.by[n].step(g.now, in).to {
				air = append(air, mail{n, p})
			}
		}
		for _, n := range slices.Sorted(func(yield func(string) bool) {
			for n := range g.by {
				if !yield(n) {
					return
				}
			}
		}) {
			if !g.cut[n] {
				step(n, nil)
			}
		}
		for i := 0; i < len(air) && i < 500; i++ {
			m := air[i]
			if e := g.by[m.p.name]; e != nil && !g.cut[m.p.name] && !g.cut[m.from] {
				step(m.p.name, func(e *elector) agree.Input { return e.take(member.ID(1), 1, m.p.ch, m.p.b, m.from) })
			}
		}
	}
}

func (g *group) state(name string) string {
	e := g.by[name]
	if e.node == nil {
		return "waits"
	}
	s := e.node.Status()
	return fmt.Sprintf("votes %v, leader known %v", slices.Contains(s.Voters, e.own.ID), s.Leader != 0)
}

// The first electors begin together, and not before each has heard of all. One whose disk
// is emptied does not vote under its number again, though the others are there, cut off,
// or emptied too; one that starts again with its disk goes on.
func TestFirstStartAndLostDisk(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.cut["c"] = true
	g.run(3000)
	if g.state("a") != "waits" || g.state("b") != "waits" {
		t.Fatalf("begun without c: %s, %s", g.state("a"), g.state("b"))
	}
	if e := g.by["a"]; e.wake < g.now-20 {
		t.Errorf("one that waits wants to be woken at %.0f, and it is %.0f", e.wake, g.now)
	}
	g.cut["c"] = false
	g.run(4000)
	for n := range g.by {
		if got := g.state(n); got != "votes true, leader known true" {
			t.Errorf("%s: %s", n, got)
		}
	}
	first := g.by["b"].own.ID
	g.cut["a"], g.cut["c"] = true, true
	g.start("b", "b-emptied")
	g.run(3000)
	if g.state("b") != "waits" {
		t.Errorf("emptied and cut off: %s", g.state("b"))
	}
	for _, n := range []string{"a", "c"} { // one that has heard it is enough to know that it voted
		if slices.Contains(g.by[n].own.Heard, first) {
			g.cut[n] = false
			break
		}
	}
	g.run(1000)
	if g.by["b"].node == nil || g.by["b"].own.ID == first || g.state("b")[:11] != "votes false" {
		t.Errorf("emptied: %s under %d, before %d", g.state("b"), g.by["b"].own.ID, first)
	}
	g.cut["a"], g.cut["c"] = false, false
	g.run(6000)
	if got := g.state("b"); got != "votes true, leader known true" {
		t.Errorf("taken in again: %s", got)
	}
	second := g.by["b"].own.ID
	g.start("b", "b-emptied")
	g.run(3000)
	if got := g.state("b"); got != "votes true, leader known true" || g.by["b"].own.ID != second {
		t.Errorf("started again with its disk: %s", got)
	}
	if _, err := newElector(g.set, "f", "x", disk.Folder(g.dir+"/a"), g.now); err == nil {
		t.Error("another's folder is taken")
	}
}
