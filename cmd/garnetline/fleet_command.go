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

// newFleetCommand returns the commands that show and change the fleet of a running router
// through the router's admin API. They print to out.
func newFleetCommand(out io.Writer) *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "mgmt", Usage: "`ADDRESS` of the router's admin API; default: EDGE_MGMT, else the address in the configuration"},
		&cli.StringFlag{Name: "config", Usage: "configuration `FILE` with the address of the admin API; default: the file that EDGE_CONFIG names"},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}
	return &cli.Command{Name: "fleet", Usage: "show and change the fleet of a running router", Commands: []*cli.Command{
		{Name: "status", Usage: "show the router's connectivity state, and how many routers are present", Flags: flags,
			Action: func(ctx context.Context, command *cli.Command) error {
				return showFleet(ctx, command, out, printFleetStatus)
			}},
		{Name: "members", Usage: "print a line for each router of the fleet", Flags: flags,
			Action: func(ctx context.Context, command *cli.Command) error {
				return showFleet(ctx, command, out, printMembers)
			}},
		{Name: "watch", Usage: "print a line for each change in the fleet, until interrupted", Flags: flags,
			Action: func(ctx context.Context, command *cli.Command) error {
				ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
				defer stop()
				return watchFleet(ctx, command, out)
			}},
		{Name: "duties", Usage: "show who holds which lease, and the state of the lease registry at the called router", Flags: flags,
			Action: func(ctx context.Context, command *cli.Command) error { return showLeases(ctx, command, out) }},
		{Name: "duty", Usage: "transfer a lease", Commands: []*cli.Command{
			{Name: "move", Usage: "transfer the lease DUTY from the called router to ROUTER; default: to the router that ranks first", ArgsUsage: "DUTY [ROUTER]", Flags: flags,
				Action: func(ctx context.Context, command *cli.Command) error { return transferLease(ctx, command, out) }},
		}},
		newBansCommand(out, flags),
		newElectorCommand(out, flags),
	}}
}

// newElectorCommand returns the commands that change the voters of the lease registry.
func newElectorCommand(out io.Writer, flags []cli.Flag) *cli.Command {
	return &cli.Command{Name: "elector", Usage: "add or remove a voter of the lease registry; call the admin API of the leader", Commands: []*cli.Command{
		{Name: "add", ArgsUsage: "ROUTER", Flags: flags, Usage: "add ROUTER, whose settings file must name it as an elector; it is a learner until it has caught up",
			Action: func(ctx context.Context, command *cli.Command) error {
				return postAdmin(ctx, command, out, "/fleet/elector/add/"+command.Args().First())
			}},
		{Name: "remove", ArgsUsage: "ROUTER", Flags: flags, Usage: "remove ROUTER; remove one voter at a time",
			Action: func(ctx context.Context, command *cli.Command) error {
				return postAdmin(ctx, command, out, "/fleet/elector/remove/"+command.Args().First())
			}},
	}}
}

// showFleet prints a router's view of its fleet as a table, or as JSON with --json.
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

// fleetStatus fetches a router's view of its fleet. It returns the view both decoded and as the
// JSON text received.
func fleetStatus(ctx context.Context, command *cli.Command) (*fleet.Status, []byte, error) {
	text, err := callAdmin(ctx, command, http.MethodGet, "/fleet")
	if err != nil {
		return nil, nil, err
	}
	status := &fleet.Status{}
	if err := json.Unmarshal(text, status); err != nil {
		return nil, nil, fmt.Errorf("decode fleet status: %w", err)
	}
	return status, text, nil
}

// showLeases prints who holds which lease.
func showLeases(ctx context.Context, command *cli.Command, out io.Writer) error {
	return showPage(ctx, command, out, "/fleet/duties", printLeases)
}

// showPage prints the response of the admin API at path as a table, or as JSON with --json.
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

// transferLease asks the called router to transfer one of its leases to another router.
func transferLease(ctx context.Context, command *cli.Command, out io.Writer) error {
	lease, router := command.Args().Get(0), command.Args().Get(1)
	if lease == "" {
		return errors.New("fleet duty move: missing argument DUTY")
	}
	path := "/fleet/duty/move/" + lease
	if router != "" {
		path += "/to/" + router
	}
	return postAdmin(ctx, command, out, path)
}
