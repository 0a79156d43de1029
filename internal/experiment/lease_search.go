package experiment

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
)

// LeaseSearch visits every state that two routers and one register can come to, where at
// any moment time may pass or not, a router may be stepped or stand still, a message may
// arrive, wait behind others, be lost or come twice, a router may decide an act and write
// it later, crash, or hand the duty on, and another leader take office. Routers' clocks go
// at three quarters and at four thirds of the leader's rate, which the settings allow for.
type LeaseSearch struct {
	Without      Safeguard
	MaxInFlight  int // messages on their way at one time; more are lost
	MaxFaults    int // messages that are lost or come twice
	MaxCrashes   int // and new leaders
	MaxTransfers int
	MaxGrants    uint64 // commands that the register takes
	MaxStates    int    // states; 0: all there are
}

// SearchResult is what a search saw.
type SearchResult struct {
	States, Moves, Depth int
	Complete             bool   // all there are were visited
	Violation            string // two that could act at once
	Schedule             []string
}

const tickOf = 200.0 // ms that pass at once

// lstate is one state. Acts carry their token only: what is written is looked at when it is.
type lstate struct {
	tick    float64
	holders [2]*lease.Holder
	acts    [2]uint64 // decided and not written yet; 0: none
	lives   [2]uint64
	reg     *leaseregistry.State
	index   uint64
	ledger  *lease.ExpiryTracker
	air     []mail
	faults  int
	crashes int
	gives   int
	parent  int
	did     string
}

var rates = [2]float64{0.75, 4.0 / 3}

func (o LeaseSearch) settings() lease.Settings {
	s := lease.Settings{TTL: 400, SafetyMargin: 50, MaxClockDrift: 0.25, RetryInterval: 200, MaxBackoff: 400}
	if o.Without == LeaseMargin {
		s.SafetyMargin, s.MaxClockDrift = 0, 0
	}
	return s
}

func (s *lstate) clock(i int) float64 { return s.tick * rates[i] }

func (s *lstate) clone() *lstate {
	n := *s
	for i, h := range s.holders {
		n.holders[i] = h.Clone()
	}
	n.ledger = s.ledger.Clone()
	n.air = slices.Clone(s.air)
	n.reg = leaseregistry.New()
	if d := s.reg.Leases["d"]; d != nil {
		c := *d
		c.Losses = map[membership.ID]uint64{}
		n.reg.Leases["d"] = &c
	}
	return &n
}

// may tells whether a router acts now, as it sees that by itself.
func (o LeaseSearch) may(s *lstate, i int) (uint64, bool) {
	token, ok := s.holders[i].Valid(s.clock(i), "d")
	if o.Without == HolderExpiry {
		if _, t := s.holders[i].Expiry("d"); t != 0 {
			return t, true
		}
	}
	return token, ok
}

// sum is what tells states apart.
func (s *lstate) sum() uint64 {
	b := make([]byte, 0, 256)
	num := func(v uint64) { b = binary.AppendUvarint(b, v) }
	for i, h := range s.holders {
		b = h.AppendFingerprint(b, s.clock(i), func(q uint64) bool {
			return slices.ContainsFunc(s.air, func(m mail) bool {
				return m.ask != nil && m.from == i && m.ask.ID == q || m.answer != nil && m.to == i && m.answer.RequestID == q
			})
		})
		num(s.acts[i])
		num(s.lives[i])
	}
	if d := s.reg.Leases["d"]; d != nil {
		num(uint64(d.Holder))
		num(d.Incarnation)
		num(d.FencingToken)
	}
	num(s.index)
	b = s.ledger.AppendFingerprint(b, s.tick)
	num(uint64(s.faults)<<8 | uint64(s.crashes)<<4 | uint64(s.gives))
	var air [][]byte
	for _, m := range s.air { // a set: which came first is nothing to the one that takes any
		w := []byte{byte(m.from), byte(m.to + 1)}
		if m.ask != nil {
			w = fmt.Append(w, *m.ask)
		} else {
			w = fmt.Append(w, *m.answer)
		}
		air = append(air, w)
	}
	slices.SortFunc(air, slices.Compare[[]byte])
	return xxhash.Sum64(append(b, slices.Concat(air...)...))
}

func (o LeaseSearch) post(s *lstate, m mail) {
	if len(s.air) < o.MaxInFlight {
		s.air = append(s.air, m)
	}
}

