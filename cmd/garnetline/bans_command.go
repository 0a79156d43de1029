package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os/user"
	"slices"

	"github.com/urfave/cli/v3"

	"garnetline/internal/fleet/bans"
)

// newBansCommand returns the commands that show and change the bans in the lease registry.
func newBansCommand(out io.Writer, flags []cli.Flag) *cli.Command {
	changeFlags := append(slices.Clone(flags),
		&cli.StringFlag{Name: "who", Usage: "`NAME` of the operator, stored with the ban; default: the name of the current user"},
		&cli.StringFlag{Name: "why", Usage: "`REASON`, stored with the ban"},
		&cli.Uint64Flag{Name: "version", Usage: "change the ban only if its current version is `VERSION`; 0 changes any version"})
	change := func(operation string) cli.ActionFunc {
		return func(ctx context.Context, command *cli.Command) error { return changeBan(ctx, command, out, operation) }
	}
	return &cli.Command{Name: "bans", Usage: "list the servers that operators disabled according to the lease registry, with who, when and why", Flags: flags,
		Action: func(ctx context.Context, command *cli.Command) error { return showBans(ctx, command, out) },
		Commands: []*cli.Command{
			{Name: "disable", ArgsUsage: "BOX", Flags: changeFlags, Usage: "disable a server: at the called router at once, at the others soon after", Action: change("disable")},
			{Name: "enable", ArgsUsage: "BOX", Flags: changeFlags, Usage: "enable a server again, once the voters have committed the change", Action: change("enable")},
		}}
}

// changeBan disables or enables the server that the command's first argument names. The operation
// is "disable" or "enable".
func changeBan(ctx context.Context, command *cli.Command, out io.Writer, operation string) error {
	server := command.Args().First()
	if server == "" {
		return fmt.Errorf("fleet bans %s: missing argument BOX", operation)
	}
	setBy := command.String("who")
	if setBy == "" {
		if current, err := user.Current(); err == nil {
			setBy = current.Username
		}
	}
	path := fmt.Sprintf("/fleet/bans/%s/%s/%d/%s/%s", operation, url.PathEscape(server), command.Uint64("version"),
		url.PathEscape(setBy), url.PathEscape(command.String("why")))
	return postAdmin(ctx, command, out, path)
}

// showBans prints the bans that the called router knows of.
func showBans(ctx context.Context, command *cli.Command, out io.Writer) error {
	return showPage(ctx, command, out, "/fleet/bans", printBans)
}

func printBans(out io.Writer, status *bans.Status) error {
	table := newTable(out)
	if status.ReadAt == 0 {
		table.linef("register\tnot read yet")
	} else {
		table.linef("register\tas of %s", formatTime(status.ReadAt))
	}
	table.linef("BOX\tIS\tHERE\tSINCE\tWHO\tWHY\tVERSION")
	for _, ban := range status.Bans {
		disabledHere := slices.Contains(status.DisabledHere, ban.Server)
		table.linef("%s\t%s\t%s\t%s\t%s\t%s\t%d", ban.Server, inOrOut(ban.Disabled), inOrOut(disabledHere),
			formatTime(ban.SetAt), ban.SetBy, ban.Reason, ban.Version)
	}
	for _, server := range status.DisabledHere {
		registered := slices.ContainsFunc(status.Bans, func(ban bans.Ban) bool { return ban.Server == server })
		if !registered {
			table.linef("%s\tnot filed yet\tout\t-\t-\t-\t-", server)
		}
	}
	return table.flush()
}

// inOrOut returns the word that the table shows for a server: "out" if the server is disabled, "in"
// otherwise.
func inOrOut(disabled bool) string {
	if disabled {
		return "out"
	}
	return "in"
}
