// Package core is the actor round the decision module. It deals in requests,
// attempts and outcomes and knows no wire: fronts hand it requests, carriers
// carry out its attempts.
package core

import (
	"container/heap"
	"context"
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/config"
	"garnetline/internal/stats"
	"garnetline/internal/trace"
)

// Kind tells what an answer is.
type Kind int

// The kinds of final answers.
const (
	Failed  Kind = iota
	Refused      // a retry is harmless after Backoff
	Served
	Same  // served: the copy that the client holds is the one
	Clash // not taken: another request with its id is open
)

// Answer is the one final answer to a request.
type Answer struct {
	Kind    Kind
	Body    []byte
	Tag     string
	Backoff float64 // ms
	Server  decide.ServerID
}

// Request is what a front takes in. From Submit on the core owns it; the
// front keeps Body unchanged until the attempt that carries it is over.
type Request struct {
	Txn      string // the client's id, passed on unchanged
	Key      string // idempotency key
	Known    string // tag of the client's copy
	Class    int
	Object   decide.ObjectID
	Part     int
	Group    int
	SizeKB   float64 // of the part, as the settings' links count it; 0: not told
	Body     []byte
	Deadline float64 // the client gives up
	Carrier  Carrier // carries the attempts out
	Reply    func(Answer)
	Origin   *Origin // nil: not told

	id       decide.RequestID
	trail    Trail // nil: it is not traced
	tries    []*Attempt
	answered bool
	gone     atomic.Bool // its client has left
}

// Gone tells whether the client has left, as soon as that is known and on any goroutine:
// nothing is sent on for it from then on.
func (r *Request) Gone() bool { return r.gone.Load() }

// Origin tells when and where a request comes from, as far as that is traced.
type Origin struct {
	Came   float64 // when its last byte came; 0: when the core takes it
	Parent string  // the traceparent that came with it, not checked
	Client string  // the client's address
}

// Trace is the part that an attempt's carrier has in a trace.
type Trace struct {
	Context trace.Parent // to be passed on where the carrier's wire has a place for it
	Wire    trace.Wire   // the carrier's, until it reports the End
}

// Trail is what a Tracer keeps of one request. Its methods are called on the core's
// goroutine.
type Trail interface {
	Sending(now float64, g decide.Get) trace.Parent // of what is done for the attempt
	Over(now float64, r decide.Result, bytes int, load decide.Load, w trace.Wire)
	Answered(now float64, o trace.Outcome)
	Done() bool
}

// Tracer follows the requests of a core, on its goroutine.
type Tracer interface {
	Open(now float64, r *Request, class *decide.Class) Trail
	Close(now float64, t Trail) // t is done
}

// Attempt is one sending of a request.
type Attempt struct {
	Req      *Request
	N        int
	Get      decide.Get
	Until    float64 // it is given up then
	SendBy   float64 // it may be written until then; 0: until it is given up
	Class    *decide.Class
	Deadline float64 // of its request

	Again bool   // it is given up while its request is open: another may follow
	Via   any    // the carrier's own
	Trace *Trace // nil: its request is not traced

	sent   float64
	taken  bool // by its carrier
	ended  bool
	left   bool          // it was given up or lost; its end waits for wayFor
	moot   bool          // it ended and is proved not to have run
	asked  bool          // the carrier has been asked to give it up
	ending decide.Result // what it is called then
}

// End is how a carrier says that an attempt is over. Result Cancelled says
// that it was given up, where that was asked for.
type End struct {
	Attempt *Attempt
	Result  decide.Result
	Answer  Answer
	Load    decide.Load
	Note    decide.Note // how it met its object, where that is told
	Waited  float64     // ms for the source's first byte or failure; 0: not told
	Final   bool        // the request is over though nothing was served by the attempt
}

// NotTaken is the end of an attempt that never left.
func NotTaken(a *Attempt, r decide.Result) *End {
	return &End{Attempt: a, Result: r, Load: NoLoad()}
}

// Named is the end of an attempt that is over once its server is named: the
// request is answered with it. The module books what it sent as work and
// learns nothing, since how the client fares there is not told here.
func Named(a *Attempt) *End {
	return &End{Attempt: a, Result: decide.Cancelled, Final: true, Load: NoLoad(),
		Answer: Answer{Kind: Served, Server: a.Get.Server}}
}

// Carrier carries attempts out. No call may block or call back: how an attempt
// that was taken ended comes to the core's mailbox as an End.
type Carrier interface {
	// Send takes an attempt, or returns how it ended at once.
	Send(*Attempt) *End
	// Cancel gives an attempt up. Its End follows once it is given up on the
	// wire, with that or another result.
	Cancel(*Attempt)
	// Over says that the core has taken the End of an attempt that was sent.
	Over(*Attempt)
}

