package core

import (
	"testing"
	"time"

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/config"
	"garnetline/internal/seeds"
	"garnetline/internal/stats"
)

const start = 1.7e12

func settings() decide.Settings {
	ramp := decide.Ramp{From: 0.2, Warm: 10 * time.Second, Multiple: 2, Span: 2 * time.Second}
	return decide.Settings{Zones: 1, Kinds: 3, ParentKind: 1, OriginKind: 2, SeatsByZone: []int{1}, Routers: 1,
		MaxAttempts: 6, MaxBackoff: time.Second, CanCancel: true, CanJoin: true, DrainGrace: time.Second,
		PurgeGrace: 500 * time.Millisecond, PurgeDone: 6 * time.Second, Cache: ramp, Parent: ramp,
		Classes: []decide.Class{
			{Name: "part", Effect: decide.Safe, Aim: 400 * time.Millisecond, Deadline: 6 * time.Second, Worth: 2},
			{Name: "keyed", Effect: decide.Keyed, Window: time.Second, Aim: 700 * time.Millisecond, Deadline: 3 * time.Second, Worth: 3, Write: true},
			{Name: "once", Effect: decide.Unsafe, Aim: 700 * time.Millisecond, Deadline: 3 * time.Second, Worth: 3, Write: true},
		}}
}

func host(id, kind int, p decide.Phase) config.Host {
	return config.Host{Server: decide.Server{ID: decide.ServerID(id), Kind: kind, Phase: p, Weight: 1}}
}

func fleet() config.Event {
	return config.Event{Fleet: true, Whole: true, Hosts: []config.Host{host(1, 0, decide.Ready), host(2, 0, decide.Ready),
		host(3, 0, decide.Ready), host(8, 1, decide.Ready), host(9, 2, decide.Ready)}}
}

// model is what must hold of a core, kept from its calls alone.
type model struct {
	t       *testing.T
	c       *Core
	clk     *clock.Manual
	steps   []byte
	reqs    []*state
	by      map[*Request]*state
	out     []*Attempt // taken by the carrier, not ended
	asked   []*Attempt // of those, to be given up
	drained map[decide.ServerID]bool
}

// state is what the model knows of a request.
type state struct {
	r             *Request
	sends, out    int
	answers       int
	left          bool
	mayRun        int // attempts not proved never to have run
	ranAt, doneAt float64
}

func (m *model) next() int {
	if len(m.steps) == 0 {
		return 0
	}
	b := m.steps[0]
	m.steps = m.steps[1:]
	return int(b)
}

func (m *model) Send(a *Attempt) *End {
	s, now := m.by[a.Req], m.clk.Now()
	class := m.c.set.Classes[a.Req.Class]
	s.sends++
	switch {
	case s.sends > 6 || a.N != s.sends-1:
		m.t.Fatalf("attempt %d of a request, numbered %d", s.sends, a.N)
	case s.out > 0:
		m.t.Fatal("two attempts out")
	case s.answers > 0 || s.left || now >= s.r.Deadline:
		m.t.Fatal("an attempt for a request that is over")
	case m.drained[a.Get.Server] || m.drained[a.Get.Source]:
		m.t.Fatal("an attempt to a server that drains")
	case s.mayRun > 0 && class.Effect == decide.Unsafe, s.mayRun > 0 && class.Effect == decide.Keyed && now >= s.ranAt+1000:
		m.t.Fatal("a resend of what may have run")
	}
	if b := m.next(); b%5 == 0 {
		return NotTaken(a, []decide.Result{decide.Unreached, decide.Full, decide.NotSent}[b%3])
	}
	if s.mayRun++; s.mayRun == 1 {
		s.ranAt = now
	}
	s.out++
	m.out = append(m.out, a)
	return nil
}

func (m *model) Cancel(a *Attempt) { m.asked = append(m.asked, a) }
func (m *model) Over(*Attempt)     {}

func (m *model) reply(s *state) func(Answer) {
	return func(a Answer) {
		s.answers++
		s.doneAt = m.clk.Now()
		if s.answers > 1 || s.left {
			m.t.Fatalf("answer %d to a request, left %v", s.answers, s.left)
		}
		if a.Kind == Refused && s.mayRun > 0 && m.c.set.Classes[s.r.Class].Effect == decide.Unsafe {
			m.t.Fatal("refused what may have run")
		}
	}
}

// end ends one attempt; proof says that it never ran.
func (m *model) end(i int, res decide.Result, proof bool) {
	a := m.out[i]
	m.out = append(m.out[:i:i], m.out[i+1:]...)
	s := m.by[a.Req]
	s.out--
	if proof {
		s.mayRun--
	}
	m.c.step(End{Attempt: a, Result: res, Answer: Answer{Kind: Served}, Load: NoLoad()})
}

// pass moves the clock on, from timer to timer.
func (m *model) pass(ms float64) {
	n := 0
	for to := m.clk.Now() + ms; m.clk.Now() < to; m.c.tick() {
		if n++; n > 100_000 {
			m.t.Fatal("the timers never end")
		}
		next := to
		if len(m.c.timers) > 0 {
			next = max(m.clk.Now(), min(to, m.c.timers[0].at))
		}
		m.clk.Advance(next - m.clk.Now())
		if next == to {
			m.c.tick()
			return
		}
	}
}

