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
type Variant struct {
	Name     string
	Settings func() fleet.Settings // of the state machine; nil: every router pings every other
}

// Ways are the ways that are compared: as built, without Lifeguard, and the plainest.
func Variants() []Variant {
	return []Variant{
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
type Membership struct {
	Sizes       []int
	Seeds       int
	Kills       int     // for each seed
	QuietPeriod float64 // ms without a fault, for the bytes
	FaultPeriod float64 // ms under loss or stalls, for wrong words; a fleet of over 30 has fewer
	Losses      []float64
}

// Kind is one line of the table: a way, a size.
type Configuration struct {
	Variant string
	Size    int
}

// Result is what was measured of a kind, over all seeds.
type MembershipResult struct {
	Configuration
	FirstDetected, KnownToAll        []float64 // ms from a kill to the first and to the last that holds it for failed
	PacketsPerSecond, BytesPerSecond float64   // a second and router
	MemoryBytes                      float64   // bytes a router
	FalsePositives                   []FalsePositives
}

// Rough is what was said wrongly under one sort of trouble.
type FalsePositives struct {
	Fault                           string
	SuspectedPerHour, FailedPerHour float64 // of routers that lived and did not stall, an hour and fleet
	StalledFailedPerHour            float64 // of those that stalled
	Hours                           float64
	Suspicions, Failures            int // as counted
}

// Run measures, sizes and seeds side by side, and says on w what is done.
func (o Membership) Run(w io.Writer) (all []*MembershipResult) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	room := make(chan struct{}, runtime.GOMAXPROCS(0))
	for _, size := range o.Sizes {
		for _, way := range Variants() {
			if way.Settings == nil && size > 300 || way.Name != Variants()[0].Name && size > 300 {
				continue // 1,000 that ping each other would send two million packets a second
			}
			o := o
			if size > 30 {
				o.FaultPeriod *= 30 / float64(size)
				o.Kills = max(2, o.Kills*30/size)
				o.QuietPeriod = min(o.QuietPeriod, 10_000)
			}
			if size > 30 && way.Settings == nil {
				o.FaultPeriod, o.QuietPeriod, o.Kills = min(o.FaultPeriod, 4000), 1000, 1
			}
			if way.Settings == nil { // its packets are counted by the million
				o.Seeds, o.FaultPeriod = min(o.Seeds, 3), min(o.FaultPeriod, 60_000)
			}
			r := &MembershipResult{Configuration: Configuration{way.Name, size}}
			all = append(all, r)
			r.FalsePositives = make([]FalsePositives, len(o.Losses)+1)
			for i, loss := range o.Losses {
				r.FalsePositives[i].Fault = fmt.Sprintf("%.0f%% loss", 100*loss)
			}
			r.FalsePositives[len(o.Losses)].Fault = "one in twenty stalls"
			for seed := range o.Seeds {
				wg.Go(func() {
					room <- struct{}{}
					defer func() { <-room }()
					got := o.one(way, size, uint64(seed+1))
					mu.Lock()
					defer mu.Unlock()
					r.FirstDetected, r.KnownToAll = append(r.FirstDetected, got.FirstDetected...), append(r.KnownToAll, got.KnownToAll...)
					r.PacketsPerSecond += got.PacketsPerSecond / float64(o.Seeds)
					r.BytesPerSecond += got.BytesPerSecond / float64(o.Seeds)
					for i, x := range got.FalsePositives {
						r.FalsePositives[i].Suspicions += x.Suspicions
						r.FalsePositives[i].Failures += x.Failures
						r.FalsePositives[i].StalledFailedPerHour += x.StalledFailedPerHour
						r.FalsePositives[i].Hours += x.Hours
					}
					fmt.Fprintf(w, "%s, %d routers, seed %d\n", way.Name, size, seed+1)
				})
			}
		}
	}
	wg.Wait()
	for _, r := range all { // memory by itself, with nothing beside it
		for _, way := range Variants() {
			if way.Name == r.Variant {
				r.MemoryBytes = memory(way, r.Size)
			}
		}
	}
	for _, r := range all {
		slices.Sort(r.FirstDetected)
		slices.Sort(r.KnownToAll)
		for i := range r.FalsePositives {
			x := &r.FalsePositives[i]
			x.SuspectedPerHour, x.FailedPerHour = float64(x.Suspicions)/x.Hours, float64(x.Failures)/x.Hours
			x.StalledFailedPerHour /= x.Hours
		}
	}
	return all
}

// fleetOf is a fleet of a way whose views are alike.
func fleetOf(way Variant, size int, seed uint64) *netsim.Network {
	v := netsim.New(seed)
	if way.Settings == nil {
		pingAll(v, size)
		v.Run(20_000)
		return v
	}
	v.StartFleet(size, way.Settings(), true)
	v.RunUntil(60_000, 100, v.Converged)
	v.Run(v.Now + 20_000) // until all have proven themselves to those that they meet
	return v
}

// memory is what a router of a settled fleet holds, in bytes.
func memory(way Variant, size int) float64 {
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

func (o Membership) one(way Variant, size int, seed uint64) (r MembershipResult) {
	v := fleetOf(way, size, seed)
	sent, bytes := traffic(v)
	v.Run(v.Now + o.QuietPeriod)
	s, b := traffic(v)
	r.PacketsPerSecond, r.BytesPerSecond = float64(s-sent)/o.QuietPeriod*1000/float64(size), float64(b-bytes)/o.QuietPeriod*1000/float64(size)
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
		v.RunUntil(at+60_000, 10, func() bool {
			n := v.StateCounts(x)[membership.Failed]
			if n > 0 && math.IsNaN(first) {
				first = v.Now - at
			}
			return n == live
		})
		r.FirstDetected, r.KnownToAll = append(r.FirstDetected, first), append(r.KnownToAll, v.Now-at)
	}
	for _, loss := range o.Losses {
		v := fleetOf(way, size, seed+100)
		v.Link.Loss = loss
		r.FalsePositives = append(r.FalsePositives, rough(v, o.FaultPeriod, func(*netsim.Host) bool { return false }))
	}
	v = fleetOf(way, size, seed+200)
	stalls := map[*netsim.Host]bool{}
	for i := 0; i < max(1, size/20); i++ {
		stalls[v.Hosts[(i*20+int(seed))%size]] = true
	}
	r.FalsePositives = append(r.FalsePositives, rough(v, o.FaultPeriod, func(h *netsim.Host) bool { return stalls[h] }))
	return r
}

func traffic(v *netsim.Network) (packets, bytes int64) {
	for _, h := range v.Hosts {
		packets += h.PacketsSent
		bytes += h.BytesSent
	}
	return packets, bytes
}

// rough runs a fleet for a while in which nobody dies and some stall, and counts what is
// said of routers by those who say it first.
func rough(v *netsim.Network, ms float64, stalls func(*netsim.Host) bool) (r FalsePositives) {
	by := map[membership.ID]*netsim.Host{}
	for _, h := range v.Hosts {
		by[h.Self.ID] = h
	}
	for _, h := range v.Hosts {
		h.OnStep = func(h *netsim.Host, _ float64, out *fleet.Output) {
			for _, e := range out.Events {
				x := by[e.Update.ID]
				if e.Update.ReportedBy != h.Self.ID || x == nil || x.Dead {
					continue
				}
				switch {
				case e.Kind == "suspect" && !stalls(x):
					r.Suspicions++
				case e.Kind == "failed" && !stalls(x):
					r.Failures++
				case e.Kind == "failed":
					r.StalledFailedPerHour++
				}
			}
		}
	}
	for end := v.Now + ms; v.Now < end; {
		for _, h := range v.Hosts {
			if stalls(h) && v.Rng.Float64() < 0.2 { // in each second; a stall is of up to 3 s
				v.Pause(h, 3000*v.Rng.Float64())
			}
		}
		v.Run(min(end, v.Now+1000))
	}
	r.Hours = ms / 3_600_000
	return r
}

// Day runs one fleet for a time under loss and returns what was said wrongly.
func MeasureFalsePositives(size int, seed uint64, loss, ms float64) FalsePositives {
	v := fleetOf(Variants()[0], size, seed)
	v.Link.Loss = loss
	r := rough(v, ms, func(*netsim.Host) bool { return false })
	r.Fault = fmt.Sprintf("%.0f%% loss", 100*loss)
	return r
}

// Quantile returns the q-th quantile of sorted values.
func Quantile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return math.NaN()
	}
	return x[min(len(x)-1, int(q*float64(len(x))))]
}
