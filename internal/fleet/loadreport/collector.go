// Package prober is the duty of asking the boxes of a location for their load. One router
// does it and tells the others of its location; each of them by itself would cost a probe
// a box and router. What is written is checked at the write: a router that was stopped
// after it decided to probe writes nothing under a lease that has ended.
package loadreport

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

	"garnetline/internal/clock"
	"garnetline/internal/fleet/fragment"
	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/fleet/wireformat"
	"garnetline/internal/metrics"
	"garnetline/internal/textconn"
	"garnetline/internal/upstream"
	"garnetline/routing"
)

// LeaseName is the name of the duty of a location.
func LeaseName(zone string) string { return "probe/" + zone }

// Server is one that is to be probed.
type Server struct {
	ID      routing.ServerID
	Address netip.AddrPort
}

// Options are what the prober works with.
type Options struct {
	Zone        string
	MinInterval float64 // ms between probes of one box, at the least
	MaxInterval float64 // ms between them where nothing changes
	Valid       func(duty string) (token uint64, ok bool)
	Servers     func() []Server // of this location that are ready
	ZonePeers   func() []membership.ID
	Send        func(to membership.ID, ch fragment.Channel, b []byte)
	ReportLoad  func(id routing.ServerID, l routing.LoadReport, age float64) // takes a report, in ms of age
	Clock       clock.Clock                                                  // the boot clock
	Metrics     *metrics.Registry
}

// Collector is the actor, with one goroutine for each box that is being probed.
type Collector struct {
	options    Options
	mu         sync.Mutex
	fence      lease.Fence
	servers    map[routing.ServerID]*polledServer
	unsent     map[routing.ServerID]report // to be told, and when they were measured
	nextSendAt float64                     // when that is done next
	done       chan struct{}
}

// polledServer is one that is probed.
type polledServer struct {
	Server
	nextPollAt float64
	interval   float64 // by now; longer where the load does not change
	polling    bool
	conn       *textconn.Conn
	sequence   uint64
	lastLoad   routing.LoadReport
}

// New returns a prober that has not begun.
func New(o Options) *Collector {
	return &Collector{options: o, fence: lease.Fence{}, servers: map[routing.ServerID]*polledServer{}, unsent: map[routing.ServerID]report{}, done: make(chan struct{})}
}

const (
	stepInterval      = 20 * time.Millisecond
	pollTimeout       = 300.0 // ms for one probe
	significantChange = 0.1   // of the link's load that makes the next probe come soon
	maxAnswerSize     = 1 << 10
)

