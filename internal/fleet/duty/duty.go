// Package duty has the two sides of a lease, without I/O: the holder's, which knows until
// when it may act, and the register leader's, which knows from when on it may give a duty
// to another. Neither reads the other's clock. The holder counts from before it asked,
// the register from after it answered, and both give away a drift and a margin, so that
// what the holder takes for its time lies within what the register counts.
package duty

import (
	"cmp"
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"garnetline/internal/fleet/member"
	"garnetline/internal/fleet/register"
)

// Settings are the times, in milliseconds of a clock that counts suspended time too.
type Settings struct {
	TTL    float64 // of a lease
	Margin float64 // given away on each side
	Drift  float64 // share by which the rates of two clocks may differ
	Retry  float64 // an ask without an answer is repeated after it, at another elector
	Away   float64 // longest time that a router stays away from a duty that it lost
}

// Default is what the operators' file begins with.
func Default() Settings {
	return Settings{TTL: 3000, Margin: 200, Drift: 0.01, Retry: 250, Away: 60_000}
}

// Check tells whether the settings leave a holder time to act in.
func (s Settings) Check() error {
	switch {
	case !(s.TTL >= 200 && s.TTL <= 600_000):
		return errors.New("lease_ms: want 200 to 600000")
	case !(s.Margin >= 10 && s.Margin <= s.TTL/4):
		return errors.New("margin_ms: want 10 to a quarter of lease_ms")
	case !(s.Drift >= 0.001 && s.Drift <= 0.1):
		return errors.New("drift: want 0.001 to 0.1")
	case !(s.Retry >= 10 && s.Retry <= s.TTL/4):
		return errors.New("retry_ms: want 10 to a quarter of lease_ms")
	}
	return nil
}

// held is how long a holder may act, from before it asked.
func (s Settings) held() float64 { return s.TTL*(1-s.Drift) - s.Margin }

// counted is how long the register counts a lease, from after it answered.
func (s Settings) counted() float64 { return s.TTL*(1+s.Drift) + s.Margin }

// score orders the routers for a duty.
func score(name string, id member.ID) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(id))
	return xxhash.Sum64(append(b[:], name...))
}

// Rank is a router's place among those that may hold a duty, by rendezvous hash: the same
// at all routers with the same view, and no other router's coming or going changes who of
// two comes first. -1: it is none of them.
func Rank(name string, self member.ID, among []member.ID) int {
	if !slices.Contains(among, self) {
		return -1
	}
	mine, rank := score(name, self), 0
	for _, id := range among {
		if s := score(name, id); s > mine || s == mine && id > self {
			rank++
		}
	}
	return rank
}

// First returns the n of them that come first for a duty, in the order of their ranks.
func First(name string, among []member.ID, n int) []member.ID {
	l := slices.SortedFunc(slices.Values(among), func(a, b member.ID) int {
		return cmp.Or(cmp.Compare(score(name, b), score(name, a)), cmp.Compare(b, a))
	})
	return l[:min(n, len(l))]
}

// Ledger is what the register's leader counts. It is not part of what is agreed on: a new
// leader knows nothing of what the last one answered, and counts all leases from anew.
type Ledger struct {
	set   Settings
	until map[string]float64
}

// NewLedger returns the ledger of a leader that takes office now: all duties that are
// held may be held for a whole lease from now on.
func NewLedger(set Settings, now float64, s *register.State) *Ledger {
	l := &Ledger{set, map[string]float64{}}
	for name, d := range s.Duties {
		if d.Holder != 0 {
			l.until[name] = now + set.counted()
		}
	}
	return l
}

// Answered notes that a holder was told that it holds a duty.
func (l *Ledger) Answered(now float64, name string) {
	l.until[name] = max(l.until[name], now+l.set.counted())
}

// Free tells whether a duty may be given to another than its holder.
func (l *Ledger) Free(now float64, d *register.Duty) bool {
	return d == nil || d.Holder == 0 || now >= l.until[d.Name]
}

// Left is how long the holder may still act, at the most.
func (l *Ledger) Left(now float64, name string) float64 { return max(0, l.until[name]-now) }

// Ask is what a router asks of an elector.
type Ask struct {
	Question uint64
	Duty     string
	Token    uint64    // of the lease that is renewed or given up; 0: the duty is asked for
	Give     bool      // give it up
	To       member.ID // Give: to that router; 0: to whoever asks
	Work     []byte    // Give: what that one needs to go on
}