// take has the register answer a question.
func (o LeaseSearch) take(s *lstate, m mail) {
	q, id := *m.ask, membership.ID(m.from+1)
	life := q.ID >> 32
	d := s.reg.Leases["d"]
	command := func(c *leaseregistry.Command) bool {
		if s.index >= o.MaxGrants {
			return false
		}
		s.index++
		return s.reg.Apply(s.index, c) == nil
	}
	yes := false
	switch {
	case q.Release && d != nil && d.Holder == id && d.FencingToken == q.FencingToken:
		c := &leaseregistry.Command{Op: leaseregistry.OpTransfer, Lease: "d", Holder: q.TransferTo, ExpectedToken: q.FencingToken}
		if q.TransferTo == 0 {
			c.Op, c.Holder = leaseregistry.OpRelease, id
		}
		if command(c) && q.TransferTo != 0 {
			o.post(s, mail{to: int(q.TransferTo) - 1, answer: &lease.Response{Lease: "d", Holder: q.TransferTo, FencingToken: s.index}})
		}
	case q.Release:
	case d != nil && d.Holder == id && d.Incarnation == life && (q.FencingToken == d.FencingToken || q.FencingToken == 0):
		yes = true
	case q.FencingToken == 0 && (s.ledger.Available(s.tick, d) || d.Holder == id && d.Incarnation == 0):
		c := &leaseregistry.Command{Op: leaseregistry.OpGrant, Lease: "d", Holder: id, Incarnation: life}
		if d != nil {
			c.ExpectedToken = d.FencingToken
		}
		yes = command(c)
	}
	a := lease.Response{RequestID: q.ID, Lease: "d", Granted: yes}
	if d = s.reg.Leases["d"]; d != nil {
		a.FencingToken, a.Holder, a.Remaining = d.FencingToken, d.Holder, s.ledger.Remaining(s.tick, "d")
		a.Granted = yes || d.Holder == id && d.Incarnation == life
	}
	if yes {
		s.ledger.Extend(s.tick, "d")
	}
	o.post(s, mail{to: m.from, from: 2, answer: &a})
}

// tidy drops answers that nobody waits for any more: they change nothing.
func (s *lstate) tidy() {
	s.air = slices.DeleteFunc(s.air, func(m mail) bool {
		return m.answer != nil && m.answer.RequestID != 0 && !s.holders[m.to].AwaitsResponse("d", m.answer.RequestID)
	})
}

// deliver has the one for whom a message is take it.
func (o LeaseSearch) deliver(s *lstate, m mail) {
	if m.ask != nil {
		o.take(s, m)
		return
	}
	if o.Without == LeaseFromRequest {
		s.holders[m.to].Backdate("d", m.answer.RequestID, s.clock(m.to))
	}
	s.holders[m.to].HandleResponse(s.clock(m.to), *m.answer)
}

// holder is a router's side at its start; each life numbers its questions by itself.
func (o LeaseSearch) holder(s *lstate, i int) *lease.Holder {
	s.lives[i]++
	h := lease.NewHolder(o.settings(), membership.ID(i+1), s.lives[i]<<32)
	h.SetRank(s.clock(i), "d", i)
	return h
}

// next calls f with each state that may follow.
func (o LeaseSearch) next(s *lstate, f func(n *lstate, did string)) {
	to := func(did string, do func(n *lstate)) {
		n := s.clone()
		do(n)
		n.tidy()
		f(n, did)
	}
	to("time passes", func(n *lstate) { n.tick += tickOf })
	for i := range s.holders {
		name := fmt.Sprint("router ", i+1)
		if _, _, wake := s.holders[i].Clone().Step(math.Inf(-1)); wake <= s.clock(i) {
			to(name+" steps", func(n *lstate) {
				asks, _, _ := n.holders[i].Step(n.clock(i))
				for _, a := range asks {
					o.post(n, mail{from: i, to: -1, ask: &a})
				}
			})
		}
		token, ok := o.may(s, i)
		// With the check, an act that was decided is written where one decided now would be.
		if ok && s.acts[i] == 0 && o.Without == CheckAtWrite {
			to(name+" decides an act", func(n *lstate) { n.acts[i] = token })
		}
		if s.acts[i] != 0 {
			to(name+" writes it, or not", func(n *lstate) { n.acts[i] = 0 })
		}
		if ok && s.gives < o.MaxTransfers {
			to(name+" hands on", func(n *lstate) {
				n.gives++
				n.holders[i].Release(n.clock(i), "d", membership.ID(2-i), nil)
			})
		}
		if s.crashes < o.MaxCrashes {
			to(name+" is started again", func(n *lstate) {
				n.crashes++
				n.acts[i], n.holders[i] = 0, o.holder(n, i)
			})
		}
	}
	if s.crashes < o.MaxCrashes {
		to("another leader", func(n *lstate) {
			n.crashes++
			of := n.reg
			if o.Without == NewLeaderRestartsLeases {
				of = leaseregistry.New()
			}
			n.ledger = lease.NewExpiryTracker(o.settings(), n.tick, of)
		})
	}
	for k, m := range s.air {
		what := fmt.Sprintf("a question of router %d", m.from+1)
		if m.answer != nil {
			what = fmt.Sprintf("an answer to router %d", m.to+1)
		}
		without := func(n *lstate) { n.air = slices.Delete(n.air, k, k+1) }
		to(what+" arrives", func(n *lstate) { without(n); o.deliver(n, m) })
		if s.faults < o.MaxFaults {
			to(what+" is lost", func(n *lstate) { n.faults++; without(n) })
			to(what+" arrives, and will again", func(n *lstate) { n.faults++; o.deliver(n, m) })
		}
	}
}

