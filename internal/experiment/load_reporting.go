package experiment

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"

	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/leaseregistry"
	"garnetline/internal/fleet/loadreport"
	"garnetline/internal/fleet/membership"
)

// Worth compares ways in which the routers of a location may know the load of its boxes:
// nobody asks, everybody does, the one that comes first by hash in each router's own view
// does, or the holder of a lease. The location is cut in two for a third of the time; six
// in ten routers are on the register's side. What a router knows is what it was told last.
type LoadReporting struct {
	Seed           uint64
	Routers        int
	Servers        int
	Strategy       string // nobody, everybody, by hash, by lease
	IntervalPolicy string // fixed 250, fixed 1000, adaptive, by need
	Unbatched      bool   // each report goes by itself, as before they were collected
}

// Ways and Spacings that are compared.
var (
	Strategies       = []string{"nobody", "everybody", "by hash", "by lease"}
	IntervalPolicies = []string{"fixed 250", "fixed 1000", "adaptive", "by need"}
)

// WorthResult is what a run saw, a second where nothing else is said.
type LoadReportingResult struct {
	ProbesPerSecond, ProbesPerServer float64 // in all, and the most that a box was sent in a second
	PacketsPerSecond, BytesPerSecond float64 // of reports, by the one that sends most
	MeanAge, MeanError               float64 // mean age, ms, of what routers know, and how far it is off, as a share of a link
	StaleShare                       float64 // share of what routers know that is older than 2 s, or was never told
	ConcurrentProbes                 int     // probes sent while another router probed too, of the whole run
	Uncovered                        float64 // s of the run in which nobody probed
}

// What a packet of reports takes on the wire: heads and the seal, and each report in it.
const packetBytes, reportBytes = 28.0 + 41 + 20, 20.0

type report struct{ load, at float64 }

