//go:build !faults

package failpoint

import "time"

// WallClock returns the machine's wall clock.
func WallClock() time.Time { return time.Now() }

// BeforeSync is called before a file is synced to disk. In this build it does nothing.
func BeforeSync() {}
