// Command standin runs the servers or the misbehaving clients of a soak in a process of their own, until
// its standard input ends.
package main

import (
	"fmt"
	"os"

	"garnetline/internal/soak"
)

func main() {
	if err := soak.RunStandin(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