func (m *model) step() {
	switch op, x := m.next()%8, m.next(); op {
	case 0, 1:
		r := &Request{Class: x % 3, Object: decide.ObjectID(1 + x%5), Part: x % 2, Carrier: m, Deadline: m.clk.Now() + float64(200+x*10)}
		s := &state{r: r}
		r.Reply = m.reply(s)
		m.reqs, m.by[r] = append(m.reqs, s), s
		m.c.step(r)
	case 2, 3:
		if len(m.out) > 0 {
			res := []decide.Result{decide.Served, decide.Errored, decide.Broken, decide.Full, decide.Miss, decide.Unreached}[x%6]
			m.end(x%len(m.out), res, res >= decide.Full)
		}
	case 4:
		m.pass(float64(x * 4))
	case 5:
		for len(m.asked) > 0 {
			a := m.asked[0]
			m.asked = m.asked[1:]
			for i, o := range m.out {
				if o == a {
					m.end(i, decide.Cancelled, false)
					break
				}
			}
		}
	case 6:
		if len(m.reqs) > 0 {
			if s := m.reqs[x%len(m.reqs)]; s.answers == 0 {
				s.left = true
				m.c.step(left{s.r})
			}
		}
	case 7:
		id, p := 1+x%3, decide.Ready
		if x&8 != 0 {
			p = decide.Draining
		}
		m.drained[decide.ServerID(id)] = p != decide.Ready
		m.c.step(config.Event{Fleet: true, Hosts: []config.Host{host(id, 0, p)}})
	}
}

// Whatever a carrier and clients do, each request gets one answer by its
// deadline, attempts never overlap, and what may have run is not run again.
func FuzzCore(f *testing.F) {
	seeds.Add(f, 48, 600)
	f.Fuzz(func(t *testing.T, steps []byte) {
		steps = steps[:min(len(steps), 4096)]
		clk := clock.NewManual(start)
		c, err := New(clk, settings(), 1, stats.New())
		if err != nil {
			t.Fatal(err)
		}
		m := &model{t: t, c: c, clk: clk, steps: steps, by: map[*Request]*state{}, drained: map[decide.ServerID]bool{}}
		c.step(fleet())
		for len(m.steps) > 0 {
			m.step()
		}
		m.pass(20_000) // no attempt ends any more: the deadline answers
		for i, s := range m.reqs {
			if s.answers == 0 && !s.left {
				t.Errorf("request %d has no answer", i)
			}
			if s.answers > 0 && s.doneAt > s.r.Deadline+slack+0.001 {
				t.Errorf("request %d was answered %.1f ms after its deadline", i, s.doneAt-s.r.Deadline)
			}
		}
		if len(c.open) != 0 {
			t.Errorf("%d requests are still held", len(c.open))
		}
	})
}

// The client's 64-bit id must not become the module's: shifted into a timer
// token it would lose bits.
func TestRequestsGetSmallIDs(t *testing.T) {
	clk := clock.NewManual(start)
	c, err := New(clk, settings(), 1, stats.New())
	if err != nil {
		t.Fatal(err)
	}
	m := &model{t: t, c: c, clk: clk, by: map[*Request]*state{}, steps: []byte{1, 1}}
	c.step(fleet())
	for i := 1; i <= 2; i++ {
		r := &Request{Txn: []string{"", "ffffffffffffffff", "fffffffffffffffe"}[i], Carrier: m, Object: 1, Deadline: start + 1000, Reply: func(Answer) {}}
		m.by[r] = &state{r: r}
		c.step(r)
		if r.id != decide.RequestID(i) {
			t.Errorf("request %d has id %d", i, r.id)
		}
	}
}

// A request under the id of one that is open is refused without an attempt and
// leaves the first alone, also when its client goes; later the id is free.
func TestOpenIDIsNotTakenTwice(t *testing.T) {
	clk := clock.NewManual(start)
	c, err := New(clk, settings(), 1, stats.New())
	if err != nil {
		t.Fatal(err)
	}
	m := &model{t: t, c: c, clk: clk, by: map[*Request]*state{}, steps: []byte{1, 1, 1}}
	c.step(fleet())
	var got [3][]Kind
	take := func(i int) *Request {
		r := &Request{Txn: "9b1f03aa5c7e2d41", Carrier: m, Object: decide.ObjectID(1 + i), Deadline: start + 1000,
			Reply: func(a Answer) { got[i] = append(got[i], a.Kind) }}
		m.by[r] = &state{r: r}
		c.step(r)
		return r
	}
	take(0)
	second := take(1)
	c.step(left{second})
	if len(m.out) != 1 || len(got[0]) != 0 || len(got[1]) != 1 || got[1][0] != Clash {
		t.Fatalf("%d attempts, answers %v", len(m.out), got)
	}
	m.end(0, decide.Served, false)
	take(2)
	if len(got[0]) != 1 || got[0][0] != Served || len(m.out) != 1 || len(got[2]) != 0 {
		t.Errorf("%d attempts, answers %v", len(m.out), got)
	}
}
