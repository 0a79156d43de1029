package decide

// Every decision and tuned value is in this file; types are in api.go, tables in table.go.
//
// The ordinary path: a request goes to the home cache of its object, found by
// rendezvous hashing over the zone's caches, and a miss is filled from the home
// parent, found over all parents. A request for a hot object joins a fill that
// is under way. The rest is for when that path breaks.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Tuned values, each with its reason.
const (
	hotLife     = 12 * time.Second       // a copy unused for about so long is likely to be dropped
	hotMark     = 1.5                    // a second request soon after a first: more may meet its fill
	forget      = time.Minute            // a server gone for so long is a new one when it comes back
	failLimit   = 8                      // failures in a row before a rest: a router hears little
	badGain     = 0.06                   // weight of the newest success or error in a server's share of errors
	badMark     = 0.12                   // share of errors, over twice its best peer's, that is no chance
	badMost     = 0.4                    // where the share is cut: a server that is well again soon shows it
	lagGain     = 0.15                   // weight of the newest answer in a cache's lag
	lagFull     = 1.2                    // lag from which on a cache sends all that it can
	lagLife     = 5 * time.Second        // after which a lag that is not felt any more is mostly forgotten
	lagMost     = 10.0                   // what one answer can tell at the most
	lagLead     = 0.03                   // seconds that an answer may take on top
	lagMark     = 3.0                    // lag over that of the best peer from which on a cache gets less
	lagLeast    = 0.05                   // part of its keys that it keeps, or it would not be seen to be well
	sickFirst   = 500 * time.Millisecond // first rest of a sick server; doubles while it stays sick
	sickMost    = 4 * time.Second        // a server that is back must not wait much longer for work
	coldMargin  = 0.8                    // part of a cold budget used: load is uneven and capacity a guess
	weightTrust = 0.7                    // part of what a weight tells that a server is taken to carry
	carryTau    = 15 * time.Second       // over which carried work is averaged: a router sees few pieces
	paceTarget  = 1.6                    // pace of hits, over their sending time, at which a cache is full
	linkTarget  = 1.8                    // fill of the link at which fills still run at a client's pace
	fillTarget  = 3.0                    // pace of a source's fills, over that of hits, at which it is full
	untoldMost  = 3                      // attempts of a read where outcomes tell nothing: more feed a jam
	gateOn      = 0.7                    // fullness, as a share of the target, from which a gate rations
	gateGain    = 0.2                    // weight of the newest observation: several must agree
	gateLeast   = 2.0                    // a location is always allowed, or nothing would be learned
	meanGain    = 0.02                   // weight of the newest sending time: sizes differ much
	gateEvery   = 100 * time.Millisecond // between moves of a ration: what a fill needs to show
	gateFirst   = 8.0                    // a location is allowed when a ration starts and none is known yet
	refused     = 2.0                    // fullness that a server shows by refusing
	crowd       = 1.5                    // transfers out over those that fit at full pace; some wait for a fill
	leastOut    = 2.0                    // at one cache, or nothing would be learned of it
	roomy       = 1.0                    // more where no cache refused: thin routers that hold, hold at once
	standIn     = 0.5                    // a cache stands in for others up to so much of that
	heldPace    = 2.5                    // times its sending time that an answer takes where requests wait
	untold      = 0.2                    // and by serving, where no outcome tells more
	parentsLeft = 0.75                   // part of the parents that take over from a lost one
)

// rode tells whether a look failed together with the fill for another request.
func (a *attempt) rode(n Note) bool { return a.look && n >= SourceRefused && n != NoFillPlace }

// Router makes the decisions of one router. It is not safe for concurrent use.
type Router struct {
	set      Settings
	seed     uint64
	all      []*server        // by id
	list     [roles][]*server // ready ones by role
	open     map[RequestID]*request
	waiting  []*request       // held until a cache has room, oldest first
	means    []float64        // sending time by class, seconds
	hot      bounded[rate]    // decayed counts by object
	sizes    bounded[float64] // least sending time seen by part, seconds
	origin   gate             // rations what parents must fetch from the origin
	link     gate             // rations the fills that come in through the location's link
	purges   Guard            // only its purges are used
	ramps    [roles]Ramp      // how servers gain capacity after a start
	size     [roles]float64   // weights of the ready ones by role
	carried  [roles]rate      // work a second that they served for this router
	peak     [roles]float64   // the most of that seen, per weight
	begun    bool             // it has had its first list
	told     bool             // outcomes come with notes, of failures too
	lead     float64          // time that a fill takes to begin, smoothed, seconds
	fillPace float64          // time that it takes then over its sending time, smoothed
	aim      time.Duration    // the longest of all classes: an origin that takes it is full
	part     float64          // of the requests of its location, as far as the settings tell
	scratch  []*server        // what ranked returned last
	now      time.Duration
	acts     []Action
}

