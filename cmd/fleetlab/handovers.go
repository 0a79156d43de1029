package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"garnetline/internal/experiment"
	"garnetline/internal/testcluster"
)

const (
	// probeLease is the lease that is handed over: its holder sends probes to the servers of
	// the cluster's zone, and a router without it sends none.
	probeLease = "probe/edge"

	// shortLeases are lines of the operators' block of leases, so that a handover after a crash
	// takes about a second.
	shortLeases = " lease_ms = 1000\n margin_ms = 100\n retry_ms = 100\n"

	// handoverLoadInterval is the time between two requests of a client; each router has one.
	handoverLoadInterval = 50 * time.Millisecond

	// maxHandoverPause bounds the random time between a holder's first sight and its fault, so
	// that faults come at any phase of a lease.
	maxHandoverPause = 400 * time.Millisecond

	// handoverRandomStream selects the stream of the generator; the flag seed is the other half
	// of its state.
	handoverRandomStream = 9

	// loggedLines is how many lines of each router's log are printed for a slow handover.
	loggedLines = 6
)

// handoversCommand measures handovers of a lease between real processes.
func handoversCommand() *cli.Command {
	return &cli.Command{
		Name:  "handovers",
		Usage: "a lease handed over between real processes under faults, as the servers see it",
		Flags: []cli.Flag{
			outFlag("handovers.md and the chart"),
			&cli.IntFlag{Name: "handovers", Value: 200},
			&cli.IntFlag{Name: "seed", Value: 1},
			&cli.StringSliceFlag{Name: "kind", Usage: "only handovers of this kind; may be given several times", Value: handoverKindNames()},
			&cli.FloatFlag{Name: "tell", Usage: "print the routers' logs after a planned handover during which nobody probed for longer, `ms`", Value: 300},
			programFlag(),
		},
		Action: measureHandovers,
	}
}

func measureHandovers(_ context.Context, command *cli.Command) error {
	program, err := programPath(command)
	if err != nil {
		return err
	}
	kinds, err := findHandoverKinds(command.StringSlice("kind"))
	if err != nil {
		return err
	}
	seed := uint64(command.Int("seed"))
	options := testcluster.Options{
		Program:       program,
		Routers:       8,
		Servers:       2,
		Fleet:         true,
		Voters:        5,
		Seed:          seed,
		FleetSettings: shortConnectivityDelay,
		LeaseSettings: shortLeases,
	}
	return withCluster(options, func(cluster *testcluster.Cluster) error {
		run := &handoverRun{
			cluster:     cluster,
			rng:         rand.New(rand.NewPCG(seed, handoverRandomStream)),
			kinds:       kinds,
			handovers:   command.Int("handovers"),
			slowPlanned: command.Float("tell"),
			gaps:        map[string][]float64{},
		}
		if err := run.play(); err != nil {
			return err
		}
		return run.writeResults(command.String("out"))
	})
}

// handoverRun causes handovers of a lease, and measures from the probes that a server received
// for how long nobody held it.
type handoverRun struct {
	cluster     *testcluster.Cluster
	rng         *rand.Rand
	kinds       []handoverKind // each handover is of one of these, by chance
	handovers   int            // wanted
	slowPlanned float64        // ms without a probe from which a planned handover is explained

	load    *testcluster.Load
	done    int                  // handovers seen
	gaps    map[string][]float64 // ms between the probes of two holders, by name of the kind
	clients testcluster.Result
}

// probes returns what the server at which handovers are measured received so far.
func (r *handoverRun) probes() []testcluster.Probe { return r.cluster.Servers[0].Probes() }

func (r *handoverRun) play() error {
	if err := r.awaitConvergence(); err != nil {
		return err
	}
	r.load = r.cluster.StartLoad(handoverLoadInterval, r.cluster.Routers...)
	for r.done < r.handovers {
		if err := r.playHandover(); err != nil {
			return err
		}
	}
	r.clients = r.load.Stop()
	return nil
}

func (r *handoverRun) awaitConvergence() error {
	_, err := r.cluster.WaitForConvergence(convergenceTimeout, r.cluster.Routers...)
	return err
}

// playHandover disturbs the lease holder, waits for the next one and repairs what it did.
func (r *handoverRun) playHandover() error {
	holder, token, err := r.cluster.WaitForHolder(convergenceTimeout, probeLease, r.cluster.Running()...)
	if err != nil {
		return err
	}
	pause := r.rng.IntN(int(maxHandoverPause / time.Millisecond))
	time.Sleep(time.Duration(pause) * time.Millisecond)
	kind := r.kinds[r.rng.IntN(len(r.kinds))]
	probesBefore := len(r.probes())
	repair, err := kind.disturb(r, holder)
	if errors.Is(err, errNotHolder) {
		return nil // the lease moved by itself in the meantime: the next call finds its new holder
	}
	if err != nil {
		return err
	}
	if err := r.awaitNextHolder(kind, probesBefore, token); err != nil {
		return err
	}
	if err := repair(); err != nil {
		return err
	}
	if err := r.awaitConvergence(); err != nil {
		return err
	}
	r.load.SetExcused(holder, false)
	r.recordGaps(kind, probesBefore)
	fmt.Fprintf(os.Stderr, "%d of %d: %s\n", r.done, r.handovers, kind.name)
	return nil
}

