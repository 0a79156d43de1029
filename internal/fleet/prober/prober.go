// Package prober is the duty of asking the boxes of a location for their load. One router
// does it and tells the others of its location; each of them by itself would cost a probe
// a box and router. What is written is checked at the write: a router that was stopped
// after it decided to probe writes nothing under a lease that has ended.
package prober

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"garnetline/decide"
	"garnetline/internal/clock"
	"garnetline/internal/fleet/carry"
	"garnetline/internal/fleet/duty"
	"garnetline/internal/fleet/form"
	"garnetline/internal/fleet/member"
	"garnetline/internal/fleet/register"
	"garnetline/internal/peer"
	"garnetline/internal/sock"
	"garnetline/internal/stats"
)

// Duty is the name of the duty of a location.
func Duty(zone string) string { return "probe/" + zone }

// Box is one that is to be probed.
type Box struct {
	ID   decide.ServerID
	Dial netip.AddrPort
}

// Options are what the prober works with.
type Options struct {
	Zone  string
	Every float64 // ms between probes of one box, at the least
	Most  float64 // ms between them where nothing changes
	May   func(duty string) (token uint64, ok bool)
	Boxes func() []Box // of this location that are ready
	Mates func() []member.ID
	Carry func(to member.ID, ch carry.Channel, b []byte)
	Told  func(id decide.ServerID, l decide.Load, age float64) // takes a report, in ms of age
	Clock clock.Clock                                          // the boot clock
	Stats *stats.Set
}

// Prober is the actor, with one goroutine for each box that is being probed.
type Prober struct {
	o     Options
	mu    sync.Mutex
	fence duty.Fence
	boxes map[decide.ServerID]*box
	told  map[decide.ServerID]report // to be told, and when they were measured
	tell  float64                    // when that is done next
	done  chan struct{}
}

// box is one that is probed.
type box struct {
	Box
	next  float64
	every float64 // by now; longer where the load does not change
	busy  bool
	conn  *sock.Conn
	n     uint64
	last  decide.Load
}

// New returns a prober that has not begun.
func New(o Options) *Prober {
	return &Prober{o: o, fence: duty.Fence{}, boxes: map[decide.ServerID]*box{}, told: map[decide.ServerID]report{}, done: make(chan struct{})}
}

const (
	look    = 20 * time.Millisecond
	within  = 300.0 // ms for one probe
	change  = 0.1   // of the link's load that makes the next probe come soon
	maxBody = 1 << 10
)

// Run probes while this router holds the duty, until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	defer close(p.done)
	tick := time.NewTicker(look)
	defer tick.Stop()
	var probes sync.WaitGroup
	defer func() { // all connections are given back here
		probes.Wait()
		for _, b := range p.boxes {
			b.close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		token, ok := p.o.May(Duty(p.o.Zone))
		p.mu.Lock()
		if !ok {
			for id, b := range p.boxes {
				if !b.busy {
					b.close()
					delete(p.boxes, id)
				}
			}
			p.mu.Unlock()
			continue
		}
		p.list()
		now := p.o.Clock.Now()
		for _, b := range p.boxes {
			if b.busy || b.next > now {
				continue
			}
			b.busy = true
			probes.Go(func() { p.one(ctx, b, token) })
		}
		p.share(now, token)
		p.mu.Unlock()
	}
}

// Stopped is closed when Run has returned.
func (p *Prober) Stopped() <-chan struct{} { return p.done }

// list goes over to the boxes that are ready now; the lock is held.
func (p *Prober) list() {
	now := p.o.Boxes()
	for _, x := range now {
		if p.boxes[x.ID] == nil {
			p.boxes[x.ID] = &box{Box: x, every: p.o.Every, last: decide.Load{Link: math.NaN()}}
		}
	}
	for id, b := range p.boxes {
		if !b.busy && !slices.Contains(now, b.Box) {
			b.close()
			delete(p.boxes, id)
		}
	}
}

func (b *box) close() {
	if b.conn != nil {
		b.conn.Close()
		b.conn = nil
	}
}

// one probes a box once and tells the location what it said.
func (p *Prober) one(ctx context.Context, b *box, token uint64) {
	l, err := p.ask(ctx, b, token)
	now := p.o.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	b.busy = false
	switch {
	case err != nil:
		b.close()
		b.every = p.o.Every
		p.o.Stats.Add("probes_failed", 1)
	case math.Abs(l.Link-b.last.Link) > change || math.IsNaN(b.last.Link):
		b.every = p.o.Every
	default:
		b.every = min(p.o.Most, b.every*1.5)
	}
	b.next = now + b.every
	if err != nil {
		return
	}
	b.last = l
	p.o.Stats.Add("probes_answered", 1)
	p.told[b.ID] = report{b.ID, l, now}
	p.o.Told(b.ID, l, 0)
}