// Lister is told of each change of the list before the module is.
type Lister interface{ List(ev config.Event) }

// Plain tells whether a tag or key can stand in a carrier's fields as it is:
// short, and of letters, digits and marks that cannot end a field.
func Plain(s string) bool {
	if s == "" || len(s) > 128 {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || strings.IndexByte("-_.:+/", c) >= 0) {
			return false
		}
	}
	return true
}

// NoLoad is a load report without values.
func NoLoad() decide.Load {
	nan := math.NaN()
	return decide.Load{Inflight: nan, Busy: nan, HitShare: nan, Link: nan}
}

// slack is how long after the deadline of a request the core waits for the
// module's word before it answers by itself, and slackPart bounds it by the time that the
// request has: who waits for 50 ms would not wait for 5 more.
const (
	slack     = 5.0
	slackPart = 0.05
)

// wayFor is how long giving an attempt up, by a cancel or the end of its connection, has to
// arrive before the request is sent again: a way to a cache takes a few ms at the most.
//
// Symptom guarded against: what was sent on at once overtook the cancel, on another
// connection, and the request was out twice.
const wayFor = 5.0

// mailbox bounds the events that wait for the core.
const mailbox = 4096

// Core is the actor that owns the module, the open requests and the timers.
type Core struct {
	clock  clock.Clock
	set    decide.Settings
	router *decide.Router
	lists  []Lister
	tracer Tracer
	count  *stats.Set
	box    chan any
	done   chan struct{}
	nextID decide.RequestID
	open   map[decide.RequestID]*Request
	txns   map[string]*Request // of those, the ones with a client's id
	timers timers
	endBy  float64 // all is answered by then; 0: there is no such time
	queue  []decide.Event
	acts   []decide.Action
	sick   []decide.ServerID // room for show

	avoided atomic.Int64 // servers that the module has set aside
	shows   bool         // the ones set aside are published
	aside   atomic.Pointer[[]decide.ServerID]
}

type left struct{ req *Request }

type ending struct{ by float64 }

// New returns a core that has not been started.
func New(c clock.Clock, set decide.Settings, seed uint64, s *stats.Set) (*Core, error) {
	router, err := decide.New(set, seed)
	if err != nil {
		return nil, err
	}
	return &Core{clock: c, set: set, router: router, count: s, box: make(chan any, mailbox),
		done: make(chan struct{}), open: map[decide.RequestID]*Request{}, txns: map[string]*Request{}}, nil
}

// Follow adds listers. It must not be called once Run has been.
func (c *Core) Follow(l ...Lister) { c.lists = append(c.lists, l...) }

// Trace has all requests followed. It must not be called once Run has been.
func (c *Core) Trace(t Tracer) { c.tracer = t }

// Stopped is closed when Run has returned.
func (c *Core) Stopped() <-chan struct{} { return c.done }

// Run works through the mailbox until ctx ends.
func (c *Core) Run(ctx context.Context) {
	defer close(c.done)
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		wait := time.Hour
		if len(c.timers) > 0 {
			wait = max(0, clock.Duration(c.timers[0].at-c.clock.Now()))
		}
		t.Reset(wait)
		select {
		case m := <-c.box:
			c.step(m)
		case <-t.C:
		case <-ctx.Done():
			return
		}
		c.tick()
		c.avoided.Store(c.router.Avoided())
		c.show()
	}
}

// ShowAside has the servers that are set aside published. It must not be called once Run
// has been.
func (c *Core) ShowAside() { c.shows = true }

// show publishes the servers that are set aside, where that is wanted and has changed.
func (c *Core) show() {
	if !c.shows {
		return
	}
	l := c.router.Aside(c.sick[:0])
	if c.sick = l; !slices.Equal(l, c.Aside()) {
		l = slices.Clone(l)
		c.aside.Store(&l)
	}
}

// Aside returns the servers that the module has set aside, where they are published. It
// does not change.
func (c *Core) Aside() []decide.ServerID {
	if p := c.aside.Load(); p != nil {
		return *p
	}
	return nil
}

// Submit hands a request to the core, which calls Reply exactly once unless
// the client leaves first. It reports false where the core has stopped.
func (c *Core) Submit(r *Request) bool { return c.post(r) }

// Leave says that the client of a submitted request has gone.
func (c *Core) Leave(r *Request) {
	r.gone.Store(true)
	c.post(left{r})
}

