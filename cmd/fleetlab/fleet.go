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

// tour is the scenario that is played if no file is given.
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

// fleetCommand plays a scenario of faults on real routers and prints what they see.
func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:      "fleet",
		Usage:     "start routers and put faults between them; print the views as they change",
		ArgsUsage: "[FILE]",
		Description: "FILE has a line for each thing done: seconds, then routers N, kill R, start R, stop R, stall R, wake R,\n" +
			"cut A B, oneway A B, loss A B SHARE, split A.. / B.., heal, disable ID at R, enable ID at R, end.\n" +
			"ID is a server's, such as s-00000001. Without FILE a short tour is given, which --print prints.",
		Flags: []cli.Flag{
			programFlag(),
			&cli.BoolFlag{Name: "print", Usage: "print the tour's file and end"},
		},
		Action: playFleet,
	}
}

func playFleet(ctx context.Context, command *cli.Command) error {
	if command.Bool("print") {
		fmt.Print(tour)
		return nil
	}
	played, err := loadScenario(command.Args().First())
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
		Routers: played.routers,
		Servers: 3,
		Fleet:   true,
		Seed:    1,
	}
	return withCluster(options, func(cluster *testcluster.Cluster) error {
		return newScenarioRun(cluster, played).play(ctx)
	})
}

// loadScenario reads a scenario from a file. Without a file it is the tour.
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