// awaitNextHolder waits for a probe with a later fencing token.
func (r *handoverRun) awaitNextHolder(kind handoverKind, probesBefore int, token uint64) error {
	laterToken := func() (bool, string) {
		probes := r.probes()
		return len(probes) > probesBefore && probes[len(probes)-1].FencingToken > token, kind.name
	}
	_, err := r.cluster.WaitUntil("another router probes", kind.timeout, laterToken)
	if kind.optional {
		return nil
	}
	return err
}

// recordGaps records the handovers among the probes since a fault, and explains slow ones.
func (r *handoverRun) recordGaps(kind handoverKind, probesBefore int) {
	probes := r.probes()
	for i := max(1, probesBefore); i < len(probes); i++ {
		last, first := probes[i-1], probes[i]
		if first.FencingToken <= last.FencingToken {
			continue
		}
		r.done++
		gap := milliseconds(first.ReceivedAt.Sub(last.ReceivedAt))
		r.gaps[kind.name] = append(r.gaps[kind.name], gap)
		if kind.planned && gap > r.slowPlanned {
			r.printSlowHandover(kind, last, first)
		}
	}
}

// printSlowHandover prints the routers' logs after a handover that took long.
func (r *handoverRun) printSlowHandover(kind handoverKind, last, first testcluster.Probe) {
	fmt.Fprintf(os.Stderr, "%s: from token %d at %v to %d at %v, %.0f ms\n%s\n", kind.name,
		last.FencingToken, last.ReceivedAt.UnixMilli(), first.FencingToken, first.ReceivedAt.UnixMilli(),
		milliseconds(first.ReceivedAt.Sub(last.ReceivedAt)), r.cluster.Logs(loggedLines))
}

// writeResults writes the table and the chart into a folder.
func (r *handoverRun) writeResults(folder string) error {
	printLost(r.clients)
	var names []string
	for _, kind := range r.kinds {
		names = append(names, kind.name)
		slices.Sort(r.gaps[kind.name])
	}
	return errors.Join(
		writeReport(folder, "handovers.md", r.writeTable),
		experiment.GapChart(filepath.Join(folder, "handovers.svg"), names, r.gaps),
	)
}

func (r *handoverRun) writeTable(table *report) error {
	table.printf("Made by `fleetlab handovers`: 8 processes, 5 electors, lease 1 s, margin 0.1 s; acts as a box saw them, a probe each 20 ms.\n\n")
	table.println("| the holder | handovers | nobody acted, ms: median | p90 | most |")
	table.println("| --- | --- | --- | --- | --- |")
	for _, kind := range r.kinds {
		gaps := r.gaps[kind.name]
		table.printf("| %s | %d | %.0f | %.0f | %.0f |\n", kind.name, len(gaps),
			experiment.Quantile(gaps, 0.5), experiment.Quantile(gaps, 0.9), experiment.Quantile(gaps, 1))
	}
	table.printf("\n%d handovers, acts after one of a later token: %s. %d requests of clients meanwhile, %d without one whole answer, %d served, p50 %.1f ms, p99 %.1f ms.\n",
		r.done, r.describeViolation(), r.clients.Requests, len(r.clients.Lost), r.clients.Statuses[http.StatusOK],
		milliseconds(r.clients.P50), milliseconds(r.clients.P99))
	overBudget, overBudgetErr := sumFleetCounter(r.cluster, "over_budget")
	refuted, refutedErr := sumFleetCounter(r.cluster, "refuted")
	sent, sentErr := sumFleetCounter(r.cluster, "packets_out")
	table.printf("\nAt the routers that ran to the end: %d packets dropped for the bounds of a second, %d suspicions of them refuted, of %d packets.\n",
		overBudget, refuted, sent)
	return errors.Join(overBudgetErr, refutedErr, sentErr)
}

// describeViolation describes a probe that a server received after one with a later fencing
// token.
func (r *handoverRun) describeViolation() string {
	violation := "none"
	for _, server := range r.cluster.Servers {
		if _, err := server.Handovers(); err != nil {
			violation = err.Error()
		}
	}
	return violation
}

// sumFleetCounter returns the sum of one of the fleet's metrics over the routers that run.
func sumFleetCounter(cluster *testcluster.Cluster, name string) (int, error) {
	sum := 0
	prefix := "app_fleet_" + name + "_total "
	for _, router := range cluster.Running() {
		_, metrics, err := router.CallAdmin(http.MethodGet, "/metrics")
		if err != nil {
			return 0, fmt.Errorf("metrics of %s: %w", router.Name, err)
		}
		for line := range strings.Lines(string(metrics)) {
			text, found := strings.CutPrefix(line, prefix)
			if !found {
				continue
			}
			value, err := strconv.Atoi(strings.TrimSpace(text))
			if err != nil {
				return 0, fmt.Errorf("metrics of %s: %s: %w", router.Name, name, err)
			}
			sum += value
		}
	}
	return sum, nil
}
