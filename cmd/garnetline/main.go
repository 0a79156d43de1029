// Command garnetline is an edge router: it takes clients' requests, has the decision module
// choose a cache for each, forwards them and answers. Its other commands check a
// configuration and show what a running router knows.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

// version is set by the linker where a release is built.
var version = "devel"

func main() {
	if err := newCommand(os.Stdout).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "garnetline:", err)
		os.Exit(1)
	}
}

// newCommand returns the command line. What its commands print goes to out.
func newCommand(out io.Writer) *cli.Command {
	files := []cli.Flag{
		&cli.StringFlag{Name: "config", Usage: "configuration `FILE`; without it, what EDGE_CONFIG names"},
		&cli.StringFlag{Name: "settings", Usage: "operators' `FILE` in HCL; without it all that it could switch on is off"},
		&cli.StringFlag{Name: "dns", Usage: "older `FILE` of the DNS front alone; its place is the dns block of --settings"},
	}
	return &cli.Command{
		Name:  "garnetline",
		Usage: "edge router for caches of large objects",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve until SIGTERM; SIGHUP reads the configuration again, SIGUSR1 prints the counters", Flags: files,
				Action: serveCommand},
			{Name: "check", Usage: "check a configuration and say what it holds", Flags: files,
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

// serveCommand runs the daemon with the files that the flags name; SIGHUP reads them again.
func serveCommand(ctx context.Context, command *cli.Command) error {
	load := func() (setup, error) { return loadSetup(command) }
	initial, err := load()
	if err != nil {
		return err
	}
	return serve(ctx, initial, load)
}
