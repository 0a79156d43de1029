// Command fleetlab shows and measures several routers together: real processes behind
// relays, and the same state machines on a virtual network.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"garnetline/internal/experiment"
)

func main() {
	app := &cli.Command{
		Name:  "fleetlab",
		Usage: "several routers together: shown, and measured",
		Commands: []*cli.Command{
			fleetCommand(),
			requestsCommand(),
			leasesCommand(), leaseStatesCommand(), recoveryProbeCommand(), leaseRegistryCommand(), loadReportingCommand(),
			handoversCommand(),
			{Name: "members", Usage: "measure membership on the virtual network: a table and charts", Flags: []cli.Flag{
				&cli.StringFlag{Name: "out", Usage: "`FOLDER` for members.md and the charts", Value: "."},
				&cli.IntSliceFlag{Name: "sizes", Usage: "numbers of routers", Value: []int{3, 30, 300, 1000}},
				&cli.IntFlag{Name: "seeds", Usage: "runs of each", Value: 10},
				&cli.IntFlag{Name: "kills", Usage: "routers killed in each run, fewer where there are over 30", Value: 20},
				&cli.DurationFlag{Name: "rough", Usage: "virtual time under each trouble, less where there are over 30", Value: 10 * time.Minute},
			}, Action: func(_ context.Context, c *cli.Command) error {
				began := time.Now()
				o := experiment.Membership{Sizes: c.IntSlice("sizes"), Seeds: c.Int("seeds"), Kills: c.Int("kills"), QuietPeriod: 20_000,
					FaultPeriod: float64(c.Duration("rough").Milliseconds()), Losses: []float64{0, 0.05, 0.2}}
				all := o.Run(os.Stderr)
				if err := os.MkdirAll(c.String("out"), 0o755); err != nil {
					return err
				}
				f, err := os.Create(filepath.Join(c.String("out"), "members.md"))
				if err != nil {
					return err
				}
				defer f.Close()
				fmt.Fprintf(f, "Made by `fleetlab members --sizes %v --seeds %d --kills %d --rough %v`, %v.\n\n", c.IntSlice("sizes"), o.Seeds, o.Kills, c.Duration("rough"), time.Since(began).Round(time.Second))
				experiment.MembershipTable(f, all)
				return experiment.MembershipCharts(c.String("out"), all)
			}},
			{Name: "day", Usage: "a virtual day of a fleet under loss: what is said wrongly", Flags: []cli.Flag{
				&cli.IntFlag{Name: "routers", Value: 30}, &cli.IntFlag{Name: "seeds", Value: 10},
				&cli.FloatFlag{Name: "loss", Value: 0.05}, &cli.DurationFlag{Name: "for", Value: 24 * time.Hour},
			}, Action: func(_ context.Context, c *cli.Command) error {
				var wg sync.WaitGroup
				for seed := range c.Int("seeds") {
					wg.Go(func() {
						r := experiment.MeasureFalsePositives(c.Int("routers"), uint64(seed+1), c.Float("loss"), float64(c.Duration("for").Milliseconds()))
						fmt.Printf("%d routers, seed %d, %s, %.0f hours: %d suspicions, %d failures of routers that lived\n",
							c.Int("routers"), seed+1, r.Fault, r.Hours, r.Suspicions, r.Failures)
					})
				}
				wg.Wait()
				return nil
			}},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fleetlab:", err)
		os.Exit(1)
	}
}
