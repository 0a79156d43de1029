package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
)

// Safeguard is one that can be switched off, to see that what it guards against is found.
type Safeguard string

// The safeguards of a lease.
const (
	NoSafeguard             Safeguard = ""
	LeaseMargin             Safeguard = "margin and drift"
	CheckAtWrite            Safeguard = "check at the write"
	FencingTokens           Safeguard = "tokens at the receiver"
	NewLeaderRestartsLeases Safeguard = "a new leader counts anew"
	HolderExpiry            Safeguard = "a holder stops by itself"
	LeaseFromRequest        Safeguard = "a lease counts from before it was asked for"
)

// Safeguards are all of them.
var Safeguards = []Safeguard{LeaseMargin, CheckAtWrite, FencingTokens, NewLeaderRestartsLeases, HolderExpiry, LeaseFromRequest}

// Leases is one run of routers that hold a duty in turn, over a register that is one
// place: what electors agree on is shown elsewhere. Clocks drift within the bound times
// Drift, packets are late, lost and repeated, routers stall, leaders change.
type LeaseHandovers struct {
	Seed         uint64
	Without      Safeguard
	ClockDrift   float64 // of the clocks, in bounds that the settings allow; 1: within
	Routers      int
	MaxHandovers int // handovers
}

// LeaseResult is what a run saw.
type LeaseResult struct {
	Handovers, PlannedHandovers, Writes int
	Rejected                            int // acts that a receiver refused by their token
	StoppedAtWrite                      int // acts that the check at the write stopped
	SimulatedTime                       float64
	Violation                           string // the first time that two acted at once
	FaultsAndMoves                      int    // faults and moves until then
	Gaps                                []float64
}

type leaseRouter struct {
	*lease.Holder
	id      membership.ID
	rate    float64
	stalled float64
	cut     float64 // from the register, until then; not from the receiver
	queue   []lease.Response
	acts    []act // decided, and not written yet
	wake    float64
	since   float64 // true time from which it holds by what it was told
}

type act struct {
	token uint64
	at    float64 // when it is written, in true time, if nothing stalls it
}

type mail struct {
	at     float64
	to     int
	ask    *lease.Request
	answer *lease.Response
	act    *act
	from   int
}