// New returns a Router that has just started. It fails where a setting
// cannot be used, and names it.
func New(s Settings, seed uint64) (*Router, error) {
	r := &Router{seed: seed, open: map[RequestID]*request{}}
	return r, r.Adopt(s)
}

// Adopt goes over to other settings: what is known of servers and objects stays.
func (r *Router) Adopt(s Settings) error {
	if err := s.check(); err != nil {
		return fmt.Errorf("decide: %w", err)
	}
	r.set, r.part, r.aim = s, 1, 0
	r.ramps = [roles]Ramp{s.Cache, s.Parent, {From: 1}}
	if len(s.SeatsByZone) > 0 {
		r.part = 1 / float64(max(s.SeatsByZone[s.Zone], 1))
	}
	for i, c := range s.Classes {
		r.aim = max(r.aim, c.Aim, time.Millisecond)
		if i == len(r.means) {
			r.means = append(r.means, c.Aim.Seconds()) // until more is known: not too short
		}
	}
	return nil
}

// members takes a change of the list. Who leaves or drains is not chosen from now on.
func (r *Router) members(m Members) {
	first := !r.begun
	r.begun = true
	if first && r.set.MustAsk {
		r.do(Watch{})
	}
	for _, s := range r.all {
		s.ready = s.ready && !m.Full
	}
	for _, e := range m.Servers {
		r.member(e, first)
	}
	was := r.size
	r.list, r.size = [roles][]*server{}, [roles]float64{}
	for _, s := range r.all {
		if s.ready {
			r.list[s.role] = append(r.list[s.role], s)
			r.size[s.role] += r.weight(s)
		}
	}
	r.all = slices.DeleteFunc(r.all, r.forgotten)
	for role, n := range r.size { // who left no longer carries its part
		r.carried[role].v *= n / max(n, was[role], 0.01)
	}
	r.drainWaiting()
}

// member takes one entry; caches of other zones are not kept. A new server is cold
// from its start or, where that is not told, from now, unless on the first list.
func (r *Router) member(e Server, first bool) {
	role := cache
	switch {
	case e.Kind == r.set.OriginKind:
		role = origin
	case e.Kind == r.set.ParentKind:
		role = parent
	case e.Zone != r.set.Zone:
		return
	}
	i := slices.IndexFunc(r.all, func(s *server) bool { return s.ID == e.ID })
	if i < 0 {
		i = len(r.all)
		r.all = append(r.all, &server{cold: r.now, heard: never})
	}
	s := r.all[i]
	if first {
		s.cold = never
	}
	if e.Started != 0 && e.Started != s.Started {
		s.cold = e.Started
		s.fails, s.rests, s.resting = 0, 0, 0
	}
	s.Server, s.role, s.ready = e, role, e.Phase == Ready
}

// forgotten tells whether s left so long ago that no late listed start concerns it.
func (r *Router) forgotten(s *server) bool {
	n := len(s.charges)
	return !s.ready && (n == 0 || s.charges[n-1].at < r.now-forget)
}

// ranked returns the servers of a role that can take q in the rendezvous order
// of key, best first, valid until it is called again. A cold or slow server draws
// keys as it can carry them. If all parents look sick, their looks tell nothing.
func (r *Router) ranked(role role, key uint64, q *request) []*server {
	allSick := role == parent && !slices.ContainsFunc(r.list[role], r.well)
	out := r.scratch[:0]
	for _, s := range r.list[role] {
		room := r.weight(s) * r.warmth(s, r.now) * r.keeps(s)
		s.score = -math.Log(uniform(key^mix(uint64(s.ID)))) / room
		if (allSick || r.well(s)) && !slices.Contains(q.avoid, s) && q.inGroup(s) && r.affords(s, *q.mean) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.ID, b.ID))
	})
	r.scratch = out
	return out
}

// keeps is the part of its keys that a far slower s keeps. Symptom guarded against: a cache that
// did a tenth of its work was waited for as a crowded home, and a third of all was refused.
func (r *Router) keeps(s *server) float64 {
	lag := s.lag.get(r.now, lagLife)
	least := lag
	for _, x := range r.list[s.role] {
		least = min(least, x.lag.get(r.now, lagLife))
	}
	part := min(1, lagMark*least/lag)
	return max(part*part, lagLeast)
}

