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
		&cli.StringFlag{Name: "who", Usage: "`NAME` that is kept with it; without it, the user's"},
		&cli.StringFlag{Name: "why", Usage: "`REASON` that is kept with it"},
		&cli.Uint64Flag{Name: "version", Usage: "`VERSION` that must still hold; without it, whatever holds is replaced"})
	change := func(operation string) cli.ActionFunc {
		return func(ctx context.Context, command *cli.Command) error { return changeBan(ctx, command, out, operation) }
	}
	return &cli.Command{Name: "bans", Usage: "the servers that operators disabled, as the lease registry keeps them, with who, when and why", Flags: flags,
		Action: func(ctx context.Context, command *cli.Command) error { return showBans(ctx, command, out) },
		Commands: []*cli.Command{
			{Name: "disable", ArgsUsage: "BOX", Flags: changeFlags, Usage: "disable a server: holds here at once, everywhere soon", Action: change("disable")},
			{Name: "enable", ArgsUsage: "BOX", Flags: changeFlags, Usage: "enable a server again, once the voters agree", Action: change("enable")},
		}}
}

// changeBan disables or enables the server that the arguments name.
func changeBan(ctx context.Context, command *cli.Command, out io.Writer, operation string) error {
	server := command.Args().First()
	if server == "" {
		return fmt.Errorf("fleet bans %s: BOX: missing", operation)
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

// showBans prints the bans that a router knows of.
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

// inOrOut is how the table names a server that is enabled or disabled.
func inOrOut(disabled bool) string {
	if disabled {
		return "out"
	}
	return "in"
}
