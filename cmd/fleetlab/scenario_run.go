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
	// pollInterval is the time between two looks at the routers' views.
	pollInterval = 100 * time.Millisecond

	// lastViewTime is how long views are printed after the last operation.
	lastViewTime = 5 * time.Second
)

// scenarioRun plays a scenario on a cluster and prints what its routers see.
type scenarioRun struct {
	cluster   *testcluster.Cluster
	remaining []operation
	startedAt time.Time
	endAt     time.Duration     // since the start, unless an operation ends the run before
	ended     bool              // by an operation
	printed   map[string]string // the latest view that was printed of a router, by its proxy name
}

func newScenarioRun(cluster *testcluster.Cluster, played scenario) *scenarioRun {
	last := played.operations[len(played.operations)-1]
	return &scenarioRun{
		cluster:   cluster,
		remaining: played.operations[1:], // the first starts the routers, which run
		startedAt: time.Now(),
		endAt:     last.at + lastViewTime,
		printed:   map[string]string{},
	}
}

// play runs until the scenario has ended or ctx is canceled, which is not an error.
func (r *scenarioRun) play(ctx context.Context) error {
	fmt.Printf("%d routers started; the admin API of the first is http://%s/fleet\n", len(r.cluster.Routers), r.cluster.Routers[0].AdminAddr)
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

// applyDueOperations carries out the operations whose time has come.
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

// printChangedViews prints the views that are not as they were printed before.
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

// describeView describes how a router sees the fleet.
func describeView(router *testcluster.Router) string {
	if !router.Running() {
		return "is not running"
	}
	status, err := router.Status()
	if err != nil {
		return "does not answer"
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
