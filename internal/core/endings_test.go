package core

import (
	"testing"
	"time"

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/config"
	"garnetline/internal/stats"
)

// hung is a carrier that takes every attempt and says nothing more of it.
type hung struct {
	sent      []*Attempt
	cancelled []*Attempt
}

func (h *hung) Send(a *Attempt) *End { h.sent = append(h.sent, a); return nil }
func (h *hung) Cancel(a *Attempt)    { h.cancelled = append(h.cancelled, a) }
func (h *hung) Over(*Attempt)        {}

// bench is a core that is stepped by hand, on a set clock, before caches that hang.
type bench struct {
	*Core
	clk     *clock.Manual
	box     hung
	answers map[*Request][]Answer
}

func newBench(t *testing.T, change func(*decide.Settings)) *bench {
	t.Helper()
	set := settings()
	if change != nil {
		change(&set)
	}
	clk := clock.NewManual(start)
	c, err := New(clk, set, 1, stats.New())
	if err != nil {
		t.Fatal(err)
	}
	c.step(fleet())
	return &bench{Core: c, clk: clk, answers: map[*Request][]Answer{}}
}

// ask takes a request whose client waits for so many ms.
func (b *bench) ask(class int, ms float64) *Request {
	r := &Request{Class: class, Object: 7, Deadline: b.clk.Now() + ms, Carrier: &b.box}
	r.Reply = func(a Answer) { b.answers[r] = append(b.answers[r], a) }
	b.step(r)
	return r
}

func (b *bench) pass(ms float64) {
	for range int(ms) {
		b.clk.Advance(1)
		b.tick()
	}
}

// Guards against an answer after the client of a very short request has given up: the
// core's own wait for the module does not count from the same few milliseconds.
func TestShortDeadline(t *testing.T) {
	for _, ms := range []float64{20, 45, 180, 1480} {
		b := newBench(t, nil)
		r := b.ask(0, ms)
		b.pass(ms + 1 + ms*slackPart)
		if len(b.answers[r]) != 1 {
			t.Errorf("%v ms: no answer %v ms after", ms, 1+ms*slackPart)
		}
	}
}

// Guards against requests that wait for a cache that hangs until the process is killed: all
// that is open, or comes yet, has its answer by the time that is set.
func TestEndBy(t *testing.T) {
	b := newBench(t, nil)
	open := b.ask(0, 6000)
	b.EndBy(b.clk.Now() + 500)
	b.step(<-b.Core.box)
	late := b.ask(2, 6000)
	b.pass(499)
	if len(b.answers) > 0 {
		t.Fatal("answered before the end")
	}
	b.pass(10)
	for _, r := range []*Request{open, late} {
		if a := b.answers[r]; len(a) != 1 || a[0].Kind != Failed {
			t.Errorf("at the end: %+v", a)
		}
	}
	if len(b.box.cancelled) != 2 {
		t.Errorf("%d attempts were given up", len(b.box.cancelled))
	}
	// What was never sent on is harmless to retry, and says so.
	b = newBench(t, nil)
	r := b.ask(0, 6000)
	for len(b.box.sent) > 0 {
		a := b.box.sent[0]
		b.box.sent = b.box.sent[1:]
		b.step(*NotTaken(a, decide.Unreached))
	}
	if a := b.answers[r]; len(a) != 1 || a[0].Kind != Refused {
		t.Errorf("never sent on: %+v", a)
	}
}

// Guards against a repeat that is written after the window of its key, since it waited for
// a connection, and against any repeat of what must not run twice.
func TestSettled(t *testing.T) {
	b := newBench(t, nil)
	r := b.ask(1, 3000)
	first := b.box.sent[0]
	b.pass(300)
	b.step(End{Attempt: first, Result: decide.Broken, Load: NoLoad()})
	b.pass(wayFor)
	if len(b.box.sent) != 2 {
		t.Fatalf("%d attempts", len(b.box.sent))
	}
	if a := b.box.sent[1]; first.SendBy != 0 || a.SendBy != start+1000 {
		t.Errorf("the repeat may be written until %v, want 1000", a.SendBy-start)
	}
	// Whatever the module asks for.
	for class, want := range map[int]bool{0: false, 1: true, 2: true} {
		r := &Request{Class: class, tries: []*Attempt{{sent: start, ended: true}}}
		a := &Attempt{Req: r, Class: &b.set.Classes[class], sent: start + 1000}
		if got := b.settled(r, a); got != want {
			t.Errorf("class %d: barred %v", class, got)
		}
		if r.tries[0].moot = true; b.settled(r, a) {
			t.Errorf("class %d: barred though nothing ran", class)
		}
	}
	if len(b.answers[r]) > 0 {
		t.Error("answered while a repeat is out")
	}
}

