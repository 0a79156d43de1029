package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"garnetline/internal/experiment"
	"garnetline/internal/faultproxy"
	"garnetline/internal/fleet/consensus"
	"garnetline/internal/testcluster"
)

// leasesCommand plays leases on the virtual network: many handovers with all safeguards,
// then each safeguard off in turn.
func leasesCommand() *cli.Command {
	return &cli.Command{Name: "leases", Usage: "play leases on the virtual network, then with each safeguard off in turn", Flags: []cli.Flag{
		&cli.StringFlag{Name: "out", Usage: "`FOLDER` for leases.md", Value: "."},
		&cli.IntFlag{Name: "handovers", Value: 1_000_000},
		&cli.IntFlag{Name: "seeds", Usage: "tried with a safeguard off", Value: 200},
	}, Action: func(_ context.Context, c *cli.Command) error {
		f, err := os.Create(filepath.Join(c.String("out"), "leases.md"))
		if err != nil {
			return err
		}
		defer f.Close()
		began := time.Now()
		const each = 20_000
		var mu sync.Mutex
		var all experiment.LeaseResult
		runs := (c.Int("handovers") + each - 1) / each
		forEachParallel(runs, func(i int) {
			r := experiment.LeaseHandovers{Seed: uint64(i + 1), ClockDrift: 1, Routers: 3 + i%3, MaxHandovers: each}.Run()
			mu.Lock()
			defer mu.Unlock()
			all.Handovers, all.PlannedHandovers, all.Writes = all.Handovers+r.Handovers, all.PlannedHandovers+r.PlannedHandovers, all.Writes+r.Writes
			all.Rejected, all.StoppedAtWrite, all.SimulatedTime = all.Rejected+r.Rejected, all.StoppedAtWrite+r.StoppedAtWrite, all.SimulatedTime+r.SimulatedTime
			if r.Violation != "" {
				all.Violation += fmt.Sprintf("seed %d: %s; ", i+1, r.Violation)
			}
		})
		if all.Violation == "" {
			all.Violation = "none"
		}
		fmt.Fprintf(f, "Made by `fleetlab leases --handovers %d --seeds %d`, %v.\n\n", c.Int("handovers"), c.Int("seeds"), time.Since(began).Round(time.Second))
		fmt.Fprintf(f, "%d handovers (%d planned) in %.0f virtual hours and %d runs, %d acts written, %d stopped by the check at the write, %d refused by their token at the receiver. Two that acted at once: %s.\n\n",
			all.Handovers, all.PlannedHandovers, all.SimulatedTime/3_600_000, runs, all.Writes, all.StoppedAtWrite, all.Rejected, all.Violation)
		fmt.Fprintln(f, "| off | seeds that show it | smallest schedule: faults and moves | handovers until then | what is seen there |\n| --- | --- | --- | --- | --- |")
		for _, off := range append(slices.Clone(experiment.Safeguards), "ten times the drift") {
			n, best := 0, experiment.LeaseResult{}
			forEachParallel(c.Int("seeds"), func(i int) {
				o := experiment.LeaseHandovers{Seed: uint64(i + 1), Without: off, ClockDrift: 1, Routers: 3, MaxHandovers: 2000}
				if off == "ten times the drift" {
					o.Without, o.ClockDrift = experiment.NoSafeguard, 10
				}
				r := o.Run()
				mu.Lock()
				defer mu.Unlock()
				if r.Violation != "" {
					if n++; best.Violation == "" || r.FaultsAndMoves < best.FaultsAndMoves {
						best = r
						best.Violation = fmt.Sprintf("seed %d: %s", i+1, r.Violation)
					}
				}
			})
			fmt.Fprintf(f, "| %s | %d of %d | %d | %d | %s |\n", off, n, c.Int("seeds"), best.FaultsAndMoves, best.Handovers, best.Violation)
		}
		return nil
	}}
}

