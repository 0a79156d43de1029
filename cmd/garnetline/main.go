// Command garnetline is an edge router: it takes clients' requests, has the
// decision module choose a cache for each, and answers.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"garnetline/internal/fleet/connectivity"
	"garnetline/internal/frontend/dnsfront"
	"garnetline/internal/logs"
	"garnetline/internal/operatorconfig"
	"garnetline/internal/platformconfig"
)

// version is set by the linker where a release is built.
var version = "devel"

func main() {
	if err := program(os.Stdout).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "garnetline:", err)
		os.Exit(1)
	}
}

// program is the command line. What its commands print goes to out.
func program(out io.Writer) *cli.Command {
	path := &cli.StringFlag{Name: "config", Usage: "configuration `FILE`; without it, what EDGE_CONFIG names"}
	ops := &cli.StringFlag{Name: "settings", Usage: "operators' `FILE` in HCL; without it all that it could switch on is off"}
	names := &cli.StringFlag{Name: "dns", Usage: "older `FILE` of the DNS front alone; its place is the dns block of --settings"}
	return &cli.Command{
		Name:  "garnetline",
		Usage: "edge router for caches of large objects",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve until SIGTERM; SIGHUP reads the configuration again, SIGUSR1 prints the counters", Flags: []cli.Flag{path, ops, names},
				Action: func(ctx context.Context, c *cli.Command) error {
					again := func() (setup, error) { return load(c) }
					with, err := again()
					if err != nil {
						return err
					}
					return serve(ctx, with, again)
				}},
			{Name: "check", Usage: "check a configuration and say what it holds", Flags: []cli.Flag{path, ops, names},
				Action: func(_ context.Context, c *cli.Command) error { return check(c, out) }},
			traceCommand(out),
			fleetCommand(out),
			{Name: "version", Usage: "print the version",
				Action: func(context.Context, *cli.Command) error {
					fmt.Fprintln(out, "garnetline", version)
					return nil
				}},
		},
	}
}

// check says what a configuration and an operators' file hold. Where no configuration is
// named, an operators' file is checked by itself.
func check(c *cli.Command, out io.Writer) error {
	var file operatorconfig.Config
	if c.String("config") == "" && os.Getenv("EDGE_CONFIG") == "" && c.String("settings") != "" && c.String("dns") == "" {
		var err error
		if file, err = operatorconfig.Load(c.String("settings")); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: can be used\n", c.String("settings"))
	} else {
		with, err := load(c)
		if err != nil {
			return err
		}
		conf := with.conf
		file = with.file
		fmt.Fprintf(out, "%s: listens on %v, change log at %v, %d events known, %d classes\n",
			conf.Name, conf.Listen, conf.Discovery, len(conf.KnownEvents), len(conf.Settings.Classes))
	}
	if file.DNS.Enabled {
		fmt.Fprintf(out, "DNS front: %s at %s\n", file.DNS.Zone, file.DNS.Listen)
	}
	if file.Fleet.Enabled {
		fmt.Fprintf(out, "fleet %s: listens on %s, joins at %d addresses, %d keys\n", file.Fleet.Name, file.Fleet.Listen, len(file.Fleet.Join), len(file.Fleet.Keys))
		t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "\ttogether\tpartial\talone")
		for _, r := range connectivity.Behaviors() {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", r.Subject, r.Together, r.Partial, r.Alone)
		}
		return t.Flush()
	}
	return nil
}

// load reads what the flags and the environment name.
func load(c *cli.Command) (with setup, err error) {
	if with.conf, err = platformconfig.Load(c.String("config"), os.Getenv); err != nil {
		return with, err
	}
	if with.file, err = operatorconfig.Load(c.String("settings")); err != nil || c.String("dns") == "" {
		return with, err
	}
	logs.New(os.Stderr).Warn().Str("file", c.String("dns")).Msg("--dns: the place of these keys is the dns block of --settings")
	with.file.DNS, err = dnsfront.LoadConfig(c.String("dns"))
	return with, err
}
