package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"garnetline/internal/testcluster"
)

// tour is the example scenario. It runs if no file is given, and the flag --print prints its
// text.
const tour = `# seconds, then what is done
0    routers 5
6    kill r03
11   start r03
16   split r00 r01 / r02 r03 r04
28   heal
34   stall r02
40   wake r02
44   stop r04
48   end
`

// fleetCommand runs a scenario of faults on real routers and prints their views of the fleet.
func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:      "fleet",
		Usage:     "start routers, inject faults and print the routers' views of the fleet as they change",
		ArgsUsage: "[FILE]",
		Description: "FILE has a line for each operation: seconds since the start, then routers N, kill R, start R, stop R, stall R, wake R,\n" +
			"cut A B, oneway A B, loss A B SHARE, split A.. / B.., heal, disable ID at R, enable ID at R, end.\n" +
			"ID is the ID of a server, such as s-00000001. Without FILE, an example scenario runs; --print prints it.",
		Flags: []cli.Flag{
			programFlag(),
			&cli.BoolFlag{Name: "print", Usage: "print the example scenario and exit"},
		},
		Action: runFleet,
	}
}

func runFleet(ctx context.Context, command *cli.Command) error {
	if command.Bool("print") {
		fmt.Print(tour)
		return nil
	}
	parsed, err := loadScenario(command.Args().First())
	if err != nil {
		return err
	}
	program, err := programPath(command)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	options := testcluster.Options{
		Program: program,
		Routers: parsed.routers,
		Servers: 3,
		Fleet:   true,
		Seed:    1,
	}
	return withCluster(options, func(cluster *testcluster.Cluster) error {
		return newScenarioRun(cluster, parsed).execute(ctx)
	})
}

// loadScenario reads a scenario from a file. An empty file name selects the example scenario.
func loadScenario(fileName string) (scenario, error) {
	if fileName == "" {
		return parseScenario("the tour", tour)
	}
	text, err := os.ReadFile(fileName)
	if err != nil {
		return scenario{}, err
	}
	return parseScenario(fileName, string(text))
}