// weight is a server's size against its peers.
func (r *Router) weight(s *server) float64 {
	if r.set.WeightsSize {
		return max(s.Weight, 0.01)
	}
	return 1
}

// warmth is the least share of its capacity that s has at a time.
func (r *Router) warmth(s *server, at time.Duration) float64 {
	part := max(0, (at-s.cold).Seconds()/max(r.ramps[s.role].Warm.Seconds(), 1e-3))
	return min(1, max(0.01, r.ramps[s.role].From+(1-r.ramps[s.role].From)*part))
}

// affords tells whether a cold server can take more work from this router, by what its
// peers carried. Where that is less than one piece of work, one goes in as many spans as it
// pays for, drawn from the seed: the sum holds. Symptom guarded against: many routers that
// each send little find an empty server at once, and the least of each pushes it over.
func (r *Router) affords(s *server, work float64) bool {
	if r.warmth(s, r.now) >= 1 {
		return true
	}
	sent, ramp := 0.0, r.ramps[s.role]
	for _, c := range s.charges {
		if c.at > r.now-ramp.Span {
			sent += c.v
		}
	}
	budget := coldMargin * ramp.Multiple * r.warmth(s, r.now-ramp.Span) *
		r.carries(s.role) * r.weight(s) * ramp.Span.Seconds()
	lot := r.seed ^ mix(uint64(s.ID)^mix(uint64(r.now/max(ramp.Span, 1))))
	return sent+work < budget || sent == 0 && uniform(lot) < budget/work
}

// carries is the work a second, per weight, that this router may count on: the most it
// saw, or its share of what weights tell where they count transfers. Symptom guarded
// against: a router that restarted, or whose location came back cold, refused all.
func (r *Router) carries(role role) float64 {
	told := 0.0
	if r.set.WeightsSize && r.set.FlowKBps > 0 {
		if told = weightTrust * r.part; role == parent {
			told = weightTrust / float64(max(r.set.Routers, 1))
		}
	}
	return max(r.peak[role], told)
}

// charge books work sent to a server; what one that restarted gets unlisted counts.
func (r *Router) charge(s *server, work float64) {
	span := r.ramps[s.role].Span
	s.charges = slices.DeleteFunc(s.charges, func(c rate) bool { return c.at <= r.now-span })
	s.charges = append(s.charges, rate{r.now, work})
}

// carry books work that s served; what it ends after it left says nothing of the rest.
func (r *Router) carry(s *server, work float64) {
	if s.ready {
		sum := r.carried[s.role].add(r.now, carryTau, work/carryTau.Seconds())
		r.peak[s.role] = max(r.peak[s.role], sum/r.size[s.role])
	}
}

// well tells whether s may be chosen: not resting and, when its rest is over
// but it has not answered since, with nothing else out.
func (r *Router) well(s *server) bool {
	return s.ready && r.now >= s.resting && (s.rests == 0 || s.out == 0)
}

// failed books a failure of s. Set aside it rests, twice as long each time.
func (r *Router) failed(s *server) {
	s.fails++
	if (s.fails >= failLimit || s.rests > 0 || r.outlier(s)) && r.now >= s.resting {
		s.resting = r.now + min(sickFirst<<min(s.rests, 8), sickMost)
		s.rests++
	}
}

// outlier tells whether s fails far more than its best peer. Symptom guarded against: a
// parent that failed its fills looked well, by hits that name it; its errors went to caches.
func (r *Router) outlier(s *server) bool {
	least := s.bad
	for _, x := range r.list[s.role] {
		least = min(least, x.bad)
	}
	return s.bad > badMark+2*least
}

// judge books with both that had a part in an attempt whether it failed.
func (r *Router) judge(a *attempt, failed bool) {
	for _, s := range []*server{a.to, a.source} {
		gain := min(badGain, (r.now - s.judged).Seconds()) // what fails at once has one cause
		if s.bad, s.judged = s.bad*(1-gain), r.now; failed && !r.told {
			s.bad = min(badMost, s.bad+gain)
		}
	}
}

// blamed is the one of cache and source that fails more of what it has a part in.
func (a *attempt) blamed() *server { return pick(a.source.bad > a.to.bad, a.source, a.to) }

// worked books a success of s. Symptom guarded against: a server that was silent and
// answers again has most likely restarted, cold, before the list tells. It might hurt
// one that was cut off.
func (r *Router) worked(s *server) {
	if s.silent && s.rests > 1 && s.cold < r.now-sickMost {
		s.cold = r.now
	}
	s.fails, s.silent, s.heard = 0, false, r.now
	if !r.outlier(s) {
		s.rests, s.resting = 0, 0
	}
}