// bad tells what must not be: two that can act now, or one whose act, decided before, may
// be written while the other can act.
func (o LeaseSearch) bad(s *lstate) string {
	var can [2]bool
	for i := range s.holders {
		token, ok := o.may(s, i)
		can[i] = ok
		if s.acts[i] != 0 && (o.Without == CheckAtWrite || ok && token == s.acts[i]) { // it passes the check at the write
			can[i] = true
		}
	}
	if can[0] && can[1] {
		return fmt.Sprintf("after %.0f ms both can act", s.tick)
	}
	return ""
}

// Run searches breadth first, so that what it finds is found in the fewest moves.
func (o LeaseSearch) Run() (r SearchResult) {
	type step struct {
		parent int
		did    string
	}
	first := &lstate{reg: leaseregistry.New()}
	first.ledger = lease.NewExpiryTracker(o.settings(), 0, first.reg)
	for i := range first.holders {
		first.holders[i] = o.holder(first, i)
	}
	seen := map[uint64]bool{first.sum(): true}
	steps := []step{{-1, "start"}}
	level := []*lstate{first}
	for len(level) > 0 && r.Violation == "" {
		var below []*lstate
		for _, s := range level {
			at := s.parent
			o.next(s, func(n *lstate, did string) {
				r.Moves++
				sum := n.sum()
				if seen[sum] || r.Violation != "" || o.MaxStates > 0 && len(seen) >= o.MaxStates {
					return
				}
				seen[sum] = true
				steps = append(steps, step{at, did})
				n.parent = len(steps) - 1
				if r.Violation = o.bad(n); r.Violation != "" {
					for k := n.parent; k > 0; k = steps[k].parent {
						r.Schedule = append(r.Schedule, steps[k].did)
					}
					slices.Reverse(r.Schedule)
				}
				below = append(below, n)
			})
		}
		if level = below; len(below) > 0 {
			r.Depth++
		}
	}
	r.States, r.Complete = len(seen), r.Violation == "" && !(o.MaxStates > 0 && len(seen) >= o.MaxStates)
	return r
}

// Searched are the safeguards that a search switches off in turn, first none. Tokens are
// for acts that are on their way, which it does not follow.
var SearchedSafeguards = []Safeguard{NoSafeguard, LeaseMargin, CheckAtWrite, NewLeaderRestartsLeases, HolderExpiry, LeaseFromRequest}

// Row is what a search saw, as a row of a table in Markdown.
func (o LeaseSearch) Row(r SearchResult) string {
	found := "nothing"
	if r.Violation != "" {
		found = fmt.Sprintf("%s, in %d moves: %s", r.Violation, len(r.Schedule), join(r.Schedule))
	}
	return fmt.Sprintf("| %s | %d, %d, %d, %d, %d | %d | %d | %d | %v | %s |", cmp.Or(string(o.Without), "none"), o.MaxInFlight, o.MaxFaults, o.MaxCrashes, o.MaxTransfers, o.MaxGrants,
		r.States, r.Moves, r.Depth, r.Complete, found)
}

// join puts a schedule into words, with what happens several times in a row counted.
func join(l []string) (s string) {
	for i := 0; i < len(l); {
		k := i
		for k < len(l) && l[k] == l[i] {
			k++
		}
		if s != "" {
			s += ", "
		}
		if s += l[i]; k-i > 1 {
			s += fmt.Sprintf(" %d times", k-i)
		}
		i = k
	}
	return s
}
