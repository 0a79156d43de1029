// Package duty has the two sides of a lease, without I/O: the holder's, which knows until
// when it may act, and the register leader's, which knows from when on it may give a duty
// to another. Neither reads the other's clock. The holder counts from before it asked,
// the register from after it answered, and both give away a drift and a margin, so that
// what the holder takes for its time lies within what the register counts.
package lease

import (
	"cmp"
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
)

// Settings are the times, in milliseconds of a clock that counts suspended time too.
type Settings struct {
	TTL           float64 // of a lease
	SafetyMargin  float64 // given away on each side
	MaxClockDrift float64 // share by which the rates of two clocks may differ
	RetryInterval float64 // an ask without an answer is repeated after it, at another elector
	MaxBackoff    float64 // longest time that a router stays away from a duty that it lost
}

// DefaultSettings is what the operators' file begins with.
func DefaultSettings() Settings {
	return Settings{TTL: 3000, SafetyMargin: 200, MaxClockDrift: 0.01, RetryInterval: 250, MaxBackoff: 60_000}
}

// Validate tells whether the settings leave a holder time to act in.
func (s Settings) Validate() error {
	switch {
	case !(s.TTL >= 200 && s.TTL <= 600_000):
		return errors.New("lease_ms: want 200 to 600000")
	case !(s.SafetyMargin >= 10 && s.SafetyMargin <= s.TTL/4):
		return errors.New("margin_ms: want 10 to a quarter of lease_ms")
	case !(s.MaxClockDrift >= 0.001 && s.MaxClockDrift <= 0.1):
		return errors.New("drift: want 0.001 to 0.1")
	case !(s.RetryInterval >= 10 && s.RetryInterval <= s.TTL/4):
		return errors.New("retry_ms: want 10 to a quarter of lease_ms")
	}
	return nil
}

// holderPeriod is how long a holder may act, from before it asked.
func (s Settings) holderPeriod() float64 { return s.TTL*(1-s.MaxClockDrift) - s.SafetyMargin }

// registryPeriod is how long the register counts a lease, from after it answered.
func (s Settings) registryPeriod() float64 { return s.TTL*(1+s.MaxClockDrift) + s.SafetyMargin }

// rendezvousScore orders the routers for a duty.
func rendezvousScore(name string, id membership.ID) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(id))
	return xxhash.Sum64(append(b[:], name...))
}

// Rank is a router's place among those that may hold a duty, by rendezvous hash: the same
// at all routers with the same view, and no other router's coming or going changes who of
// two comes first. -1: it is none of them.
func Rank(name string, self membership.ID, among []membership.ID) int {
	if !slices.Contains(among, self) {
		return -1
	}
	mine, rank := rendezvousScore(name, self), 0
	for _, id := range among {
		if s := rendezvousScore(name, id); s > mine || s == mine && id > self {
			rank++
		}
	}
	return rank
}

// TopRanked returns the n of them that come first for a duty, in the order of their ranks.
func TopRanked(name string, among []membership.ID, n int) []membership.ID {
	l := slices.SortedFunc(slices.Values(among), func(a, b membership.ID) int {
		return cmp.Or(cmp.Compare(rendezvousScore(name, b), rendezvousScore(name, a)), cmp.Compare(b, a))
	})
	return l[:min(n, len(l))]
}

// ExpiryTracker is what the register's leader counts. It is not part of what is agreed on: a new
// leader knows nothing of what the last one answered, and counts all leases from anew.
type ExpiryTracker struct {
	settings Settings
	expiry   map[string]float64
}

// NewExpiryTracker returns the ledger of a leader that takes office now: all duties that are
// held may be held for a whole lease from now on.
func NewExpiryTracker(set Settings, now float64, s *leaseregistry.State) *ExpiryTracker {
	l := &ExpiryTracker{set, map[string]float64{}}
	for name, d := range s.Leases {
		if d.Holder != 0 {
			l.expiry[name] = now + set.registryPeriod()
		}
	}
	return l
}