// Timer tokens: a request and, in the low bits, what to do.
const (
	tokenWatch = iota // subscribe to the server list again
	tokenLook         // see how the newest attempt is doing
	tokenHeld         // a held request has waited long enough
	tokenBits  = 2
)

func (r *Router) request(q Request) {
	if q.Class < 0 || q.Class >= len(r.set.Classes) {
		r.do(Refuse{ID: q.ID}) // never announced; nothing was sent, so a retry is harmless
		return
	}
	c := &r.set.Classes[q.Class]
	req := &request{Request: q, class: c, mean: &r.means[q.Class], deadline: r.now + q.Left}
	stretched := c.Aim + time.Duration(c.AimStretch*float64(r.sending(req)))
	req.inTime = r.now + min(q.Left, stretched)
	if r.sized(req) { // refused ones count too: the larger are refused more often
		*req.mean += (q.SizeKB/r.set.FlowKBps - *req.mean) * meanGain
	}
	if !c.Write {
		req.hot = r.heat(q.Object)
	}
	r.open[q.ID] = req
	r.advance(req)
}

// sized tells whether a request came with its size.
func (r *Router) sized(q *request) bool { return q.SizeKB > 0 && r.set.FlowKBps > 0 }

// sending is work as a duration.
func (r *Router) sending(q *request) time.Duration {
	w, _ := r.work(q)
	return seconds(w)
}

// work is the sending time of a request in seconds: from its size, or else the
// least that its part ever took, or the mean of its class.
func (r *Router) work(q *request) (seconds float64, known bool) {
	if r.sized(q) {
		return q.SizeKB / r.set.FlowKBps, true
	}
	if x, ok := r.sizes.get(q.partKey()); ok {
		return x, true
	}
	return *q.mean, false
}

// need is how long serving q is likely to take where it must wait: by its sending time.
func (r *Router) need(q *request) time.Duration {
	switch {
	case q.class.Write:
		return q.class.Aim / 2
	case !q.missed: // the largest are never in time at that pace, and may wait a little too
		s, most := r.sending(q), q.inTime-q.deadline+q.Left-q.class.Aim/2
		return max(s, min(seconds(heldPace*s.Seconds()), most))
	}
	return seconds(r.lead + max(heldPace, r.fillPace)*r.sending(q).Seconds())
}

// advance gives a request its next attempt, holds it, or ends it.
func (r *Router) advance(q *request) {
	to, source, room := r.plan(q)
	switch {
	case to == nil || !r.mayTry(q):
		r.end(q)
	case room:
		r.send(q, to, source)
	default:
		r.hold(q)
	}
}

// ran is the first attempt that may have run, or nil.
func (q *request) ran() *attempt {
	for _, a := range q.tries {
		if !a.moot {
			return a
		}
	}
	return nil
}

// mayTry tells whether one more attempt of q is allowed: by the try limit, the
// time and what it may do twice.
func (r *Router) mayTry(q *request) bool {
	most := r.set.MaxAttempts
	if !r.told && !q.class.Write {
		most = min(most, untoldMost)
	}
	if len(q.tries) >= most || r.now >= q.deadline {
		return false
	}
	a := q.ran()
	if a == nil || q.class.Effect == Safe {
		return true
	}
	return q.class.Effect == Keyed && r.now < a.sent+q.class.Window
}

// inGroup tells whether s discards repeats of what q may have run already.
func (q *request) inGroup(s *server) bool {
	a := q.ran()
	if a == nil || q.class.Effect != Keyed {
		return true
	}
	return q.class.Group == GroupAll || q.class.Group == GroupZone && s.Zone == a.to.Zone ||
		q.class.Group == GroupCell && s.Zone == a.to.Zone && s.Cell == a.to.Cell
}

// plan picks where the next attempt goes, a crowded home's to the next cache with
// ample room, and who fills a miss. room: it need not wait.
func (r *Router) plan(q *request) (to, source *server, room bool) {
	source, open := r.pickSource(q)
	if q.class.Write && (r.set.Direct || source == nil) {
		return source, source, open
	}
	full, home := false, (*server)(nil)
	look := !q.missed && !q.class.Write && (r.link.on || r.origin.on || source != nil && source.gate.on)
	for _, s := range r.ranked(cache, q.partKey(), q) {
		switch {
		case q.missed && (!open || !r.link.open(r.now)) || q.lacked && !r.origin.open(r.now):
			return s, source, false
		case !q.class.Write && r.crammed():
			return s, source, false
		case !q.class.Write && home == nil && r.crowded(s, 1):
			home = s
		case home != nil && (r.part*crowd*home.Weight < leastOut || r.crowded(s, standIn)):
		case !s.gate.open(r.now):
			if full = true; q.hot < hotMark {
				return s, source, false
			}
		case source == nil || look:
			return s, s, true
		default:
			return s, source, true
		}
	}
	if home != nil {
		return home, source, false
	}
	// No cache can take it: straight to the source, which must be let ask the origin.
	if to = source; source == nil || full || !r.set.Direct {
		return to, source, false
	}
	if len(r.list[origin]) > 0 {
		source = r.list[origin][0]
	}
	return to, source, open && r.link.open(r.now) && r.origin.open(r.now)
}

