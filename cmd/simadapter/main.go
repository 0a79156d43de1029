// Command simadapter connects router instances to the simulator over the line protocol that package
// simproto describes. It reads batches of events from standard input and writes one reply for each
// batch to standard output. Instances share no state; each has its own routing.Router.
//
// It exits with code 0 when the input ends between two batches. Otherwise it prints an error to
// standard error and exits with code 1.
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
