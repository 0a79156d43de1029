package member

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	maxHeld      = 64   // packets of routers that have not proven themselves yet
	maxQuestions = 1024 // that wait for an answer
	pages        = 16   // packets of one answer to Ask
	roomOfWords  = 1150 // bytes of words and items in one packet
	// stalled is how many periods late a step must be for its router to take itself for
	// one that was stopped.
	stalled = 2
	// vouch is for how many periods one that was heard of is asked at once when another
	// suspects it.
	vouch = 8
)

// Machine is one router's knowledge of the others. It is not safe for concurrent use.
type Machine struct {
	set   Settings
	self  Word
	seeds []netip.AddrPort
	rng   *rand.Rand
	shelf Shelf
	out   *Output
	now   float64
	wake  float64
	count uint64

	by       map[ID]*record
	names    map[string]ID // who of that name is there
	round    []*record     // those that are there, in the order of probing
	place    int
	suspects []*record
	gone     []*record // failed or left, and not forgotten
	sums     [Buckets]uint32
	own      uint32 // this router's part of its sum

	health    int
	probe     probe
	questions []question
	relays    []relay
	held      []held
	queue     queue

	nextProbe, nextGossip, nextSync, nextReach float64
	syncEvery                                  float64

	heard         float64 // the latest packet of anybody
	left, yielded bool
	Replays       int64 // packets that were dropped as old
	Refused       int64 // routers for which there was no room
	told          map[string]bool
	broken        rule // tests alone
}

// rule is one that a test switches off, to see that it finds that out.
type rule uint8

const (
	orderOfWords rule = 1 + iota // an older word never beats a newer one
	refuting                     // a router that is told as gone says that it is not
)

// record is what is known of another router.
type record struct {
	Word
	since  float64
	heard  float64 // the latest packet of its own; 0: never
	proof  window
	direct bool // the latest probe was answered without help
	via    ID   // the helper through whom it answered latest

	confirmed    []ID // who suspects it, the first accuser first
	began, until float64
	checks       int // of the suspicion, so far
}

// check is when one that is suspect is asked once more, after so many checks.
//
// Symptom guarded against: of 30 routers at 5% loss one in a thousand suspicions ended in
// a failure, at a router that gossip had passed by with the refutation and that did not
// meet the accused in the meantime.
func (r *record) check() float64 {
	switch r.checks {
	case 0:
		return r.began + (r.until-r.began)/2
	case 1:
		return r.began + (r.until-r.began)*3/4
	}
	return math.Inf(1)
}

// window takes each packet of one life once, and none that is much older than the
// newest. It is open once that life has answered a question of this router: a recorded
// packet can not.
type window struct {
	life uint64
	open bool
	high uint64
	seen uint64 // the 64 counts up to high, as bits
}

func (w *window) take(n uint64) bool {
	switch {
	case n > w.high:
		if d := n - w.high; d < 64 {
			w.seen = w.seen<<d | 1
		} else {
			w.seen = 1
		}
		w.high = n
		return true
	case w.high-n >= 64 || w.seen>>(w.high-n)&1 == 1:
		return false
	}
	w.seen |= 1 << (w.high - n)
	return true
}

// question is one that a later packet may answer.
type question struct {
	nonce uint64
	of    ID // 0: whoever answers
	until float64
	ask   bool
}

// New returns a machine that knows itself alone. self is alive, with the incarnation of
// its life; seeds are addresses at which others may be. shelf may be nil.
func New(set Settings, self Word, seeds []netip.AddrPort, rng *rand.Rand, shelf Shelf, now float64) *Machine {
	m := &Machine{set: set, self: self, seeds: slices.Clone(seeds), rng: rng, shelf: shelf, now: now, wake: now,
		by: map[ID]*record{}, names: map[string]ID{self.Name: self.ID}, told: map[string]bool{},
		nextProbe: now + rng.Float64()*set.Period, nextGossip: math.Inf(1), nextReach: now, syncEvery: min(set.Reach, set.Sync), nextSync: now + min(set.Reach, set.Sync)*(0.5+rng.Float64())}
	m.ownSum()
	return m
}