// crowded tells whether a cache has as much out from this router as its link sends at full
// pace, or a part of that. Symptom guarded against: without notes only late answers tell that.
func (r *Router) crowded(s *server, part float64) bool {
	return r.meters() && float64(s.out) >= max(least(s.gate.on), r.share(s))*part
}

// crammed tells whether all caches together have as much out from this router as they
// send. Symptom guarded against: eight routers, each allowed two at a cache that sends
// six, jammed the link of their location, and what they refused kept it jammed.
func (r *Router) crammed() bool {
	most, out, full := 0.0, 0, false
	for _, s := range r.list[cache] {
		most, out, full = most+r.share(s), out+s.out, full || s.gate.on
	}
	return r.meters() && float64(out) >= max(least(full), most)
}

// least is what a router keeps out however thin its part: one more where no cache is
// known to be full. Symptom guarded against: a flush made all answers long, eighty
// routers held at two at once, and a quarter was refused while the caches had room.
func least(full bool) float64 { return pick(full, leastOut, leastOut+roomy) }

// meters tells whether what is out counts against weights.
func (r *Router) meters() bool { return r.set.WeightsSize && r.set.FlowKBps > 0 && !r.told }

// share is what this router may have out at a cache, all of its location alike.
func (r *Router) share(s *server) float64 {
	most := crowd * r.part
	if r.set.BytesPerS > 0 && s.lag.get(r.now, lagLife) < lagFull {
		most = max(most, 1) // others have little out there
	}
	return most * s.Weight * r.keeps(s)
}

// pickSource returns the home parent of an object, or its stand-in where that is lost or cold; the origin
// for a write, and where no or too few parents are left. open: it may be sent one more. Symptom guarded
// against: with one of two parents silent the other's link was full, and answers came late.
func (r *Router) pickSource(q *request) (source *server, open bool) {
	l := r.ranked(parent, mix(uint64(q.Object)), q)
	few := float64(len(l)) < parentsLeft*float64(len(r.list[parent])) &&
		!r.set.OriginFalls && len(r.list[origin]) > 0
	lost := func(s *server) bool { return s.silent && !r.well(s) && s.score < l[0].score }
	if len(l) == 0 || q.class.Write || few && slices.ContainsFunc(r.list[parent], lost) {
		l = r.list[origin]
	}
	if len(l) == 0 || !q.inGroup(l[0]) {
		return nil, false
	}
	return l[0], l[0].gate.open(r.now)
}

// send sends one attempt.
func (r *Router) send(q *request, to, source *server) {
	a := &attempt{req: q, n: len(q.tries), to: to, source: source, sent: r.now}
	q.tries = append(q.tries, a)
	a.look = source == to && to.role == cache
	a.fill = !q.class.Write && source.role != cache && (q.missed || to.role != cache)
	a.deep = q.lacked || a.fill && source.role == origin
	r.count(a, 1)
	r.charge(to, *q.mean)
	if source != to {
		r.charge(source, *q.mean)
	}
	g := Get{ID: q.ID, Server: to.ID, Source: source.ID, Until: q.deadline, MaxAge: r.age(q)}
	g.Join = r.set.CanJoin && q.hot >= hotMark // a write is never hot
	g.HeldOnly = a.fill && !a.deep && r.origin.on
	a.held = g.HeldOnly
	if !q.class.Write && to.role == cache {
		g.Renew = g.Join && q.class.Fresh > 0
		if g.Keep = 1; q.hot >= hotMark {
			g.Keep = 2
		}
	}
	r.do(g)
	r.do(Wake{r.patience(q), uint64(q.ID)<<tokenBits | tokenLook})
}

// patience is how long an attempt may take before one asks why.
func (r *Router) patience(q *request) time.Duration {
	return max(100*time.Millisecond, q.class.Aim/2+r.sending(q))
}