// Extend notes that a holder was told that it holds a duty.
func (l *ExpiryTracker) Extend(now float64, name string) {
	l.expiry[name] = max(l.expiry[name], now+l.settings.registryPeriod())
}

// Available tells whether a duty may be given to another than its holder.
func (l *ExpiryTracker) Available(now float64, d *leaseregistry.Lease) bool {
	return d == nil || d.Holder == 0 || now >= l.expiry[d.Name]
}

// Remaining is how long the holder may still act, at the most.
func (l *ExpiryTracker) Remaining(now float64, name string) float64 {
	return max(0, l.expiry[name]-now)
}

// Request is what a router asks of an elector.
type Request struct {
	ID           uint64
	Lease        string
	FencingToken uint64        // of the lease that is renewed or given up; 0: the duty is asked for
	Release      bool          // give it up
	TransferTo   membership.ID // Give: to that router; 0: to whoever asks
	Handoff      []byte        // Give: what that one needs to go on
}

// Response is an elector's.
type Response struct {
	RequestID    uint64
	Lease        string
	Granted      bool          // the asker's process holds it under Token, as the register has it
	FencingToken uint64        // as the register has it
	Holder       membership.ID // the same
	Remaining    float64       // ms until it may be asked for again
	Losses       uint64        // of the asker, of this duty
	Handoff      []byte        // Yes: what the last holder handed on
}

// Change is a duty that this router holds now, or no longer.
type Change struct {
	Lease        string
	FencingToken uint64 // 0: no longer
	Handoff      []byte
	Cause        string
}

// Holder is a router's side. It is not safe for concurrent use; May is asked through what
// its owner publishes.
type Holder struct {
	settings      Settings
	self          membership.ID
	leases        map[string]*leaseState
	lastRequestID uint64
}

// leaseState is one duty as this router knows it.
type leaseState struct {
	rank            int // -1: it does not want it
	fencingToken    uint64
	expiresAt       float64
	handoff         []byte
	pendingRequests map[uint64]float64 // questions, and when each was asked
	nextRequestAt   float64            // when to ask
	until           float64            // another holds it until then, at the most
	backoffUntil    float64            // stays away until then
	highestToken    uint64             // the highest token heard of
	lastKnownHolder membership.ID      // who had it, by the latest answer
	releasing       *Request
	releaseAttempts int
}

// NewHolder returns a router's side that wants nothing. Questions are numbered from
// above first, which differs from life to life.
func NewHolder(set Settings, self membership.ID, first uint64) *Holder {
	return &Holder{settings: set, self: self, leases: map[string]*leaseState{}, lastRequestID: first}
}

func (h *Holder) stateOf(name string) *leaseState {
	l := h.leases[name]
	if l == nil {
		l = &leaseState{rank: -1, pendingRequests: map[uint64]float64{}, nextRequestAt: math.Inf(1)}
		h.leases[name] = l
	}
	return l
}

// SetRank tells the router's rank for a duty; below 0 it does not want it, and gives it up.
// Only the first ranks ask; a later one waits longer, in case the first do not want to.
func (h *Holder) SetRank(now float64, name string, rank int) {
	l := h.stateOf(name)
	if rank < 0 && l.fencingToken != 0 {
		h.Release(now, name, 0, nil)
	}
	if rank >= 0 && (l.rank < 0 || rank < l.rank) && l.fencingToken == 0 {
		l.nextRequestAt = min(l.nextRequestAt, now+float64(rank)*h.settings.TTL/2)
	}
	l.rank = rank
}

// Release gives a duty up, to another router if that is named. From now on this router does
// not act any more; the register is told until it answers.
func (h *Holder) Release(now float64, name string, to membership.ID, work []byte) {
	l := h.stateOf(name)
	if l.fencingToken == 0 {
		return
	}
	l.releasing = &Request{Lease: name, FencingToken: l.fencingToken, Release: true, TransferTo: to, Handoff: work}
	l.fencingToken, l.expiresAt, l.nextRequestAt, l.releaseAttempts = 0, 0, now, 0
	// Symptom guarded against: staff moved a duty to a router that did not want it, and what
	// was offered then came back to the one that it had been moved away from.
	l.backoffUntil = max(l.backoffUntil, now+h.settings.TTL)
	clear(l.pendingRequests)
}

