// Package experiment measures the fleet's state machines on the virtual network and draws what
// came out. It is for cmd/fleetlab; the daemon links none of it.
package experiment

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/netsim"
)

// Way is a way to detect failures that is measured.
type Way struct {
	Name string
	Set  func() fleet.Settings // of the state machine; nil: every router pings every other
}

// Ways are the ways that are compared: as built, without Lifeguard, and the plainest.
func Ways() []Way {
	return []Way{
		{"as built", fleet.DefaultSettings},
		{"without Lifeguard", func() fleet.Settings {
			s := fleet.DefaultSettings()
			s.Membership.MaxHealthScore, s.Membership.MaxSuspicionMult, s.Membership.SuspicionConfirmations = 0, 1, 0
			return s
		}},
		{"all ping all", nil},
	}
}

// Members is what to measure.
type Members struct {
	Sizes  []int
	Seeds  int
	Kills  int     // for each seed
	Calm   float64 // ms without a fault, for the bytes
	Rough  float64 // ms under loss or stalls, for wrong words; a fleet of over 30 has fewer
	Losses []float64
}

// Kind is one line of the table: a way, a size.
type Kind struct {
	Way  string
	Size int
}

// Result is what was measured of a kind, over all seeds.
type Result struct {
	Kind
	Detect, Known  []float64 // ms from a kill to the first and to the last that holds it for failed
	Packets, Bytes float64   // a second and router
	Memory         float64   // bytes a router
	Rough          []Rough
}

// Rough is what was said wrongly under one sort of trouble.
type Rough struct {
	Trouble            string
	Suspected, Failed  float64 // of routers that lived and did not stall, an hour and fleet
	StalledFailed      float64 // of those that stalled
	Hours              float64
	Suspects, Failures int // as counted
}

// Run measures, sizes and seeds side by side, and says on w what is done.
func (o Members) Run(w io.Writer) (all []*Result) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	room := make(chan struct{}, runtime.GOMAXPROCS(0))
	for _, size := range o.Sizes {
		for _, way := range Ways() {
			if way.Set == nil && size > 300 || way.Name != Ways()[0].Name && size > 300 {
				continue // 1,000 that ping each other would send two million packets a second
			}
			o := o
			if size > 30 {
				o.Rough *= 30 / float64(size)
				o.Kills = max(2, o.Kills*30/size)
				o.Calm = min(o.Calm, 10_000)
			}
			if size > 30 && way.Set == nil {
				o.Rough, o.Calm, o.Kills = min(o.Rough, 4000), 1000, 1
			}
			if way.Set == nil { // its packets are counted by the million
				o.Seeds, o.Rough = min(o.Seeds, 3), min(o.Rough, 60_000)
			}
			r := &Result{Kind: Kind{way.Name, size}}
			all = append(all, r)
			r.Rough = make([]Rough, len(o.Losses)+1)
			for i, loss := range o.Losses {
				r.Rough[i].Trouble = fmt.Sprintf("%.0f%% loss", 100*loss)
			}
			r.Rough[len(o.Losses)].Trouble = "one in twenty stalls"
			for seed := range o.Seeds {
				wg.Go(func() {
					room <- struct{}{}
					defer func() { <-room }()
					got := o.one(way, size, uint64(seed+1))
					mu.Lock()
					defer mu.Unlock()
					r.Detect, r.Known = append(r.Detect, got.Detect...), append(r.Known, got.Known...)
					r.Packets += got.Packets / float64(o.Seeds)
					r.Bytes += got.Bytes / float64(o.Seeds)
					for i, x := range got.Rough {
						r.Rough[i].Suspects += x.Suspects
						r.Rough[i].Failures += x.Failures
						r.Rough[i].StalledFailed += x.StalledFailed
						r.Rough[i].Hours += x.Hours
					}
					fmt.Fprintf(w, "%s, %d routers, seed %d\n", way.Name, size, seed+1)
				})
			}
		}
	}
	wg.Wait()
	for _, r := range all { // memory by itself, with nothing beside it
		for _, way := range Ways() {
			if way.Name == r.Way {
				r.Memory = memory(way, r.Size)
			}
		}
	}
	for _, r := range all {
		slices.Sort(r.Detect)
		slices.Sort(r.Known)
		for i := range r.Rough {
			x := &r.Rough[i]
			x.Suspected, x.Failed = float64(x.Suspects)/x.Hours, float64(x.Failures)/x.Hours
			x.StalledFailed /= x.Hours
		}
	}
	return all
}

