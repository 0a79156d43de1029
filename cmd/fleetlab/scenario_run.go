package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"garnetline/internal/fleet"
	"garnetline/internal/fleet/membership"
	"garnetline/internal/testcluster"
)

const (
	// pollInterval is the time between two reads of the routers' views.
	pollInterval = 100 * time.Millisecond

	// lastViewTime is the time after the last operation in which changed views are still printed.
	lastViewTime = 5 * time.Second
)

// scenarioRun runs a scenario on a cluster and prints the routers' views of the fleet.
type scenarioRun struct {
	cluster   *testcluster.Cluster
	remaining []operation
	startedAt time.Time
	endAt     time.Duration     // time from startedAt to the end of the run; an operation with the verb "end" may end the run earlier
	ended     bool              // an operation with the verb "end" has ended the run
	printed   map[string]string // the last printed view of each router, by proxy name
}

func newScenarioRun(cluster *testcluster.Cluster, parsed scenario) *scenarioRun {
	last := parsed.operations[len(parsed.operations)-1]
	return &scenarioRun{
		cluster:   cluster,
		remaining: parsed.operations[1:], // the first operation starts the routers, which are already running
		startedAt: time.Now(),
		endAt:     last.at + lastViewTime,
		printed:   map[string]string{},
	}
}

// execute runs the scenario until it has ended or ctx is canceled. Cancellation is not an error.
func (r *scenarioRun) execute(ctx context.Context) error {
	fmt.Printf("%d routers started; fleet status of the first: http://%s/fleet\n", len(r.cluster.Routers), r.cluster.Routers[0].AdminAddr)
	for !r.finished() {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pollInterval):
		}
		r.printChangedViews()
		if err := r.applyDueOperations(); err != nil {
			return err
		}
	}
	return nil
}

func (r *scenarioRun) elapsed() time.Duration { return time.Since(r.startedAt) }

func (r *scenarioRun) finished() bool {
	return r.ended || len(r.remaining) == 0 && r.elapsed() > r.endAt
}

// applyDueOperations applies the operations that are due.
func (r *scenarioRun) applyDueOperations() error {
	for len(r.remaining) > 0 && r.remaining[0].at <= r.elapsed() {
		due := r.remaining[0]
		r.remaining = r.remaining[1:]
		if due.verb == verbEnd {
			r.ended = true
			return nil
		}
		fmt.Printf("%6.1f s  ==> %s\n", r.elapsed().Seconds(), due.text)
		if err := actions[due.verb].apply(r.cluster, due.arguments); err != nil {
			return fmt.Errorf("%s: %w", due.text, err)
		}
	}
	return nil
}

// printChangedViews prints the view of each router whose view changed since it was last printed.
func (r *scenarioRun) printChangedViews() {
	at := r.elapsed()
	for _, router := range r.cluster.Routers {
		view := describeView(router)
		if r.printed[router.ProxyName()] == view {
			continue
		}
		r.printed[router.ProxyName()] = view
		fmt.Printf("%6.1f s  %s %s\n", at.Seconds(), router.Name, view)
	}
}

// describeView describes a router's view of the fleet in one line.
func describeView(router *testcluster.Router) string {
	if !router.Running() {
		return "is not running"
	}
	status, err := router.Status()
	if err != nil {
		return "does not respond"
	}
	return describeStatus(status)
}

func describeStatus(status *fleet.Status) string {
	namesByState := map[string][]string{}
	for _, member := range status.Members {
		namesByState[member.State] = append(namesByState[member.State], member.Name)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%-8s sees %d of %d", status.Connectivity, status.Present, status.Known)
	for _, state := range []membership.State{membership.Suspect, membership.Failed, membership.Left} {
		if names := namesByState[state.String()]; len(names) > 0 {
			fmt.Fprintf(&text, ", %s: %s", state, strings.Join(names, " "))
		}
	}
	if len(status.Bans) > 0 {
		fmt.Fprintf(&text, ", banned: %s", strings.Join(status.Bans, " "))
	}
	return text.String()
}