// Collect is how long reports are collected, in ms, where there are so many mates. Each is
// sent a packet after it: no more than some 200 a second, whatever the number of boxes.
//
// Symptom guarded against: each report went to each mate by itself, 772 packets a second
// with 30 routers and 20 boxes, where a router may send 500.
func Collect(mates int) float64 { return max(40, 5*float64(mates)) }

// Together is how many reports one packet has room for.
const Together = 50

// share tells the mates what was measured since the last time; the lock is held.
func (p *Prober) share(now float64, token uint64) {
	if now < p.tell || len(p.told) == 0 {
		return
	}
	mates := p.o.Mates()
	p.tell = now + Collect(len(mates))
	all := slices.SortedFunc(maps.Values(p.told), func(a, b report) int { return cmp.Compare(a.Box, b.Box) })
	clear(p.told)
	for some := range slices.Chunk(all, Together) {
		w := form.Number(nil, 1, token)
		for _, r := range some {
			w = form.Text(w, 2, string(r.append(now)))
		}
		for _, id := range mates {
			p.o.Carry(id, carry.Report, w)
		}
	}
}

// errHeld reports a probe that was not written: the lease is another's by now.
var errHeld = errors.New("prober: the lease has ended")

// ask writes one probe and reads its answer.
func (p *Prober) ask(ctx context.Context, b *box, token uint64) (l decide.Load, err error) {
	if b.conn == nil {
		dctx, stop := context.WithTimeout(ctx, clock.Duration(within))
		c, err := (&net.Dialer{}).DialContext(dctx, "tcp", b.Dial.String())
		stop()
		if err != nil {
			return l, err
		}
		b.conn = sock.New(c)
	}
	b.n++
	tag := fmt.Sprintf("p%d.%d", token, b.n) // a box that takes part reads the token there
	out := fmt.Appendf(b.conn.Out(), "*2\r\n$6\r\ngauges\r\n$%d\r\n%s\r\n", len(tag), tag)
	if now, ok := p.o.May(Duty(p.o.Zone)); !ok || now != token { // at the write, and after whatever came between
		p.o.Stats.Add("probes_held_back", 1)
		return l, errHeld
	}
	if err := b.conn.Flush(out, nil, within); err != nil {
		return l, err
	}
	p.o.Stats.Add("probes_sent", 1)
	return peer.ReadGauges(b.conn, tag, maxBody, within)
}

// report is what a prober tells of a box.
type report struct {
	Box  decide.ServerID
	Load decide.Load
	At   float64 // when it was measured
}

func (r report) append(now float64) []byte {
	b := form.Number(nil, 1, uint64(r.Box)+1)
	b = form.Number(b, 2, uint64(max(0, now-r.At)))
	for i, x := range []float64{r.Load.Inflight, r.Load.Busy, r.Load.HitShare, r.Load.Link} {
		if x >= 0 { // NaN is not told
			b = form.Number(b, protowire.Number(3+i), uint64(x*1000)+1)
		}
	}
	return b
}

// readReport reads one report, At being its age.
func readReport(b []byte) (r report, ok bool) {
	nan := math.NaN()
	r.Load = decide.Load{Inflight: nan, Busy: nan, HitShare: nan, Link: nan}
	ok = register.Fields(b, func(f protowire.Number, v uint64, _ []byte) bool {
		x := float64(min(v, 1<<40)-min(v, 1)) / 1000
		switch f {
		case 1:
			r.Box = decide.ServerID(v - 1)
		case 2:
			r.At = float64(min(v, 1<<40))
		case 3:
			r.Load.Inflight = x
		case 4:
			r.Load.Busy = x
		case 5:
			r.Load.HitShare = x
		case 6:
			r.Load.Link = x
		}
		return true
	})
	return r, ok
}

// Heard takes the reports of another router. Those under an older token than another are
// not taken: their sender lost the duty meanwhile.
func (p *Prober) Heard(b []byte) {
	var token uint64
	var all []report
	if !register.Fields(b, func(f protowire.Number, v uint64, in []byte) bool {
		switch f {
		case 1:
			token = v
		case 2:
			r, ok := readReport(in)
			if all = append(all, r); !ok || len(all) > Together {
				return false
			}
		}
		return true
	}) || token == 0 {
		return
	}
	p.mu.Lock()
	ok := p.fence.Pass(Duty(p.o.Zone), token)
	p.mu.Unlock()
	if !ok {
		p.o.Stats.Add("reports_refused", int64(len(all)))
		return
	}
	p.o.Stats.Add("reports_taken", int64(len(all)))
	for _, r := range all {
		p.o.Told(r.Box, r.Load, r.At)
	}
}
