package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"garnetline/internal/fleet"
)

// watchInterval is the time between two requests for the fleet status.
const watchInterval = 200 * time.Millisecond

// fleetView describes the state of each subject, such as a router or a banned server. The key is
// the name of the subject. watchFleet compares the views of two successive polls.
type fleetView map[string]string

// watchFleet prints the changes in a router's view of its fleet until ctx ends. It returns an
// error if the first request fails; it prints later failures as changes.
func watchFleet(ctx context.Context, command *cli.Command, out io.Writer) error {
	asJSON := command.Bool("json")
	previous := fleetView{}
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for first := true; ; first = false {
		status, text, callErr := fleetStatus(context.WithoutCancel(ctx), command)
		if callErr != nil && first {
			return callErr
		}
		current := fleetViewOf(status, callErr)
		changes := previous.changesTo(current, callErr == nil)
		if !asJSON {
			err := printChanges(out, changes)
			if err != nil {
				return err
			}
		} else if len(changes) > 0 && callErr == nil {
			err := printJSONLine(out, text)
			if err != nil {
				return err
			}
		}
		previous = current
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// fleetViewOf returns the view of status. If the request for the status failed, callErr is not nil
// and the view holds only that error.
func fleetViewOf(status *fleet.Status, callErr error) fleetView {
	view := fleetView{}
	if callErr != nil {
		view["door"] = "does not answer: " + callErr.Error()
		return view
	}
	view["stance"] = fmt.Sprintf("%s, %d of %d there", status.Connectivity, status.Present, status.Known)
	if watch := status.StaleWatch; watch != nil {
		view["change log"] = "not heard: " + watch.Reason
	}
	for i := range status.Members {
		member := &status.Members[i]
		view[member.Name+" "+member.RouterID] = fmt.Sprintf("%s, life %d at %s", member.State, member.Incarnation, member.Addr)
	}
	for _, server := range status.Bans {
		view["box "+server] = "banned"
	}
	return view
}

// changesTo returns a line for each subject whose description in current is new or differs from
// that in v. If complete is true, it also returns a line for each subject that is missing from
// current. If complete is false, a missing subject does not count as removed.
func (v fleetView) changesTo(current fleetView, complete bool) []string {
	var lines []string
	for subject, text := range current {
		if v[subject] != text {
			lines = append(lines, subject+": "+text)
		}
	}
	if !complete {
		return lines
	}
	for subject := range v {
		if _, present := current[subject]; !present {
			lines = append(lines, subject+": no more")
		}
	}
	return lines
}

func printChanges(out io.Writer, changes []string) error {
	lines := &printer{out: out}
	for _, change := range changes {
		lines.linef("%s  %s", time.Now().Format("15:04:05.000"), change)
	}
	return lines.err
}

// printJSONLine prints JSON on one line.
func printJSONLine(out io.Writer, text []byte) error {
	line, err := json.Marshal(json.RawMessage(text))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", line)
	return err
}
