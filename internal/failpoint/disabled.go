//go:build !faults

// Package faults is where a build for tests (-tags faults) lets the machine's wall clock
// jump and a save take long. In every other build it does nothing.
package failpoint

import "time"

// Wall is the machine's wall clock.
func Wall() time.Time { return time.Now() }

// Save is called before a file is made durable.
func Save() {}