// EndBy has all that is open, or is still taken, answered by a time: the process is
// killed soon after.
func (c *Core) EndBy(at float64) { c.post(ending{at}) }

// End reports the end of an attempt.
func (c *Core) End(e End) { c.post(e) }

// Tell hands over an event of the change log.
func (c *Core) Tell(ev config.Event) { c.post(ev) }

// Report hands over a cache's load as another router measured it, age ms ago. It does not
// wait: a report that finds no room is worth nothing later.
func (c *Core) Report(id decide.ServerID, l decide.Load, age float64) {
	c.word(decide.Report{Server: id, Load: l, Age: clock.Duration(age)})
}

// Hold prolongs the rest of a server that is set aside, for so many ms from now. Like a
// report it does not wait.
func (c *Core) Hold(id decide.ServerID, ms float64) {
	c.word(decide.Hold{Server: id, Until: clock.Duration(c.clock.Now() + ms)})
}

// Suspect has a server that others set aside tried before it gets more.
func (c *Core) Suspect(id decide.ServerID) { c.word(decide.Suspect{Server: id}) }

// word hands another router's word to the module, if there is room.
func (c *Core) word(ev decide.Event) {
	select {
	case c.box <- ev:
	default:
	}
}

// Reload goes over to other settings, which config.Admits has let pass.
func (c *Core) Reload(set decide.Settings) { c.post(set) }

func (c *Core) post(m any) bool {
	select {
	case c.box <- m:
		return true
	case <-c.done:
		return false
	}
}

// step takes one message.
func (c *Core) step(m any) {
	switch m := m.(type) {
	case *Request:
		c.take(m)
	case left:
		c.leave(m.req)
	case ending:
		c.endBy = m.by
		for _, r := range c.open {
			c.at(m.by, 0, nil, r)
		}
	case End:
		c.end(m)
	case config.Event:
		c.told(m)
	case decide.Report, decide.Hold, decide.Suspect:
		c.feed(m.(decide.Event))
	case decide.Settings:
		if err := c.router.Adopt(m); err == nil {
			c.set = m
		}
	}
}

// take opens a request under an id of its own: the module shifts ids into
// timer tokens, where a client's 64-bit id would lose bits.
//
// Symptom guarded against: under the id of an open request a second one went
// out, and on the caches' side the two were one.
func (c *Core) take(r *Request) {
	if c.txns[r.Txn] != nil {
		c.answer(r, Answer{Kind: Clash})
		return
	}
	c.nextID++
	r.id = c.nextID
	c.open[r.id] = r
	if r.Txn != "" {
		c.txns[r.Txn] = r
	}
	now := c.clock.Now()
	if c.endBy > 0 {
		r.Deadline = min(r.Deadline, c.endBy)
	}
	c.at(r.Deadline+min(slack, slackPart*max(r.Deadline-now, 0)), 0, nil, r)
	c.count.Add("requests_taken", 1)
	if c.tracer != nil {
		r.trail = c.tracer.Open(c.clock.Now(), r, &c.set.Classes[r.Class])
	}
	c.feed(decide.Request{ID: r.id, Class: r.Class, Object: r.Object, Part: r.Part, Group: r.Group,
		SizeKB: r.SizeKB, Left: clock.Duration(r.Deadline - c.clock.Now())})
}

// leave closes a request whose client has gone; nothing is owed.
func (c *Core) leave(r *Request) {
	if c.open[r.id] != r {
		return
	}
	c.count.Add("clients_gone", 1)
	if n := len(r.tries); n == 0 || r.tries[n-1].ended {
		c.count.Add("clients_gone_waiting", 1) // with nothing out
	}
	r.answered = true
	c.traced(r, trace.Left)
	c.close(r)
}

// close forgets a request and has the module give up what is out for it.
func (c *Core) close(r *Request) {
	c.forget(r)
	c.feed(decide.Left{ID: r.id})
	for _, a := range r.tries { // what the module no longer knows of
		c.cancel(a, decide.Cancelled)
	}
}

// forget ends what holds a request as open.
func (c *Core) forget(r *Request) {
	delete(c.open, r.id)
	if c.txns[r.Txn] == r {
		delete(c.txns, r.Txn)
	}
}

// answer gives the one final answer.
func (c *Core) answer(r *Request, a Answer) {
	if r.answered {
		return
	}
	r.answered = true
	c.count.Add([]string{"answers_failed", "answers_refused", "answers_served", "answers_same", "answers_clash"}[a.Kind], 1)
	c.count.Add(Ended(c.set.Classes[r.Class].Name, a.Kind), 1)
	r.Reply(a)
	c.traced(r, outcomes[a.Kind])
	r.release()
}

