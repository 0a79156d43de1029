//go:build faults

package failpoint

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Names of the files that tests write. Each file contains a number of milliseconds.
const (
	wallClockFile = "fault-wall"
	syncDelayFile = "fault-save"
)

// WallClock returns the machine's wall clock plus the duration in wallClockFile.
func WallClock() time.Time { return time.Now().Add(readDuration(wallClockFile)) }

// BeforeSync is called before a file is synced to disk. It sleeps for the duration in
// syncDelayFile.
func BeforeSync() { time.Sleep(readDuration(syncDelayFile)) }

// readDuration reads a duration, in milliseconds, from a file in the directory TMPDIR. It returns
// 0 if the file cannot be read or does not contain an integer.
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