// Valid tells whether this router may act for a duty now, and under which token. It is to
// be asked again at the write to the socket.
func (h *Holder) Valid(now float64, name string) (token uint64, ok bool) {
	l := h.leases[name]
	if l == nil || l.fencingToken == 0 || now >= l.expiresAt {
		return 0, false
	}
	return l.fencingToken, true
}

// AllReleased tells whether the register knows of all that was given up, or need not.
func (h *Holder) AllReleased() bool {
	for _, l := range h.leases {
		if l.releasing != nil {
			return false
		}
	}
	return true
}

// Expiry is when a lease ends, and its token; 0 where there is none.
func (h *Holder) Expiry(name string) (end float64, token uint64) {
	if l := h.leases[name]; l != nil && l.fencingToken != 0 {
		return l.expiresAt, l.fencingToken
	}
	return 0, 0
}

// LastKnownHolder is who held a duty by the latest answer of the register; 0: nobody, or not known.
func (h *Holder) LastKnownHolder(name string) membership.ID {
	if l := h.leases[name]; l != nil {
		return l.lastKnownHolder
	}
	return 0
}

// Step brings the holder to now. It returns what to ask, which leases ended, and when to
// step next.
func (h *Holder) Step(now float64) (asks []Request, changes []Change, wake float64) {
	wake = math.Inf(1)
	for _, name := range slices.Sorted(maps.Keys(h.leases)) {
		l := h.leases[name]
		if l.fencingToken != 0 && now >= l.expiresAt {
			// It could not be renewed in time: this router stops by itself, asking nobody.
			changes = append(changes, Change{Lease: name, Cause: "not renewed in time"})
			l.fencingToken, l.expiresAt, l.nextRequestAt = 0, 0, now+h.settings.TTL
		}
		if l.nextRequestAt <= now {
			asks = append(asks, h.newRequest(now, name, l))
		}
		wake = min(wake, l.nextRequestAt)
		if l.fencingToken != 0 {
			wake = min(wake, l.expiresAt)
		}
	}
	return asks, changes, wake
}

func (h *Holder) newRequest(now float64, name string, l *leaseState) Request {
	h.lastRequestID++
	l.nextRequestAt = now + h.settings.RetryInterval
	a := Request{ID: h.lastRequestID, Lease: name, FencingToken: l.fencingToken}
	if l.releasing != nil {
		a = *l.releasing
		a.ID = h.lastRequestID
		if l.releaseAttempts++; float64(l.releaseAttempts)*h.settings.RetryInterval > h.settings.registryPeriod() {
			l.releasing = nil // by its time's end it is free without that
		}
		return a
	}
	if l.fencingToken == 0 && l.rank < 0 {
		l.nextRequestAt = math.Inf(1)
	}
	if len(l.pendingRequests) >= 16 { // the oldest is not waited for any more
		delete(l.pendingRequests, slices.Min(slices.Collect(maps.Keys(l.pendingRequests))))
	}
	l.pendingRequests[h.lastRequestID] = now
	return a
}