// outcomes are the kinds of answers as traces name them.
var outcomes = [...]trace.Outcome{Failed: trace.Failed, Refused: trace.Refused, Served: trace.Served, Same: trace.Same, Clash: trace.Failed}

// traced notes the answer to a request that is followed.
func (c *Core) traced(r *Request, o trace.Outcome) {
	if r.trail != nil {
		r.trail.Answered(c.clock.Now(), o)
		c.untrail(r)
	}
}

// untrail gives the trail of a request back once it is answered and nothing is out.
func (c *Core) untrail(r *Request) {
	if r.trail.Done() {
		c.tracer.Close(c.clock.Now(), r.trail)
		r.trail = nil
	}
}

// Ended names the counter of the requests of a class that ended in a way.
func Ended(class string, k Kind) string {
	switch k {
	case Served, Same:
		return "class_" + class + "_served"
	case Refused:
		return "class_" + class + "_refused"
	}
	return "class_" + class + "_failed"
}

// Avoided returns how many servers the module has set aside.
func (c *Core) Avoided() int64 { return c.avoided.Load() }

// end books the end of an attempt.
func (c *Core) end(e End) {
	a := e.Attempt
	if a.ended {
		return
	}
	at := c.clock.Now() + wayFor // past its time nothing is sent on, and the answer is not held back
	if left := e.Result == decide.Cancelled || e.Result == decide.Broken; left && a.taken && !a.left && !a.Req.answered && at < a.Until {
		a.left = true
		heap.Push(&c.timers, timer{at: at, over: &e})
		return
	}
	a.ended = true
	if a.taken {
		a.Req.Carrier.Over(a)
	}
	if e.Result == decide.Cancelled && a.asked {
		e.Result = a.ending
	}
	if e.Final {
		c.count.Add("attempts_named", 1)
	} else {
		c.count.Add("attempts_"+resultNames[e.Result], 1)
	}
	a.moot = e.Result.Moot()
	r := a.Req
	if r.trail != nil {
		r.trail.Over(c.clock.Now(), e.Result, len(e.Answer.Body), e.Load, a.Trace.Wire)
		if r.answered {
			c.untrail(r)
		}
	}
	if !r.answered && (e.Result == decide.Served || e.Final) {
		c.answer(r, e.Answer)
	}
	c.feed(decide.Outcome{ID: r.id, Attempt: a.N, Server: a.Get.Server, Result: e.Result,
		Took: clock.Duration(c.clock.Now() - a.sent), Bytes: len(e.Answer.Body), Done: r.answered, Load: e.Load,
		Note: e.Note, Waited: clock.Duration(e.Waited)})
	if r.answered {
		c.forget(r)
		r.release()
	}
}

// release gives back the body of a request that is over and has nothing out:
// timers hold the request until its deadline.
func (r *Request) release() {
	if n := len(r.tries); n == 0 || r.tries[n-1].ended {
		r.Body = nil
	}
}

var resultNames = [...]string{decide.Served: "served", decide.Errored: "errored", decide.Full: "full",
	decide.TimedOut: "timed_out", decide.Unreached: "unreached", decide.Broken: "broken",
	decide.Cancelled: "cancelled", decide.NotSent: "not_sent", decide.Miss: "miss"}

// told passes an event of the change log on.
func (c *Core) told(ev config.Event) {
	switch {
	case ev.Fleet:
		for _, l := range c.lists {
			l.List(ev)
		}
		c.count.Add("lists_told", 1)
		c.feed(c.members(ev))
	case ev.Purge != nil:
		c.count.Add("purges_told", 1)
		c.feed(decide.Purge{Object: ev.Purge.Object, Group: ev.Purge.Group,
			Age: clock.Duration(max(0, c.clock.Now()+clock.Step(c.clock)-ev.Purge.At))})
	}
}

// members is a change of the list as the module takes it, with times of the core's clock.
func (c *Core) members(ev config.Event) decide.Members {
	m, step := decide.Members{Full: ev.Whole}, clock.Duration(clock.Step(c.clock))
	for _, h := range ev.Hosts {
		if h.Started != 0 { // which is long ago
			h.Started = max(h.Started-step, 1)
		}
		m.Servers = append(m.Servers, h.Server)
	}
	return m
}

// feed gives the module an event and carries out what it calls for, and so on
// with the events that this makes at once.
func (c *Core) feed(ev decide.Event) {
	c.queue = append(c.queue, ev)
	if len(c.queue) > 1 {
		return // the loop below is running
	}
	for i := 0; i < len(c.queue); i++ {
		c.acts = c.router.Handle(clock.Duration(c.clock.Now()), c.queue[i], c.acts[:0])
		for _, a := range c.acts {
			c.do(a)
		}
	}
	c.queue = c.queue[:0]
}