// statesCommand visits the states of a lease, and writes what was seen.
func leaseStatesCommand() *cli.Command {
	return &cli.Command{Name: "lease-states", Usage: "visit the states of two routers and a register one by one", Flags: []cli.Flag{
		&cli.StringFlag{Name: "out", Usage: "`FOLDER` for states.md", Value: "."},
		&cli.IntFlag{Name: "most", Usage: "states visited in the larger bounds", Value: 300_000},
	}, Action: func(_ context.Context, c *cli.Command) error {
		f, err := os.Create(filepath.Join(c.String("out"), "states.md"))
		if err != nil {
			return err
		}
		defer f.Close()
		fmt.Fprintf(f, "Made by `fleetlab lease-states --most %d`.\n\n", c.Int("most"))
		fmt.Fprintln(f, "| off | on their way, faults, crashes, handings on, grants at the most | states | moves | deepest | whole | found |\n| --- | --- | --- | --- | --- | --- | --- |")
		wide := experiment.LeaseSearch{MaxInFlight: 2, MaxCrashes: 1, MaxTransfers: 1, MaxGrants: 3, MaxStates: c.Int("most")}
		all := []experiment.LeaseSearch{
			{MaxInFlight: 1, MaxGrants: 1, MaxStates: wide.MaxStates}, {MaxInFlight: 1, MaxGrants: 2, MaxStates: wide.MaxStates}, {MaxInFlight: 1, MaxGrants: 2, MaxTransfers: 1, MaxStates: wide.MaxStates}, {MaxInFlight: 1, MaxGrants: 2, MaxCrashes: 1, MaxStates: wide.MaxStates},
			{MaxInFlight: 2, MaxGrants: 1, MaxStates: wide.MaxStates}, {MaxInFlight: 3, MaxGrants: 3, MaxTransfers: 1, MaxCrashes: 1, MaxFaults: 1, MaxStates: wide.MaxStates}}
		for _, wide.Without = range experiment.SearchedSafeguards {
			all = append(all, wide)
		}
		rows := make([]string, len(all))
		forEachParallel(len(all), func(i int) { rows[i] = all[i].Row(all[i].Run()) })
		_, err = fmt.Fprintln(f, strings.Join(rows, "\n"))
		return err
	}}
}

// parallel calls f with 0 to n-1, as many at once as there are processors.
func forEachParallel(n int, f func(i int)) {
	var wg sync.WaitGroup
	room := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range n {
		room <- struct{}{}
		wg.Go(func() {
			defer func() { <-room }()
			f(i)
		})
	}
	wg.Wait()
}

// handoversCommand plays handovers on real processes.
func handoversCommand() *cli.Command {
	return &cli.Command{Name: "handovers", Usage: "a duty handed over on real processes under faults, as the boxes see it", Flags: []cli.Flag{
		&cli.StringFlag{Name: "out", Usage: "`FOLDER` for handovers.md and the chart", Value: "."},
		&cli.IntFlag{Name: "handovers", Value: 200},
		&cli.IntFlag{Name: "seed", Value: 1},
		&cli.StringSliceFlag{Name: "kind", Usage: "only handovers of this kind; may be given several times", Value: handoverKinds},
		&cli.FloatFlag{Name: "tell", Usage: "print the routers' logs after a planned handover that left nobody acting for longer, `ms`", Value: 300},
		&cli.StringFlag{Name: "program", Usage: "the daemon; without it, garnetline beside this program"},
	}, Action: func(ctx context.Context, c *cli.Command) error {
		program, err := programPath(c)
		if err != nil {
			return err
		}
		dir, err := os.MkdirTemp("", "fleetlab")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		r, err := testcluster.Start(testcluster.Options{Program: program, Routers: 8, Servers: 2, Fleet: true, Voters: 5, Seed: uint64(c.Int("seed")), Dir: dir,
			FleetSettings: " more_room_after_ms = 1000\n", LeaseSettings: " lease_ms = 1000\n margin_ms = 100\n retry_ms = 100\n"})
		if err != nil {
			return err
		}
		defer r.Close()
		return handovers(r, rand.New(rand.NewPCG(uint64(c.Int("seed")), 9)), c.Int("handovers"), c.StringSlice("kind"), c.Float("tell"), c.String("out"))
	}}
}