// Step brings the machine to now and has it take a packet, which may be nil.
func (m *Machine) Step(now float64, p *Packet) Output {
	var out Output
	m.out = &out
	late := now - m.wake
	m.now = max(m.now, now)
	if late > stalled*m.set.Period+m.set.Timeout {
		m.woken(late)
	}
	if p != nil && !m.left {
		m.hear(p)
	}
	if !m.left {
		m.tick()
	}
	m.out = nil
	out.Wake = m.next()
	m.wake = max(out.Wake, m.now)
	return out
}

// woken forgives the others the time in which this router did nothing.
//
// Symptom guarded against: a router stopped for 30 s woke, found every probe unanswered
// and every suspicion run out, and told the fleet that all of it had failed.
func (m *Machine) woken(late float64) {
	m.probe.of = nil
	for _, r := range m.suspects {
		r.began += late
		r.until += late
	}
	m.worse(1)
	m.nextProbe, m.nextSync, m.syncEvery = m.now+m.set.Period, m.now, min(m.set.Reach, m.set.Sync)
	m.out.event("woken", m.self, "late by a stall of its own")
}

func (m *Machine) tick() {
	if m.yielded { // its successor judges; it only asks whether that one is still there
		if m.nextReach <= m.now {
			m.nextReach = m.now + m.set.Reach
			if r := m.anyone(nil); r != nil {
				m.ask(r.Addr, r.ID)
			}
		}
		return
	}
	for i := 0; i < len(m.suspects); i++ {
		if r := m.suspects[i]; r.until <= m.now {
			w := r.Word
			w.State, w.By = Failed, m.self.ID
			m.apply(w, "nobody refuted in time")
			i--
		} else if r.check() <= m.now {
			r.checks++
			m.checking(r)
		}
	}
	m.probing()
	m.relaying()
	if m.nextReach <= m.now {
		m.nextReach = m.now + m.set.Reach*(0.75+m.rng.Float64()/2)
		m.reach()
	}
	if m.nextSync <= m.now {
		// Soon again while views differ, and ever more rarely where they do not.
		m.nextSync = m.now + m.syncEvery*(0.75+m.rng.Float64()/2)
		m.syncEvery = min(m.set.Sync, 1.5*m.syncEvery)
		if r := m.anyone(nil); r != nil {
			m.ask(r.Addr, r.ID)
		}
	}
	if m.nextGossip <= m.now {
		m.nextGossip = math.Inf(1)
		m.gossip()
	}
	m.questions = slices.DeleteFunc(m.questions, func(q question) bool { return q.until <= m.now })
}

// next is when something is to be done.
func (m *Machine) next() float64 {
	if m.left {
		return math.Inf(1)
	}
	if m.yielded {
		return m.nextReach
	}
	t := min(m.nextProbe, m.nextReach, m.nextSync, m.nextGossip)
	if m.probe.of != nil && !m.probe.helped {
		t = min(t, m.probe.help)
	}
	for _, r := range m.suspects {
		t = min(t, r.until, r.check())
	}
	for _, r := range m.relays {
		t = min(t, r.nack)
	}
	return t
}

// hear takes a packet whose seal held.
func (m *Machine) hear(p *Packet) {
	life := p.From.Life()
	if p.From.ID == m.self.ID {
		m.aboutSelf(p.From)
		return
	}
	r := m.by[p.From.ID]
	if r != nil && life < r.Life() {
		m.Replays++ // the process before, or its recorded packets
		if p.Kind == Ask || p.Kind == Ping {
			// If it still lives it is to know: that it has a successor, or that this one is gone.
			m.send(p.From.Addr, nil, &Packet{Kind: Tell, Words: []Word{r.Word}})
		}
		return
	}
	proven := r != nil && r.proof.open && r.proof.life == life
	if proven && !r.proof.take(p.Count) {
		m.Replays++
		return
	}
	q, answer := m.answers(p)
	if !proven && answer {
		m.apply(p.From, "answered")
		if r = m.by[p.From.ID]; r == nil {
			return // no room
		}
		r.proof = window{life: life, open: true, high: p.Count, seen: 1}
		r.direct = true
		proven = true
	}
	if !proven {
		m.challenge(p)
		return
	}
	m.take(r, p, q, answer)
	for i, h := range m.held {
		if h.p.From.ID == r.ID {
			m.held = slices.Delete(m.held, i, i+1)
			if h.p.From.Life() == life && r.proof.take(h.p.Count) {
				m.take(r, h.p, question{}, false)
			}
			break
		}
	}
}