func (c *Core) do(a decide.Action) {
	switch a := a.(type) {
	case decide.Get:
		c.send(a)
	case decide.Refuse:
		if r := c.open[a.ID]; r != nil {
			c.forget(r)
			c.answer(r, Answer{Kind: Refused, Backoff: clock.Millis(a.Backoff)})
		}
	case decide.Fail:
		if r := c.open[a.ID]; r != nil {
			c.forget(r)
			c.answer(r, Answer{Kind: Failed})
		}
	case decide.Cancel:
		if r := c.open[a.ID]; r != nil && a.Attempt < len(r.tries) {
			c.cancel(r.tries[a.Attempt], decide.Cancelled)
		}
	case decide.Wake:
		c.at(c.clock.Now()+clock.Millis(a.After), a.Token, nil, nil)
	}
}

// send makes an attempt of a decision.
func (c *Core) send(g decide.Get) {
	r := c.open[g.ID]
	if r == nil {
		return
	}
	a := &Attempt{Req: r, N: len(r.tries), Get: g, Class: &c.set.Classes[r.Class], sent: c.clock.Now(),
		Until: min(clock.Millis(g.Until), r.Deadline), Deadline: r.Deadline}
	if g.Until == 0 {
		a.Until = r.Deadline
	}
	if r.trail != nil {
		a.Trace = &Trace{Context: r.trail.Sending(a.sent, g)}
	}
	busy := len(r.tries) > 0 && !r.tries[len(r.tries)-1].ended
	barred := r.Gone() || c.settled(r, a)
	r.tries = append(r.tries, a)
	over := NotTaken(a, decide.NotSent)
	if !r.answered && !busy && !barred && a.N < c.set.MaxAttempts && a.sent < a.Until {
		over = r.Carrier.Send(a)
	}
	if over != nil {
		c.end(*over)
		return
	}
	a.taken = true
	c.count.Add("attempts_sent", 1)
	c.at(a.Until, 0, a, nil)
}

// settled tells whether the class of a request bars what may run a second time, and bounds
// the time at which the attempt may be written: the module decided before it was queued.
//
// Symptom guarded against: a repeat that waited for a connection was written after the
// window in which its key is known.
func (c *Core) settled(r *Request, a *Attempt) bool {
	for _, t := range r.tries {
		if t.moot {
			continue
		}
		switch a.Class.Effect {
		case decide.Keyed:
			a.SendBy = t.sent + clock.Millis(a.Class.Window)
			return a.sent >= a.SendBy
		case decide.Unsafe:
			return true
		}
		break
	}
	return false
}

// cancel has an attempt given up. It is over when its carrier says so.
func (c *Core) cancel(a *Attempt, as decide.Result) {
	if a.ended || a.asked {
		return
	}
	a.asked, a.ending, a.Again = true, as, !a.Req.answered
	a.Req.Carrier.Cancel(a)
}

// tick fires the timers that are due.
func (c *Core) tick() {
	for len(c.timers) > 0 && c.timers[0].at <= c.clock.Now() {
		switch t := heap.Pop(&c.timers).(timer); {
		case t.over != nil:
			c.end(*t.over)
		case t.attempt != nil:
			c.cancel(t.attempt, decide.TimedOut)
		case t.req != nil:
			c.expire(t.req)
		default:
			c.feed(decide.Timer{Token: t.token})
		}
	}
}

// expire answers a request whose time is over and that has no answer yet.
//
// Symptom guarded against: an attempt whose carrier cannot give it up in time
// would keep its client waiting past the deadline.
func (c *Core) expire(r *Request) {
	if c.open[r.id] != r {
		return
	}
	a := Answer{Kind: Failed}
	if c.clock.Now() < r.Deadline && !slices.ContainsFunc(r.tries, func(t *Attempt) bool { return !t.moot }) {
		a = Answer{Kind: Refused, Backoff: clock.Millis(c.set.MaxBackoff) / 2} // it would have had time elsewhere
	}
	c.answer(r, a)
	c.close(r)
}

func (c *Core) at(at float64, token uint64, a *Attempt, r *Request) {
	heap.Push(&c.timers, timer{at: at, token: token, attempt: a, req: r})
}

// timer is one entry of the heap: for an attempt, its end, a request or the module.
type timer struct {
	at      float64
	token   uint64
	attempt *Attempt
	req     *Request
	over    *End
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}