// Run plays until there were enough handovers, or two acted at once.
func (o LeaseHandovers) Run() (r LeaseResult) {
	rng := rand.New(rand.NewPCG(o.Seed, 77))
	set := lease.DefaultSettings()
	set.TTL, set.SafetyMargin, set.RetryInterval, set.MaxBackoff, set.MaxClockDrift = 1000, 60, 60, 1200, 0.05
	real := set.MaxClockDrift / 2 * o.ClockDrift // each clock's rate; two differ by twice that
	if o.Without == LeaseMargin {
		set.SafetyMargin, set.MaxClockDrift = 0, 0
	}
	var routers []*leaseRouter
	var ids []membership.ID
	for i := range o.Routers {
		ids = append(ids, membership.ID(i+1))
	}
	for i, id := range ids {
		x := &leaseRouter{Holder: lease.NewHolder(set, id, uint64(i)<<40), id: id, rate: 1 + real*(2*float64(i%2)-1)}
		x.SetRank(0, "d", lease.Rank("d", id, ids))
		routers = append(routers, x)
	}
	leader := 1 + real*(2*rng.Float64()-1) // the rate of the leader's clock
	state, index := leaseregistry.New(), uint64(0)
	ledger := lease.NewExpiryTracker(set, 0, state)
	var air []mail
	now, fence := 0.0, lease.Fence{}
	post := func(m mail) {
		if rng.Float64() < 0.03 || m.ask != nil && now < routers[m.from].cut || m.answer != nil && now < routers[m.to].cut {
			return
		}
		m.at = now + 0.5 + rng.ExpFloat64()*2
		if rng.IntN(50) == 0 {
			m.at += 200 * rng.Float64()
		}
		air = append(air, m)
		if rng.IntN(30) == 0 {
			m.at += 20
			air = append(air, m)
		}
	}
	last, lastEnd := uint64(0), 0.0 // the token under which somebody acted latest
	// may tells whether a router may act, as it sees that by itself.
	may := func(x *leaseRouter) (uint64, bool) {
		token, ok := x.Valid(now*x.rate, "d")
		if o.Without == HolderExpiry {
			if _, t := x.Expiry("d"); t != 0 {
				return t, true
			}
		}
		return token, ok
	}
	// wrote is an act that left a socket: nobody else may act at that moment, whoever
	// took over since must not have begun.
	wrote := func(x *leaseRouter, a act) {
		r.Writes++
		for _, y := range routers {
			if token, ok := may(y); ok && y != x && now >= y.stalled {
				r.Violation = fmt.Sprintf("at %.0f ms router %d wrote under token %d while %d holds %d", now, x.id, a.token, y.id, token)
			}
		}
		post(mail{to: -1, act: &a, from: int(x.id) - 1})
	}
	ask := func(q lease.Request, from int) {
		x := routers[from]
		a := lease.Response{RequestID: q.ID, Lease: "d"}
		d := state.Leases["d"]
		t := now * leader
		switch {
		case q.Release && d != nil && d.Holder == x.id && d.FencingToken == q.FencingToken:
			index++
			c := &leaseregistry.Command{Op: leaseregistry.OpTransfer, Lease: "d", Holder: q.TransferTo, ExpectedToken: q.FencingToken}
			if q.TransferTo == 0 {
				c.Op, c.Holder = leaseregistry.OpRelease, x.id
			}
			state.Apply(index, c)
			if q.TransferTo != 0 {
				post(mail{to: int(q.TransferTo) - 1, answer: &lease.Response{Lease: "d", Holder: q.TransferTo, FencingToken: index}})
			}
		case q.Release:
		case d != nil && d.Holder == x.id && d.Incarnation != 0 && (q.FencingToken == d.FencingToken || q.FencingToken == 0):
			a.Granted = true
		case q.FencingToken == 0 && (ledger.Available(t, d) || d.Holder == x.id && d.Incarnation == 0):
			index++
			c := &leaseregistry.Command{Op: leaseregistry.OpGrant, Lease: "d", Holder: x.id, Incarnation: 1}
			if d != nil {
				c.ExpectedToken, c.HolderLost = d.FencingToken, d.Holder != 0 && d.Holder != x.id
			}
			if state.Apply(index, c) == nil {
				a.Granted = true
				r.Handovers++
				if !c.HolderLost {
					r.PlannedHandovers++
				}
			}
		}
		if d = state.Leases["d"]; d != nil {
			a.FencingToken, a.Holder, a.Losses, a.Remaining = d.FencingToken, d.Holder, min(1, d.Losses[x.id]), ledger.Remaining(t, "d")
		}
		if a.Granted {
			ledger.Extend(t, "d")
		}
		post(mail{to: from, answer: &a})
	}
	hear := func(x *leaseRouter, a lease.Response) {
		if o.Without == LeaseFromRequest { // as if the question had been asked when the answer came
			x.Backdate("d", a.RequestID, now*x.rate)
		}
		for _, c := range x.HandleResponse(now*x.rate, a) {
			if c.FencingToken != 0 && c.FencingToken != last {
				if lastEnd > 0 {
					r.Gaps = append(r.Gaps, max(0, now-lastEnd))
				}
				last = c.FencingToken
			}
		}
	}
	for r.Handovers < o.MaxHandovers && r.Violation == "" && now < 1e9 {
		due := air[:0:0]
		rest := air[:0]
		for _, m := range air {
			if m.at <= now {
				due = append(due, m)
			} else {
				rest = append(rest, m)
			}
		}
		air = rest
		slices.SortStableFunc(due, func(a, b mail) int {
			if a.at < b.at {
				return -1
			}
			return 1
		})
		for _, m := range due {
			switch {
			case m.act != nil:
				if o.Without == FencingTokens {
					if m.act.token < fence["d"] {
						r.Violation = fmt.Sprintf("at %.0f ms an act of token %d came after one of %d", now, m.act.token, fence["d"])
					}
				}
				if !fence.Admit("d", m.act.token) {
					r.Rejected++
				}
			case m.ask != nil:
				ask(*m.ask, m.from)
			case now < routers[m.to].stalled:
				routers[m.to].queue = append(routers[m.to].queue, *m.answer)
			default:
				hear(routers[m.to], *m.answer)
				routers[m.to].wake = 0
			}
		}
		for i, x := range routers {
			if now < x.stalled {
				continue
			}
			// What was decided before a stall is written first, as a woken process does.
			for len(x.acts) > 0 && x.acts[0].at <= now {
				a := x.acts[0]
				x.acts = x.acts[1:]
				if token, ok := may(x); o.Without != CheckAtWrite && (!ok || token != a.token) {
					r.StoppedAtWrite++
				} else {
					wrote(x, a)
				}
			}
			for _, a := range x.queue {
				hear(x, a)
			}
			if x.queue = nil; x.wake <= now*x.rate {
				asks, _, wake := x.Step(now * x.rate)
				x.wake = wake
				for _, q := range asks {
					post(mail{ask: &q, from: i})
				}
			}
			if token, ok := may(x); ok {
				lastEnd = now
				if len(x.acts) < 4 && rng.IntN(8) == 0 {
					x.acts = append(x.acts, act{token, now + 2*rng.Float64()})
				}
				if now < x.cut { // it acts until its own end, knowing of nothing
					continue
				}
				switch rng.IntN(100) {
				case 0, 1: // hands it on
					r.FaultsAndMoves++
					x.Release(now*x.rate, "d", routers[rng.IntN(len(routers))].id, nil)
					x.wake = 0
				case 2:
					if rng.IntN(8) == 0 {
						r.FaultsAndMoves++
						x.stalled = now + 2500*rng.Float64()
					}
				case 3:
					if rng.IntN(8) == 0 {
						r.FaultsAndMoves++
						x.cut = now + 2500*rng.Float64()
					}
				}
			}
		}
		if rng.IntN(1500) == 0 { // another leader, with another clock
			r.FaultsAndMoves++
			leader = 1 + real*(2*rng.Float64()-1)
			ledger = lease.NewExpiryTracker(set, now*leader, state)
			if o.Without == NewLeaderRestartsLeases {
				ledger = lease.NewExpiryTracker(set, now*leader, leaseregistry.New())
			}
		}
		now += 2
	}
	r.SimulatedTime = now
	return r
}
