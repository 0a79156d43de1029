// Command garnetline is an edge router: it accepts clients' requests, selects a cache for each,
// forwards the requests and answers them. Its other commands check a configuration, show recorded
// traces, and show and change the fleet of a running router.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

// version is the version of the program, which the linker sets in release builds.
var version = "devel"

func main() {
	if err := newCommand(os.Stdout).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "garnetline:", err)
		os.Exit(1)
	}
}

// newCommand returns the root command of the command line. Its commands print to out.
func newCommand(out io.Writer) *cli.Command {
	files := []cli.Flag{
		&cli.StringFlag{Name: "config", Usage: "configuration `FILE`; default: the file that EDGE_CONFIG names"},
		&cli.StringFlag{Name: "settings", Usage: "operators' settings `FILE` in HCL; without it, all features that it can enable are off"},
		&cli.StringFlag{Name: "dns", Usage: "deprecated: `FILE` with the settings of the DNS front; use the dns block of the --settings file"},
	}
	return &cli.Command{
		Name:  "garnetline",
		Usage: "edge router for caches of large objects",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve until SIGTERM; SIGHUP reloads the configuration, SIGUSR1 logs the counters", Flags: files,
				Action: serveCommand},
			{Name: "check", Usage: "check a configuration and print a summary", Flags: files,
				Action: func(_ context.Context, command *cli.Command) error { return check(command, out) }},
			newTraceCommand(out),
			newFleetCommand(out),
			{Name: "version", Usage: "print the version",
				Action: func(context.Context, *cli.Command) error {
					_, err := fmt.Fprintln(out, "garnetline", version)
					return err
				}},
		},
	}
}

// serveCommand runs the daemon with the configuration files that the flags name.
func serveCommand(ctx context.Context, command *cli.Command) error {
	load := func() (daemonConfig, error) { return loadConfig(command) }
	initial, err := load()
	if err != nil {
		return err
	}
	return serve(ctx, initial, load)
}