// HandleResponse takes an answer.
func (h *Holder) HandleResponse(now float64, a Response) (changes []Change) {
	l := h.leases[a.Lease]
	if l == nil {
		return nil
	}
	if a.FencingToken >= l.highestToken {
		l.lastKnownHolder = a.Holder
	}
	if l.releasing != nil {
		if a.Granted && a.FencingToken > l.releasing.FencingToken {
			// An earlier question of this process was answered with a grant meanwhile, which
			// it does not take: that one is given up instead.
			l.releasing.FencingToken, l.nextRequestAt, l.releaseAttempts = a.FencingToken, now, 0
		} else if a.FencingToken > l.releasing.FencingToken || a.Holder != h.self {
			l.releasing = nil
			l.nextRequestAt = now + h.settings.TTL
		}
		return nil
	}
	if a.RequestID == 0 && a.Holder == h.self && l.fencingToken == 0 { // handed on to this one: it asks for its lease
		if l.nextRequestAt, l.backoffUntil = now, 0; l.rank < 0 { // or gives it up until the register knows
			l.releasing, l.releaseAttempts = &Request{Lease: a.Lease, FencingToken: a.FencingToken, Release: true}, 0
		}
		return nil
	}
	if a.RequestID == 0 && a.Holder == 0 && l.fencingToken == 0 && l.rank >= 0 { // nobody has it: in the order of ranks
		l.nextRequestAt = min(l.nextRequestAt, max(l.backoffUntil, now+float64(l.rank)*h.settings.RetryInterval/4))
		return nil
	}
	asked, mine := l.pendingRequests[a.RequestID]
	if !mine || a.FencingToken < l.highestToken {
		return nil // of an earlier life, or overtaken by a later answer
	}
	l.highestToken = a.FencingToken
	delete(l.pendingRequests, a.RequestID)
	if !a.Granted {
		if l.fencingToken != 0 && a.FencingToken != l.fencingToken {
			changes = append(changes, Change{Lease: a.Lease, Cause: "the register has another token"})
			l.fencingToken, l.expiresAt = 0, 0
		}
		if l.fencingToken == 0 {
			l.scheduleRetry(h.settings, now, a)
		}
		return changes
	}
	end := asked + h.settings.holderPeriod()
	if now >= end && now >= l.expiresAt { // the answer took longer than the lease
		if l.fencingToken != 0 {
			changes = append(changes, Change{Lease: a.Lease, Cause: "renewed too late"})
		}
		l.fencingToken, l.expiresAt, l.nextRequestAt = 0, 0, now
		return changes
	}
	if end > l.expiresAt || a.FencingToken != l.fencingToken {
		if a.FencingToken != l.fencingToken {
			changes = append(changes, Change{Lease: a.Lease, FencingToken: a.FencingToken, Handoff: a.Handoff, Cause: "granted"})
		}
		l.fencingToken, l.expiresAt = a.FencingToken, end
	}
	l.nextRequestAt = now + h.settings.TTL/3
	if l.rank < 0 { // asked for before it changed its mind
		h.Release(now, a.Lease, 0, nil)
		changes = append(changes, Change{Lease: a.Lease, Cause: "not wanted any more"})
	}
	return changes
}

// scheduleRetry sets when to ask again for a duty that another holds. Who lost it before stays
// away longer each time, up to a bound.
func (l *leaseState) scheduleRetry(set Settings, now float64, a Response) {
	if l.rank < 0 {
		l.nextRequestAt = math.Inf(1)
		return
	}
	l.nextRequestAt = now + max(set.RetryInterval, min(a.Remaining, set.TTL)) + float64(l.rank)*set.TTL/2
	if a.Losses > 0 && l.backoffUntil <= now {
		l.backoffUntil = now + min(set.MaxBackoff, set.TTL*math.Pow(2, float64(min(a.Losses, 16))))
	}
	if a.Losses > 0 {
		l.nextRequestAt = max(l.nextRequestAt, l.backoffUntil)
	}
}

// Backdate sets when a question was asked, if it is open. It is for tests that break the
// rule by which a lease counts from before it was asked for.
func (h *Holder) Backdate(name string, question uint64, asked float64) {
	if l := h.leases[name]; l != nil {
		if _, open := l.pendingRequests[question]; open {
			l.pendingRequests[question] = asked
		}
	}
}

// Held returns the duties that may be acted for now, by name.
func (h *Holder) Held(now float64) (names []string) {
	for name := range h.leases {
		if _, ok := h.Valid(now, name); ok {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}

// Fence keeps the highest token seen of each duty. It is a receiver's.
type Fence map[string]uint64

// Admit tells whether an act under a token is taken: none is that is older than another.
func (f Fence) Admit(name string, token uint64) bool {
	if token < f[name] {
		return false
	}
	f[name] = token
	return true
}
