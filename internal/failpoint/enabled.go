//go:build faults

package failpoint

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// The files that tests write, each with a number of milliseconds.
const (
	wallClockFile = "fault-wall"
	syncDelayFile = "fault-save"
)

// WallClock returns the machine's wall clock, moved by what wallClockFile says.
func WallClock() time.Time { return time.Now().Add(readDuration(wallClockFile)) }

// BeforeSync is called before a file is made durable. It takes as long as syncDelayFile says.
func BeforeSync() { time.Sleep(readDuration(syncDelayFile)) }

// readDuration returns what a file says in milliseconds, and 0 where there is no such file
// or no number in it.
func readDuration(name string) time.Duration {
	content, err := os.ReadFile(filepath.Join(os.Getenv("TMPDIR"), name))
	if err != nil {
		return 0
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(string(content)), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