// registerCommand plays electors and routers with some duties and with many, and a month of
// them with a tick of a second.
func leaseRegistryCommand() *cli.Command {
	return &cli.Command{Name: "register", Usage: "what duties cost the electors: questions, bytes, memory, disk", Flags: []cli.Flag{
		&cli.StringFlag{Name: "out", Usage: "`FOLDER` for register.md", Value: "."},
		&cli.FloatFlag{Name: "days", Usage: "of the long run", Value: 30},
	}, Action: func(_ context.Context, c *cli.Command) error {
		f, err := os.Create(filepath.Join(c.String("out"), "register.md"))
		if err != nil {
			return err
		}
		defer f.Close()
		fmt.Fprintf(f, "Made by `fleetlab register --days %g`: electors, routers and their register on one virtual clock, a message takes 0.3 ms and 0.3 on average on top; a duty is handed on twice a second, and in the last run, whose tick is 1 s and lease 60 s, once a minute, while a router is deaf for two leases every hour.\n\n", c.Float("days"))
		fmt.Fprintln(f, "| electors, routers, duties | hours | held at the end | from ask to grant, ms: median, p99 | handed on, ms: median, p99 | questions/s | between electors: messages/s, bytes/s | questions and answers: bytes/s | commands | syncs of a disk | its most, KB | heap of all after each eighth, MB |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		long := consensus.DefaultSettings()
		long.ElectionTicks, long.HeartbeatTicks = 30, 5
		long.TickInterval, long.Lease.TTL, long.Lease.SafetyMargin, long.Lease.RetryInterval = 1000, 60_000, 2000, 5000
		for _, x := range []struct {
			experiment.Registry
			ms float64
		}{
			{experiment.Registry{Voters: 5, Routers: 30, Leases: 10, Settings: consensus.DefaultSettings(), TransferInterval: 500}, 60_000},
			{experiment.Registry{Voters: 5, Routers: 30, Leases: 1000, Settings: consensus.DefaultSettings(), TransferInterval: 500}, 60_000},
			{experiment.Registry{Voters: 5, Routers: 300, Leases: 10, Settings: consensus.DefaultSettings(), TransferInterval: 500}, 60_000},
			{experiment.Registry{Voters: 5, Routers: 10, Leases: 10, Settings: long, TransferInterval: 60_000, AnswerLossInterval: 3_600_000}, c.Float("days") * 86_400_000},
		} {
			x.Seed = 1
			r, err := x.Run(x.ms)
			if err != nil {
				return err
			}
			fmt.Fprintln(f, x.Row(r))
		}
		return nil
	}}
}

// worthCommand compares who may ask the boxes of a location for their load, and how often.
func loadReportingCommand() *cli.Command {
	return &cli.Command{Name: "worth", Usage: "who asks the boxes for their load: nobody, everybody, one by hash, one by lease", Flags: []cli.Flag{
		&cli.StringFlag{Name: "out", Usage: "`FOLDER` for worth.md", Value: "."},
	}, Action: func(_ context.Context, c *cli.Command) error {
		f, err := os.Create(filepath.Join(c.String("out"), "worth.md"))
		if err != nil {
			return err
		}
		defer f.Close()
		fmt.Fprint(f, "Made by `fleetlab worth`: 90 virtual seconds, 20 boxes in one location, which is cut in two from 30 to 60 s; six in ten routers are on the register's side.\n\n")
		experiment.LoadReportingTable(f)
		return nil
	}}
}

// returnsCommand has a box fail and come back, before routers that try it again each by
// itself, and before routers of which one tries it first.
func recoveryProbeCommand() *cli.Command {
	return &cli.Command{Name: "returns", Usage: "a box that comes back, with one router that tries it first and without", Flags: []cli.Flag{
		&cli.StringFlag{Name: "out", Usage: "`FOLDER` for returns.md", Value: "."},
		&cli.IntSliceFlag{Name: "routers", Value: []int{8, 30}},
		&cli.IntFlag{Name: "times", Usage: "the box fails and comes back", Value: 3},
		&cli.StringFlag{Name: "program", Usage: "the daemon; without it, garnetline beside this program"},
	}, Action: func(_ context.Context, c *cli.Command) error {
		program, err := programPath(c)
		if err != nil {
			return err
		}
		f, err := os.Create(filepath.Join(c.String("out"), "returns.md"))
		if err != nil {
			return err
		}
		defer f.Close()
		fmt.Fprintf(f, "Made by `fleetlab returns --times %d`: processes on one machine, 3 boxes, 160 requests a second in all, one box fails for 4 s; `routers_per_s = 10`.\n\n", c.Int("times"))
		fmt.Fprintln(f, "| routers | the duty | requests at the box in the first 0.1 s, 1 s from the first try | all in again after, s | without one whole answer |\n| --- | --- | --- | --- | --- |")
		for _, n := range c.IntSlice("routers") {
			for _, on := range []bool{false, true} {
				row, err := returns(program, n, c.Int("times"), on)
				if err != nil {
					return err
				}
				fmt.Fprintln(f, row)
				fmt.Fprintln(os.Stderr, row)
			}
		}
		return nil
	}}
}

func returns(program string, n, times int, on bool) (string, error) {
	dir, err := os.MkdirTemp("", "fleetlab")
	if err != nil {
		return "", err
	}
	defer os.RemoveAll(dir)
	o := testcluster.Options{Program: program, Routers: n, Servers: 3, Fleet: true, Voters: 5, Seed: 1, Dir: dir, FleetSettings: " more_room_after_ms = 1000\n"}
	if on {
		o.LeaseSettings = " first_try {\n  routers_per_s = 10\n }\n"
	}
	r, err := testcluster.Start(o)
	if err != nil {
		return "", err
	}
	defer r.Close()
	const bound = time.Minute
	if _, err := r.WaitForConvergence(bound, r.Routers...); err != nil {
		return "", err
	}
	if on {
		if _, _, err := r.WaitForHolder(bound, "first/edge", r.Routers...); err != nil {
			return "", err
		}
	}
	l := r.StartLoad(time.Duration(n)*time.Second/160, r.Routers...)
	b := r.Servers[0]
	rate := func() int { now := time.Now(); return b.RequestsBetween(now.Add(-time.Second), now) }
	part := func() (bool, string) { return rate() >= 30, fmt.Sprint(rate()) }
	var tenth, second, all []float64
	for range times {
		if _, err := r.WaitUntil("the box has its part", bound, part); err != nil {
			return "", err
		}
		b.SetFailing(true)
		time.Sleep(4 * time.Second)
		up := time.Now()
		b.SetFailing(false)
		took, err := r.WaitUntil("all are in again", bound, func() (bool, string) {
			if time.Since(up) < 1100*time.Millisecond {
				return false, ""
			}
			return part()
		})
		if err != nil {
			return "", err
		}
		first := up
		for b.RequestsBetween(up, first) == 0 {
			first = first.Add(5 * time.Millisecond)
		}
		tenth = append(tenth, float64(b.RequestsBetween(up, first.Add(100*time.Millisecond))))
		second = append(second, float64(b.RequestsBetween(up, first.Add(time.Second))))
		all = append(all, took.Seconds())
	}
	res := l.Stop()
	return fmt.Sprintf("| %d | %s | %.0f, %.0f | %.1f | %d of %d |", n, map[bool]string{true: "on", false: "off"}[on],
		experiment.Quantile(sorted(tenth), 0.5), experiment.Quantile(sorted(second), 0.5), experiment.Quantile(sorted(all), 0.5), len(res.Lost), res.Requests), nil
}

func sorted(x []float64) []float64 { slices.Sort(x); return x }

func programPath(c *cli.Command) (string, error) {
	if p := c.String("program"); p != "" {
		return p, nil
	}
	self, err := os.Executable()
	return filepath.Join(filepath.Dir(self), "garnetline"), err
}

// kinds of handovers that are played.
var handoverKinds = []string{"moved by staff", "ended in order", "killed", "stopped past its end", "cut off from all but the boxes", "cut off one way from the leader"}

// planned are those in which the holder itself hands the duty on.
var plannedKinds = handoverKinds[:2]

func handovers(r *testcluster.Cluster, rng *rand.Rand, n int, kinds []string, tell float64, out string) error {
	const duty = "probe/edge"
	const bound = 60 * time.Second
	if _, err := r.WaitForConvergence(bound, r.Routers...); err != nil {
		return err
	}
	l := r.StartLoad(50*time.Millisecond, r.Routers...)
	gaps := map[string][]float64{}
	done := 0
	for done < n {
		x, token, err := r.WaitForHolder(bound, duty, r.Running()...)
		if err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		kind := kinds[rng.IntN(len(kinds))]
		before := len(r.Servers[0].Probes())
		mend := func() error { return nil }
		switch kind {
		case "moved by staff":
			if code, b, err := x.CallAdmin("POST", "/fleet/duty/move/"+duty); code != 200 {
				if err == nil && code == 503 {
					continue // it has just lost it
				}
				return fmt.Errorf("%d %s %v", code, b, err)
			}
		case "ended in order":
			l.SetExcused(x, true)
			if err := x.Stop(); err != nil {
				return err
			}
			mend = x.Start
		case "killed":
			l.SetExcused(x, true)
			x.Kill()
			mend = x.Start
		case "stopped past its end":
			l.SetExcused(x, true)
			x.Pause()
			mend = x.Resume
		default:
			for _, y := range r.Routers {
				if p, err := y.Leases(); y != x && (kind != "cut off one way from the leader" || err == nil && p.Register.Leading) {
					r.Proxy.Set(x.ProxyName(), y.ProxyName(), faultproxy.Fault{Partitioned: true})
					if kind != "cut off one way from the leader" {
						r.Proxy.Set(y.ProxyName(), x.ProxyName(), faultproxy.Fault{Partitioned: true})
					}
				}
			}
			mend = func() error { r.Proxy.Heal(); return nil }
		}
		wait := 15 * time.Second
		if kind == "cut off one way from the leader" { // the others may get round it: then there is nothing to wait for
			wait = 3 * time.Second
		}
		if _, err := r.WaitUntil("another acts", wait, func() (bool, string) {
			a := r.Servers[0].Probes()
			return len(a) > before && a[len(a)-1].Token > token, kind
		}); err != nil && kind != "cut off one way from the leader" { // which others may get round
			return err
		}
		if err := mend(); err != nil {
			return err
		}
		if _, err := r.WaitForConvergence(bound, r.Routers...); err != nil {
			return err
		}
		l.SetExcused(x, false)
		acts := r.Servers[0].Probes()
		for i := max(1, before); i < len(acts); i++ {
			if acts[i].Token > acts[i-1].Token {
				done++
				gap := float64(acts[i].ReceivedAt.Sub(acts[i-1].ReceivedAt).Microseconds()) / 1000
				gaps[kind] = append(gaps[kind], gap)
				if gap > tell && slices.Contains(plannedKinds, kind) {
					fmt.Fprintf(os.Stderr, "%s: from token %d at %v to %d at %v, %.0f ms\n%s\n", kind, acts[i-1].Token, acts[i-1].ReceivedAt.UnixMilli(), acts[i].Token, acts[i].ReceivedAt.UnixMilli(), gap, r.Logs(6))
				}
			}
		}
		fmt.Fprintf(os.Stderr, "%d of %d: %s\n", done, n, kind)
	}
	res := l.Stop()
	f, err := os.Create(filepath.Join(out, "handovers.md"))
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprintf(f, "Made by `fleetlab handovers`: 8 processes, 5 electors, lease 1 s, margin 0.1 s; acts as a box saw them, a probe each 20 ms.\n\n")
	fmt.Fprintln(f, "| the holder | handovers | nobody acted, ms: median | p90 | most |\n| --- | --- | --- | --- | --- |")
	for _, k := range kinds {
		slices.Sort(gaps[k])
		fmt.Fprintf(f, "| %s | %d | %.0f | %.0f | %.0f |\n", k, len(gaps[k]), experiment.Quantile(gaps[k], 0.5), experiment.Quantile(gaps[k], 0.9), experiment.Quantile(gaps[k], 1))
	}
	broken := "none"
	for _, b := range r.Servers {
		if _, err := b.Handovers(); err != nil {
			broken = err.Error()
		}
	}
	fmt.Fprintf(f, "\n%d handovers, acts after one of a later token: %s. %d requests of clients meanwhile, %d without one whole answer, %d served, p50 %.1f ms, p99 %.1f ms.\n",
		done, broken, res.Requests, len(res.Lost), res.Statuses[200], float64(res.P50.Microseconds())/1000, float64(res.P99.Microseconds())/1000)
	fmt.Fprintf(f, "\nAt the routers that ran to the end: %d packets dropped for the bounds of a second, %d suspicions of them refuted, of %d packets.\n",
		sumFleetCounter(r, "over_budget"), sumFleetCounter(r, "refuted"), sumFleetCounter(r, "packets_out"))
	for _, x := range res.Lost {
		fmt.Fprintln(os.Stderr, x)
	}
	return experiment.GapChart(filepath.Join(out, "handovers.svg"), kinds, gaps)
}

// figure is the sum of one of the fleet's counters over the routers that run.
func sumFleetCounter(r *testcluster.Cluster, name string) (sum int) {
	for _, x := range r.Running() {
		_, b, _ := x.CallAdmin("GET", "/metrics")
		for line := range strings.Lines(string(b)) {
			var n int
			if v, ok := strings.CutPrefix(line, "app_fleet_"+name+"_total "); ok {
				fmt.Sscan(v, &n)
				sum += n
			}
		}
	}
	return sum
}