// fleetOf is a fleet of a way whose views are alike.
func fleetOf(way Way, size int, seed uint64) *netsim.Net {
	v := netsim.New(seed)
	if way.Set == nil {
		pingAll(v, size)
		v.Run(20_000)
		return v
	}
	v.Fleet(size, way.Set(), true)
	v.Until(60_000, 100, v.Alike)
	v.Run(v.Now + 20_000) // until all have proven themselves to those that they meet
	return v
}

// memory is what a router of a settled fleet holds, in bytes.
func memory(way Way, size int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := fleetOf(way, size, 1)
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := float64(after.HeapAlloc) - float64(before.HeapAlloc)
	runtime.KeepAlive(v)
	return held / float64(size)
}

func (o Members) one(way Way, size int, seed uint64) (r Result) {
	v := fleetOf(way, size, seed)
	sent, bytes := traffic(v)
	v.Run(v.Now + o.Calm)
	s, b := traffic(v)
	r.Packets, r.Bytes = float64(s-sent)/o.Calm*1000/float64(size), float64(b-bytes)/o.Calm*1000/float64(size)
	for k := range min(o.Kills, size-2) {
		x := v.Hosts[1+(k*7+int(seed))%(size-1)]
		if x.Dead {
			continue
		}
		v.Run(v.Now + 500 + 1000*v.Rng.Float64())
		v.Kill(x)
		at, first := v.Now, math.NaN()
		live := 0
		for _, h := range v.Hosts {
			if !h.Dead {
				live++
			}
		}
		v.Until(at+60_000, 10, func() bool {
			n := v.SeenAs(x)[membership.Failed]
			if n > 0 && math.IsNaN(first) {
				first = v.Now - at
			}
			return n == live
		})
		r.Detect, r.Known = append(r.Detect, first), append(r.Known, v.Now-at)
	}
	for _, loss := range o.Losses {
		v := fleetOf(way, size, seed+100)
		v.Link.Loss = loss
		r.Rough = append(r.Rough, rough(v, o.Rough, func(*netsim.Host) bool { return false }))
	}
	v = fleetOf(way, size, seed+200)
	stalls := map[*netsim.Host]bool{}
	for i := 0; i < max(1, size/20); i++ {
		stalls[v.Hosts[(i*20+int(seed))%size]] = true
	}
	r.Rough = append(r.Rough, rough(v, o.Rough, func(h *netsim.Host) bool { return stalls[h] }))
	return r
}

func traffic(v *netsim.Net) (packets, bytes int64) {
	for _, h := range v.Hosts {
		packets += h.Sent
		bytes += h.Bytes
	}
	return packets, bytes
}

// rough runs a fleet for a while in which nobody dies and some stall, and counts what is
// said of routers by those who say it first.
func rough(v *netsim.Net, ms float64, stalls func(*netsim.Host) bool) (r Rough) {
	by := map[membership.ID]*netsim.Host{}
	for _, h := range v.Hosts {
		by[h.Self.ID] = h
	}
	for _, h := range v.Hosts {
		h.On = func(h *netsim.Host, _ float64, out *fleet.Output) {
			for _, e := range out.Events {
				x := by[e.Update.ID]
				if e.Update.ReportedBy != h.Self.ID || x == nil || x.Dead {
					continue
				}
				switch {
				case e.Kind == "suspect" && !stalls(x):
					r.Suspects++
				case e.Kind == "failed" && !stalls(x):
					r.Failures++
				case e.Kind == "failed":
					r.StalledFailed++
				}
			}
		}
	}
	for end := v.Now + ms; v.Now < end; {
		for _, h := range v.Hosts {
			if stalls(h) && v.Rng.Float64() < 0.2 { // in each second; a stall is of up to 3 s
				v.Stall(h, 3000*v.Rng.Float64())
			}
		}
		v.Run(min(end, v.Now+1000))
	}
	r.Hours = ms / 3_600_000
	return r
}

// Day runs one fleet for a time under loss and returns what was said wrongly.
func Day(size int, seed uint64, loss, ms float64) Rough {
	v := fleetOf(Ways()[0], size, seed)
	v.Link.Loss = loss
	r := rough(v, ms, func(*netsim.Host) bool { return false })
	r.Trouble = fmt.Sprintf("%.0f%% loss", 100*loss)
	return r
}

// Quantile returns the q-th quantile of sorted values.
func Quantile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return math.NaN()
	}
	return x[min(len(x)-1, int(q*float64(len(x))))]
}
