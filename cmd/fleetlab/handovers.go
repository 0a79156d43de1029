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
	// probeLease is the lease that is handed over. Only its holder sends probes to the servers of
	// the cluster's zone.
	probeLease = "probe/edge"

	// shortLeaseSettings are lines of the lease block of the settings file. With them, a handover
	// after a crash takes about a second.
	shortLeaseSettings = " lease_ms = 1000\n margin_ms = 100\n retry_ms = 100\n"

	// handoverLoadInterval is the time between two requests of a client; each router has one client.
	handoverLoadInterval = 50 * time.Millisecond

	// maxHandoverPause bounds the random delay between finding the holder and injecting a fault.
	// The delay lets faults occur at any phase of a lease.
	maxHandoverPause = 400 * time.Millisecond

	// handoverRandomStream is the second half of the seed of the random number generator. The value
	// of the flag --seed is the first half.
	handoverRandomStream = 9

	// loggedLines is the number of lines of each router's log that are printed for a slow handover.
	loggedLines = 6
)

// handoversCommand measures handovers of a lease between real router processes.
func handoversCommand() *cli.Command {
	return &cli.Command{
		Name:  "handovers",
		Usage: "measure handovers of a lease between real processes under faults, as the servers see them",
		Flags: []cli.Flag{
			outFlag("handovers.md and the chart"),
			&cli.IntFlag{Name: "handovers", Value: 200},
			&cli.IntFlag{Name: "seed", Value: 1},
			&cli.StringSliceFlag{Name: "kind", Usage: "kind of handover to cause; may be given several times", Value: handoverKindNames()},
			&cli.FloatFlag{Name: "tell", Usage: "print the routers' logs after a planned handover in which no router probed for more than `ms`", Value: 300},
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
		LeaseSettings: shortLeaseSettings,
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
		if err := run.execute(); err != nil {
			return err
		}
		return run.writeResults(command.String("out"))
	})
}

// handoverRun causes handovers of a lease. It measures for how long no router held the lease: the
// time between the arrivals, at one server, of the last probe from one holder and of the first probe
// from the next holder.
type handoverRun struct {
	cluster     *testcluster.Cluster
	rng         *rand.Rand
	kinds       []handoverKind // the kind of each handover is drawn from these
	handovers   int            // number of handovers to cause
	slowPlanned float64        // ms; the logs are printed for planned handovers with a longer gap

	load    *testcluster.Load
	done    int                  // number of handovers observed so far
	gaps    map[string][]float64 // ms between the probes of two consecutive holders, by name of the kind of handover
	clients testcluster.Result   // results of the clients' requests during the run
}

// probes returns the probes that the first server received so far. Handovers are measured from these
// probes.
func (r *handoverRun) probes() []testcluster.Probe { return r.cluster.Servers[0].Probes() }

func (r *handoverRun) execute() error {
	if err := r.awaitConvergence(); err != nil {
		return err
	}
	r.load = r.cluster.StartLoad(handoverLoadInterval, r.cluster.Routers...)
	for r.done < r.handovers {
		if err := r.causeHandover(); err != nil {
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

// causeHandover injects a fault at the lease holder, waits for the next holder and repairs the
// fault.
func (r *handoverRun) causeHandover() error {
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
		return nil // the lease has moved in the meantime; the next call finds the new holder
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
	r.load.SetExcluded(holder, false)
	r.recordGaps(kind, probesBefore)
	fmt.Fprintf(os.Stderr, "observed %d of %d handovers; latest fault: %s\n", r.done, r.handovers, kind.name)
	return nil
}

// awaitNextHolder waits for a probe with a later fencing token than the given token. If the handover
// is optional, a timeout is not an error.
func (r *handoverRun) awaitNextHolder(kind handoverKind, probesBefore int, token uint64) error {
	laterToken := func() (bool, string) {
		probes := r.probes()
		return len(probes) > probesBefore && probes[len(probes)-1].FencingToken > token, kind.name
	}
	_, err := r.cluster.WaitUntil("another router sends probes", kind.timeout, laterToken)
	if kind.optional {
		return nil
	}
	return err
}

// recordGaps records the handovers that the probes since a fault show. For slow planned handovers,
// it prints the routers' logs.
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

// printSlowHandover prints a slow handover and the routers' logs to standard error.
func (r *handoverRun) printSlowHandover(kind handoverKind, last, first testcluster.Probe) {
	fmt.Fprintf(os.Stderr, "slow handover (%s): last probe with fencing token %d at %v, first probe with token %d at %v (Unix times in ms), %.0f ms between them\n%s\n", kind.name,
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
	table.printf("Made by `fleetlab handovers`: 8 processes, 5 voters, lease 1 s, margin 0.1 s; a server observes the holders by their probes, one each 20 ms.\n\n")
	table.println("| kind | handovers | no holder probed, ms: median | p90 | maximum |")
	table.println("| --- | --- | --- | --- | --- |")
	for _, kind := range r.kinds {
		gaps := r.gaps[kind.name]
		table.printf("| %s | %d | %.0f | %.0f | %.0f |\n", kind.name, len(gaps),
			experiment.Quantile(gaps, 0.5), experiment.Quantile(gaps, 0.9), experiment.Quantile(gaps, 1))
	}
	table.printf("\n%d handovers, probes received after one with a later fencing token: %s. %d requests of clients in this time, %d without a complete response, %d served, p50 %.1f ms, p99 %.1f ms.\n",
		r.done, r.describeViolation(), r.clients.Requests, len(r.clients.Lost), r.clients.Statuses[http.StatusOK],
		milliseconds(r.clients.P50), milliseconds(r.clients.P99))
	overBudget, overBudgetErr := sumFleetCounter(r.cluster, "over_budget")
	refuted, refutedErr := sumFleetCounter(r.cluster, "refuted")
	sent, sentErr := sumFleetCounter(r.cluster, "packets_out")
	table.printf("\nAt the routers that ran to the end: %d packets dropped by the rate limit, %d suspicions of these routers refuted, %d packets sent.\n",
		overBudget, refuted, sent)
	return errors.Join(overBudgetErr, refutedErr, sentErr)
}

// describeViolation describes a probe that a server received after a probe with a later fencing
// token. It returns "none" if there is no such probe.
func (r *handoverRun) describeViolation() string {
	violation := "none"
	for _, server := range r.cluster.Servers {
		if _, err := server.Handovers(); err != nil {
			violation = err.Error()
		}
	}
	return violation
}

// sumFleetCounter returns the sum of a fleet counter over the running routers.
func sumFleetCounter(cluster *testcluster.Cluster, name string) (int, error) {
	sum := 0
	prefix := "app_fleet_" + name + "_total "
	for _, router := range cluster.Running() {
		_, metrics, err := router.CallAdmin(http.MethodGet, "/metrics")
		if err != nil {
			return 0, fmt.Errorf("reading metrics of router %s: %w", router.Name, err)
		}
		for line := range strings.Lines(string(metrics)) {
			text, found := strings.CutPrefix(line, prefix)
			if !found {
				continue
			}
			value, err := strconv.Atoi(strings.TrimSpace(text))
			if err != nil {
				return 0, fmt.Errorf("parsing metrics of router %s: fleet counter %s: %w", router.Name, name, err)
			}
			sum += value
		}
	}
	return sum, nil
}
