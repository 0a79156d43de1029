// Package procstat reads what the system counts of a process.
package procstat

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
)

// ResidentBytes returns the resident memory of a process, files included, or 0 if it cannot be read, for
// example because the process has exited.
func ResidentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