// Answer is an elector's.
type Answer struct {
	Question uint64
	Duty     string
	Yes      bool      // the asker's process holds it under Token, as the register has it
	Token    uint64    // as the register has it
	Holder   member.ID // the same
	Left     float64   // ms until it may be asked for again
	Losses   uint64    // of the asker, of this duty
	Work     []byte    // Yes: what the last holder handed on
}

// Change is a duty that this router holds now, or no longer.
type Change struct {
	Duty  string
	Token uint64 // 0: no longer
	Work  []byte
	Cause string
}

// Holder is a router's side. It is not safe for concurrent use; May is asked through what
// its owner publishes.
type Holder struct {
	set  Settings
	self member.ID
	by   map[string]*lease
	ask  uint64
}

// lease is one duty as this router knows it.
type lease struct {
	rank    int // -1: it does not want it
	token   uint64
	end     float64
	work    []byte
	open    map[uint64]float64 // questions, and when each was asked
	next    float64            // when to ask
	until   float64            // another holds it until then, at the most
	away    float64            // stays away until then
	seen    uint64             // the highest token heard of
	holder  member.ID          // who had it, by the latest answer
	giving  *Ask
	repeats int
}

// NewHolder returns a router's side that wants nothing. Questions are numbered from
// above first, which differs from life to life.
func NewHolder(set Settings, self member.ID, first uint64) *Holder {
	return &Holder{set: set, self: self, by: map[string]*lease{}, ask: first}
}

func (h *Holder) lease(name string) *lease {
	l := h.by[name]
	if l == nil {
		l = &lease{rank: -1, open: map[uint64]float64{}, next: math.Inf(1)}
		h.by[name] = l
	}
	return l
}

// Want tells the router's rank for a duty; below 0 it does not want it, and gives it up.
// Only the first ranks ask; a later one waits longer, in case the first do not want to.
func (h *Holder) Want(now float64, name string, rank int) {
	l := h.lease(name)
	if rank < 0 && l.token != 0 {
		h.Give(now, name, 0, nil)
	}
	if rank >= 0 && (l.rank < 0 || rank < l.rank) && l.token == 0 {
		l.next = min(l.next, now+float64(rank)*h.set.TTL/2)
	}
	l.rank = rank
}

// Give gives a duty up, to another router if that is named. From now on this router does
// not act any more; the register is told until it answers.
func (h *Holder) Give(now float64, name string, to member.ID, work []byte) {
	l := h.lease(name)
	if l.token == 0 {
		return
	}
	l.giving = &Ask{Duty: name, Token: l.token, Give: true, To: to, Work: work}
	l.token, l.end, l.next, l.repeats = 0, 0, now, 0
	// Symptom guarded against: staff moved a duty to a router that did not want it, and what
	// was offered then came back to the one that it had been moved away from.
	l.away = max(l.away, now+h.set.TTL)
	clear(l.open)
}

// May tells whether this router may act for a duty now, and under which token. It is to
// be asked again at the write to the socket.
func (h *Holder) May(now float64, name string) (token uint64, ok bool) {
	l := h.by[name]
	if l == nil || l.token == 0 || now >= l.end {
		return 0, false
	}
	return l.token, true
}

// Given tells whether the register knows of all that was given up, or need not.
func (h *Holder) Given() bool {
	for _, l := range h.by {
		if l.giving != nil {
			return false
		}
	}
	return true
}

// Until is when a lease ends, and its token; 0 where there is none.
func (h *Holder) Until(name string) (end float64, token uint64) {
	if l := h.by[name]; l != nil && l.token != 0 {
		return l.end, l.token
	}
	return 0, 0
}

// Known is who held a duty by the latest answer of the register; 0: nobody, or not known.
func (h *Holder) Known(name string) member.ID {
	if l := h.by[name]; l != nil {
		return l.holder
	}
	return 0
}

// Step brings the holder to now. It returns what to ask, which leases ended, and when to
// step next.
func (h *Holder) Step(now float64) (asks []Ask, changes []Change, wake float64) {
	wake = math.Inf(1)
	for _, name := range slices.Sorted(maps.Keys(h.by)) {
		l := h.by[name]
		if l.token != 0 && now >= l.end {
			// It could not be renewed in time: this router stops by itself, asking nobody.
			changes = append(changes, Change{Duty: name, Cause: "not renewed in time"})
			l.token, l.end, l.next = 0, 0, now+h.set.TTL
		}
		if l.next <= now {
			asks = append(asks, h.question(now, name, l))
		}
		wake = min(wake, l.next)
		if l.token != 0 {
			wake = min(wake, l.end)
		}
	}
	return asks, changes, wake
}