// Guards against work for nobody: a request whose client left between attempts, or while it
// waited in the module, is not sent on though the core has not heard of it yet.
func TestGoneIsNotSentOn(t *testing.T) {
	b := newBench(t, nil)
	r := b.ask(0, 6000)
	b.Leave(r) // it is in the mailbox, behind the end of the attempt
	b.step(End{Attempt: b.box.sent[0], Result: decide.Errored, Load: NoLoad()})
	if len(b.box.sent) != 1 {
		t.Errorf("%d attempts for a client that has left", len(b.box.sent))
	}
	b.step(<-b.Core.box)
	if n := b.count.Counter("clients_gone_waiting").Load(); n > 1 || len(b.open) != 0 {
		t.Errorf("%d left while they waited, %d are open", n, len(b.open))
	}

	// Held in the module: caches that refuse make requests wait.
	b = newBench(t, func(s *decide.Settings) {
		s.FlowKBps, s.WeightsSize, s.SeatsByZone, s.Classes[0].AimStretch = 1000, true, []int{8}, 4
	})
	var held []*Request
	for i := range 40 {
		r := b.ask(0, 6000)
		if r.Object = decide.ObjectID(i + 1); len(r.tries) == 0 && len(b.answers[r]) == 0 {
			held = append(held, r)
		}
	}
	if len(held) == 0 {
		t.Fatal("none waits in the module")
	}
	for _, r := range held {
		b.Leave(r)
	}
	before := len(b.box.sent)
	for range held {
		b.step(<-b.Core.box)
	}
	for _, a := range b.box.sent[:before] {
		b.step(End{Attempt: a, Result: decide.Served, Answer: Answer{Kind: Served}, Load: NoLoad()})
	}
	b.pass(300)
	for _, a := range b.box.sent {
		for _, r := range held {
			if a.Req == r {
				t.Error("sent on for a client that left while it waited")
			}
		}
	}
	if got := b.count.Counter("clients_gone_waiting").Load(); got != int64(len(held)) {
		t.Errorf("%d are counted, want %d", got, len(held))
	}
}

// Guards against a wall clock that is set while the router runs: what the change log tells by
// it, of a purge and of a server's start, is as old as it was.
func TestWallClockIsSet(t *testing.T) {
	for _, by := range []float64{-3_600_000, 0, 3_600_000} {
		b := newBench(t, nil)
		b.clk.Set(by)
		b.step(config.Event{Purge: &config.Purge{Object: 7, At: start + by - 50}})
		b.ask(0, 1480)
		if a := b.box.sent; len(a) != 1 || a[0].Get.MaxAge != 50*time.Millisecond {
			t.Errorf("set by %v ms: %d sent, copies of %v will do", by, len(a), a[0].Get.MaxAge)
		}
		l := b.members(config.Event{Hosts: []config.Host{{Server: decide.Server{Started: clock.Duration(start + by - 50)}}, {}}}).Servers
		if l[0].Started != clock.Duration(start-50) || l[1].Started != 0 {
			t.Errorf("set by %v ms: %v", by, l)
		}
	}
}

// Guards against a request that is out twice: what is sent on at once overtakes the cancel,
// or the end of the connection, by which the attempt before was given up.
func TestSentOnAfterTheWay(t *testing.T) {
	for _, res := range []decide.Result{decide.Cancelled, decide.Broken} {
		b := newBench(t, nil)
		r := b.ask(0, 1480)
		if res == decide.Cancelled {
			b.cancel(r.tries[0], decide.Cancelled)
		}
		b.step(End{Attempt: r.tries[0], Result: res})
		b.pass(wayFor - 1)
		if len(b.box.sent) != 1 {
			t.Fatalf("%v: sent on within %v ms", res, wayFor-1)
		}
		b.pass(1)
		if len(b.box.sent) != 2 {
			t.Errorf("%v: %d sent after %v ms, want the next one", res, len(b.box.sent), wayFor)
		}
	}
	b := newBench(t, nil) // its client leaves meanwhile: nothing is sent on
	r := b.ask(0, 1480)
	b.step(End{Attempt: r.tries[0], Result: decide.Broken})
	b.Leave(r)
	b.step(left{r})
	b.pass(2 * wayFor)
	if len(b.box.sent) != 1 || !r.tries[0].ended || len(b.open) != 0 {
		t.Errorf("%d sent for a client that left, ended %v, %d open", len(b.box.sent), r.tries[0].ended, len(b.open))
	}
}