// held is a packet that waits for its sender to prove itself.
type held struct {
	p     *Packet
	until float64
}

// challenge asks one that has not proven to be there now for an answer, and keeps what
// it brought until then.
func (m *Machine) challenge(p *Packet) {
	if p.Kind == Ping && (p.Target == m.self.ID || p.Target == 0) {
		m.send(p.From.Addr, nil, &Packet{Kind: Ack, Nonce: p.Nonce, Target: m.self.ID})
		p.Kind = Tell // it is answered
	}
	if p.Kind == Ack || p.Kind == Nack || p.Kind == Page {
		return // answers nothing of ours
	}
	m.held = slices.DeleteFunc(m.held, func(h held) bool { return h.until <= m.now || h.p.From.ID == p.From.ID })
	if len(m.held) == maxHeld { // the oldest has had its chance
		m.held = m.held[1:]
	}
	m.held = append(m.held, held{p, m.now + 4*m.set.Period})
	m.send(p.From.Addr, nil, &Packet{Kind: Ping, Nonce: m.question(p.From.ID, false), Target: p.From.ID})
}

// take takes a packet of one that has proven itself.
func (m *Machine) take(r *record, p *Packet, q question, answer bool) {
	r.heard, m.heard = m.now, m.now
	accused := r.State == Suspect
	m.apply(p.From, "its own word")
	if accused && r.State == Alive { // who accused it is told at once, not when chance has it
		for _, id := range r.confirmed {
			if x := m.by[id]; x != nil && x.State.There() {
				m.send(x.Addr, x, &Packet{Kind: Tell, Words: []Word{r.Word}})
			}
		}
	}
	var right []Word
	for i := range p.Words {
		w := &p.Words[i]
		m.apply(*w, "told")
		// One who accuses by a word that is out of date has missed the refutation, and may
		// be about to fail a router that lives: it is put right at once.
		if x := m.by[w.ID]; x != nil && w.State != Alive && x.State == Alive && newer(&x.Word, w) && len(right) < 8 {
			right = append(right, x.Word)
		}
	}
	if right != nil {
		m.send(r.Addr, r, &Packet{Kind: Tell, Words: right})
	}
	for _, it := range p.Items {
		if m.shelf != nil && m.shelf.Take(m.now, r.ID, it) {
			m.Tell(it)
		}
	}
	switch p.Kind {
	case Ping:
		if p.Target == m.self.ID || p.Target == 0 {
			m.send(r.Addr, r, &Packet{Kind: Ack, Nonce: p.Nonce, Target: m.self.ID})
		}
	case Ack, Nack:
		m.answered(r, p)
	case PingFor:
		m.relay(r, p)
	case Carry:
		if len(p.Load) > 0 {
			m.out.Loads = append(m.out.Loads, Load{r.ID, r.Life(), p.Load})
		}
	case Ask:
		m.pages(r, p, Page)
	case Page:
		if answer && q.ask && p.Sums != nil {
			m.pages(r, p, Tell)
		}
	}
}

// answers finds the question that a packet answers. A question for the view is answered
// by several packets.
func (m *Machine) answers(p *Packet) (question, bool) {
	if p.Kind != Ack && p.Kind != Nack && p.Kind != Page {
		return question{}, false
	}
	for _, q := range m.questions {
		if q.nonce == p.Nonce && (q.of == 0 || q.of == p.From.ID) {
			return q, true
		}
	}
	return question{}, false
}

// question returns the number of a new question.
func (m *Machine) question(of ID, ask bool) uint64 {
	if len(m.questions) == maxQuestions {
		m.questions = m.questions[1:]
	}
	n := m.rng.Uint64() | 1
	m.questions = append(m.questions, question{n, of, m.now + 4*m.set.Period*float64(1+m.health), ask})
	return n
}