// hold keeps a request back while it can be in time. Its first wake-up stands: if
// its need falls later on, it still must not wait for a second one that never comes.
func (r *Router) hold(q *request) {
	if q.value == 0 {
		q.last = q.inTime - r.need(q)
		q.value = q.class.Worth * min(q.hot, hotMark) / max(r.sending(q).Seconds(), 0.01)
		r.do(Wake{max(0, q.last-r.now), uint64(q.ID)<<tokenBits | tokenHeld})
	}
	if min(q.last, q.inTime-r.need(q)) <= r.now {
		r.end(q)
		return
	}
	q.waiting = true
	r.waiting = append(r.waiting, q)
}

// drainWaiting tries the held requests again, the most worth a second first.
func (r *Router) drainWaiting() {
	held := r.waiting
	r.waiting = nil
	slices.SortStableFunc(held, func(a, b *request) int { return cmp.Compare(b.value, a.value) })
	for _, q := range held {
		if q.waiting {
			q.waiting = false
			r.advance(q)
		}
	}
}

// timer takes a wake-up.
func (r *Router) timer(tok uint64) {
	if tok == tokenWatch {
		r.do(Watch{})
		return
	}
	q := r.open[RequestID(tok>>tokenBits)]
	switch what := tok & (1<<tokenBits - 1); {
	case q == nil:
	case what == tokenLook && q.out > 0 && !q.tries[len(q.tries)-1].over:
		r.look(q.tries[len(q.tries)-1])
	case what == tokenHeld && q.waiting:
		r.end(q)
	}
}

// look judges an attempt that takes longer than it should. Symptom guarded against: a
// server that went silent, which neither answers nor refuses. A cache that has not been
// heard since the attempt was sent is blamed itself; if it has answered others,
// the source is, unless it is heard too, as it is by hits that name it: then what
// fails more than its peers. It might hurt where little is sent.
func (r *Router) look(a *attempt) {
	q := a.req
	if r.now > a.sent+r.aim && a.stuck() {
		r.strain(a, (r.now-a.sent).Seconds()/r.aim.Seconds())
	}
	if r.set.BytesPerS > 0 && !q.class.Write { // overdue, it tells before it ends
		lag := (r.now - a.sent).Seconds() / (r.sending(q).Seconds() + lagLead)
		a.to.lag.feel(r.now, lagLife, lagGain, min(max(lag, a.to.lag.get(r.now, lagLife)), lagMost))
	}
	bad := a.to
	if a.to.heard > a.sent {
		bad = a.source
	}
	// A cache heard of lately is alive: a thin router hears little of each, and took the
	// slowness of a flush for silence; eighty of them cancelled and filled elsewhere again.
	alive := bad.heard > a.sent || bad.role == cache && bad.heard > r.now-sickMost
	if !alive {
		bad.silent = true
		r.failed(bad)
	} else if a.looks++; a.looks == 3 {
		r.judge(a, true)
		if bad = a.blamed(); r.outlier(bad) {
			r.failed(bad)
			alive = false
		}
	}
	switch {
	case r.now+r.patience(q) > q.deadline: // too late for anything else
	case alive || r.well(bad):
		r.do(Wake{r.patience(q), uint64(q.ID)<<tokenBits | tokenLook})
	case !r.mayTry(q):
	case r.set.CanCancel && q.class.Effect == Safe:
		q.avoid = append(q.avoid, bad)
		r.do(Cancel{q.ID, a.n})
	}
}

// stuck tells whether an attempt that takes long speaks for a full origin. Symptom
// guarded against: one lost answer to a write, while others took their usual
// time, had all misses wait for the origin's ration.
func (a *attempt) stuck() bool {
	return (a.deep || a.req.class.Write) && a.source.heard <= a.sent
}

// end gives the final answer to a request that will not be served.
func (r *Router) end(q *request) {
	if q.out > 0 {
		return // an attempt is out; its outcome decides
	}
	if q.ran() != nil && q.class.Effect != Safe {
		r.do(Fail{q.ID})
	} else {
		r.do(Refuse{q.ID, r.set.MaxBackoff / 2})
	}
	r.finish(q)
}

// finish forgets a request and cancels what is out for it.
func (r *Router) finish(q *request) {
	delete(r.open, q.ID)
	q.waiting = false
	for _, a := range q.tries {
		if a.over {
			continue
		}
		r.count(a, -1)
		if r.set.CanCancel {
			r.do(Cancel{q.ID, a.n})
		}
	}
}

