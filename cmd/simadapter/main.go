// Command simadapter runs router instances in the simulator's line protocol, which package
// simproto describes: it reads batches of events from standard input and writes one reply for
// each to standard output. Instances share nothing; each has a routing.Router of its own.
//
// It exits with 0 when the input ends between two batches. Any other end is an error: it is
// printed to standard error, and the exit code is 1.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