// apply books what is told of a router, if it is newer than what is known.
func (m *Machine) apply(w Word, cause string) {
	if w.ID == m.self.ID {
		m.aboutSelf(w)
		return
	}
	if !w.Addr.IsValid() {
		return
	}
	r := m.by[w.ID]
	if r != nil && w.State == Failed && r.State == Alive && r.heard > 0 && m.now-r.heard <= vouch*m.set.Period {
		// No suspicion came before it, and it was heard of a moment ago: a cut healed, whose
		// other side had failed it. It is asked before it is believed to be gone.
		w.State = Suspect
	}
	switch {
	case r == nil && !w.State.There():
		return // forgotten, or never known
	case r == nil:
		if len(m.by) >= m.set.MaxMembers {
			if m.Refused++; m.Refused == 1 {
				m.out.event("full", w, "no room for more routers")
			}
			return
		}
		r = &record{Word: w, since: m.now}
		m.by[w.ID] = r
		m.come(r)
		m.sum(r)
		m.enter(r)
		m.out.event("joined", w, cause)
	case w.State == Suspect && r.State == Suspect && w.Inc == r.Inc:
		m.confirm(r, w)
		return
	case !newer(&w, &r.Word) && m.broken != orderOfWords:
		return
	default:
		m.change(r, w, cause)
		if r.State == Suspect && w.By != m.self.ID && r.heard > 0 && m.now-r.heard <= vouch*m.set.Period {
			// Heard of a moment ago: it is told at once, and what it says is passed on. Where
			// two sides see each other through one router, nobody else can.
			m.send(r.Addr, r, &Packet{Kind: Ping, Nonce: m.question(r.ID, false), Target: r.ID})
		}
	}
	m.out.Moved = true
	m.queue.word(r.Word)
	m.stir()
}

// change goes over to a newer word.
func (m *Machine) change(r *record, w Word, cause string) {
	old := r.Word
	m.leave(r)
	m.sum(r)
	if old.Inc != w.Inc || old.State != w.State {
		r.since = m.now
	}
	r.Word = w
	switch {
	case !old.State.There() && w.State.There():
		m.gone = slices.DeleteFunc(m.gone, func(x *record) bool { return x == r })
		m.come(r)
	case old.State.There() && !w.State.There():
		m.round = slices.DeleteFunc(m.round, func(x *record) bool { return x == r })
		m.gone = append(m.gone, r)
		if m.names[old.Name] == r.ID {
			delete(m.names, old.Name)
		}
	}
	m.sum(r)
	m.enter(r)
	switch {
	case w.State != old.State && w.State != Alive:
		m.out.event(w.State.String(), w, cause)
	case w.Life() != old.Life():
		m.out.event("joined", w, "a new life: "+cause)
	case w.State != old.State:
		m.out.event("back", w, cause)
	}
}

// enter begins a suspicion, leave ends one.
func (m *Machine) enter(r *record) {
	if r.State == Suspect {
		r.confirmed = append(r.confirmed[:0], r.By)
		r.began, r.checks = m.now, 0
		r.until = m.now + m.patience(0)
		m.suspects = append(m.suspects, r)
	}
}

func (m *Machine) leave(r *record) {
	if r.State == Suspect {
		m.suspects = slices.DeleteFunc(m.suspects, func(x *record) bool { return x == r })
	}
}

// come puts one that is there into the round, at a place drawn by chance.
func (m *Machine) come(r *record) {
	m.round = append(m.round, r)
	i := m.rng.IntN(len(m.round))
	last := len(m.round) - 1
	m.round[i], m.round[last] = m.round[last], m.round[i]
	if other, ok := m.names[r.Name]; ok && other != r.ID {
		m.conflict(r.Word, "two routers have this name")
	} else {
		m.names[r.Name] = r.ID
	}
}

// conflict tells loudly, once for each router, that two have one name or one seat.
func (m *Machine) conflict(w Word, cause string) {
	key := cause + w.ID.String()
	if !m.told[key] && len(m.told) < 256 {
		m.told[key] = true
		m.out.event("conflict", w, cause)
	}
}

