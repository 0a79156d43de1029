// Command garnetline is an edge router: it takes clients' requests, has the
// decision module choose a cache for each, and answers.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"garnetline/internal/config"
	"garnetline/internal/front/dns"
)

// version is set by the linker where a release is built.
var version = "devel"

func main() {
	path := &cli.StringFlag{Name: "config", Usage: "configuration `FILE`; without it, what EDGE_CONFIG names"}
	names := &cli.StringFlag{Name: "dns", Usage: "operator's `FILE` of the DNS front; without it the front is off"}
	app := &cli.Command{
		Name:  "garnetline",
		Usage: "edge router for caches of large objects",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve until SIGTERM; SIGHUP reads the configuration again, SIGUSR1 prints the counters", Flags: []cli.Flag{path, names},
				Action: func(ctx context.Context, c *cli.Command) error {
					conf, lookups, err := load(c)
					if err != nil {
						return err
					}
					again := func() (*config.Config, error) { return config.Load(c.String("config"), os.Getenv) }
					return serve(ctx, conf, again, lookups)
				}},
			{Name: "check", Usage: "check a configuration and say what it holds", Flags: []cli.Flag{path, names},
				Action: func(_ context.Context, c *cli.Command) error {
					conf, lookups, err := load(c)
					if err != nil {
						return err
					}
					fmt.Printf("%s: listens on %v, change log at %v, %d events known, %d classes\n",
						conf.Name, conf.Listen, conf.ChangeLog, len(conf.Known), len(conf.Settings.Classes))
					if lookups.Enabled {
						fmt.Printf("DNS front: %s at %s\n", lookups.Zone, lookups.Listen)
					}
					return nil
				}},
			{Name: "version", Usage: "print the version",
				Action: func(context.Context, *cli.Command) error {
					fmt.Println("garnetline", version)
					return nil
				}},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "garnetline:", err)
		os.Exit(1)
	}
}

// load reads what the flags and the environment name.
func load(c *cli.Command) (*config.Config, dns.Config, error) {
	conf, err := config.Load(c.String("config"), os.Getenv)
	if err != nil {
		return nil, dns.Config{}, err
	}
	lookups, err := dns.Load(c.String("dns"))
	return conf, lookups, err
}
