package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os/user"
	"slices"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"garnetline/internal/fleet/bans"
)

// bansCommand shows and sets the bans that the register keeps.
func bansCommand(out io.Writer, flags []cli.Flag) *cli.Command {
	more := append(slices.Clone(flags),
		&cli.StringFlag{Name: "who", Usage: "`NAME` that is kept with it; without it, the user's"},
		&cli.StringFlag{Name: "why", Usage: "`REASON` that is kept with it"},
		&cli.Uint64Flag{Name: "version", Usage: "`VERSION` that must still hold; without it, whatever holds is replaced"})
	set := func(what string) func(context.Context, *cli.Command) error {
		return func(_ context.Context, c *cli.Command) error {
			box := c.Args().First()
			if box == "" {
				return fmt.Errorf("fleet bans %s: BOX: missing", what)
			}
			who := c.String("who")
			if who == "" {
				if u, err := user.Current(); err == nil {
					who = u.Username
				}
			}
			return order(c, out, fmt.Sprintf("/fleet/bans/%s/%s/%d/%s/%s", what, url.PathEscape(box), c.Uint64("version"), url.PathEscape(who), url.PathEscape(c.String("why"))))
		}
	}
	return &cli.Command{Name: "bans", Usage: "what staff took out, as the register keeps it, with who, when and why", Flags: flags,
		Action: func(_ context.Context, c *cli.Command) error {
			text, err := call(c, "GET", "/fleet/bans")
			if err != nil {
				return err
			}
			if c.Bool("json") {
				_, err := out.Write(text)
				return err
			}
			p := bans.Status{}
			if err := json.Unmarshal(text, &p); err != nil {
				return err
			}
			return showBans(out, &p)
		}, Commands: []*cli.Command{
			{Name: "disable", ArgsUsage: "BOX", Flags: more, Usage: "take a box out: holds here at once, everywhere soon", Action: set("disable")},
			{Name: "enable", ArgsUsage: "BOX", Flags: more, Usage: "let a box back in, once the electors agree", Action: set("enable")},
		}}
}

func showBans(out io.Writer, p *bans.Status) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if p.ReadAt == 0 {
		fmt.Fprintln(t, "register\tnot read yet")
	} else {
		fmt.Fprintf(t, "register\tas of %s\n", stamp(p.ReadAt))
	}
	fmt.Fprintln(t, "BOX\tIS\tHERE\tSINCE\tWHO\tWHY\tVERSION")
	for _, b := range p.Bans {
		is, here := "in", "in"
		if b.Disabled {
			is = "out"
		}
		if slices.Contains(p.DisabledHere, b.Server) {
			here = "out"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%d\n", b.Server, is, here, stamp(b.SetAt), b.SetBy, b.Reason, b.Version)
	}
	for _, box := range p.DisabledHere {
		if !slices.ContainsFunc(p.Bans, func(b bans.Ban) bool { return b.Server == box }) {
			fmt.Fprintf(t, "%s\tnot filed yet\tout\t-\t-\t-\t-\n", box)
		}
	}
	return t.Flush()
}