// Guards against an answer that is held back for the way of a cancel when nothing can be sent
// on any more: at the attempt's end the client is told at once that a retry is harmless.
func TestNoWayToWaitForAtTheEnd(t *testing.T) {
	b := newBench(t, nil)
	r := b.ask(0, 1480)
	b.pass(1480)
	if len(b.box.cancelled) != 1 {
		t.Fatalf("%d attempts were given up at the end", len(b.box.cancelled))
	}
	b.step(End{Attempt: r.tries[0], Result: decide.Cancelled, Load: NoLoad()})
	if a := b.answers[r]; len(a) != 1 || a[0].Kind != Refused {
		t.Errorf("answered %+v, want a refusal at once", a)
	}
}

// Guards against a repeat after a window of keys, or more attempts, than the settings allow by
// now: what is reloaded under an open request holds for its next attempt.
func TestReloadShortensKeyWindow(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*decide.Settings)
		sent   int
		sendBy float64
	}{
		{"not shortened", func(*decide.Settings) {}, 2, start + 1000},
		{"shorter, not over", func(s *decide.Settings) { s.Classes[1].Window = 400 * time.Millisecond }, 2, start + 400},
		{"shorter, over", func(s *decide.Settings) { s.Classes[1].Window = 200 * time.Millisecond }, 1, 0},
		{"one attempt", func(s *decide.Settings) { s.MaxAttempts = 1 }, 1, 0},
	} {
		b := newBench(t, nil)
		r := b.ask(1, 3000)
		next := settings()
		c.change(&next)
		b.Reload(next)
		b.step(<-b.Core.box)
		b.pass(300)
		b.step(End{Attempt: b.box.sent[0], Result: decide.Errored, Load: NoLoad()})
		b.pass(100)
		if last := b.box.sent[len(b.box.sent)-1]; len(b.box.sent) != c.sent || last.SendBy != c.sendBy {
			t.Errorf("%s: %d sent, the last to be written by %v", c.name, len(b.box.sent), last.SendBy-start)
		}
		if a := b.answers[r]; c.sent == 1 && (len(a) != 1 || a[0].Kind != Failed) {
			t.Errorf("%s: answered %+v", c.name, a)
		}
	}
}

// Guards against work for a client that gave up early: what is out for it is given up, once,
// its late end is no answer, and the client may come again under the same id at once.
func TestDisconnectCancelsAttempt(t *testing.T) {
	b := newBench(t, nil)
	ask := func() *Request {
		r := &Request{Txn: "9b1f03aa5c7e2d41", Object: 7, Deadline: b.clk.Now() + 1480, Carrier: &b.box}
		r.Reply = func(a Answer) { b.answers[r] = append(b.answers[r], a) }
		b.step(r)
		return r
	}
	first := ask()
	b.step(left{first})
	b.step(left{first})
	if len(b.box.cancelled) != 1 || b.box.cancelled[0] != first.tries[0] {
		t.Fatalf("%d attempts were given up", len(b.box.cancelled))
	}
	second := ask()
	if len(b.box.sent) != 2 || len(b.answers[second]) != 0 {
		t.Fatalf("came again: %d sent, answered %+v", len(b.box.sent), b.answers[second])
	}
	for _, r := range []*Request{first, second} {
		b.step(End{Attempt: r.tries[0], Result: decide.Served, Answer: Answer{Kind: Served}, Load: NoLoad()})
	}
	if a := b.answers[second]; len(b.answers[first]) != 0 || len(a) != 1 || a[0].Kind != Served || len(b.open) != 0 || len(b.txns) != 0 {
		t.Errorf("answered %v, %d open", b.answers, len(b.open))
	}
}
