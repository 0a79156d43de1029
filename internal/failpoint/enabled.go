//go:build faults

// Package faults is where a build for tests (-tags faults) lets the machine's wall clock
// jump and a save take long, by what files in the process's TMPDIR say at that moment.
package failpoint

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// told is what a file says, in milliseconds; none says 0.
func told(name string) time.Duration {
	b, _ := os.ReadFile(filepath.Join(os.Getenv("TMPDIR"), name))
	ms, _ := strconv.ParseInt(strings.TrimSpace(string(b)), 10, 64)
	return time.Duration(ms) * time.Millisecond
}

// Wall is the machine's wall clock, set by as much as fault-wall says.
func Wall() time.Time { return time.Now().Add(told("fault-wall")) }

// Save takes as long as fault-save says.
func Save() { time.Sleep(told("fault-save")) }