// Run plays a minute and a half.
func (o LoadReporting) Run() (r LoadReportingResult) {
	const end, from, until, tick, seen = 90_000.0, 30_000.0, 60_000.0, 10.0, 3000.0
	rng := rand.New(rand.NewPCG(o.Seed, 21))
	ids := make([]membership.ID, o.Routers)
	for i := range ids {
		ids[i] = membership.ID(rng.Uint64() | 1)
	}
	side := func(i int) bool { return i*10 < o.Routers*6 } // of the register
	var halves [2][]membership.ID
	for i, id := range ids {
		h := 1
		if side(i) {
			h = 0
		}
		halves[h] = append(halves[h], id)
	}
	views := [3][]membership.ID{ids, halves[0], halves[1]}
	var firsts [3]membership.ID
	ranks := [3][]int{}
	for k, v := range views {
		firsts[k] = lease.TopRanked("d", v, 1)[0]
		for _, id := range ids {
			ranks[k] = append(ranks[k], lease.Rank("d", id, v))
		}
	}
	view := func(now float64, i int) int { // it learns of the cut and of its end later
		if now < from+seen || now > until+seen/2 {
			return 0
		}
		if side(i) {
			return 1
		}
		return 2
	}
	reach := func(now float64, a, b int) bool { return now < from || now > until || side(a) == side(b) }
	set := lease.DefaultSettings()
	state, index := leaseregistry.New(), uint64(0)
	ledger := lease.NewExpiryTracker(set, 0, state)
	holders := make([]*lease.Holder, o.Routers)
	for i, id := range ids {
		holders[i] = lease.NewHolder(set, id, uint64(i)<<40)
	}
	lease := func(now float64, i int) bool {
		if int(now)%100 == 0 {
			holders[i].SetRank(now, "d", ranks[view(now, i)][i])
			asks, _, _ := holders[i].Step(now)
			for _, q := range asks {
				if now >= from && now <= until && !side(i) {
					continue
				}
				d, a := state.Leases["d"], lease.Response{RequestID: q.ID, Lease: "d"}
				if d != nil && d.Holder == ids[i] || d == nil || ledger.Available(now, d) {
					if d == nil || d.Holder != ids[i] {
						index++
						c := &leaseregistry.Command{Op: leaseregistry.OpGrant, Lease: "d", Holder: ids[i], Incarnation: 1}
						if d != nil {
							c.ExpectedToken = d.FencingToken
						}
						state.Apply(index, c)
					}
					ledger.Extend(now, "d")
					a.Granted = true
				}
				d = state.Leases["d"]
				a.FencingToken, a.Holder, a.Remaining = d.FencingToken, d.Holder, ledger.Remaining(now, "d")
				holders[i].HandleResponse(now, a)
			}
		}
		_, may := holders[i].Valid(now, "d")
		return may
	}
	type line struct {
		next, every, last float64
	}
	lines := make([][]line, o.Routers)
	knows, at := make([][]float64, o.Routers), make([][]float64, o.Routers)
	for i := range lines {
		lines[i], knows[i], at[i] = make([]line, o.Servers), make([]float64, o.Servers), make([]float64, o.Servers)
		for b := range at[i] {
			at[i][b], lines[i][b].last = math.Inf(-1), -1
			lines[i][b].next = 1000 * rng.Float64() // no two in step
		}
	}
	loads, bursts := make([]float64, o.Servers), make([]float64, o.Servers)
	perBox, sent, bytes, flush := make([]float64, o.Servers), make([]float64, o.Routers), make([]float64, o.Routers), make([]float64, o.Routers)
	queue := make([]map[int]report, o.Routers)
	for i := range queue {
		queue[i] = map[int]report{}
	}
	var age, off, n, stale float64
	acting := make([]bool, o.Routers)
	for now := 0.0; now < end; now += tick {
		for b := range loads { // a link's load wanders, and now and then a burst fills it for seconds
			if bursts[b] -= tick; bursts[b] <= 0 && rng.Float64() < tick/30_000 {
				bursts[b] = 5000 * rng.Float64()
			}
			to := 0.4
			if bursts[b] > 0 {
				to = 1
			}
			loads[b] += (to-loads[b])*tick/800 + 0.01*rng.NormFloat64()
		}
		active := 0
		for i := range ids {
			switch o.Strategy {
			case "nobody":
				acting[i] = false
			case "everybody":
				acting[i] = true
			case "by hash":
				acting[i] = firsts[view(now, i)] == ids[i]
			default:
				acting[i] = lease(now, i)
			}
			if acting[i] {
				active++
			}
		}
		if active == 0 {
			r.Uncovered += tick / 1000
		}
		for i := range ids {
			if !acting[i] {
				continue
			}
			for b := range loads {
				l := &lines[i][b]
				if l.next > now {
					continue
				}
				r.ProbesPerSecond++
				perBox[b]++
				if active > 1 {
					r.ConcurrentProbes++
				}
				switch moved := math.Abs(loads[b]-l.last) > 0.1; {
				case o.IntervalPolicy == "fixed 250":
					l.every = 250
				case o.IntervalPolicy == "fixed 1000":
					l.every = 1000
				case o.IntervalPolicy == "by need":
					if l.every = 1000; loads[b] > 0.6 { // where the module begins to ration
						l.every = 250
					}
				case moved || l.every == 0:
					l.every = 250
				default:
					l.every = min(1000, l.every*1.5)
				}
				l.next, l.last = now+l.every, loads[b]
				knows[i][b], at[i][b] = loads[b], now
				if o.Strategy != "everybody" {
					queue[i][b] = report{loads[b], now}
				}
			}
			if now < flush[i] || len(queue[i]) == 0 {
				continue
			}
			if flush[i] = now; !o.Unbatched {
				flush[i] += loadreport.BatchInterval(o.Routers - 1)
			}
			packets := float64(len(queue[i]))
			if !o.Unbatched {
				packets = math.Ceil(packets / loadreport.MaxReportsPerPacket)
			}
			for k := range ids {
				if k == i || view(now, i) != 0 && side(i) != side(k) {
					continue
				}
				sent[i] += packets
				bytes[i] += packets*packetBytes + float64(len(queue[i]))*reportBytes
				if reach(now, i, k) {
					for b, x := range queue[i] {
						knows[k][b], at[k][b] = x.load, x.at
					}
				}
			}
			clear(queue[i])
		}
		if int(now)%370 == 0 && now > 10_000 {
			for i := range ids {
				for b := range loads {
					n++
					if now-at[i][b] > 2000 {
						stale++
						continue
					}
					age += now - at[i][b]
					off += math.Abs(loads[b] - knows[i][b])
				}
			}
		}
	}
	for _, x := range perBox {
		r.ProbesPerServer = max(r.ProbesPerServer, x/(end/1000))
	}
	for _, x := range sent {
		r.PacketsPerSecond = max(r.PacketsPerSecond, x/(end/1000))
	}
	for _, x := range bytes {
		r.BytesPerSecond = max(r.BytesPerSecond, x/(end/1000))
	}
	r.ProbesPerSecond /= end / 1000
	r.MeanAge, r.MeanError, r.StaleShare = age/(n-stale), off/(n-stale), stale/n
	return r
}

// WorthTable plays all ways, and for one router that asks all spacings.
func LoadReportingTable(w io.Writer) {
	fmt.Fprintln(w, "| routers | who asks | spacing | probes/s at all boxes, at one | reports/s and bytes/s of who sends most | age known, ms | off by | older than 2 s or unknown | probes while two ask | nobody asks, s of 90 |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	row := func(o LoadReporting) {
		r := o.Run()
		way := o.Strategy
		if o.Unbatched {
			way += ", each report by itself"
		}
		fmt.Fprintf(w, "| %d | %s | %s | %.1f, %.1f | %.0f, %.0f | %.0f | %.3f | %.1f%% | %d | %.1f |\n", o.Routers, way, o.IntervalPolicy, r.ProbesPerSecond, r.ProbesPerServer, r.PacketsPerSecond, r.BytesPerSecond, r.MeanAge, r.MeanError, 100*r.StaleShare, r.ConcurrentProbes, r.Uncovered)
	}
	for _, n := range []int{3, 30, 300} {
		for _, way := range Strategies {
			row(LoadReporting{Seed: 1, Routers: n, Servers: 20, Strategy: way, IntervalPolicy: "adaptive"})
		}
		row(LoadReporting{Seed: 1, Routers: n, Servers: 20, Strategy: "by lease", IntervalPolicy: "adaptive", Unbatched: true})
	}
	for _, n := range []int{3, 30} {
		for _, s := range IntervalPolicies {
			row(LoadReporting{Seed: 1, Routers: n, Servers: 20, Strategy: "by lease", IntervalPolicy: s})
		}
	}
}