// confirm counts one more router that suspects, which shortens the suspicion.
func (m *Machine) confirm(r *record, w Word) {
	if len(r.confirmed) > m.set.Confirm || slices.Contains(r.confirmed, w.By) {
		return
	}
	r.confirmed = append(r.confirmed, w.By)
	r.until = r.began + m.patience(len(r.confirmed)-1)
	m.queue.word(w)
	m.stir()
}

// patience is how long one may be suspect after so many confirmations.
func (m *Machine) patience(confirmed int) float64 {
	n := len(m.round) + 1
	short := max(m.set.Shortest, m.set.Alpha*math.Log10(max(10, float64(n)))*m.set.Period)
	k := min(m.set.Confirm, n-2) // the accused and the first accuser do not confirm
	if k < 1 {
		return short
	}
	long := m.set.Beta * short
	return max(short, long-(long-short)*math.Log(float64(confirmed+1))/math.Log(float64(k+1)))
}

// aboutSelf takes what is told of this router's own seat.
func (m *Machine) aboutSelf(w Word) {
	mine := m.self.Life()
	switch {
	case w.Life() < mine:
	case w.Life() > mine && w.State.There():
		// The successor in an upgrade, or one that was started by mistake with a copy of
		// this router's state folder. Either way there is one member, and it is that one.
		if !m.yielded {
			m.yielded = true
			m.out.event("superseded", w, "a later process has this router's seat")
		}
	case w.Life() > mine:
		m.self.Inc = Incarnation(w.Life() + 1)
		m.reborn("the later process of its seat is gone")
	case w.State != Alive && w.Inc >= m.self.Inc && m.broken != refuting:
		m.self.Inc = w.Inc + 1
		m.worse(1)
		m.reborn("told as " + w.State.String())
	case w.State == Alive && (w.Addr != m.self.Addr || w.Inc > m.self.Inc):
		m.conflict(w, "another process has this router's seat and life")
	}
}

// reborn spreads this router's new incarnation.
func (m *Machine) reborn(cause string) {
	m.yielded = false
	m.ownSum()
	m.out.event("refuted", m.self, cause)
	m.out.Moved = true
	m.queue.word(m.self)
	m.stir()
}

// Send has something carried to another machine of a router, which may get lost. Nothing
// is sent to one that is not there.
func (m *Machine) Send(now float64, to ID, load []byte) (out Output) {
	m.out, m.now = &out, max(m.now, now)
	if r := m.by[to]; r != nil && r.State.There() && len(load) <= MaxLoad && !m.left {
		m.send(r.Addr, nil, &Packet{Kind: Carry, Load: load})
	}
	m.out = nil
	return out
}

// Leave tells the others that this router goes. Nothing is sent after it.
func (m *Machine) Leave(now float64) Output {
	var out Output
	m.out, m.now = &out, max(m.now, now)
	if !m.left && !m.yielded {
		m.self.State = Left
		w := m.self
		w.By = w.ID
		for range min(8, len(m.round)) {
			r := m.anyone(nil)
			p := &Packet{Kind: Tell, Words: []Word{w}}
			m.send(r.Addr, nil, p)
		}
	}
	m.left, m.out = true, nil
	out.Wake = math.Inf(1)
	return out
}

func (m *Machine) worse(by int)  { m.health = min(m.set.Health, m.health+by) }
func (m *Machine) better(by int) { m.health = max(0, m.health-by) }

// sum adds a router to, or takes it out of, the sums by which views are compared.
func (m *Machine) sum(r *record) {
	if r.State.There() {
		m.sums[r.ID%Buckets] ^= mix(r.ID, r.Inc)
	}
}

func (m *Machine) ownSum() {
	b := m.self.ID % Buckets
	m.sums[b] ^= m.own
	m.own = mix(m.self.ID, m.self.Inc)
	m.sums[b] ^= m.own
}

func mix(id ID, inc uint64) uint32 {
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(uint64(id)>>(8*i)), byte(inc>>(8*i))
	}
	return uint32(xxhash.Sum64(b[:]))
}