// count books an attempt as out, or no longer, with all that rations it.
func (r *Router) count(a *attempt, n int) {
	a.over = n < 0
	a.req.out += n
	a.to.out += n
	a.source.out += pick(a.source == a.to, 0, n)
	if a.to.role == cache {
		a.to.gate.count(r.now, n)
	}
	if a.req.class.Write {
		a.source.gate.count(r.now, n)
	}
	if a.deep {
		r.origin.count(r.now, n)
	}
	if a.fill {
		r.link.count(r.now, n)
		a.source.gate.count(r.now, n)
	}
}

func (r *Router) report(v Report) {
	if v.Age < time.Second && v.Load.Link >= 0 && has(r.list[cache], v.Server) {
		r.link.feel(r.now, v.Load.Link/linkTarget, r.part)
	}
}

func (r *Router) outcome(o Outcome) {
	q := r.open[o.ID]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.tries) || q.tries[o.Attempt].over {
		return
	}
	a := q.tries[o.Attempt]
	a.moot = o.Result.Moot()
	r.count(a, -1)
	if a.to.role == cache && o.Load.Link >= 0 {
		r.link.feel(r.now, o.Load.Link/linkTarget, r.part)
	}
	r.learn(a, o)
	if o.Result == Served || o.Done {
		r.finish(q)
	} else if q.out == 0 {
		r.again(q, a, o)
	}
	r.drainWaiting()
}

// again decides what follows a failed attempt.
func (r *Router) again(q *request, a *attempt, o Outcome) {
	untold := !r.told && o.Result == Full && !q.class.Write // by the cache, or by its source
	switch {
	case a.look && o.Result == Miss || a.rode(o.Note):
		q.missed = true
	case q.missed && (o.Note == SourceLacks || a.held && o.Result == Miss) && !q.lacked:
		q.lacked = true
	case o.Note >= SourceRefused && o.Note != NoFillPlace || untold && a.n == 0:
		q.avoid = append(q.avoid, a.source)
	default:
		q.avoid = append(q.avoid, a.blamed())
	}
	r.advance(q)
}

// learn books an outcome with the servers that had a part in it.
func (r *Router) learn(a *attempt, o Outcome) {
	slow := o.Result == TimedOut && a.stuck() ||
		(a.deep || a.req.class.Write) && o.Note == SourceUnreached
	if slow {
		r.strain(a, max(refused, o.Took.Seconds()/r.aim.Seconds()))
	}
	if o.Result == Cancelled || o.Result == NotSent || o.Result == TimedOut {
		return // no fault of a server: one that is silent is found by look
	}
	a.to.heard = r.now
	r.told = r.told || o.Note != NoNote && !r.set.HitsOnly
	if o.Result == Served || o.Result == Errored {
		r.judge(a, o.Result != Served)
	}
	switch {
	case o.Result == Served:
		r.learnServed(a, o)
	case slow || a.rode(o.Note): // the origin's fault, or of a source that nobody knows
	case o.Note == SourceRefused || o.Note == SourceUnreached:
		a.source.gate.feel(r.now, refused, r.part)
		r.failed(a.source)
	case o.Note == OriginFailed || a.to.role == origin:
		r.strain(a, refused)
	case o.Result == Full && a.blamed() != a.to && r.outlier(a.source):
		r.failed(a.source)
	case o.Result == Full || o.Note == NoFillPlace:
		a.to.gate.feel(r.now, refused, r.part)
	case o.Result == Miss:
		r.worked(a.to)
	case o.Result == Errored:
		r.failed(a.blamed())
	case o.Result == Unreached || a.sent >= a.to.broke: // all on one connection break at once
		a.to.broke = r.now
		r.failed(a.to)
	}
}