func (h *Holder) question(now float64, name string, l *lease) Ask {
	h.ask++
	l.next = now + h.set.Retry
	a := Ask{Question: h.ask, Duty: name, Token: l.token}
	if l.giving != nil {
		a = *l.giving
		a.Question = h.ask
		if l.repeats++; float64(l.repeats)*h.set.Retry > h.set.counted() {
			l.giving = nil // by its time's end it is free without that
		}
		return a
	}
	if l.token == 0 && l.rank < 0 {
		l.next = math.Inf(1)
	}
	if len(l.open) >= 16 { // the oldest is not waited for any more
		delete(l.open, slices.Min(slices.Collect(maps.Keys(l.open))))
	}
	l.open[h.ask] = now
	return a
}

// Hear takes an answer.
func (h *Holder) Hear(now float64, a Answer) (changes []Change) {
	l := h.by[a.Duty]
	if l == nil {
		return nil
	}
	if a.Token >= l.seen {
		l.holder = a.Holder
	}
	if l.giving != nil {
		if a.Yes && a.Token > l.giving.Token {
			// An earlier question of this process was answered with a grant meanwhile, which
			// it does not take: that one is given up instead.
			l.giving.Token, l.next, l.repeats = a.Token, now, 0
		} else if a.Token > l.giving.Token || a.Holder != h.self {
			l.giving = nil
			l.next = now + h.set.TTL
		}
		return nil
	}
	if a.Question == 0 && a.Holder == h.self && l.token == 0 { // handed on to this one: it asks for its lease
		if l.next, l.away = now, 0; l.rank < 0 { // or gives it up until the register knows
			l.giving, l.repeats = &Ask{Duty: a.Duty, Token: a.Token, Give: true}, 0
		}
		return nil
	}
	if a.Question == 0 && a.Holder == 0 && l.token == 0 && l.rank >= 0 { // nobody has it: in the order of ranks
		l.next = min(l.next, max(l.away, now+float64(l.rank)*h.set.Retry/4))
		return nil
	}
	asked, mine := l.open[a.Question]
	if !mine || a.Token < l.seen {
		return nil // of an earlier life, or overtaken by a later answer
	}
	l.seen = a.Token
	delete(l.open, a.Question)
	if !a.Yes {
		if l.token != 0 && a.Token != l.token {
			changes = append(changes, Change{Duty: a.Duty, Cause: "the register has another token"})
			l.token, l.end = 0, 0
		}
		if l.token == 0 {
			l.wait(h.set, now, a)
		}
		return changes
	}
	end := asked + h.set.held()
	if now >= end && now >= l.end { // the answer took longer than the lease
		if l.token != 0 {
			changes = append(changes, Change{Duty: a.Duty, Cause: "renewed too late"})
		}
		l.token, l.end, l.next = 0, 0, now
		return changes
	}
	if end > l.end || a.Token != l.token {
		if a.Token != l.token {
			changes = append(changes, Change{Duty: a.Duty, Token: a.Token, Work: a.Work, Cause: "granted"})
		}
		l.token, l.end = a.Token, end
	}
	l.next = now + h.set.TTL/3
	if l.rank < 0 { // asked for before it changed its mind
		h.Give(now, a.Duty, 0, nil)
		changes = append(changes, Change{Duty: a.Duty, Cause: "not wanted any more"})
	}
	return changes
}

// wait sets when to ask again for a duty that another holds. Who lost it before stays
// away longer each time, up to a bound.
func (l *lease) wait(set Settings, now float64, a Answer) {
	if l.rank < 0 {
		l.next = math.Inf(1)
		return
	}
	l.next = now + max(set.Retry, min(a.Left, set.TTL)) + float64(l.rank)*set.TTL/2
	if a.Losses > 0 && l.away <= now {
		l.away = now + min(set.Away, set.TTL*math.Pow(2, float64(min(a.Losses, 16))))
	}
	if a.Losses > 0 {
		l.next = max(l.next, l.away)
	}
}

// Backdate sets when a question was asked, if it is open. It is for tests that break the
// rule by which a lease counts from before it was asked for.
func (h *Holder) Backdate(name string, question uint64, asked float64) {
	if l := h.by[name]; l != nil {
		if _, open := l.open[question]; open {
			l.open[question] = asked
		}
	}
}

// Held returns the duties that may be acted for now, by name.
func (h *Holder) Held(now float64) (names []string) {
	for name := range h.by {
		if _, ok := h.May(now, name); ok {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}

// Fence keeps the highest token seen of each duty. It is a receiver's.
type Fence map[string]uint64

// Pass tells whether an act under a token is taken: none is that is older than another.
func (f Fence) Pass(name string, token uint64) bool {
	if token < f[name] {
		return false
	}
	f[name] = token
	return true
}
