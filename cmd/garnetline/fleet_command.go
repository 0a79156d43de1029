package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"garnetline/internal/fleet"
)

// newFleetCommand returns the commands that show what a running router knows of its fleet, and
// change it, through the router's admin API.
func newFleetCommand(out io.Writer) *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "mgmt", Usage: "`ADDRESS` of the router's admin API; without it, EDGE_MGMT or the configuration's"},
		&cli.StringFlag{Name: "config", Usage: "configuration `FILE` that names the admin API; without it, what EDGE_CONFIG names"},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}
	return &cli.Command{Name: "fleet", Usage: "show what a running router knows of the others", Commands: []*cli.Command{
		{Name: "status", Usage: "the connectivity state, and how many routers there are", Flags: flags,
			Action: func(ctx context.Context, command *cli.Command) error {
				return showFleet(ctx, command, out, printFleetStatus)
			}},
		{Name: "members", Usage: "a line for each router", Flags: flags,
			Action: func(ctx context.Context, command *cli.Command) error {
				return showFleet(ctx, command, out, printMembers)
			}},
		{Name: "watch", Usage: "a line for each change, until it is ended", Flags: flags,
			Action: func(ctx context.Context, command *cli.Command) error {
				ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
				defer stop()
				return watchFleet(ctx, command, out)
			}},
		{Name: "duties", Usage: "who holds which lease, and the state of the lease registry at this router", Flags: flags,
			Action: func(ctx context.Context, command *cli.Command) error { return showLeases(ctx, command, out) }},
		{Name: "duty", Usage: "transfer a lease", Commands: []*cli.Command{
			{Name: "move", Usage: "from the router whose admin API is called to ROUTER, or to the one that ranks first", ArgsUsage: "DUTY [ROUTER]", Flags: flags,
				Action: func(ctx context.Context, command *cli.Command) error { return transferLease(ctx, command, out) }},
		}},
		newBansCommand(out, flags),
		newElectorCommand(out, flags),
	}}
}

// newElectorCommand returns the commands that change the voters of the lease registry.
func newElectorCommand(out io.Writer, flags []cli.Flag) *cli.Command {
	return &cli.Command{Name: "elector", Usage: "add a voter, or remove one, through the leader's admin API", Commands: []*cli.Command{
		{Name: "add", ArgsUsage: "ROUTER", Flags: flags, Usage: "one whose file names it among the electors; it is a learner until it has caught up",
			Action: func(ctx context.Context, command *cli.Command) error {
				return postAdmin(ctx, command, out, "/fleet/elector/add/"+command.Args().First())
			}},
		{Name: "remove", ArgsUsage: "ROUTER", Flags: flags, Usage: "one at a time",
			Action: func(ctx context.Context, command *cli.Command) error {
				return postAdmin(ctx, command, out, "/fleet/elector/remove/"+command.Args().First())
			}},
	}}
}

// showFleet prints a router's view of its fleet as a table, or as JSON.
func showFleet(ctx context.Context, command *cli.Command, out io.Writer, printTable func(io.Writer, *fleet.Status) error) error {
	status, text, err := fleetStatus(ctx, command)
	if err != nil {
		return err
	}
	if command.Bool("json") {
		_, err := out.Write(text)
		return err
	}
	return printTable(out, status)
}

// fleetStatus returns a router's view of its fleet, parsed and as it came.
func fleetStatus(ctx context.Context, command *cli.Command) (*fleet.Status, []byte, error) {
	text, err := callAdmin(ctx, command, http.MethodGet, "/fleet")
	if err != nil {
		return nil, nil, err
	}
	status := &fleet.Status{}
	if err := json.Unmarshal(text, status); err != nil {
		return nil, nil, fmt.Errorf("no status of a fleet: %w", err)
	}
	return status, text, nil
}

// showLeases prints who holds which lease.
func showLeases(ctx context.Context, command *cli.Command, out io.Writer) error {
	return showPage(ctx, command, out, "/fleet/duties", printLeases)
}

// showPage prints what the admin API answers at path as a table, or as JSON.
func showPage[Page any](ctx context.Context, command *cli.Command, out io.Writer, path string, printTable func(io.Writer, *Page) error) error {
	text, err := callAdmin(ctx, command, http.MethodGet, path)
	if err != nil {
		return err
	}
	if command.Bool("json") {
		_, err := out.Write(text)
		return err
	}
	var page Page
	if err := json.Unmarshal(text, &page); err != nil {
		return err
	}
	return printTable(out, &page)
}

// transferLease hands a lease of the router that is called to another one.
func transferLease(ctx context.Context, command *cli.Command, out io.Writer) error {
	lease, router := command.Args().Get(0), command.Args().Get(1)
	if lease == "" {
		return errors.New("fleet duty move: DUTY: missing")
	}
	path := "/fleet/duty/move/" + lease
	if router != "" {
		path += "/to/" + router
	}
	return postAdmin(ctx, command, out, path)
}