// Run probes while this router holds the duty, until ctx ends.
func (p *Collector) Run(ctx context.Context) {
	defer close(p.done)
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	var probes sync.WaitGroup
	defer func() { // all connections are given back here
		probes.Wait()
		for _, b := range p.servers {
			b.close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		token, ok := p.options.Valid(LeaseName(p.options.Zone))
		p.mu.Lock()
		if !ok {
			for id, b := range p.servers {
				if !b.polling {
					b.close()
					delete(p.servers, id)
				}
			}
			p.mu.Unlock()
			continue
		}
		p.updateServers()
		now := p.options.Clock.Now()
		for _, b := range p.servers {
			if b.polling || b.nextPollAt > now {
				continue
			}
			b.polling = true
			probes.Go(func() { p.poll(ctx, b, token) })
		}
		p.sendReports(now, token)
		p.mu.Unlock()
	}
}

// Stopped is closed when Run has returned.
func (p *Collector) Stopped() <-chan struct{} { return p.done }

// updateServers goes over to the boxes that are ready now; the lock is held.
func (p *Collector) updateServers() {
	now := p.options.Servers()
	for _, x := range now {
		if p.servers[x.ID] == nil {
			p.servers[x.ID] = &polledServer{Server: x, interval: p.options.MinInterval, lastLoad: routing.LoadReport{LinkUtilization: math.NaN()}}
		}
	}
	for id, b := range p.servers {
		if !b.polling && !slices.Contains(now, b.Server) {
			b.close()
			delete(p.servers, id)
		}
	}
}

func (b *polledServer) close() {
	if b.conn != nil {
		b.conn.Close()
		b.conn = nil
	}
}

// poll probes a box once and tells the location what it said.
func (p *Collector) poll(ctx context.Context, b *polledServer, token uint64) {
	l, err := p.query(ctx, b, token)
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	b.polling = false
	switch {
	case err != nil:
		b.close()
		b.interval = p.options.MinInterval
		p.options.Metrics.Add("probes_failed", 1)
	case math.Abs(l.LinkUtilization-b.lastLoad.LinkUtilization) > significantChange || math.IsNaN(b.lastLoad.LinkUtilization):
		b.interval = p.options.MinInterval
	default:
		b.interval = min(p.options.MaxInterval, b.interval*1.5)
	}
	b.nextPollAt = now + b.interval
	if err != nil {
		return
	}
	b.lastLoad = l
	p.options.Metrics.Add("probes_answered", 1)
	p.unsent[b.ID] = report{b.ID, l, now}
	p.options.ReportLoad(b.ID, l, 0)
}

// BatchInterval is how long reports are collected, in ms, where there are so many mates. Each is
// sent a packet after it: no more than some 200 a second, whatever the number of boxes.
//
// Symptom guarded against: each report went to each mate by itself, 772 packets a second
// with 30 routers and 20 boxes, where a router may send 500.
func BatchInterval(mates int) float64 { return max(40, 5*float64(mates)) }

// MaxReportsPerPacket is how many reports one packet has room for.
const MaxReportsPerPacket = 50

// sendReports tells the mates what was measured since the last time; the lock is held.
func (p *Collector) sendReports(now float64, token uint64) {
	if now < p.nextSendAt || len(p.unsent) == 0 {
		return
	}
	mates := p.options.ZonePeers()
	p.nextSendAt = now + BatchInterval(len(mates))
	all := slices.SortedFunc(maps.Values(p.unsent), func(a, b report) int { return cmp.Compare(a.Server, b.Server) })
	clear(p.unsent)
	for some := range slices.Chunk(all, MaxReportsPerPacket) {
		w := wireformat.AppendUint(nil, 1, token)
		for _, r := range some {
			w = wireformat.AppendString(w, 2, string(r.append(now)))
		}
		for _, id := range mates {
			p.options.Send(id, fragment.LoadReport, w)
		}
	}
}

// errLeaseLost reports a probe that was not written: the lease is another's by now.
var errLeaseLost = errors.New("prober: the lease has ended")

// query writes one probe and reads its answer.
func (p *Collector) query(ctx context.Context, b *polledServer, token uint64) (l routing.LoadReport, err error) {
	if b.conn == nil {
		dctx, stop := context.WithTimeout(ctx, clock.Duration(pollTimeout))
		c, err := (&net.Dialer{}).DialContext(dctx, "tcp", b.Address.String())
		stop()
		if err != nil {
			return l, err
		}
		b.conn = textconn.New(c)
	}
	b.sequence++
	tag := fmt.Sprintf("p%d.%d", token, b.sequence) // a box that takes part reads the token there
	out := fmt.Appendf(b.conn.WriteBuffer(), "*2\r\n$6\r\ngauges\r\n$%d\r\n%s\r\n", len(tag), tag)
	if now, ok := p.options.Valid(LeaseName(p.options.Zone)); !ok || now != token { // at the write, and after whatever came between
		p.options.Metrics.Add("probes_held_back", 1)
		return l, errLeaseLost
	}
	if err := b.conn.Flush(out, nil, pollTimeout); err != nil {
		return l, err
	}
	p.options.Metrics.Add("probes_sent", 1)
	return upstream.ReadLoadReport(b.conn, tag, maxAnswerSize, pollTimeout)
}

// report is what a prober tells of a box.
type report struct {
	Server     routing.ServerID
	Load       routing.LoadReport
	MeasuredAt float64 // when it was measured
}

func (r report) append(now float64) []byte {
	b := wireformat.AppendUint(nil, 1, uint64(r.Server)+1)
	b = wireformat.AppendUint(b, 2, uint64(max(0, now-r.MeasuredAt)))
	for i, x := range []float64{r.Load.Inflight, r.Load.CPUUtilization, r.Load.HitRatio, r.Load.LinkUtilization} {
		if x >= 0 { // NaN is not told
			b = wireformat.AppendUint(b, protowire.Number(3+i), uint64(x*1000)+1)
		}
	}
	return b
}

// decodeReport reads one report, At being its age.
func decodeReport(b []byte) (r report, ok bool) {
	nan := math.NaN()
	r.Load = routing.LoadReport{Inflight: nan, CPUUtilization: nan, HitRatio: nan, LinkUtilization: nan}
	ok = leaseregistry.DecodeFields(b, func(f protowire.Number, v uint64, _ []byte) bool {
		x := float64(min(v, 1<<40)-min(v, 1)) / 1000
		switch f {
		case 1:
			r.Server = routing.ServerID(v - 1)
		case 2:
			r.MeasuredAt = float64(min(v, 1<<40))
		case 3:
			r.Load.Inflight = x
		case 4:
			r.Load.CPUUtilization = x
		case 5:
			r.Load.HitRatio = x
		case 6:
			r.Load.LinkUtilization = x
		}
		return true
	})
	return r, ok
}

// Receive takes the reports of another router. Those under an older token than another are
// not taken: their sender lost the duty meanwhile.
func (p *Collector) Receive(b []byte) {
	var token uint64
	var all []report
	if !leaseregistry.DecodeFields(b, func(f protowire.Number, v uint64, in []byte) bool {
		switch f {
		case 1:
			token = v
		case 2:
			r, ok := decodeReport(in)
			if all = append(all, r); !ok || len(all) > MaxReportsPerPacket {
				return false
			}
		}
		return true
	}) || token == 0 {
		return
	}
	p.mu.Lock()
	ok := p.fence.Admit(LeaseName(p.options.Zone), token)
	p.mu.Unlock()
	if !ok {
		p.options.Metrics.Add("reports_refused", int64(len(all)))
		return
	}
	p.options.Metrics.Add("reports_taken", int64(len(all)))
	for _, r := range all {
		p.options.ReportLoad(r.Server, r.Load, r.MeasuredAt)
	}
}