// learnServed books a success: what the servers carried and, where the
// sending time is known, how crowded they are.
func (r *Router) learnServed(a *attempt, o Outcome) {
	q := a.req
	work, known := r.work(q)
	told := o.Bytes > 0 && r.set.BytesPerS > 0 && !q.class.Write
	if told {
		work, known = float64(o.Bytes)/r.set.BytesPerS, true
		a.to.lag.feel(r.now, lagLife, lagGain, min(o.Took.Seconds()/(work+lagLead), lagMost))
	}
	r.worked(a.to)
	r.carry(a.to, work)
	filled := o.Note == Filled || o.Note == FilledByOrigin
	// Symptom guarded against: without notes a source was never heard of and was
	// blamed for every slow attempt, until all parents rested.
	if a.source != a.to && (filled || o.Note == Joined || o.Note == NoNote) {
		r.worked(a.source)
		r.carry(a.source, work)
	}
	if o.Note == FilledByOrigin {
		r.strain(a, o.Waited.Seconds()/r.aim.Seconds())
	} else if q.class.Write {
		r.strain(a, o.Took.Seconds()/r.aim.Seconds())
	}
	pace := (o.Took - o.Waited).Seconds() / max(work, 0.02)
	switch {
	case !known || filled && r.set.HitsOnly: // its wait is not told
	case filled:
		r.lead += (o.Waited.Seconds() - r.lead) * gateGain / 2
		r.fillPace += (min(pace, 2*fillTarget) - r.fillPace) * gateGain / 2
		a.source.gate.feel(r.now, pace/max(a.to.gate.full*paceTarget, 1)/fillTarget, r.part)
	case o.Note == NoNote:
	case o.Note == Hit || o.Note == StaleHit:
		a.to.gate.feel(r.now, pace/paceTarget, r.part)
	}
	if o.Note == NoNote { // else refusals alone would be felt, and a gate never open again
		a.to.gate.feel(r.now, untold, r.part)
	}
	if r.sized(q) {
		return
	}
	if took := o.Took.Seconds(); !told && (!known || took < work) {
		work = took
	}
	r.sizes.put(q.partKey(), work)
	if told || !known || o.Note == Hit {
		*q.mean += (work - *q.mean) * meanGain
	}
}

// strain books how full the origin is: for reads at half of what it is for
// writes, which then still come through.
func (r *Router) strain(a *attempt, x float64) {
	r.origin.feel(r.now, x, r.part)
	if a.req.class.Write {
		a.source.gate.feel(r.now, x/1.5, r.part)
	}
}

// gate rations what shares a bottleneck: a link, a source's known fills, fetches from the
// origin, writes, or all that is sent to one cache. Symptom guarded against: a full link, or
// a server that slows; more work made all slower until none was in time. So while it is
// full a request first looks for a copy; only known misses wait, for a few fills.
type gate struct {
	full         float64       // how full the bottleneck is, smoothed; 1: as full as it should be
	on           bool          // it rations
	out          int           // what this router has under way there
	limit        float64       // how much that may be
	felt         time.Duration // when limit was last moved
	began, pause time.Duration // when the newest was sent; until then no further one is
}

// open tells whether there is room for one more. A limit below one is kept by
// pauses between one and the next.
func (g *gate) open(now time.Duration) bool {
	return !g.on || float64(g.out) < max(g.limit, 1) && now >= g.pause
}

// count books n more as out.
func (g *gate) count(now time.Duration, n int) {
	if g.out += n; n > 0 {
		g.began = now
	} else if g.limit < 1 && g.on {
		g.pause = now + time.Duration(float64(now-g.began)*(1/g.limit-1))
	}
}

// feel takes one observation of how full the bottleneck is. The ration starts from
// what is out and is lifted only when it was not needed for a while, or all that
// waits would fill the link again. part is this router's of its location's requests.
func (g *gate) feel(now time.Duration, x, part float64) {
	steps := min(float64((now-g.felt)/gateEvery), 10)
	g.full += (min(x, 4) - g.full) * gateGain * min(max(steps, 1), 2)
	if !g.on && g.full > gateOn {
		g.on, g.limit = true, max(gateFirst*part, float64(g.out))
	}
	if steps < 1 {
		return
	}
	g.felt = now
	out := min(float64(g.out)+1, g.limit)
	switch {
	case g.full < gateOn/2 && out < max(g.limit, 2)/2:
		g.on = false
	case g.full > 1:
		g.limit = max(gateLeast*part, g.limit+(out/g.full-g.limit)*gateGain*min(steps, 2.5))
	case out >= g.limit-1:
		g.limit *= 1 + 0.05*steps
	}
}

// heat counts one more request for an object and returns the decayed count.
func (r *Router) heat(o ObjectID) float64 {
	e, _ := r.hot.get(uint64(o))
	count := e.add(r.now, time.Duration(float64(hotLife)/r.part), 1)
	r.hot.put(uint64(o), e)
	return count
}

// purged books a purge and forgets those whose older copies are gone.
func (r *Router) purged(p Purge) {
	r.purges.Done = r.set.PurgeDone
	l := slices.DeleteFunc(r.purges.Purges, func(x PurgedAt) bool {
		return x.At+r.set.PurgeDone < r.now
	})
	r.purges.Purges = append(l, PurgedAt{p.Object, p.Group, r.now - p.Age})
}

// age returns the oldest copy that will do for q: fresh, and younger than the
// latest purge of its object or group. 0 means that any will do.
func (r *Router) age(q *request) time.Duration {
	return r.purges.Age(r.now, q.class.Fresh, q.Object, q.Group)
}
